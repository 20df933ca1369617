"""Native threads that run work which would block the process."""

from typing import Final

from eventlet import tpool

# Connections to peers that are closed at the same time.
CLOSING_THREADS: Final = 1
# Texts of operators that are parsed at the same time.
MAX_PARSING_THREADS: Final = 2
ENTRY_THREADS: Final = CLOSING_THREADS
# One more thread writes to the data folder, and one parses a document of an operator.
CONTROL_THREADS: Final = CLOSING_THREADS + MAX_PARSING_THREADS + 2


def start_native_threads(count: int) -> None:
    """Start the threads; a repeated call has no effect.

    eventlet would start 20 threads at the first use, and the main thread waits until
    each of them has run. On an overloaded host, a process that serves already would
    look dead meanwhile.

    Parameters
    ----------
    count : int
        Number of threads.
    """
    tpool.set_num_threads(count)
    tpool.setup()
