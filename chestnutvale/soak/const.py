"""Constants of the soak test."""

from typing import Final

SOLO_SERVICE: Final = "chestnut-llm"
PAIR_SERVICE: Final = "summaries"
HOSTS_PER_PAIR_GROUP: Final = 2
# Hosts that stay without a group, so that a group can be moved.
SPARE_HOSTS: Final = 2
PROBE_WORKSPACE: Final = "probe"
# Workspace whose only key some texts take away.
GUEST_WORKSPACE: Final = "guest"
GUEST_KEY: Final = "soak-guest"

KIND_STREAM: Final = "stream"
KIND_READ: Final = "read"
KIND_POSTING: Final = "posting"

TEXT_WHOLE: Final = "whole"
TEXT_PART: Final = "part"
TEXT_WRONG: Final = "wrong"

OUTCOME_NOT_RUN: Final = "not_run"
STATUS_UNAUTHORIZED: Final = 401
SUCCESS_STATUSES: Final = frozenset({200, 201})
# Statuses of calls that the configuration does not allow.
DENIAL_STATUSES: Final = frozenset({401, 403, 404})

OUTCOME_FINISHED: Final = "finished"
# Outcomes that follow from what the system did: it closed the connection, cancelled the
# attempt, or ordered the hosts of the group into another one.
SYSTEM_OUTCOMES: Final = frozenset(
    {
        "hung up",
        "cancelled",
        "the group was released",
        "the host is no head",
        "a member is missing: holds another group",
        "a member is missing: holds another epoch",
        "a member is missing: not ready",
    }
)

STREAM_DEADLINE_MS: Final = 30_000
CALL_DEADLINE_MS: Final = 15_000
# An answer that ended so close to its deadline may have been ended by it.
DEADLINE_MARGIN_S: Final = 0.5
# Time after sending from which an entry must have read a request.
REQUEST_READ_S: Final = 0.5
# Time after its acceptance from which a text is in force at all entries.
IN_FORCE_S: Final = 5.0
# Time after a disruption from which the promises hold again.
CONTACT_S: Final = 3.0
# Gap between two samples from which the runner itself is said to have stood still.
STANDSTILL_S: Final = 0.4

STREAM_TOKENS: Final = 60
STEP_MS: Final = 40
POSTING_MS: Final = 300
PAUSE_DURATIONS_S: Final = (1.2, 2.6, 3.6)

EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_NOT_RUN: Final = 2
