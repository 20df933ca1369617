"""Native threads that run blocking work of a control: writes and large texts."""

from typing import Final

from eventlet import tpool

# One thread writes to the data folder, one parses a document of an operator, and the
# others parse texts of operators.
MAX_PARSING_THREADS: Final = 2
NATIVE_THREADS: Final = 2 + MAX_PARSING_THREADS


def start_native_threads() -> None:
    """Start the threads; a repeated call has no effect.

    eventlet would start 20 threads at the first use, and the main thread waits until
    each of them has run. On an overloaded host, a control that serves already would
    look dead meanwhile.
    """
    tpool.set_num_threads(NATIVE_THREADS)
    tpool.setup()
