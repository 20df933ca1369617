"""Constants of the operators' client."""

from enum import IntEnum
from typing import Final


class ExitCode(IntEnum):
    """Exit codes; stable, scripts rely on them."""

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

# Longest time in seconds that one control may take before the next one is asked.
ATTEMPT_TIMEOUT_S: Final = 4.0
CONNECT_TIMEOUT_S: Final = 1.0
# The control gives up a little earlier than the client, so that its answer arrives.
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
