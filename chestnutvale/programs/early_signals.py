"""Signals that arrive while a program imports its modules.

It imports no other module of the project, so that a program can call it first.
"""

import contextlib
import signal
from collections.abc import Iterator
from typing import Final

# The signals that ask for a reload and for a state dump.
EARLY_SIGNALS: Final = (signal.SIGHUP, signal.SIGUSR1)


def ignore_early_signals() -> None:
    """Ignore the signals that ask for a reload or a state dump.

    Their default action ends the process. Nothing is lost, as the settings are read
    after the imports. SIGTERM keeps its default action, as nothing is served yet.
    Signals that were held back since the start are ignored as well.
    """
    for number in EARLY_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    release_early_signals()


def release_early_signals() -> None:
    """Take the signals that were held back since the start of the process.

    Programs call it once they handle or ignore them.
    """
    signal.pthread_sigmask(signal.SIG_UNBLOCK, EARLY_SIGNALS)


@contextlib.contextmanager
def hold_back_early_signals() -> Iterator[None]:
    """Have the processes that are started here get these signals only when ready.

    A process inherits the signal mask. Otherwise such a signal would end a new process
    whose interpreter has not run its first line.
    """
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, EARLY_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)
