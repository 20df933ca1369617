"""Constants of the transport."""

from typing import Final

# Messages read from an inbox before other tasks get a turn.
RECEIVE_BATCH_MESSAGES: Final = 32
# Messages a peer socket holds while its peer is unreachable.
SEND_BUFFER_MESSAGES: Final = 128
# Largest message in bytes; larger ones are refused by the socket.
MAX_MESSAGE_BYTES: Final = 8 * 1024 * 1024
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 1_000
# Time in milliseconds after which an undelivered message is worthless.
DEFAULT_EXPIRY_MS: Final = 2_000

DROP_MALFORMED: Final = "malformed"
DROP_FOREIGN_CLUSTER: Final = "foreign_cluster"
DROP_WRONG_RECIPIENT: Final = "wrong_recipient"
DROP_EXPIRED: Final = "expired"
DROP_OLD_INCARNATION: Final = "old_incarnation"
DROP_NO_BODY: Final = "no_body"

# Earlier lives of one process that are remembered.
MAX_SUPERSEDED_INCARNATIONS: Final = 8
# Time in seconds for which a peer that is sent to may be silent before its connection
# is made anew; a connection can go dead without any sign.
PEER_SILENCE_TIMEOUT_S: Final = 1.5
