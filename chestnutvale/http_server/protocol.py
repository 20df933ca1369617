"""HTTP connection: eventlet's protocol with timeouts of its own."""

import contextlib
from collections import Counter
from typing import Any

import eventlet
import greenlet
import logbook
from eventlet import hubs, wsgi
from eventlet.green import socket

from chestnutvale.clock import Clock
from chestnutvale.http_server.answer_end import AnswerEnd, find_answer_end
from chestnutvale.http_server.answer_writer import AnswerWriter
from chestnutvale.http_server.body import BoundedLineReader
from chestnutvale.http_server.const import (
    ENDED_BY_CALLER,
    ENDED_BY_SERVER,
    ENVIRON_ANSWER_END,
    ENVIRON_CLOSE_CONNECTION,
    ENVIRON_REQUEST_TARGET,
    HEAD_RECHECK_INTERVAL_S,
    LINGER_READ_BYTES,
    LINGER_TIMEOUT_S,
    MAX_DISCARDED_BYTES,
    MAX_HEAD_LINE_BYTES,
    MAX_HEAD_LINES,
    MAX_LINGER_BYTES,
    OUTCOME_NOT_RUN,
    REASON_IDLE_TIMEOUT,
    REASON_INCOMPLETE_HEAD,
    REASON_STOP,
    REFUSED_HEAD_TOO_SLOW,
    REFUSED_HEADERS_TOO_LARGE,
    STEP_RECEIVE,
    STOP_REQUEST_GRACE_S,
)
from chestnutvale.http_server.exceptions import HttpRequestError
from chestnutvale.http_server.idle_connections import IdleConnections
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.http_server.problem import Problem
from chestnutvale.http_server.request_head import parse_request_head
from chestnutvale.http_server.running_requests import format_address
from chestnutvale.http_server.timeouts import ReadTimeouts

_LOGGER = logbook.Logger(__name__)

_SLOW_HEAD_PROBLEM = Problem(
    status=408,
    code=REFUSED_HEAD_TOO_SLOW,
    detail="the request head did not arrive in time",
    outcome=OUTCOME_NOT_RUN,
    step=STEP_RECEIVE,
)


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


class _HeadTimeoutError(BaseException):
    """Interrupts the read of a head; not an `Exception`, which the parser may catch."""


