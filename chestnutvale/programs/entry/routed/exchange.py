"""One HTTP request to an endpoint and its answer, over a pooled connection."""

import contextlib
from collections.abc import Callable
from http import HTTPStatus
from http.client import HTTPException, HTTPResponse
from types import TracebackType
from typing import Any, Self

from eventlet.green import socket

from chestnutvale.clock import Clock
from chestnutvale.membership.endpoint_notices import EndpointNotice
from chestnutvale.programs.entry.const import STEP_RECEIVE, STEP_SEND
from chestnutvale.programs.entry.exceptions import (
    AnswerTooLargeError,
    EndpointBrokenError,
    EndpointRefusedError,
    EndpointSilentError,
    EndpointUnavailableError,
    EndpointUnreachableError,
)
from chestnutvale.programs.entry.response_body import join_body
from chestnutvale.programs.entry.routed.caller_protocol import (
    CallerProtocol,
    ForwardingInfo,
    Headers,
    RoutedRequest,
)
from chestnutvale.programs.entry.routed.connections import (
    ConnectionPool,
    PooledConnection,
)
from chestnutvale.programs.entry.routed.const import (
    DEFAULT_IDLE_TIMEOUT_S,
    IDLE_MARGIN_S,
    MAX_REFUSAL_BYTES,
    MAX_RETRY_AFTER_S,
    MAX_SKIPPED_ANSWERS,
    READ_BYTES,
)


