"""Constants of routed calls."""

from typing import Final

# Headers that concern one connection only (RFC 9110, section 7.6.1), and those whose
# value follows from how the message is framed here.
CONNECTION_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Time in seconds to open a connection: a hundred times the way to an endpoint of the
# region. A packet that was lost comes again after a whole second only.
CONNECT_TIMEOUT_S: Final = 0.2
# Idle time in seconds of a kept connection, if the endpoint names no shorter one.
DEFAULT_IDLE_TIMEOUT_S: Final = 10.0
# Time in seconds before the end of an endpoint's idle time at which its connection is
# no longer used, so that a request does not cross its close.
IDLE_MARGIN_S: Final = 1.0
# Kept connections to one endpoint.
MAX_IDLE_PER_ENDPOINT: Final = 16
# Late answers of earlier requests that are skipped on one connection.
MAX_SKIPPED_ANSWERS: Final = 4
MAX_REFUSAL_BYTES: Final = 64 * 1024
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
READ_BYTES: Final = 65_536
# Time in milliseconds after which Linux gives up a connection whose bytes are not
# acknowledged (TCP_USER_TIMEOUT); a partition answers nothing.
TCP_USER_TIMEOUT_MS: Final = 3_000

# Time in seconds that a call without a deadline of its own may take.
DEFAULT_DEADLINE_S: Final = 60.0
# Shortest silence in seconds before a stream's first event that ends an attempt, and
# the same as a multiple of what callers hope for: beyond it they begin to leave.
MIN_FIRST_EVENT_TIMEOUT_S: Final = 1.2
FIRST_EVENT_TIMEOUT_FACTOR: Final = 3.0
# The same between two events.
MIN_GAP_TIMEOUT_S: Final = 0.7
GAP_TIMEOUT_FACTOR: Final = 2.5
# Crashes on different groups after which a request is refused: each further one costs
# a group for seconds.
BAN_AFTER_CRASHES: Final = 3
# Time in seconds after which a caller should come back when an entry can't serve.
NO_LEASE_RETRY_AFTER_S: Final = 0.5
# Share of a call's time for which it may wait for an entry that has just begun.
LEASE_WAIT_SHARE: Final = 0.4
# Time in seconds for which a call may wait for its turn, at least, and as a multiple of
# the latency that callers hope for: later it is late anyhow, and holds up others that
# could be in time.
MIN_QUEUE_TIMEOUT_S: Final = 0.1
QUEUE_TIMEOUT_FACTOR: Final = 1.0
