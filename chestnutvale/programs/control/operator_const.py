"""Constants of the operators' HTTP interface, shared with the client."""

from typing import Final

PATH_PREFIX: Final = "/operator/v1/"
PATH_TEXT: Final = "/operator/v1/text"
PATH_PLAN: Final = "/operator/v1/plan"
PATH_STATUS: Final = "/operator/v1/status"
PATH_DRAIN: Final = "/operator/v1/drain"
PATH_EVACUATION: Final = "/operator/v1/evacuation"
PATH_VOTERS: Final = "/operator/v1/voters"
PATH_DUMP: Final = "/operator/v1/dump"
# Query for the status known to this control, which needs no leader.
QUERY_LOCAL: Final = "local=1"

HEADER_OPERATOR: Final = "X-Operator"
HEADER_DEADLINE: Final = "X-Deadline-Ms"
MAX_OPERATOR_LENGTH: Final = 128
DEFAULT_DEADLINE_MS: Final = 5_000
MAX_DEADLINE_MS: Final = 60_000
# Longer texts are parsed in a native thread to keep the eventlet hub responsive.
SMALL_TEXT_CHARACTERS: Final = 10_000
MAX_REQUEST_BYTES: Final = 16 * 1024

CODE_UNAUTHORISED: Final = "unauthorised"
CODE_NOT_FOUND: Final = "not_found"
CODE_NOT_LEADER: Final = "not_leader"
CODE_NO_LEADER: Final = "no_leader"
CODE_OUTCOME_UNKNOWN: Final = "outcome_unknown"
CODE_MEMBERS_REFUSED: Final = "members_change_refused"
CODE_UNKNOWN_DATA_CENTRE: Final = "unknown_data_centre"
CODE_EVACUATION_NOT_READY: Final = "evacuation_not_ready"
CODE_EVACUATION_REFUSED: Final = "evacuation_refused"
CODE_BAD_REQUEST: Final = "bad_request"
CODE_CONFLICT: Final = "configuration_conflict"
CODE_REFUSED: Final = "refused"

STEP_OPERATOR: Final = "operator"
STEP_PROPOSE: Final = "propose"

RETRY_AFTER_S: Final = 1
