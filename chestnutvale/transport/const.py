"""Buffer sizes, timeouts and drop reasons of the transport."""

from typing import Final

# Messages read from the inbox before the task yields to other green threads.
RECEIVE_BATCH_MESSAGES: Final = 32
# Messages buffered per peer while the peer is unreachable.
SEND_BUFFER_MESSAGES: Final = 128
# The socket rejects larger messages.
MAX_MESSAGE_BYTES: Final = 8 * 1024 * 1024
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 1_000
# Default lifetime of a message; the recipient discards it after that.
DEFAULT_EXPIRY_MS: Final = 2_000

DROP_MALFORMED: Final = "malformed"
DROP_FOREIGN_CLUSTER: Final = "foreign_cluster"
DROP_WRONG_RECIPIENT: Final = "wrong_recipient"
DROP_EXPIRED: Final = "expired"
DROP_OLD_INCARNATION: Final = "old_incarnation"
DROP_NO_BODY: Final = "no_body"

# Earlier incarnations remembered per process.
MAX_SUPERSEDED_INCARNATIONS: Final = 8
# How long a peer may leave a probe unanswered before its connection is reopened. A
# connection can stop delivering without any socket error.
PEER_SILENCE_TIMEOUT_S: Final = 1.5
# The same for a peer that is heard but does not reply; doubled up to this with each
# reopening. A message of the maximum size may take seconds on a slow link.
MAX_REPLY_TIMEOUT_S: Final = 12.0
# The same for a peer that has not been heard yet; doubled with each attempt. The kernel
# repeats a handshake with a host that was down only after a second.
CONNECT_TIMEOUT_S: Final = 0.25
# Time without an answer after which the first message of a peer shows that it has only
# just started; a handshake takes less.
HANDSHAKE_TIMEOUT_S: Final = 0.1

# Probes are 32-bit numbers; messages of earlier builds carry none.
NO_PROBE: Final = 0
MAX_PROBE: Final = 0xFFFFFFFF
# Messages to a peer within this time carry the same probe.
PROBE_INTERVAL_S: Final = 0.05
