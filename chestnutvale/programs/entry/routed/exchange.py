"""One HTTP request to an endpoint and its answer, over a pooled connection."""

import contextlib
from collections.abc import Callable
from http import HTTPStatus
from types import TracebackType
from typing import Self

import attrs

from chestnutvale.clock import Clock
from chestnutvale.http_client.answer_reader import AnswerReader
from chestnutvale.http_client.collected_body import CollectionBound
from chestnutvale.http_client.exceptions import (
    AnswerLimitError,
    BodyCutError,
    BodyTooLargeError,
)
from chestnutvale.http_client.request import encode_request
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
from chestnutvale.programs.entry.exchange_failures import translate_client_errors
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
    MAX_SKIPPED_BYTES,
    REFUSAL_BODY_TIMEOUT_S,
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
    boot_id : str, optional
        Run of the endpoint's host, to which the connection must belong.
    bound : CollectionBound, optional
        Bound on the memory of all bodies that are received as a whole.

    Attributes
    ----------
    status : int
        HTTP status of the answer; 0 before its head has been read.
    headers : list of tuple of str
        Headers of the answer.
    reason : str
        Reason phrase of the answer's status line.
    is_delimited : bool
        Whether the answer itself marks its end.
    is_awaiting_head : bool
        Whether the whole request was sent and no part of its answer was read, so that
        an interrupted wait can go on in `receive_head`.
    is_sent : bool
        Whether a part of the request may have been sent.
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
        boot_id: str = "",
        bound: CollectionBound | None = None,
    ) -> None:
        self.address = address
        self.status = 0
        self.headers: Headers = []
        self.reason = ""
        self.is_delimited = True
        self.is_awaiting_head = False
        self.is_sent = False
        self._pool = pool
        self._protocol = protocol
        self._request = request
        self._forwarding = forwarding
        self._deadline_s = deadline_s
        self._clock = clock
        self._may_send = may_send
        self._on_notice = on_notice
        self._boot_id = boot_id
        self._bound = bound
        self._connection: PooledConnection | None = None
        self._answer: AnswerReader | None = None
        # Monotonic time in seconds until which `read_all` may read.
        self._answer_deadline_s = deadline_s
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
        """Return the connection to the pool if no request runs on it, else close it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._can_reuse(connection):
            self._pool.release(connection, self._find_reusable_until_s(connection))
            return
        connection.close()

    def _can_reuse(self, connection: PooledConnection) -> bool:
        if not (self.is_sent or self._is_aborted):
            return connection.is_reusable()
        answer = self._answer
        if self._is_aborted or answer is None or not answer.is_complete:
            return False
        connection.unread = answer.take_rest()
        return not answer.head.will_close and connection.is_reusable()

    def connect(self, timeout_s: float) -> None:
        """Acquire a connection from the pool.

        Parameters
        ----------
        timeout_s : float
            Connect timeout in seconds.

        Raises
        ------
        EndpointUnavailableError
            If the endpoint leaves, pauses or is evacuated by now; nothing was sent.
        EndpointUnreachableError
            If the connection could not be opened or the exchange was aborted; nothing
            was sent.
        """
        self._connection = self._acquire_connection(timeout_s)
        # The call may have waited for the connection since the endpoint was chosen.
        if not self._may_send():
            raise EndpointUnavailableError(
                "the endpoint leaves, pauses or is in an evacuated data centre",
                step="connect",
                peer=self.address,
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
            Time in seconds for the whole request and the whole head of the answer. The
            call's deadline applies too.

        Raises
        ------
        EndpointBrokenError
            If the connection failed or the answer is invalid; the endpoint may have run
            the request.
        EndpointRefusedError
            If the answer says that the endpoint did not run the request.
        EndpointSilentError
            If there was no complete head in time; the endpoint may have run the
            request.
        """
        connection = self._connection
        connection.requests += 1
        self.is_sent = True
        deadline_s = min(self._deadline_s, self._clock.now_s() + timeout_s)
        with translate_client_errors(STEP_SEND, self.address):
            request = self._encode_request(method, target, body)
            connection.sock.send_all(request, deadline_s)
        self.receive_head(method, timeout_s)

    def receive_head(self, method: str, timeout_s: float) -> None:
        """Wait for the head of the answer to the request that was sent.

        Parameters
        ----------
        method : str
            HTTP method of the request.
        timeout_s : float
            Time in seconds for the whole head. The call's deadline applies too.

        Raises
        ------
        EndpointBrokenError
            If the connection failed or the answer is invalid; the endpoint may have run
            the request.
        EndpointRefusedError
            If the answer says that the endpoint did not run the request.
        EndpointSilentError
            If there was no complete head in time; the endpoint may have run the
            request.
        """
        deadline_s = min(self._deadline_s, self._clock.now_s() + timeout_s)
        self._answer_deadline_s = deadline_s
        with translate_client_errors(STEP_SEND, self.address):
            if not self._connection.unread:
                self.is_awaiting_head = True
                self._connection.sock.wait_for_bytes(deadline_s)
            self.is_awaiting_head = False
            self._answer = self._read_head(method, deadline_s)
        head = self._answer.head
        self.status = head.status
        self.reason = head.reason
        self.is_delimited = head.is_delimited
        self.headers = list(head.headers)
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
            If no bytes of the body arrived in time.
        """
        if self._answer is None:
            raise self._make_broken_error(
                "no head of an answer was received", STEP_RECEIVE
            )
        with translate_client_errors(STEP_RECEIVE, self.address):
            return self._answer.read(self._clock.now_s() + timeout_s)

    def is_readable(self) -> bool:
        """Return whether bytes or the end have arrived and were not read."""
        return self._answer is not None and self._answer.is_readable

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""
        return self._connection is not None and self._connection.sock.has_bytes()

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
            If the body is larger than `max_bytes` and its head says so.
        EndlessAnswerError
            If a body of unknown size exceeds `max_bytes` or the memory of the process,
            or comes in too many pieces to be read in time.
        EndpointBrokenError
            If the connection failed before the end of the body.
        EndpointSilentError
            If the body did not end before the call's deadline or the timeout of `send`.
        """
        with translate_client_errors(STEP_RECEIVE, self.address):
            try:
                return self._answer.read_all(
                    max_bytes, self._answer_deadline_s, self._bound
                )
            except (BodyTooLargeError, BodyCutError) as error:
                if self._answer.head.body_bytes is not None:
                    raise
                # The body may have no end, so this is a fault of the endpoint and no
                # property of the answer.
                raise AnswerLimitError(error.message) from error

    def abort(self) -> None:
        """Shut the connection down; a greenlet that waits for it gets an error."""
        self._is_aborted = True
        if self._connection is not None:
            self._connection.sock.shut_down()

    def _acquire_connection(self, timeout_s: float) -> PooledConnection:
        """Return a connection on which the endpoint has not refused this request.

        A faulty endpoint may repeat a refusal, which has the ID of this request.
        """
        while True:
            connection = self._pool.acquire(self.address, timeout_s, self._boot_id)
            refused_id = connection.refused_request_id
            if not refused_id or refused_id != self._request.request_id:
                return connection
            connection.close()

    def _encode_request(self, method: str, target: str, body: bytes) -> bytes:
        remaining_s = max(0.001, self._deadline_s - self._clock.now_s())
        remaining_ms = round(remaining_s * 1_000)
        forwarding = ForwardingInfo(
            self._forwarding.host_id,
            self._forwarding.workspace,
            remaining_ms,
            self._forwarding.last_event,
        )
        headers = self._protocol.make_endpoint_headers(self._request, forwarding)
        return encode_request(method, target, headers, body)

    def _read_head(self, method: str, deadline_s: float) -> AnswerReader:
        """Read the head of this request's answer; skip late answers to earlier ones."""
        connection = self._connection
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            answer = AnswerReader(
                connection.sock, method, self._clock, connection.unread
            )
            connection.unread = b""
            head = answer.read_head(deadline_s)
            self._report_notice(head.status, head.headers)
            answered = self._protocol.find_request_id(head.headers)
            if not answered or answered == self._request.request_id:
                self._check_signature(head.status, head.headers)
                self._check_refusal(head.status, head.headers, answered)
                return answer
            if head.will_close:
                break
            try:
                answer.read_all(MAX_SKIPPED_BYTES, deadline_s)
            except BodyTooLargeError as error:
                raise self._make_broken_error(error.message, STEP_RECEIVE) from error
            connection.unread = answer.take_rest()
        raise self._make_broken_error(
            "received only answers to other requests", STEP_RECEIVE
        )

    def _report_notice(self, status: int, headers: Headers) -> None:
        notice = self._protocol.read_notice(status, headers)
        if notice.is_misdirected:
            return
        if not self._protocol.is_refusal(status, headers):
            # The endpoint may have run the request. Its answer then tells the caller
            # when to come back, and not the entry that the endpoint is full.
            notice = attrs.evolve(notice, pause_s=None)
        self._on_notice(notice)

    def _check_signature(self, status: int, headers: Headers) -> None:
        is_success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
        if not is_success or self._protocol.is_refusal(status, headers):
            return
        if not self._protocol.has_endpoint_signature(headers):
            raise self._make_broken_error(
                "a success status without the signature of an endpoint", STEP_RECEIVE
            )

    def _check_refusal(self, status: int, headers: Headers, answered: str) -> None:
        """Raise an error for a refusal that may belong to an earlier request."""
        is_only_request = self._connection.requests == 1
        if (
            answered
            or is_only_request
            or not self._protocol.is_refusal(status, headers)
        ):
            return
        raise self._make_broken_error(
            "a refusal without the ID of the request on a reused connection",
            STEP_RECEIVE,
        )

    def _raise_refusal(self) -> None:
        self._connection.refused_request_id = self._request.request_id
        retry_after_s = self._find_retry_after_s()
        self._answer_deadline_s = min(
            self._answer_deadline_s, self._clock.now_s() + REFUSAL_BODY_TIMEOUT_S
        )
        # The head alone proves that the request did not run.
        with contextlib.suppress(
            AnswerTooLargeError, EndpointBrokenError, EndpointSilentError
        ):
            self.read_all(MAX_REFUSAL_BYTES)
        raise EndpointRefusedError(
            f"the endpoint refused the request with status {self.status}",
            step=STEP_SEND,
            peer=self.address,
            retry_after_s=retry_after_s,
        )

    def _find_retry_after_s(self) -> float | None:
        pause_s = self._protocol.read_notice(self.status, self.headers).pause_s
        return None if pause_s is None else min(pause_s, MAX_RETRY_AFTER_S)

    def _find_reusable_until_s(self, connection: PooledConnection) -> float:
        if connection.requests and not self.is_sent:
            # The idle time runs since the last answer, and not since this exchange.
            return connection.reusable_until_s
        idle_s = DEFAULT_IDLE_TIMEOUT_S
        for name, value in self.headers:
            if name.lower() == "keep-alive":
                idle_s = _parse_keep_alive_timeout_s(value, idle_s)
        return self._clock.now_s() + idle_s - IDLE_MARGIN_S

    def _make_broken_error(self, reason: str, step: str) -> EndpointBrokenError:
        return EndpointBrokenError(reason, step=step, peer=self.address)


def _parse_keep_alive_timeout_s(value: str, default_s: float) -> float:
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdecimal():
            return float(number)
    return default_s
