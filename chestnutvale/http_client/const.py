"""Constants of the HTTP client."""

from typing import Final

# Bytes of an answer's head, with the interim heads before it. Also of the size line of
# a chunk, and of the trailers.
MAX_HEAD_BYTES: Final = 64 * 1024
# Size of one read from the socket.
READ_BYTES: Final = 65_536
# Bytes received without a wait after which other greenlets run, because a fast peer
# may always have more data ready.
MAX_UNYIELDED_BYTES: Final = 256 * 1024
