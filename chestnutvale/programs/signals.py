"""Turn the signals of the operating system into one stop event and dumps."""

import signal
from collections.abc import Callable
from types import FrameType

import eventlet
import logbook
from eventlet.event import Event

_LOGGER = logbook.Logger(__name__)


class SignalHandler:
    """Waits for SIGTERM or SIGINT; calls functions on SIGUSR1 and SIGHUP.

    Parameters
    ----------
    on_dump : callable
        Called in a task of its own at each SIGUSR1.
    on_reload : callable, optional
        Called in a task of its own at each SIGHUP; without it, that signal ends the
        process as usual.
    """

    def __init__(
        self, on_dump: Callable[[], None], on_reload: Callable[[], None] | None = None
    ) -> None:
        self._on_dump = on_dump
        self._on_reload = on_reload
        self._stop = Event()

    def setup(self) -> None:
        """Install the handlers."""
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGINT, self._request_stop)
        signal.signal(signal.SIGUSR1, self._request_dump)
        if self._on_reload is not None:
            signal.signal(signal.SIGHUP, self._request_reload)

    def wait(self) -> None:
        """Block the calling task until a stop is asked for."""
        self._stop.wait()

    def request_stop(self) -> None:
        """Ask for the stop from inside the process; a second call does nothing."""
        if not self._stop.ready():
            self._stop.send()

    def _request_stop(self, number: int, frame: FrameType | None) -> None:
        # A handler runs between two instructions of any task, so the event is sent
        # from a task of the hub and not from here.
        eventlet.spawn_n(self.request_stop)

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        eventlet.spawn_n(self._on_reload)

    def _request_dump(self, number: int, frame: FrameType | None) -> None:
        eventlet.spawn_n(self._on_dump)