class LimitedProtocol(wsgi.HttpProtocol):
    """Reads the requests of one connection.

    A connection may be idle for one timeout; from the first byte of a request another
    timeout applies to its head. The socket timeout alone restarts with every read.

    Parameters
    ----------
    conn_state : list
        The record that eventlet keeps of the connection: address, socket and state.
    server : eventlet.wsgi.Server
        The server.
    read_timeouts : callable
        Returns the timeouts in force.
    clock : Clock
        Source of time.
    refused : Counter
        Counts the refused requests by reason.
    idle : IdleConnections
        The connections of the server that wait for a request.
    receiving : set of LimitedProtocol
        The connections of the server on which a head is arriving, or whose client has
        not accepted the whole answer yet.
    memory : MemoryBound
        Counts the unread parts of answers.
    answer_ends : Counter
        Counts the answers that ended early by who ended them.
    request_id_header : str
        Header by which callers name their requests; empty if applications name them.
    """

    def __init__(
        self,
        conn_state: list[Any],
        server: Any,
        read_timeouts: ReadTimeouts,
        clock: Clock,
        refused: Counter[str],
        idle: IdleConnections,
        receiving: "set[LimitedProtocol]",
        memory: MemoryBound,
        answer_ends: Counter[str],
        request_id_header: str,
    ) -> None:
        self._read_timeouts = read_timeouts
        self._clock = clock
        self._refused = refused
        self._idle = idle
        self._receiving = receiving
        self._memory = memory
        self._answer_ends = answer_ends
        self._request_id_header = request_id_header
        self._has_logged_end = False
        self._head_timer: Any = None
        self._linger_before_close = False
        self._has_served_request = False
        # Serves the connection until it closes.
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Disable Nagle's algorithm and replace the buffered writer."""
        super().setup()
        # Nagle's algorithm would hold back each token of a stream until the previous
        # one is acknowledged, and clients delay their acknowledgements.
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wfile = AnswerWriter(self.connection, self._memory)

    def handle(self) -> None:
        """Serve requests until the connection closes.

        Unlike eventlet's, this goes on when the server stops: a client whose answer
        began before has not been told that the connection closes, and may have sent its
        next request.
        """
        self.close_connection = False
        try:
            while not self.close_connection:
                self.handle_one_request()
        except greenlet.GreenletExit:
            self._log_close(ENDED_BY_SERVER, REASON_STOP)
            raise

    def handle_one_request(self) -> None:
        """Wait for a request, read its head within its timeout and answer it."""
        self._disable_socket_timeout()
        self.raw_requestline = b""
        if not self._wait_for_request():
            self.close_connection = True
            return
        self._start_head_timer(self._read_timeouts().head_s, greenlet.getcurrent())
        self._receiving.add(self)
        try:
            super().handle_one_request()
            self._log_long_request_line()
        except _HeadTimeoutError:
            self._refuse_slow_head()
        except OSError as error:
            # The answer handles its own errors.
            self._log_close(ENDED_BY_CALLER, REASON_INCOMPLETE_HEAD, str(error))
            self.close_connection = True
        finally:
            self._end_receiving()

    def _start_head_timer(self, timeout_s: float, reader: greenlet.greenlet) -> None:
        self._head_timer = hubs.get_hub().schedule_call_global(
            timeout_s, self._check_head, reader
        )

    def _check_head(self, reader: greenlet.greenlet) -> None:
        # After a pause of the process, timers fire before the bytes that arrived
        # during the pause are read.
        if self._has_unread_bytes():
            self._start_head_timer(HEAD_RECHECK_INTERVAL_S, reader)
            return
        reader.throw(_HeadTimeoutError)

    def _end_receiving(self) -> None:
        self._head_timer.cancel()
        self._receiving.discard(self)

    def _wait_for_request(self) -> bool:
        """Return whether bytes of a request have arrived before the idle timeout."""
        idle_since_s = self._clock.now_s()
        has_skipped_line = False
        while not self.rfile.closed:
            idle_until_s = idle_since_s + self._read_timeouts().idle_s
            remaining_s = idle_until_s - self._clock.now_s()
            if self._idle.is_closing:
                # Clients that already have an answer notice the close at once.
                is_new = not self._has_served_request
                grace_s = STOP_REQUEST_GRACE_S if is_new else 0.0
                return self._has_request_within(grace_s, REASON_STOP)
            if remaining_s <= 0:
                return self._has_request_within(0.0, REASON_IDLE_TIMEOUT)
            # The timeout may have been raised meanwhile, so it is read again.
            with self._idle.waiting(), eventlet.Timeout(remaining_s, False):
                if not self._wait_for_bytes():
                    return False
                if has_skipped_line or not self._skip_empty_line():
                    return True
                has_skipped_line = True
        return False

    def _has_request_within(self, timeout_s: float, reason: str) -> bool:
        """Return whether bytes of a request have arrived, or arrive within a time.

        Otherwise the connection ends for the reason.
        """
        self._receiving.add(self)
        try:
            with eventlet.Timeout(timeout_s, False):
                return self._wait_for_bytes()
        finally:
            self._receiving.discard(self)
        self._log_close(ENDED_BY_SERVER, reason)
        return False

    def _log_close(self, ended_by: str, reason: str, detail: str = "") -> None:
        """Log the end of a connection with no request whose head was read."""
        if self._has_logged_end:
            return
        self._has_logged_end = True
        _LOGGER.info(
            "connection_closed",
            extra={
                "client": format_address(self.client_address),
                "ended_by": ended_by,
                "reason": reason,
                "detail": detail,
            },
        )

    def _wait_for_bytes(self) -> bool:
        with contextlib.suppress(OSError):
            return bool(self.rfile.peek(1))
        return False

    def _skip_empty_line(self) -> bool:
        # Some clients send one after a body (RFC 9112, section 2.2).
        if not self.rfile.peek(1).startswith(b"\r\n"):
            return False
        self.rfile.read(2)
        return True

    def _has_unread_bytes(self) -> bool:
        with contextlib.suppress(OSError):
            return bool(
                self.connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            )
        return False

    def _refuse_slow_head(self) -> None:
        self._refused[REFUSED_HEAD_TOO_SLOW] += 1
        client = format_address(self.client_address)
        _LOGGER.info("slow_head", extra={"client": client})
        self._close_after_answer()
        self._write_problem(_SLOW_HEAD_PROBLEM)

    def _write_problem(self, problem: Problem) -> None:
        """Answer a request whose head was not parsed."""
        is_head = self.raw_requestline.startswith(b"HEAD ")
        self.wfile.write(problem.encode_response(has_body=not is_head))

    def _disable_socket_timeout(self) -> None:
        # A socket timeout within a read makes the buffered reader unusable.
        self.connection.settimeout(None)

    def parse_request(self) -> bool:
        """Parse the head of a request; only the head timer limits its time.

        The head is read by one parser, which refuses whatever is malformed. A second
        reading, by other rules, could find another request in the same bytes.

        Returns
        -------
        bool
            Whether the head is whole and valid.
        """
        self._disable_socket_timeout()
        try:
            lines = self._read_head_lines()
            if not lines:
                # The end of the connection is no end of the head.
                self._log_close(ENDED_BY_CALLER, REASON_INCOMPLETE_HEAD)
                self.close_connection = True
                return False
            head = parse_request_head(lines)
        except HttpRequestError as error:
            self._refuse_head(error)
            return False
        except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
            # eventlet answers these itself.
            self._log_refused_head("the head is too large")
            raise
        self.command = head.method
        self.path = head.target
        self.request_version = head.version
        self.requestline = f"{head.method} {head.target} {head.version}"
        self.headers = self.MessageClass()
        for name, value in head.headers:
            self.headers[name] = value
        self.close_connection = head.will_close
        return not head.expects_continue or self.handle_expect_100()

    def _read_head_lines(self) -> list[bytes]:
        """Read the lines up to the empty one; empty if the connection ends before."""
        lines = [self.raw_requestline]
        while lines[-1] not in (b"\r\n", b"\n"):
            if len(lines) >= MAX_HEAD_LINES or len(lines[-1]) >= MAX_HEAD_LINE_BYTES:
                raise HttpRequestError(
                    431, REFUSED_HEADERS_TOO_LARGE, "the head is too large"
                )
            if not lines[-1].endswith(b"\n"):
                return []
            lines.append(self.rfile.readline(MAX_HEAD_LINE_BYTES))
        return lines

    def _refuse_head(self, error: HttpRequestError) -> None:
        self._refused[error.reason] += 1
        self._log_refused_head(error.message)
        problem = Problem(
            status=error.status,
            code=error.reason,
            detail=error.message,
            outcome=OUTCOME_NOT_RUN,
            step=error.step,
        )
        self._close_after_answer()
        self._write_problem(problem)

    def _log_long_request_line(self) -> None:
        # eventlet answers it itself.
        if len(self.raw_requestline) >= self.server.url_length_limit:
            self._log_refused_head("the request line is too long")

    def _log_refused_head(self, reason: str) -> None:
        client = format_address(self.client_address)
        _LOGGER.info("head_refused", extra={"client": client, "reason": reason})

    def get_environ(self) -> dict[str, Any]:
        """Stop the head timer and build the WSGI environment of the request.

        Returns
        -------
        dict
            The environment, with ``ENVIRON_CLOSE_CONNECTION`` set to a callable that
            closes the connection after the answer, and ``ENVIRON_ANSWER_END`` to the
            record of how the answer ends.
        """
        self._end_receiving()
        self._has_served_request = True
        self.connection.settimeout(self.server.socket_timeout)
        environ = super().get_environ()
        source = environ["eventlet.input"]
        source.rfile = BoundedLineReader(source.rfile)
        source.discard = lambda: self._discard(source)
        environ[ENVIRON_CLOSE_CONNECTION] = self._close_after_answer
        environ[ENVIRON_REQUEST_TARGET] = self.path
        environ[ENVIRON_ANSWER_END] = AnswerEnd(
            request_id=self.headers.get(self._request_id_header, ""),
            client=format_address(self.client_address),
            started_s=self._clock.now_s(),
        )
        return environ

    def handle_one_response(self) -> None:
        """Answer the request and wait until the client has accepted the answer."""
        end = find_answer_end(self.environ)
        sent_before_bytes = self.wfile.sent_bytes
        try:
            super().handle_one_response()
            self._drain_answer()
        except Exception as error:
            end.record_error(error)
            self.close_connection = True
            _LOGGER.exception("Request failed after its answer")
        except greenlet.GreenletExit:
            end.record(ENDED_BY_SERVER, REASON_STOP, "cut at the end of the stop")
            end.is_broken_off = True
            raise
        finally:
            if self.wfile.error is not None:
                end.record_write_error(self.wfile.error)
            if end.is_broken_off and self.request_version == "HTTP/1.0":
                # An orderly end of the connection would be that of the whole answer.
                self.wfile.reset_at_close()
            if end.ended_by:
                self._log_early_end(end, self.wfile.sent_bytes - sent_before_bytes)

    def _drain_answer(self) -> None:
        self._receiving.add(self)
        try:
            self.wfile.drain()
        except OSError:
            # The writer keeps the error.
            self.close_connection = True
        finally:
            self._receiving.discard(self)

    def _log_early_end(self, end: AnswerEnd, sent_bytes: int) -> None:
        self._has_logged_end = True
        self._answer_ends[end.ended_by] += 1
        _LOGGER.info(
            "answer_ended_early",
            extra=end.log_fields(sent_bytes, self._clock.now_s()),
        )

    def finish(self) -> None:
        """Close the connection, after a lingering read if one was requested."""
        self.wfile.close()
        if self.wfile.must_reset:
            # The shutdown that follows would let the client take a part of an answer
            # without a length for the whole; a closed socket resets instead.
            self.rfile.close()
            self.connection.close()
        if self._linger_before_close:
            linger_on_close(self.connection)
        super().finish()

    def _close_after_answer(self) -> None:
        self.close_connection = True
        self._linger_before_close = True

    def _discard(self, source: wsgi.Input) -> None:
        remaining = MAX_DISCARDED_BYTES
        while remaining > 0:
            try:
                data = source.read(min(remaining, LINGER_READ_BYTES))
            except HttpRequestError as error:
                # The answer was sent; the rest can't be told from a next request.
                _LOGGER.debug("Unread body of {}: {}", self.client_address, error)
                break
            if not data:
                return
            remaining -= len(data)
        self._close_after_answer()
