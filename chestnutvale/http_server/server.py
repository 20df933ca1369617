"""HTTP server of the daemons, built on eventlet's WSGI server."""

import functools
import sys
from collections import Counter
from types import TracebackType
from typing import Any, Self

import eventlet
import logbook
from eventlet import wsgi

from chestnutvale.clock import Clock, SystemClock
from chestnutvale.http_server.connections import ConnectionPool
from chestnutvale.http_server.const import (
    BACKLOG_CONNECTIONS,
    MINIMUM_CHUNK_BYTES,
    STOP_ANSWER_MARGIN_S,
    STOP_POLL_INTERVAL_S,
)
from chestnutvale.http_server.exceptions import (
    AnswerBrokenError,
    AnswerCutError,
    AnswerNotReadError,
    ClientGoneError,
    HttpListenError,
)
from chestnutvale.http_server.idle_connections import IdleConnections
from chestnutvale.http_server.limits import RequestLimitsMiddleware, WsgiApp
from chestnutvale.http_server.listener import ListeningSocket
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.http_server.protocol import LimitedProtocol
from chestnutvale.http_server.timeouts import ConnectionTimeouts, ReadTimeouts
from chestnutvale.schema.settings_pb2 import HttpLimits

_LOGGER = logbook.Logger(__name__)

# Errors that end an answer and are no fault of the application.
_EXPECTED_ENDS = (
    AnswerBrokenError,
    AnswerCutError,
    AnswerNotReadError,
    ClientGoneError,
)


class _WsgiLogAdapter:
    """Forwards eventlet's log lines; drops access lines, which are empty."""

    def info(self, message: str, *arguments: Any) -> None:
        if not message.startswith("Traceback"):
            return
        # eventlet logs an error while it handles it; `answer_ended_early` names these.
        error = sys.exc_info()[1]
        if isinstance(error, _EXPECTED_ENDS):
            _LOGGER.debug("A client closed its connection, or an answer was cut")
            return
        _LOGGER.error("Request failed: {}", message)

    def debug(self, message: str, *arguments: Any) -> None:
        _LOGGER.debug("{}", message)

    def error(self, message: str, *arguments: Any) -> None:
        _LOGGER.debug("{}", message)


