"""Pool of keep-alive connections to endpoints, each with one request at a time."""

from collections import deque
from collections.abc import Callable

import attrs
from eventlet.green import socket

from chestnutvale.clock import Clock
from chestnutvale.http_client.timed_socket import TimedSocket
from chestnutvale.programs.entry.const import STEP_CONNECT
from chestnutvale.programs.entry.exceptions import EndpointUnreachableError
from chestnutvale.programs.entry.routed.const import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_PER_ENDPOINT,
    TCP_USER_TIMEOUT_MS,
)


@attrs.define(eq=False)
class PooledConnection:
    """A connection to an endpoint that can be kept for later requests.

    Attributes
    ----------
    address : str
        IP address and port of the endpoint.
    sock : TimedSocket
        The socket.
    boot_id : str
        Run of the endpoint's host at which the connection was opened.
    unread : bytes
        Bytes that were received after the last answer.
    reusable_until_s : float
        Monotonic time in seconds until which the connection may be reused.
    requests : int
        Number of requests sent on the connection.
    refused_request_id : str
        ID of the last request that the endpoint refused on the connection; empty if
        there is none.
    """

    address: str
    sock: TimedSocket
    boot_id: str = ""
    unread: bytes = b""
    reusable_until_s: float = 0.0
    requests: int = 0
    refused_request_id: str = ""

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread data.

        Unread data between two requests belongs to no request and would be taken for
        the next answer.

        Returns
        -------
        bool
            False if data is waiting or the endpoint has closed the connection.
        """
        return not self.unread and self.sock.is_quiet()

    def close(self) -> None:
        """Close the connection, which cancels a request still running on it."""
        self.sock.close()


def _ignore_connect(address: str, is_open: bool) -> None:
    """Do nothing; for a pool whose owner does not judge its connections."""


class ConnectionPool:
    """Holds the idle connections of an entry to its endpoints.

    Designed for a hundred endpoints and a few calls per second. A call at each endpoint
    comes every ten seconds then, so that most connections are idle for longer than they
    are used.

    Parameters
    ----------
    clock : Clock
        Source of time.
    record_connect : callable, optional
        Gets the address of each new connection and whether it could be opened.

    Attributes
    ----------
    opened_connections : int
        Number of connections opened.
    reused_requests : int
        Number of times that an idle connection was reused for a request.
    """

    def __init__(
        self,
        clock: Clock,
        record_connect: Callable[[str, bool], None] = _ignore_connect,
    ) -> None:
        self.opened_connections = 0
        self.reused_requests = 0
        self._clock = clock
        self._record_connect = record_connect
        self._idle: dict[str, deque[PooledConnection]] = {}

    def acquire(
        self, address: str, timeout_s: float, boot_id: str = ""
    ) -> PooledConnection:
        """Return an idle connection, or open a new one.

        A connection to an earlier run of the host is closed: a host that lost its power
        has not ended its connections, and would reset them at the next request.

        Parameters
        ----------
        address : str
            IP address and port of the endpoint.
        timeout_s : float
            Connect timeout in seconds, capped at `CONNECT_TIMEOUT_S`.
        boot_id : str, optional
            Current run of the endpoint's host.

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
            is_valid = connection.boot_id == boot_id
            is_valid = is_valid and now_s < connection.reusable_until_s
            if is_valid and connection.is_reusable():
                self.reused_requests += 1
                return connection
            connection.close()
        return self._open(address, timeout_s, boot_id)

    def release(self, connection: PooledConnection, reusable_until_s: float) -> None:
        """Return a connection to the pool on which no request runs.

        It is closed if the pool has enough connections to the endpoint or if it may not
        be reused any more. The oldest is closed if the pool has too many in total.

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
        if sum(map(len, self._idle.values())) > MAX_IDLE_CONNECTIONS:
            self._close_oldest()

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

    def _close_oldest(self) -> None:
        idle = min(
            (idle for idle in self._idle.values() if idle),
            key=lambda idle: idle[0].reusable_until_s,
        )
        idle.popleft().close()

    def _open(self, address: str, timeout_s: float, boot_id: str) -> PooledConnection:
        timeout_s = max(0.001, min(timeout_s, CONNECT_TIMEOUT_S))
        try:
            sock = TimedSocket.open(address, timeout_s, self._clock)
        except (OSError, ValueError) as error:
            self._record_connect(address, False)
            raise EndpointUnreachableError(
                str(error) or type(error).__name__, step=STEP_CONNECT, peer=address
            ) from error
        sock.green_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.opened_connections += 1
        self._record_connect(address, True)
        return PooledConnection(address, sock, boot_id)
