"""Constants of the HTTP server."""

from typing import Final

BACKLOG_CONNECTIONS: Final = 1_024
# Streams hold nothing back until a chunk is full.
MINIMUM_CHUNK_BYTES: Final = 1
MAX_CHUNK_LINE_BYTES: Final = 8_192

# An unread body up to this size is read, so that the connection can be used again.
MAX_DISCARDED_BYTES: Final = 64 * 1024
# After a refusal the rest is read for so long that the client sees the answer.
LINGER_S: Final = 1.0
LINGER_READ_BYTES: Final = 64 * 1024
MAX_LINGER_BYTES: Final = 8 * 1024 * 1024
MAX_LINGERING_CONNECTIONS: Final = 64
OVERLOAD_RETRY_AFTER_S: Final = 1

STOP_POLL_S: Final = 0.01

ENVIRON_CLOSE: Final = "chestnutvale.close_connection"

CONTENT_TYPE_PROBLEM: Final = "application/problem+json"
OUTCOME_NOT_RUN: Final = "not_run"
OUTCOME_UNKNOWN: Final = "unknown"
OUTCOME_FAILED: Final = "failed"

STEP_RECEIVE: Final = "receive"

REFUSED_CONNECTION: Final = "too_many_connections"
REFUSED_HEADERS: Final = "headers_too_large"
REFUSED_BODY: Final = "body_too_large"
REFUSED_SLOW_BODY: Final = "body_too_slow"
REFUSED_BAD_BODY: Final = "body_malformed"
