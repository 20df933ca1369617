"""Handle the signals for stopping, dumping state and reloading."""

import signal
from collections.abc import Callable
from types import FrameType, TracebackType
from typing import Final, Self

import eventlet
import logbook
from eventlet.event import Event

_LOGGER = logbook.Logger(__name__)

_HANDLED_SIGNALS: Final = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGUSR1,
    signal.SIGHUP,
)


def _ignore() -> None:
    """Do nothing; for a process whose daemon does not exist yet."""


class SignalHandler:
    """Stops on SIGTERM or SIGINT; runs callbacks on SIGUSR1 and SIGHUP.

    A context manager for the main thread, entered before the daemon opens its sockets:
    a signal without a handler would end the process, and with it requests that have
    arrived already.
    """

    def __init__(self) -> None:
        self._on_dump: Callable[[], None] = _ignore
        self._on_reload: Callable[[], None] = _ignore
        self._stop = Event()

    def __enter__(self) -> Self:
        """Install the handlers."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._request_stop)
        signal.signal(signal.SIGUSR1, self._request_dump)
        signal.signal(signal.SIGHUP, self._request_reload)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ignore further signals.

        The interpreter restores the default action of handlers, but not of ignored
        signals, some time before the process ends.
        """
        for number in _HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def attach(
        self, on_dump: Callable[[], None], on_reload: Callable[[], None]
    ) -> None:
        """Set the callbacks of the daemon, which run in tasks of their own.

        Parameters
        ----------
        on_dump : callable
            Runs on each SIGUSR1.
        on_reload : callable
            Runs on each SIGHUP.
        """
        self._on_dump = on_dump
        self._on_reload = on_reload

    def wait(self) -> None:
        """Block the calling task until a stop is requested."""
        self._stop.wait()

    def request_stop(self) -> None:
        """Request a stop from within the process; repeated calls have no effect."""
        if not self._stop.ready():
            self._stop.send()

    # A signal handler can interrupt any task between two instructions, so each one only
    # spawns a task on the eventlet hub.

    def _request_stop(self, number: int, frame: FrameType | None) -> None:
        eventlet.spawn_n(self._run_action, number, self.request_stop)

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        eventlet.spawn_n(self._run_action, number, self._on_reload)

    def _request_dump(self, number: int, frame: FrameType | None) -> None:
        eventlet.spawn_n(self._run_action, number, self._on_dump)

    def _run_action(self, number: int, action: Callable[[], None]) -> None:
        _LOGGER.info("signal_received", extra={"signal": signal.Signals(number).name})
        action()
