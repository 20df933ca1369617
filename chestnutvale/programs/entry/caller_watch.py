"""Detects that a caller closed its connection while its call runs."""

import contextlib
import socket
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import eventlet
from eventlet.event import Event


class CallerWatch:
    """Watches the socket of a caller for disconnection; a context manager.

    The watch ends before the server reads the next request. If the caller sends
    further bytes meanwhile, the watch ends too, because they cannot be distinguished
    from a pipelined request; a disconnection then shows on the next write.

    Parameters
    ----------
    environ : dict
        The WSGI environment; its body must have been read.

    Attributes
    ----------
    is_disconnected : bool
        Whether the caller closed its connection.
    """

    def __init__(self, environ: dict[str, Any]) -> None:
        self.is_disconnected = False
        self._sock = _find_socket(environ)
        self._disconnect_event = Event()
        self._disconnect_callback: Callable[[], None] | None = None
        self._greenlet: eventlet.greenthread.GreenThread | None = None

    def __enter__(self) -> Self:
        """Start watching; a caller that has left already is noticed at once."""
        if self._sock is None:
            return self
        if self._has_left():
            self._record_disconnect()
        else:
            self._greenlet = eventlet.spawn(self._watch)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop watching."""
        self._disconnect_callback = None
        if self._greenlet is not None:
            self._greenlet.kill()

    def set_disconnect_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the callback that interrupts the step that the call waits for.

        Parameters
        ----------
        callback : callable or None
            Called once on disconnection; immediately if it has already happened.
        """
        self._disconnect_callback = callback
        if self.is_disconnected and callback is not None:
            callback()

    def wait(self, timeout_s: float) -> bool:
        """Sleep until the timeout or until the caller disconnects.

        Parameters
        ----------
        timeout_s : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the caller has disconnected.
        """
        if not self.is_disconnected:
            self._disconnect_event.wait(timeout=max(0.0, timeout_s))
        return self.is_disconnected

    def _watch(self) -> None:
        data = b""
        with contextlib.suppress(OSError):
            data = self._peek()
        if not data:
            self._record_disconnect()

    def _has_left(self) -> bool:
        try:
            return not self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _record_disconnect(self) -> None:
        self.is_disconnected = True
        self._disconnect_event.send(True)
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def _peek(self) -> bytes:
        while True:
            try:
                return self._sock.recv(1, socket.MSG_PEEK)
            except TimeoutError:
                # The socket's timeout is for idle connections and must not end a call.
                continue


def _find_socket(environ: dict[str, Any]) -> Any:
    get_socket = getattr(environ.get("eventlet.input"), "get_socket", None)
    return get_socket() if get_socket else None
