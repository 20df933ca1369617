"""Signals that arrive while a program imports its modules.

It imports no other module of the project, so that a program can call it first.
"""

import signal


def ignore_early_signals() -> None:
    """Ignore the signals that ask for a reload or a state dump.

    Their default action ends the process. Nothing is lost, as the settings are read
    after the imports. SIGTERM keeps its default action, as nothing is served yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
