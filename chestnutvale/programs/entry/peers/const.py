"""Constants of calls that go on through another entry."""

from typing import Final

# Connect timeout to another entry: a hundred times the latency within a region.
PEER_CONNECT_TIMEOUT_S: Final = 0.2
# Entries that a call tries; nothing was sent to those that can't be reached.
MAX_PEERS_TRIED: Final = 3
# Time without an answer after which a connection to a peer counts as lost.
PEER_USER_TIMEOUT_MS: Final = 3_000
# Time for which a call waits for the first list of peers.
PEER_LIST_WAIT_S: Final = 0.2
PEER_LIST_POLL_INTERVAL_S: Final = 0.01
# Retry-After if no other entry can be reached either.
NO_PEER_RETRY_AFTER_S: Final = 0.5
# Added to the deadline of a call, for the answer that the peer gives at its deadline.
PEER_ANSWER_MARGIN_S: Final = 0.1

# Interval of the probes of an isolated entry, of which each waits a random part.
PROBE_INTERVAL_S: Final = 0.4
MIN_PROBE_INTERVAL_SHARE: Final = 0.5
PROBE_TIMEOUT_S: Final = 0.2
# Endpoints that are probed at once when isolation is only suspected, the time without
# an answer of any endpoint before, and the shortest time between two such probes.
SUSPICION_PROBES: Final = 3
SUSPICION_SILENCE_S: Final = 0.5
SUSPICION_INTERVAL_S: Final = 0.5
