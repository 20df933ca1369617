"""Constants of the entry."""

from typing import Final

# Waits in milliseconds before a commit request is sent again.
COMMIT_RESEND_INTERVAL_MS: Final = 400
# Shortest time in milliseconds between two reports that news brings forward.
MIN_REPORT_INTERVAL_MS: Final = 20
# Time in milliseconds for which a report is worth delivering.
REPORT_EXPIRY_MS: Final = 1_500

PATH_ANNOUNCEMENTS: Final = "/endpoint/v1/announcements"
PATH_CHAT: Final = "/v1/chat/completions"
PATH_COMPLETIONS: Final = "/v1/completions"
PREFIX_SERVICES: Final = "/services/"

# Time in seconds that the balancer gets to see that an entry is not ready.
DRAIN_NOTICE_S: Final = 1.0
# Time in seconds between two looks at what still runs.
DRAIN_POLL_INTERVAL_S: Final = 0.05
INCARNATION_SALT_BITS: Final = 32
# Time in seconds between two rounds of housekeeping.
HOUSEKEEPING_INTERVAL_S: Final = 0.5
# Time in seconds between two looks for groups whose streams fell silent.
STALL_CHECK_INTERVAL_S: Final = 0.05
# Time in seconds between two reports of an entry without a lease: an election takes a
# second, and calls are refused until an answer comes.
NO_LEASE_REPORT_INTERVAL_S: Final = 0.1

# Steps of an exchange with an endpoint, named in errors.
STEP_CONNECT: Final = "connect"
STEP_SEND: Final = "send"
STEP_RECEIVE: Final = "receive"
