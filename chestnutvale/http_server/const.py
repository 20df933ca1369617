"""Limits, timeouts and refusal codes of the HTTP server."""

from typing import Final

BACKLOG_CONNECTIONS: Final = 1_024
# Time after which a server without descriptors or memory accepts again.
ACCEPT_RETRY_INTERVAL_S: Final = 0.1
# Each part of a streamed answer is sent at once instead of filling a chunk first.
MINIMUM_CHUNK_BYTES: Final = 1
MAX_CHUNK_LINE_BYTES: Final = 8_192
# Lines of a head (request line, 100 headers, empty line), and bytes of one of them.
MAX_HEAD_LINES: Final = 102
MAX_HEAD_LINE_BYTES: Final = 64 * 1024

# A handler may leave a body unread; up to this size it is read and discarded so that
# the connection can be reused.
MAX_DISCARDED_BYTES: Final = 64 * 1024
# After a refusal the remaining input is read for this long, as closing a socket with
# unread data resets it and the client may lose the answer.
LINGER_TIMEOUT_S: Final = 1.0
LINGER_READ_BYTES: Final = 64 * 1024
MAX_LINGER_BYTES: Final = 8 * 1024 * 1024
MAX_LINGERING_CONNECTIONS: Final = 64
OVERLOAD_RETRY_AFTER_S: Final = 1

# Interval between checks for unread bytes of a head whose time has passed.
HEAD_RECHECK_INTERVAL_S: Final = 0.01
# Time for which a client that has just connected may still send a request to a server
# that stops: a few times the latency to clients of the region.
STOP_REQUEST_GRACE_S: Final = 0.1
STOP_POLL_INTERVAL_S: Final = 0.01
# Time before the deadline of a stop at which requests without an answer get one.
STOP_ANSWER_MARGIN_S: Final = 0.25

# Target of the request as it was sent: path and query.
ENVIRON_REQUEST_TARGET: Final = "chestnutvale.request_target"
ENVIRON_CLOSE_CONNECTION: Final = "chestnutvale.close_connection"
# Callable that reserves memory for a number of bytes of the request's body; returns
# False if there is no room.
ENVIRON_RESERVE_MEMORY: Final = "chestnutvale.reserve_memory"

# Record of how the answer ends, see `answer_end.py`.
ENVIRON_ANSWER_END: Final = "chestnutvale.answer_end"

# Who ended an answer or a connection.
ENDED_BY_CALLER: Final = "caller"
ENDED_BY_ENDPOINT: Final = "endpoint"
# Another entry, through which the call went on.
ENDED_BY_PEER: Final = "peer"
# The process that serves the connection.
ENDED_BY_SERVER: Final = "server"

REASON_CALLER_GONE: Final = "caller_gone"
REASON_INCOMPLETE_HEAD: Final = "incomplete_head"
REASON_IDLE_TIMEOUT: Final = "idle_timeout"
REASON_INTERNAL_ERROR: Final = "internal_error"
REASON_MEMORY: Final = "memory"
# The client read nothing for the idle timeout.
REASON_NOT_READ: Final = "not_read"
REASON_STOP: Final = "stop"

CONTENT_TYPE_PROBLEM: Final = "application/problem+json"
OUTCOME_NOT_RUN: Final = "not_run"
OUTCOME_UNKNOWN: Final = "unknown"
OUTCOME_FAILED: Final = "failed"

STEP_RECEIVE: Final = "receive"

REFUSED_TOO_MANY_CONNECTIONS: Final = "too_many_connections"
REFUSED_HEAD_TOO_SLOW: Final = "head_too_slow"
REFUSED_HEAD_MALFORMED: Final = "head_malformed"
REFUSED_HEADERS_TOO_LARGE: Final = "headers_too_large"
REFUSED_BODY_TOO_LARGE: Final = "body_too_large"
REFUSED_BODY_TOO_SLOW: Final = "body_too_slow"
REFUSED_BODY_MALFORMED: Final = "body_malformed"
CODE_SERVER_STOPPING: Final = "server_stopping"
