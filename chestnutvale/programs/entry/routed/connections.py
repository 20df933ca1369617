"""Pool of keep-alive connections to endpoints, each with one request at a time."""

import contextlib
import io
from collections import deque
from typing import Any

import attrs
from eventlet import hubs
from eventlet.green import socket

from chestnutvale.clock import Clock
from chestnutvale.programs.entry.const import STEP_CONNECT
from chestnutvale.programs.entry.exceptions import EndpointUnreachableError
from chestnutvale.programs.entry.routed.const import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_PER_ENDPOINT,
    READ_BYTES,
    TCP_USER_TIMEOUT_MS,
)


class _RawSocketReader(io.RawIOBase):
    """Raw reader of a socket that raises an error on a connection reset.

    eventlet's sockets report a reset as end of file, so a truncated answer without a
    length would look complete. The reader of `socket.makefile` can't be used again
    after a timeout.
    """

    def __init__(self, sock: Any) -> None:
        super().__init__()
        self._sock = sock

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        while True:
            try:
                return self._sock.fd.recv_into(buffer)
            except (BlockingIOError, InterruptedError):
                timeout_s = self._sock.gettimeout()
                if timeout_s == 0.0:
                    return None
            hubs.trampoline(
                self._sock.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError
            )


class SharedReader:
    """A buffered reader that is shared by all answers on a connection.

    `HTTPResponse` closes its reader at the end of the answer. A reader per answer would
    lose the bytes that it had buffered beyond that end, and they would not be detected
    as unexpected data.

    Parameters
    ----------
    sock : GreenSocket
        The connection.
    """

    def __init__(self, sock: Any) -> None:
        self._file = io.BufferedReader(_RawSocketReader(sock), READ_BYTES)
        self.read = self._file.read
        self.read1 = self._file.read1
        self.readinto = self._file.readinto
        self.peek = self._file.peek
        self._last_line = b""

    def readline(self, limit_bytes: int = -1) -> bytes:
        """Read a line and store it for `is_at_end_of_head`.

        Parameters
        ----------
        limit_bytes : int, optional
            Maximum number of bytes to read; -1 for no limit.

        Returns
        -------
        bytes
            The line with its line ending, which is missing at the end of the connection
            or at the limit.
        """
        self._last_line = self._file.readline(limit_bytes)
        return self._last_line

    def is_at_end_of_head(self) -> bool:
        """Return whether the last line was blank; `HTTPResponse` also accepts EOF."""
        return self._last_line in (b"\r\n", b"\n")

    def flush(self) -> None:
        """Do nothing, because the reader writes no data."""

    def close(self) -> None:
        """Do nothing, because later answers use the reader too."""

    def makefile(self, mode: str) -> "SharedReader":
        """Return this reader; `HTTPResponse` calls `makefile` on its socket.

        Parameters
        ----------
        mode : str
            Ignored; the reader is always binary.

        Returns
        -------
        SharedReader
            The reader.
        """
        return self


@attrs.define(eq=False)
class PooledConnection:
    """A connection to an endpoint that can be kept for later requests.

    Attributes
    ----------
    address : str
        IP address and port of the endpoint.
    sock : GreenSocket
        The socket.
    reader : SharedReader
        Buffered reader of the socket.
    reusable_until_s : float
        Monotonic time in seconds until which the connection may be reused.
    requests : int
        Number of requests sent on the connection.
    """

    address: str
    sock: Any
    reader: SharedReader
    reusable_until_s: float = 0.0
    requests: int = 0

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread data.

        Unread data between two requests belongs to no request and would be taken for
        the next answer.

        Returns
        -------
        bool
            False if data is waiting or the endpoint has closed the connection.
        """
        self.sock.settimeout(0.0)
        try:
            if self.reader.peek(1):
                return False
            # An empty peek means either no data or the end of the connection.
            self.sock.fd.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except (OSError, ValueError):
            return False
        return False

    def close(self) -> None:
        """Close the connection, which cancels a request still running on it."""
        with contextlib.suppress(OSError):
            self.sock.close()


class ConnectionPool:
    """Holds the idle connections of an entry to its endpoints.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    opened_connections : int
        Number of connections opened.
    reused_requests : int
        Number of times that an idle connection was reused for a request.
    """

    def __init__(self, clock: Clock) -> None:
        self.opened_connections = 0
        self.reused_requests = 0
        self._clock = clock
        self._idle: dict[str, deque[PooledConnection]] = {}

    def acquire(self, address: str, timeout_s: float) -> PooledConnection:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        address : str
            IP address and port of the endpoint.
        timeout_s : float
            Connect timeout in seconds, capped at `CONNECT_TIMEOUT_S`.

        Returns
        -------
        PooledConnection
            The connection, for exclusive use by the caller.

        Raises
        ------
        EndpointUnreachableError
            If the connection could not be opened; nothing was sent.
        """
        idle = self._idle.get(address)
        now_s = self._clock.now_s()
        while idle:
            connection = idle.pop()
            if now_s < connection.reusable_until_s and connection.is_reusable():
                self.reused_requests += 1
                return connection
            connection.close()
        return self._open(address, timeout_s)

    def release(self, connection: PooledConnection, reusable_until_s: float) -> None:
        """Return a connection to the pool after its answer was read completely.

        It is closed if the pool has enough connections to the endpoint or if it may not
        be reused any more.

        Parameters
        ----------
        connection : PooledConnection
            The connection.
        reusable_until_s : float
            Monotonic time in seconds until which the connection may be reused.
        """
        idle = self._idle.setdefault(connection.address, deque())
        is_full = len(idle) >= MAX_IDLE_PER_ENDPOINT
        if is_full or reusable_until_s <= self._clock.now_s():
            connection.close()
            return
        connection.reusable_until_s = reusable_until_s
        idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def close_expired(self) -> None:
        """Close the idle connections that may not be reused any more."""
        now_s = self._clock.now_s()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and idle[0].reusable_until_s <= now_s:
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def _open(self, address: str, timeout_s: float) -> PooledConnection:
        host, _, port = address.rpartition(":")
        timeout_s = max(0.001, min(timeout_s, CONNECT_TIMEOUT_S))
        try:
            sock = socket.create_connection((host, int(port)), timeout_s)
        except (OSError, ValueError) as error:
            raise EndpointUnreachableError(
                str(error) or type(error).__name__, step=STEP_CONNECT, peer=address
            ) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.opened_connections += 1
        return PooledConnection(address, sock, SharedReader(sock))
