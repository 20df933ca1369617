"""Constants of the entry."""

from typing import Final

from chestnutvale.http_server.const import STOP_ANSWER_MARGIN_S

# Time without an answer after which a commit request is sent again.
COMMIT_RESEND_INTERVAL_MS: Final = 400
# Minimum time between two reports that are triggered by changes.
MIN_REPORT_INTERVAL_MS: Final = 20
# Time after which an undelivered report is outdated and dropped.
REPORT_EXPIRY_MS: Final = 1_500

PATH_ANNOUNCEMENTS: Final = "/endpoint/v1/announcements"
PATH_CHAT: Final = "/v1/chat/completions"
PATH_COMPLETIONS: Final = "/v1/completions"
PREFIX_SERVICES: Final = "/services/"

# Default time for the load balancer to notice that an entry is not ready.
DRAIN_NOTICE_S: Final = 1.0
# Time by which the timeouts of callers' connections exceed those of the configuration.
# A request that a caller sends at the last moment arrives and is read within it.
CALLER_TIMEOUT_MARGIN_S: Final = 2.0
# Time before the deadline of a shutdown by which calls taken during it must have ended.
# It exceeds the time at which the server answers requests without an answer.
STOP_ANSWER_TIME_S: Final = 2 * STOP_ANSWER_MARGIN_S
# Interval of the checks for unfinished work during a shutdown.
DRAIN_POLL_INTERVAL_S: Final = 0.05
INCARNATION_SALT_BITS: Final = 32
HOUSEKEEPING_INTERVAL_S: Final = 0.5
# Shortest interval of the checks for groups whose streams have stalled.
STALL_CHECK_INTERVAL_S: Final = 0.05
# Report interval of an entry without a lease. It is short because an election takes
# about a second and calls are refused until a control answers.
NO_LEASE_REPORT_INTERVAL_S: Final = 0.1

# Steps of an exchange with an endpoint, as named in errors.
STEP_CONNECT: Final = "connect"
STEP_SEND: Final = "send"
STEP_RECEIVE: Final = "receive"

# Why an attempt ends that was interrupted before the head of its answer was whole.
REASON_SENT_BEFORE: Final = "the request was sent before and can't be sent again"