class RoutedExchange:
    """Context manager that sends one request and reads its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that the connection comes from and returns to.
    protocol : CallerProtocol
        Translates headers.
    request : RoutedRequest
        The caller's request.
    address : str
        IP address and port of the endpoint.
    forwarding : ForwardingInfo
        Data for the endpoint; its `remaining_ms` is replaced when the request is sent.
    deadline_s : float
        Deadline of the call as monotonic time in seconds.
    clock : Clock
        Source of time.
    may_send : callable
        Tells whether the endpoint still takes requests; asked right before sending.
    on_notice : callable
        Gets what an answer says about the endpoint.

    Attributes
    ----------
    status : int
        HTTP status of the answer; 0 before its head has been read.
    headers : list of tuple of str
        Headers of the answer.
    reason : str
        Reason phrase of the answer's status line.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        protocol: CallerProtocol,
        request: RoutedRequest,
        address: str,
        forwarding: ForwardingInfo,
        deadline_s: float,
        clock: Clock,
        may_send: Callable[[], bool],
        on_notice: Callable[[EndpointNotice], None],
    ) -> None:
        self.address = address
        self.status = 0
        self.headers: Headers = []
        self.reason = ""
        self._pool = pool
        self._protocol = protocol
        self._request = request
        self._forwarding = forwarding
        self._deadline_s = deadline_s
        self._clock = clock
        self._may_send = may_send
        self._on_notice = on_notice
        self._connection: PooledConnection | None = None
        self._response: HTTPResponse | None = None
        # Unread bytes of the body; None if the answer has no Content-Length.
        self._remaining_bytes: int | None = None
        self._is_complete = False
        self._is_aborted = False

    def __enter__(self) -> Self:
        """Return the exchange; `connect` acquires its connection."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Return the connection to the pool after a complete answer, else close it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        can_reuse = (
            self._is_complete and not self._is_aborted and connection.is_reusable()
        )
        if can_reuse and not self._response.will_close:
            self._pool.release(connection, self._find_reusable_until_s())
            return
        connection.close()

    def connect(self, timeout_s: float) -> None:
        """Acquire a connection from the pool.

        Parameters
        ----------
        timeout_s : float
            Connect timeout in seconds.

        Raises
        ------
        EndpointUnavailableError
            If the endpoint leaves or pauses by now; nothing was sent.
        EndpointUnreachableError
            If the connection could not be opened or the exchange was aborted; nothing
            was sent.
        """
        self._connection = self._pool.acquire(self.address, timeout_s)
        # The call may have waited for the connection since the endpoint was chosen.
        if not self._may_send():
            raise EndpointUnavailableError(
                "the endpoint leaves or pauses", step="connect", peer=self.address
            )
        if self._is_aborted:
            raise EndpointUnreachableError(
                "the exchange was aborted", step="connect", peer=self.address
            )

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> None:
        """Send the request and wait for the head of its answer.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Request target: path and query.
        headers : dict of str to str
            Ignored; the headers are made from the caller's request and the remaining
            time.
        body : bytes
            Request body.
        timeout_s : float
            Timeout in seconds of each send and receive.

        Raises
        ------
        EndpointBrokenError
            If the connection failed or the answer is invalid; the endpoint may have run
            the request.
        EndpointRefusedError
            If the answer says that the endpoint did not run the request.
        EndpointSilentError
            If a send or receive timed out; the endpoint may have run the request.
        """
        connection = self._connection
        connection.requests += 1
        with self._translate_errors(STEP_SEND):
            connection.sock.settimeout(max(0.001, timeout_s))
            connection.sock.sendall(self._encode_head(method, target, body) + body)
            self._response = self._read_head(method)
        self.status = self._response.status
        self.reason = self._response.reason
        self._remaining_bytes = self._response.length
        self.headers = list(self._response.getheaders())
        if self._protocol.is_refusal(self.status, self.headers):
            self._raise_refusal()

    def read(self, timeout_s: float) -> bytes:
        """Return the available bytes of the body; wait if there are none.

        Parameters
        ----------
        timeout_s : float
            Time to wait in seconds.

        Returns
        -------
        bytes
            Bytes of the body; empty at its end.

        Raises
        ------
        EndpointBrokenError
            If the connection failed before the end of the body.
        EndpointSilentError
            If nothing arrived in time.
        """
        if self._response is None:
            raise self._make_broken_error(
                "no head of an answer was received", STEP_RECEIVE
            )
        if self._remaining_bytes == 0:
            self._is_complete = True
            return b""
        with self._translate_errors(STEP_RECEIVE):
            self._connection.sock.settimeout(max(0.001, timeout_s))
            data = self._read_chunk()
        if self._remaining_bytes:
            if not data:
                raise self._make_broken_error(
                    "the connection ended before the body was complete", STEP_RECEIVE
                )
            self._remaining_bytes -= len(data)
        elif not data:
            if self._is_aborted:
                raise self._make_broken_error("the exchange was aborted", STEP_RECEIVE)
            self._is_complete = True
        return data

    def _read_chunk(self) -> bytes:
        if self._remaining_bytes is None:
            return self._response.read1(READ_BYTES)
        # `HTTPResponse.read1` does not decrease `length`, so it can't be used for a
        # body with a Content-Length.
        return self._connection.reader.read1(min(READ_BYTES, self._remaining_bytes))

    def read_all(self, max_bytes: int) -> bytes:
        """Read the rest of the body.

        Parameters
        ----------
        max_bytes : int
            Maximum size of the body.

        Returns
        -------
        bytes
            The body.

        Raises
        ------
        AnswerTooLargeError
            If the body is larger than `max_bytes`.
        EndpointBrokenError
            If the connection failed before the end of the body.
        EndpointSilentError
            If nothing arrived before the call's deadline.
        """
        pieces = iter(lambda: self.read(self._remaining_s()), b"")
        return join_body(pieces, max_bytes, self.address)

    def abort(self) -> None:
        """Shut the connection down; a greenlet that waits for it gets an error."""
        self._is_aborted = True
        if self._connection is not None:
            with contextlib.suppress(OSError):
                self._connection.sock.shutdown(socket.SHUT_RDWR)

    def _remaining_s(self) -> float:
        return max(0.001, self._deadline_s - self._clock.now_s())

    def _encode_head(self, method: str, target: str, body: bytes) -> bytes:
        remaining_ms = round(self._remaining_s() * 1_000)
        forwarding = ForwardingInfo(
            self._forwarding.host_id,
            self._forwarding.workspace,
            remaining_ms,
            self._forwarding.last_event,
        )
        headers = self._protocol.make_endpoint_headers(self._request, forwarding)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method not in ("GET", "HEAD", "OPTIONS", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _read_head(self, method: str) -> HTTPResponse:
        """Read the head of this request's answer; skip late answers to earlier ones."""
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            response = HTTPResponse(self._connection.reader, method=method)
            response.begin()
            if not self._connection.reader.is_at_end_of_head():
                raise self._make_broken_error(
                    "the connection ended within the head of the answer", STEP_RECEIVE
                )
            headers = response.getheaders()
            self._report_notice(response.status, headers)
            answered = self._protocol.find_request_id(headers)
            if not answered or answered == self._request.request_id:
                self._check_signature(response.status, headers)
                return response
            response.read()
            if response.will_close:
                break
        raise self._make_broken_error(
            "received only answers to other requests", STEP_RECEIVE
        )

    def _report_notice(self, status: int, headers: Headers) -> None:
        notice = self._protocol.read_notice(status, headers)
        if not notice.is_empty:
            self._on_notice(notice)

    def _check_signature(self, status: int, headers: Headers) -> None:
        is_success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
        if not is_success or self._protocol.is_refusal(status, headers):
            return
        if not self._protocol.has_endpoint_signature(headers):
            raise self._make_broken_error(
                "a success status without the signature of an endpoint", STEP_RECEIVE
            )

    def _raise_refusal(self) -> None:
        retry_after_s = self._find_retry_after_s()
        try:
            self.read_all(MAX_REFUSAL_BYTES)
        except (AnswerTooLargeError, EndpointBrokenError, EndpointSilentError):
            # The head alone proves that the request did not run.
            self._is_complete = False
        raise EndpointRefusedError(
            f"the endpoint refused the request with status {self.status}",
            step=STEP_SEND,
            peer=self.address,
            retry_after_s=retry_after_s,
        )

    def _find_retry_after_s(self) -> float | None:
        pause_s = self._protocol.read_notice(self.status, self.headers).pause_s
        return None if pause_s is None else min(pause_s, MAX_RETRY_AFTER_S)

    def _find_reusable_until_s(self) -> float:
        idle_s = DEFAULT_IDLE_TIMEOUT_S
        for name, value in self.headers:
            if name.lower() == "keep-alive":
                idle_s = _parse_keep_alive_timeout_s(value, idle_s)
        return self._clock.now_s() + idle_s - IDLE_MARGIN_S

    def _make_broken_error(self, reason: str, step: str) -> EndpointBrokenError:
        return EndpointBrokenError(reason, step=step, peer=self.address)

    @contextlib.contextmanager
    def _translate_errors(self, step: str) -> Any:
        try:
            yield
        except TimeoutError as error:
            raise EndpointSilentError(
                "the send or receive timed out", step=step, peer=self.address
            ) from error
        except (HTTPException, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise self._make_broken_error(reason, step) from error


def _parse_keep_alive_timeout_s(value: str, default_s: float) -> float:
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdecimal():
            return float(number)
    return default_s
