"""Green threads for a server's connections, limited in number."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import eventlet
import logbook
from eventlet import wsgi
from eventlet.greenthread import GreenThread

from chestnutvale.http_server.const import (
    ENDED_BY_SERVER,
    MAX_LINGERING_CONNECTIONS,
    OUTCOME_NOT_RUN,
    OVERLOAD_RETRY_AFTER_S,
    REFUSED_TOO_MANY_CONNECTIONS,
    STEP_RECEIVE,
)
from chestnutvale.http_server.problem import Problem
from chestnutvale.http_server.protocol import linger_on_close
from chestnutvale.http_server.running_requests import format_address

_LOGGER = logbook.Logger(__name__)

_OVERLOAD_PROBLEM = Problem(
    status=503,
    code=REFUSED_TOO_MANY_CONNECTIONS,
    detail="too many connections are open",
    outcome=OUTCOME_NOT_RUN,
    step=STEP_RECEIVE,
    retry_after_s=OVERLOAD_RETRY_AFTER_S,
)


class ConnectionPool:
    """Runs one green thread per connection and refuses connections over the limit.

    Implements the pool methods that `eventlet.wsgi.server` calls.

    Parameters
    ----------
    max_connections : int
        Maximum number of concurrent connections.

    Attributes
    ----------
    refused : Counter
        Number of refused connections by reason.
    """

    def __init__(self, max_connections: int) -> None:
        self.refused: Counter[str] = Counter()
        self._max_connections = max_connections
        self._tasks: set[GreenThread] = set()
        self._lingering_count = 0
        self._overload_response = _OVERLOAD_PROBLEM.encode_response()

    def __len__(self) -> int:
        """Return the number of connections being served."""
        return len(self._tasks)

    def spawn(self, serve: Callable[[Any], None], connection: Any) -> GreenThread:
        """Start serving a connection, or refuse it with 503 over the limit.

        Parameters
        ----------
        serve : callable
            Called with the connection; serves it until it closes.
        connection : list
            The record that eventlet keeps: address, socket and state.

        Returns
        -------
        GreenThread
            The thread that serves or refuses the connection.
        """
        if len(self._tasks) >= self._max_connections:
            self.refused[REFUSED_TOO_MANY_CONNECTIONS] += 1
            _LOGGER.info(
                "connection_refused",
                extra={
                    "client": format_address(connection[0]),
                    "reason": REFUSED_TOO_MANY_CONNECTIONS,
                },
            )
            return eventlet.spawn(self._refuse, connection[1])
        # eventlet shuts down the connections that are marked as idle when it stops.
        connection[2] = wsgi.STATE_REQUEST
        task = eventlet.spawn(self._serve, serve, connection)
        self._tasks.add(task)
        task.link(self._tasks.discard)
        return task

    def waitall(self) -> None:
        """Return immediately; `HttpServer.stop` waits with a deadline instead."""

    def kill_all(self) -> None:
        """Kill the threads of all connections still open."""
        for task in tuple(self._tasks):
            task.kill()

    def _serve(self, serve: Callable[[Any], None], connection: Any) -> None:
        try:
            serve(connection)
        except Exception as error:
            # A failed connection must not affect the server or other connections.
            _LOGGER.warning(
                "connection_failed",
                extra={
                    "client": format_address(connection[0]),
                    "ended_by": ENDED_BY_SERVER,
                    "reason": repr(error),
                },
            )

    def _refuse(self, client: Any) -> None:
        if self._lingering_count >= MAX_LINGERING_CONNECTIONS:
            return
        self._lingering_count += 1
        try:
            client.sendall(self._overload_response)
            linger_on_close(client)
        except OSError as error:
            _LOGGER.debug("Refused client closed its connection early: {!r}", error)
        finally:
            self._lingering_count -= 1
