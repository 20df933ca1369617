"""Constants of the operators' client."""

from enum import IntEnum
from typing import Final


class ExitCode(IntEnum):
    """Exit codes of the client; they must stay stable, as scripts rely on them."""

    DONE = 0
    FAILED = 1
    INVALID_TEXT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    REFUSED = 5
    OUTCOME_UNKNOWN = 6
    INVALID_SETTINGS = 7
    USAGE = 64


FORMAT_JSON: Final = "json"

SETTINGS_FILE_VARIABLE: Final = "CHESTNUT_SETTINGS"
DEFAULT_SETTINGS_FILE: Final = "client.json"

# A control that has not responded after this time is skipped in favour of the next.
ATTEMPT_TIMEOUT_S: Final = 4.0
# Shortest time in which a control can answer; with less left, nothing is sent.
MIN_ATTEMPT_S: Final = 0.05
CONNECT_TIMEOUT_S: Final = 1.0
# The control's deadline is this much shorter than the client's read timeout, so that
# its response still arrives in time.
RESPONSE_MARGIN_S: Final = 0.5
RETRY_INTERVAL_S: Final = 0.2
MAX_REDIRECTS: Final = 3
MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024

KEY_BYTES: Final = 24
KEY_PREFIX: Final = "cv-"
TOKEN_BYTES: Final = 32

STEP_CONNECT: Final = "connect"
STEP_ANSWER: Final = "answer"
STEP_WRITE: Final = "write"
