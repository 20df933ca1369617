"""Constants shared by the emulated endpoints."""

from typing import Final

# Bytes of UTF-8 prompt text that count as one token.
PROMPT_BYTES_PER_TOKEN: Final = 4
# Bytes of UTF-8 prompt text in one block of the prefix cache.
PREFIX_BLOCK_BYTES: Final = 64
PREFIX_BLOCK_TOKENS: Final = PREFIX_BLOCK_BYTES // PROMPT_BYTES_PER_TOKEN

FORM_CHAT: Final = "chat"
FORM_COMPLETION: Final = "completion"
FORMS: Final = frozenset({FORM_CHAT, FORM_COMPLETION})

PRIORITY_URGENT: Final = "urgent"
PRIORITY_NORMAL: Final = "normal"
PRIORITY_BATCH: Final = "batch"
PRIORITY_RANKS: Final = {PRIORITY_URGENT: 0, PRIORITY_NORMAL: 1, PRIORITY_BATCH: 2}

KIND_ENGINE: Final = "engine"
KIND_SERVICE: Final = "service"

ORDER_ASSIGN: Final = "assign"
ORDER_RELEASE: Final = "release"

PHASE_LOADING: Final = "loading"
PHASE_READY: Final = "ready"
PHASE_RELEASING: Final = "releasing"

FINISH_LENGTH: Final = "length"
FINISH_STOP: Final = "stop"

CODE_BAD_REQUEST: Final = "bad_request"
CODE_MEMBER_MISSING: Final = "member_missing"
CODE_NOT_FOUND: Final = "not_found"
CODE_ORDER_EXPIRED: Final = "order_expired"
CODE_OVERLOADED: Final = "overloaded"
CODE_RESUME_MISMATCH: Final = "resume_mismatch"
CODE_STALE_FENCE: Final = "stale_fence"
CODE_TOO_LARGE: Final = "too_large"
CODE_WRONG_BOOT: Final = "wrong_boot"
CODE_WRONG_EPOCH: Final = "wrong_epoch"

# A prompt that contains this text crashes the engine that runs it.
CRASH_MARKER: Final = "crash-me"
# The answer to a prompt that contains this text stops at half of ``max_tokens``.
STOP_EARLY_MARKER: Final = "stop-early"

ANNOUNCEMENTS_PATH: Final = "/endpoint/v1/announcements"
DEFAULT_ANNOUNCE_INTERVAL_MS: Final = 1_000
ANNOUNCE_TIMEOUT_S: Final = 1.0

MAX_BODY_BYTES: Final = 8 * 1024 * 1024

# Interval between pings of a head to its members, while requests run and while idle.
MEMBER_PING_INTERVAL_BUSY_MS: Final = 50
MEMBER_PING_INTERVAL_IDLE_MS: Final = 500
MEMBER_PING_TIMEOUT_S: Final = 0.5

# Time that a host spends in the releasing phase before it is free.
RELEASE_DURATION_MS: Final = 200

# An announcement with more cache events than this takes no further ones; they wait for
# the next announcement.
MAX_CACHE_EVENTS: Final = 2_048

# Exit code of an engine process that a request or an injected fault crashed.
EXIT_CODE_CRASHED: Final = 70
