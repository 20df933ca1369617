"""Names, limits and defaults of the configuration text."""

from typing import Final

KIND_MODEL: Final = "model"
KIND_PLAIN: Final = "plain"
KINDS: Final = (KIND_MODEL, KIND_PLAIN)

OUTCOME_ACCEPTED: Final = "accepted"
OUTCOME_RESENT: Final = "resent"
OUTCOME_CONFLICT: Final = "conflict"
OUTCOME_OVERTAKEN: Final = "overtaken"

ROUTE_STREAMING: Final = "streaming"
ROUTE_REPEATABLE: Final = "repeatable"
ROUTE_ONCE: Final = "once"
ROUTE_KINDS: Final = (ROUTE_STREAMING, ROUTE_REPEATABLE, ROUTE_ONCE)
MAX_ROUTES: Final = 20_000
# Workspace of a text whose list of workspaces is present and empty. It has no key, so
# the routes stay closed, also at entries of builds that know no such list.
KEYLESS_WORKSPACE: Final = "keyless"
# Longest time limit of a routed call, whatever its caller and its route allow.
MAX_ROUTED_CALL_S: Final = 60.0

MAX_TEXT_BYTES: Final = 1024 * 1024
# Commands of this version and later ones include compressed texts.
COMPRESSED_TEXT_COMMAND_VERSION: Final = 3
# Smaller commands stay uncompressed in the log.
MIN_COMPRESSED_COMMAND_BYTES: Final = 16 * 1024
# Largest command that applies a text; controls read at most twice as much from the log.
MAX_TEXT_COMMAND_BYTES: Final = 32 * 1024 * 1024
MAX_TEXT_DEPTH: Final = 16
MAX_REPORTED_PROBLEMS: Final = 100
# Searching for similar names is slow if there are many.
MAX_NAME_SUGGESTIONS: Final = 10
MAX_CALL_RULES: Final = 200
MAX_TEXT_NUMBER: Final = 2**63 - 1
MAX_STRING_LENGTH: Final = 512
MAX_DOUBLE_VALUE: Final = 1e6
MAX_HOSTS_PER_GROUP: Final = 1_024
MAX_GROUPS: Final = 10_000
MAX_COLD_START_MS: Final = 600_000
MAX_WEIGHT: Final = 10_000
MAX_QUEUED_REQUESTS: Final = 1_000_000
MAX_RUNNING_REQUESTS: Final = 1_000_000
MAX_BODY_BYTES: Final = 256 * 1024 * 1024
MIN_DEADLINE_MS: Final = 100
MAX_DEADLINE_MS: Final = 24 * 60 * 60 * 1000

# One day of changes at the target cluster size, so that a command resent within a day
# is still recognised.
ACCEPTED_NUMBERS_KEPT: Final = 4_096

DEFAULT_HOSTS_PER_GROUP: Final = 1
DEFAULT_GROUPS: Final = 1
DEFAULT_WEIGHT: Final = 1
DEFAULT_MAX_QUEUED_REQUESTS: Final = 1_000
# Zero means no fixed limit: the measured load of the service's groups decides.
DEFAULT_MAX_RUNNING_REQUESTS: Final = 0
DEFAULT_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
DEFAULT_DEADLINE_MS: Final = 120_000

METHOD_ANY: Final = "*"
REPEATABLE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
METHODS: Final = frozenset(
    {METHOD_ANY, "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}
)

STEP_PARSE_TEXT: Final = "parse_text"
