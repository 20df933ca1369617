"""The connections of a server that wait for their next request."""

import contextlib
from collections.abc import Iterator

import greenlet
from eventlet import hubs


class _WaitEnded(greenlet.GreenletExit):
    """Ends the wait of a connection; never leaves `IdleConnections.waiting`."""


class IdleConnections:
    """Ends the waits of idle connections when the server stops.

    The server must not shut their sockets down by itself: a request that has arrived
    but is not read yet would still run, and its answer could not be sent.

    Attributes
    ----------
    is_closing : bool
        Whether connections must not wait for requests any more.
    """

    def __init__(self) -> None:
        self.is_closing = False
        self._waiting: set[greenlet.greenlet] = set()

    def __len__(self) -> int:
        """Return the number of connections that wait for a request."""
        return len(self._waiting)

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Wait for a request within the context; `close` ends the context early."""
        current = greenlet.getcurrent()
        self._waiting.add(current)
        try:
            yield
        except _WaitEnded:
            return
        finally:
            self._waiting.discard(current)

    def close(self) -> None:
        """End all waits; returns before they have ended."""
        self.is_closing = True
        # Only the hub may switch to a greenlet that waits for it.
        hubs.get_hub().schedule_call_global(0, self._end_waits)

    def _end_waits(self) -> None:
        for waiting in tuple(self._waiting):
            if waiting in self._waiting:
                waiting.throw(_WaitEnded)
