"""Repeats the rounds of a daemon's task."""

from collections.abc import Callable

import eventlet
import logbook

_LOGGER = logbook.Logger(__name__)


def run_periodically(name: str, run_round: Callable[[], None], pause_s: float) -> None:
    """Run rounds until the task is killed.

    A round that fails is logged and the next one starts from the state again, so
    that one bad input does not end a task for the rest of the process's life.

    Parameters
    ----------
    name : str
        Name of the task, for the log.
    run_round : callable
        One round.
    pause_s : float
        Pause in seconds after each round.
    """
    while True:
        try:
            run_round()
        except Exception:
            _LOGGER.exception("A round of {} failed", name)
        eventlet.sleep(pause_s)