class HttpServer:
    """Serves a WSGI application on one address; a context manager.

    Leaving the context stops the server immediately. For a graceful shutdown, call
    `begin_drain` while the load balancer still sends requests, then `stop` with a
    deadline.

    Parameters
    ----------
    app : WSGI application
        The application to serve.
    address : str
        IP address and port to listen on.
    limits : HttpLimits
        Limits on body size, header size, connections and idle time.
    clock : Clock, optional
        Source of time.
    read_timeouts : callable, optional
        Returns the timeouts of idle connections and request heads in force; those of
        `limits` by default.
    memory : MemoryBound, optional
        Bound on the memory of requests and answers, shared by the servers of a process;
        none by default.
    request_id_header : str, optional
        Header by which callers name their requests, for the log; by default the
        application names them in the record of `find_answer_end`.

    Attributes
    ----------
    answer_ends : Counter
        Number of answers that ended early, by who ended them.
    """

    def __init__(
        self,
        app: WsgiApp,
        address: str,
        limits: HttpLimits,
        clock: Clock | None = None,
        read_timeouts: ReadTimeouts | None = None,
        memory: MemoryBound | None = None,
        request_id_header: str = "",
    ) -> None:
        self.address = address
        self.answer_ends: Counter[str] = Counter()
        self._request_id_header = request_id_header
        self._limits = limits
        self._clock = clock or SystemClock()
        settings_timeouts = ConnectionTimeouts.from_limits(limits)
        self._read_timeouts = read_timeouts or (lambda: settings_timeouts)
        self._refused_heads: Counter[str] = Counter()
        self._idle = IdleConnections()
        self._receiving: set[LimitedProtocol] = set()
        self._memory = memory or MemoryBound()
        self._app = RequestLimitsMiddleware(app, limits, self._clock, self._memory)
        self._connections = ConnectionPool(limits.max_connections)
        self._socket: ListeningSocket | None = None
        self._task: eventlet.greenthread.GreenThread | None = None

    @property
    def running_requests(self) -> int:
        """Number of requests whose answer is not complete."""
        return len(self._app.running)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def refused(self) -> Counter[str]:
        """Number of refused requests and connections by reason."""
        return self._app.refused + self._connections.refused + self._refused_heads

    def __enter__(self) -> Self:
        """Listen and start accepting connections.

        Raises
        ------
        HttpListenError
            If the address can't be listened on.
        """
        host, _, port = self.address.rpartition(":")
        host = host.strip("[]")
        family = (
            eventlet.green.socket.AF_INET6
            if ":" in host
            else eventlet.green.socket.AF_INET
        )
        try:
            # With SO_REUSEPORT a second process with the same settings would start as
            # well and go unnoticed.
            listener = eventlet.listen(
                (host, int(port)),
                family=family,
                backlog=BACKLOG_CONNECTIONS,
                reuse_port=False,
            )
        except OSError as error:
            raise HttpListenError(
                f"cannot listen: {error}", step="listen", peer=self.address
            ) from error
        self._socket = ListeningSocket(listener, self.address)
        self._task = eventlet.spawn(self._serve_connections)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop without waiting for running requests."""
        self.stop(self._clock.now_s())

    def begin_drain(self) -> None:
        """Close each connection after its next answer; new ones are still accepted."""
        self._app.draining = True

    def stop(self, deadline_s: float) -> int:
        """Stop accepting, wait for running requests and close all connections.

        A repeated call has no effect.

        Shortly before the deadline, requests whose answers have not begun are answered
        with an error; answers that have begun are cut at the deadline.

        Parameters
        ----------
        deadline_s : float
            Monotonic time in seconds at which requests still running are aborted.

        Returns
        -------
        int
            Number of requests that were ended so.
        """
        if self._task is None:
            return 0
        self.begin_drain()
        _LOGGER.info("server_stopping", extra=self._log_fields())
        # Accepts the connections that wait for it; closing the listener would reset
        # them. The hub reads its sockets between two timers.
        eventlet.sleep(0)
        eventlet.sleep(0)
        self._task.kill()
        self._task = None
        self._idle.close()
        # The requests that have arrived on idle connections are read now.
        eventlet.sleep(0)
        self._wait_for_requests(deadline_s - STOP_ANSWER_MARGIN_S)
        interrupted_requests = self._app.running.interrupt_unanswered()
        self._wait_for_requests(deadline_s)
        cut_requests = self.running_requests
        if interrupted_requests or cut_requests:
            _LOGGER.warning(
                "Shutdown deadline reached on {}: {} requests had no answer, and {} "
                "were cut",
                self.address,
                interrupted_requests,
                cut_requests,
            )
        self._app.running.log_all()
        _LOGGER.info("server_stopped", extra=self._log_fields())
        self._connections.kill_all()
        return interrupted_requests + cut_requests

    def _log_fields(self) -> dict[str, Any]:
        return {
            "address": self.address,
            "connections": self.open_connections,
            "idle": len(self._idle),
            "receiving": len(self._receiving),
            "running": self.running_requests,
        }

    def _wait_for_requests(self, until_s: float) -> None:
        while self._has_requests() and self._clock.now_s() < until_s:
            eventlet.sleep(STOP_POLL_INTERVAL_S)

    def _has_requests(self) -> bool:
        return bool(self._receiving or self.running_requests)

    def _serve_connections(self) -> None:
        wsgi.server(
            self._socket,
            self._app,
            log=_WsgiLogAdapter(),
            log_format="",
            protocol=functools.partial(
                LimitedProtocol,
                read_timeouts=self._read_timeouts,
                clock=self._clock,
                refused=self._refused_heads,
                idle=self._idle,
                receiving=self._receiving,
                memory=self._memory,
                answer_ends=self.answer_ends,
                request_id_header=self._request_id_header,
            ),
            custom_pool=self._connections,
            minimum_chunk_size=MINIMUM_CHUNK_BYTES,
            socket_timeout=self._limits.idle_timeout_ms / 1000,
            keepalive=True,
            debug=False,
        )
