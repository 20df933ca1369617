"""HTTP connection: eventlet's protocol with a deadline on request heads."""

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
    """Shut down sending, then read and discard remaining input for a limited time.

    Closing a socket that has unread data resets the connection, and the client may
    lose an answer that it has not read yet.

    Parameters
    ----------
    connection : GreenSocket
        The connection; the caller closes it.
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
    """A writer that sends the data of each call immediately.

    The server writes the head or a chunk in a single call and then flushes, so a
    buffer would only add a copy.

    Parameters
    ----------
    connection : GreenSocket
        The connection to write to.
    """

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self.closed = False

    def write(self, data: bytes) -> int:
        """Send all of the data and return its length.

        Raises
        ------
        ClientGoneError
            If the client closed the connection.
        """
        self._send(data)
        return len(data)

    def writelines(self, parts: list[bytes]) -> None:
        """Join the byte strings and send them in one call."""
        self._send(parts[0] if len(parts) == 1 else b"".join(parts))

    def flush(self) -> None:
        """Do nothing, as no data is buffered."""

    def close(self) -> None:
        """Mark the writer as closed; the server closes the connection itself."""
        self.closed = True

    def _send(self, data: bytes) -> None:
        try:
            self._connection.sendall(data)
        except (BrokenPipeError, ConnectionResetError) as error:
            raise ClientGoneError(error.errno, error.strerror) from error


class LimitedProtocol(wsgi.HttpProtocol):
    """Reads the requests of one connection.

    The complete head of a request must arrive within ``server.socket_timeout`` seconds
    of the previous answer. The socket timeout alone restarts with every read.
    """

    def setup(self) -> None:
        """Disable Nagle's algorithm and replace the buffered writer."""
        self._head_timer: eventlet.Timeout | None = None
        self._linger_before_close = False
        super().setup()
        # Nagle's algorithm would hold back each token of a stream until the previous
        # one is acknowledged, and clients delay their acknowledgements.
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wfile = UnbufferedWriter(self.connection)

    def handle_one_request(self) -> None:
        """Read one request and answer it, with a deadline on its head."""
        self._head_timer = eventlet.Timeout(
            self.server.socket_timeout,
            TimeoutError("the request head did not arrive in time"),
        )
        try:
            super().handle_one_request()
        finally:
            self._head_timer.cancel()

    def get_environ(self) -> dict[str, Any]:
        """Stop the head timer and build the WSGI environment of the request.

        Returns
        -------
        dict
            The environment, with ``ENVIRON_CLOSE_CONNECTION`` set to a callable that
            closes the connection after the answer.
        """
        self._head_timer.cancel()
        environ = super().get_environ()
        source = environ["eventlet.input"]
        source.rfile = BoundedLineReader(source.rfile)
        source.discard = lambda: self._discard(source)
        environ[ENVIRON_CLOSE_CONNECTION] = self._close_after_answer
        return environ

    def finish(self) -> None:
        """Close the connection, after a lingering read if one was requested."""
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
