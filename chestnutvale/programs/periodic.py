"""Run the periodic work of a daemon's task."""

from collections.abc import Callable

import eventlet
import logbook

_LOGGER = logbook.Logger(__name__)


def run_periodically(
    name: str, run_round: Callable[[], None], pause_s: float | Callable[[], float]
) -> None:
    """Run a function periodically until the task is killed.

    An exception is logged and the next round starts afresh from the current state,
    so that one bad input does not stop the task for the rest of the process's life.

    Parameters
    ----------
    name : str
        Name of the work, for the log.
    run_round : callable
        Function to run in each round.
    pause_s : float or callable
        Pause in seconds between the end of a round and the start of the next; a
        callable is asked after each round.
    """
    while True:
        try:
            run_round()
        except Exception:
            _LOGGER.exception(
                "Unexpected error in a round of {}; continuing with the next round",
                name,
            )
        eventlet.sleep(pause_s() if callable(pause_s) else pause_s)
