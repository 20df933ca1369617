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

# Largest status code of an answer.
MAX_STATUS: Final = 599
# Interim answers (1xx) before an answer; servers send one or two.
MAX_INTERIM_ANSWERS: Final = 16
# Lines of a head; parsing one takes a few microseconds.
MAX_HEAD_LINES: Final = 1_024
# Bytes after the head that complete no piece: a chunk's size line, or the trailers.
MAX_PIECELESS_BYTES: Final = 16 * 1024
# Bytes that are given to the parser at once after the head of a chunked answer.
PARSED_BYTES: Final = 8 * 1024
# Pieces that are parsed before other greenlets run; each takes some 12 microseconds.
MAX_PIECES_PER_STEP: Final = 32
# Allowance of pieces for each answer: at once, for bytes of its body, and for time.
FREE_PIECES: Final = 128
BYTES_PER_FREE_PIECE: Final = 64
FREE_PIECES_PER_S: Final = 100.0
# Pieces per second beyond these allowances that a process parses, for all answers.
SHARED_PIECES_PER_S: Final = 8_000.0
