"""Constants of routed calls."""

from typing import Final

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that depend on the framing of
# the message; they are not forwarded.
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

# Timeout of a TCP connect: a hundred times the latency to an endpoint of the region. It
# does not cover a retransmission: a lost packet is sent again only after a full second.
CONNECT_TIMEOUT_S: Final = 0.2
# Time for which an idle connection may be reused unless the endpoint's Keep-Alive
# header gives another one. A host may drop an idle connection without notice, and a
# request that may run only once is lost on it, so a longer time is not worth the
# connections that it saves.
DEFAULT_IDLE_TIMEOUT_S: Final = 10.0
# Upper limit of the Retry-After of an endpoint that is passed on to a caller.
MAX_RETRY_AFTER_S: Final = 10.0
# An idle connection is not reused in the last part of its idle timeout, because the
# request could cross the endpoint's close.
IDLE_MARGIN_S: Final = 1.0
# Idle connections that are kept per endpoint.
MAX_IDLE_PER_ENDPOINT: Final = 16
# Idle connections that are kept in total; fewer than the file descriptors that a
# deployment keeps free besides those of its requests.
MAX_IDLE_CONNECTIONS: Final = 128
# Late answers to earlier requests that are skipped on a connection; one more of them
# fails the request.
MAX_SKIPPED_ANSWERS: Final = 4
# Bytes of the body of an answer that is skipped.
MAX_SKIPPED_BYTES: Final = 1024 * 1024
MAX_REFUSAL_BYTES: Final = 64 * 1024
# Time for the rest of a refusal's body, which only decides whether the connection can
# be reused.
REFUSAL_BODY_TIMEOUT_S: Final = 0.05
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
# Linux closes a connection whose data stays unacknowledged for this time; in a network
# partition neither an acknowledgement nor a reset arrives.
TCP_USER_TIMEOUT_MS: Final = 3_000

# An attempt ends if its first event does not arrive within this multiple of the route's
# target latency, but not before the minimum; callers begin to disconnect after that.
MIN_FIRST_EVENT_TIMEOUT_S: Final = 1.2
FIRST_EVENT_TIMEOUT_FACTOR: Final = 3.0
# The same for the gap between two events, as a multiple of the route's target gap.
MIN_GAP_TIMEOUT_S: Final = 0.7
GAP_TIMEOUT_FACTOR: Final = 2.5
# A request is refused after crashes on this many different groups, because each further
# crash takes a group out of service for seconds.
BAN_AFTER_CRASHES: Final = 3
# Retry-After of a refusal because the entry has no lease or no service of the route has
# the model.
NO_LEASE_RETRY_AFTER_S: Final = 0.5
# Share of a call's time limit for which it may wait for the first lease of an entry
# that has just started.
LEASE_WAIT_SHARE: Final = 0.4
# A call may wait in the admission queue for this multiple of the route's target
# latency, but at least for the minimum. After that it would miss the target anyway, and
# it would delay calls that can still meet theirs.
MIN_QUEUE_TIMEOUT_S: Final = 0.1
QUEUE_TIMEOUT_FACTOR: Final = 1.0
