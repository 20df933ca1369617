"""One HTTP connection: eventlet's protocol with a deadline on request heads."""

from typing import Any

import eventlet
from eventlet import wsgi
from eventlet.green import socket

from chestnutvale.http_server.body import BoundedLineReader
from chestnutvale.http_server.const import (
    ENVIRON_CLOSE_CONNECTION,
    LINGER_READ_BYTES,
    LINGER_TIMEOUT_S,
    MAX_DISCARDED_BYTES,
    MAX_LINGER_BYTES,
)
from chestnutvale.http_server.exceptions import ClientGoneError


def linger_on_close(connection: Any) -> None:
    """End the answer and read what still comes, so that the client sees it whole.

    Closing a socket that holds unread data resets it, and the client may lose an
    answer that it has not read yet.

    Parameters
    ----------
    connection : GreenSocket
        The connection.
    """
    with eventlet.Timeout(LINGER_TIMEOUT_S, False):
        try:
            connection.shutdown(eventlet.green.socket.SHUT_WR)
            _discard_input(connection)
        except OSError:
            return


def _discard_input(connection: Any) -> None:
    remaining = MAX_LINGER_BYTES
    while remaining > 0:
        data = connection.recv(LINGER_READ_BYTES)
        if not data:
            return
        remaining -= len(data)


class UnbufferedWriter:
    """A writer that hands each call's bytes to the connection at once.

    The server writes the head or a chunk in one call and flushes it, so a buffer
    between would only copy.

    Parameters
    ----------
    connection : GreenSocket
        The connection.
    """

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self.closed = False

    def write(self, data: bytes) -> int:
        """Send some bytes and return their number."""
        self._send(data)
        return len(data)

    def writelines(self, parts: list[bytes]) -> None:
        """Send some byte strings together."""
        self._send(parts[0] if len(parts) == 1 else b"".join(parts))

    def flush(self) -> None:
        """Do nothing, as nothing is held."""

    def close(self) -> None:
        """Mark the writer as closed; the connection stays the server's to close."""
        self.closed = True

    def _send(self, data: bytes) -> None:
        try:
            self._connection.sendall(data)
        except (BrokenPipeError, ConnectionResetError) as error:
            raise ClientGoneError(error.errno, error.strerror) from error


class LimitedProtocol(wsgi.HttpProtocol):
    """Reads the requests of one connection.

    The whole head of a request must arrive within ``server.socket_timeout`` seconds
    of the last answer, however slowly its bytes come.
    """

    def setup(self) -> None:
        """Prepare the connection."""
        self._head_timer: eventlet.Timeout | None = None
        self._linger_before_close = False
        super().setup()
        # Nagle's algorithm would hold a token back until the one before it has been
        # acknowledged, which clients put off.
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wfile = UnbufferedWriter(self.connection)

    def handle_one_request(self) -> None:
        """Read one request and answer it."""
        self._head_timer = eventlet.Timeout(
            self.server.socket_timeout, TimeoutError("the request's head is too slow")
        )
        try:
            super().handle_one_request()
        finally:
            self._head_timer.cancel()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of a request whose head has arrived.

        Returns
        -------
        dict
            The environment.
        """
        self._head_timer.cancel()
        environ = super().get_environ()
        source = environ["eventlet.input"]
        source.rfile = BoundedLineReader(source.rfile)
        source.discard = lambda: self._discard(source)
        environ[ENVIRON_CLOSE_CONNECTION] = self._close_after_answer
        return environ

    def finish(self) -> None:
        """End the connection."""
        if self._linger_before_close:
            linger_on_close(self.connection)
        super().finish()

    def _close_after_answer(self) -> None:
        self.close_connection = True
        self._linger_before_close = True

    def _discard(self, source: wsgi.Input) -> None:
        remaining = MAX_DISCARDED_BYTES
        while remaining > 0:
            data = source.read(min(remaining, LINGER_READ_BYTES))
            if not data:
                return
            remaining -= len(data)
        self._close_after_answer()
