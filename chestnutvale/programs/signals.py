"""Handle the signals for stopping, dumping state and reloading."""

import signal
from collections.abc import Callable
from types import FrameType

import eventlet
import logbook
from eventlet.event import Event

_LOGGER = logbook.Logger(__name__)


class SignalHandler:
    """Stops on SIGTERM or SIGINT; runs callbacks on SIGUSR1 and SIGHUP.

    Parameters
    ----------
    on_dump : callable
        Runs in a task of its own on each SIGUSR1.
    on_reload : callable, optional
        Runs in a task of its own on each SIGHUP; without it, the signal terminates
        the process, which is its default action.
    """

    def __init__(
        self, on_dump: Callable[[], None], on_reload: Callable[[], None] | None = None
    ) -> None:
        self._on_dump = on_dump
        self._on_reload = on_reload
        self._stop = Event()

    def setup(self) -> None:
        """Install the handlers; must run in the main thread."""
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGINT, self._request_stop)
        signal.signal(signal.SIGUSR1, self._request_dump)
        if self._on_reload is not None:
            signal.signal(signal.SIGHUP, self._request_reload)

    def wait(self) -> None:
        """Block the calling task until a stop is requested."""
        self._stop.wait()

    def request_stop(self) -> None:
        """Request a stop from within the process; repeated calls have no effect."""
        if not self._stop.ready():
            self._stop.send()

    def _request_stop(self, number: int, frame: FrameType | None) -> None:
        # A signal handler can interrupt any task between two instructions, so the event
        # is sent from a new task on the eventlet hub.
        eventlet.spawn_n(self.request_stop)

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        eventlet.spawn_n(self._on_reload)

    def _request_dump(self, number: int, frame: FrameType | None) -> None:
        eventlet.spawn_n(self._on_dump)
