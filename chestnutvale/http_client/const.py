"""Constants of the HTTP client."""

from typing import Final

# Bytes of an answer's head, with the interim heads before it.
MAX_HEAD_BYTES: Final = 64 * 1024
# Bytes of a chunk's size line, with its extensions.
MAX_CHUNK_LINE_BYTES: Final = 4_096
# Bytes of all trailers of a chunked body.
MAX_TRAILER_BYTES: Final = 16 * 1024
# Size of one read from the socket.
READ_BYTES: Final = 65_536
# Bytes received without a wait after which other greenlets run, because a fast peer
# may always have more data ready.
MAX_UNYIELDED_BYTES: Final = 256 * 1024
