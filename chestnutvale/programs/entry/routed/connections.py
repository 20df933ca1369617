"""Kept connections to endpoints, one request at a time on each."""

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
    """The bytes of a socket, where a reset is an error and no end.

    eventlet's sockets give the end of the connection for a reset too, and an answer
    that ends with its connection would look whole. The library's reader can't be used
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
    """A buffered reader that outlives the answers read from it.

    The library closes the reader of an answer at its end, and what it had buffered
    beyond that would be lost: bytes that belong to no request.

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
        """Read a line and remember it.

        Parameters
        ----------
        limit_bytes : int, optional
            Most bytes to take.

        Returns
        -------
        bytes
            The line with its end; without one at the end of the connection.
        """
        self._last_line = self._file.readline(limit_bytes)
        return self._last_line

    def is_at_end_of_head(self) -> bool:
        """Tell whether the last line ends a head; the library takes EOF for one."""
        return self._last_line in (b"\r\n", b"\n")

    def flush(self) -> None:
        """Do nothing, as nothing is written."""

    def close(self) -> None:
        """Do nothing: the connection goes on."""

    def makefile(self, mode: str) -> "SharedReader":
        """Return itself, as the library asks a socket for its reader.

        Parameters
        ----------
        mode : str
            Ignored; the reader reads bytes.

        Returns
        -------
        SharedReader
            The reader.
        """
        return self


@attrs.define(eq=False)
class PooledConnection:
    """A connection to an endpoint.

    Attributes
    ----------
    address : str
        IP number and port of the endpoint.
    sock : GreenSocket
        The connection.
    reader : SharedReader
        Reads from it.
    reusable_until_s : float
        Monotonic time up to which it may be used again.
    requests : int
        Requests that were sent on it.
    """

    address: str
    sock: Any
    reader: SharedReader
    reusable_until_s: float = 0.0
    requests: int = 0

    def is_reusable(self) -> bool:
        """Tell whether nothing has arrived that belongs to no request.

        Returns
        -------
        bool
            False also if the endpoint has closed the connection.
        """
        self.sock.settimeout(0.0)
        try:
            if self.reader.peek(1):
                return False
            # An empty buffer may also mean the end of the connection.
            self.sock.fd.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except (OSError, ValueError):
            return False
        return False

    def close(self) -> None:
        """Close the connection, which cancels what the endpoint runs on it."""
        with contextlib.suppress(OSError):
            self.sock.close()


class ConnectionPool:
    """Owns the idle connections of an entry.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    opened_connections : int
        Connections that were opened.
    reused_requests : int
        Requests that went over a kept connection.
    """

    def __init__(self, clock: Clock) -> None:
        self.opened_connections = 0
        self.reused_requests = 0
        self._clock = clock
        self._idle: dict[str, deque[PooledConnection]] = {}

    def acquire(self, address: str, timeout_s: float) -> PooledConnection:
        """Return a kept connection, or open one.

        Parameters
        ----------
        address : str
            IP number and port of the endpoint.
        timeout_s : float
            Time to wait in seconds; at most `CONNECT_TIMEOUT_S` is used.

        Returns
        -------
        PooledConnection
            The connection; nobody else uses it.

        Raises
        ------
        EndpointUnreachableError
            If no connection was made; no byte was sent.
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
        """Keep a connection whose answer was read whole.

        Parameters
        ----------
        connection : PooledConnection
            The connection.
        reusable_until_s : float
            Monotonic time up to which it may be used again.
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
        """Close the connections whose time is over."""
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
