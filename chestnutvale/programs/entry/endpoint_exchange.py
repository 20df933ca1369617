"""Sends one HTTP request to an endpoint, in steps that can fail separately."""

from types import TracebackType
from typing import Self

from chestnutvale.clock import Clock, SystemClock
from chestnutvale.http_client.answer_reader import AnswerReader
from chestnutvale.http_client.collected_body import CollectionBound
from chestnutvale.http_client.request import encode_request
from chestnutvale.http_client.timed_socket import TimedSocket
from chestnutvale.programs.entry.const import STEP_CONNECT, STEP_RECEIVE, STEP_SEND
from chestnutvale.programs.entry.exceptions import EndpointUnreachableError
from chestnutvale.programs.entry.exchange_failures import translate_client_errors
from chestnutvale.programs.entry.stream_reader import StreamReader

CONNECT_TIMEOUT_S = 2.0
# Streams are requested with HTTP/1.0, so that they arrive without chunked encoding. The
# end marker of the protocol distinguishes a complete stream from a broken one, so
# decoding chunks would be needless work.
STREAM_HTTP_VERSION = "HTTP/1.0"
DEFAULT_HTTP_VERSION = "HTTP/1.1"


class EndpointExchange:
    """Owns the connection of one attempt; a context manager.

    Connecting, sending and receiving are separate steps, because a failure to
    connect proves that the endpoint did not run the call. Requests are not retried
    or redirected, and connections are not reused: if a reused connection was closed
    by the peer, it would be unknown whether the call ran.

    Parameters
    ----------
    address : str
        IP address and port of the endpoint.
    is_stream : bool, optional
        Whether the answer is an event stream with its own end marker.
    clock : Clock, optional
        Source of time.
    bound : CollectionBound, optional
        Bound on the memory of all bodies that are received as a whole.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    headers : list of tuple of str
        Headers of the answer.
    is_sent : bool
        Whether a part of the request may have been sent.
    """

    def __init__(
        self,
        address: str,
        *,
        is_stream: bool = False,
        clock: Clock | None = None,
        bound: CollectionBound | None = None,
    ) -> None:
        self.address = address
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.is_sent = False
        self._is_stream = is_stream
        self._clock = clock or SystemClock()
        self._bound = bound
        self._sock: TimedSocket | None = None
        self._answer: AnswerReader | None = None
        self._stream_reader: StreamReader | None = None
        # Monotonic time in seconds until which `read_all` may read.
        self._answer_deadline_s = 0.0
        self._is_aborted = False

    def __enter__(self) -> Self:
        """Return the exchange; `connect` opens the connection."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection; the endpoint then cancels an unfinished request."""
        if self._stream_reader is not None:
            self._stream_reader.close()
        if self._sock is not None:
            self._sock.close()

    def connect(self, timeout_s: float) -> None:
        """Open the connection.

        Parameters
        ----------
        timeout_s : float
            Timeout in seconds; limited to `CONNECT_TIMEOUT_S`.

        Raises
        ------
        EndpointUnreachableError
            If no connection was made; no byte was sent.
        """
        timeout_s = max(0.001, min(timeout_s, CONNECT_TIMEOUT_S))
        try:
            self._sock = TimedSocket.open(self.address, timeout_s, self._clock)
        except (OSError, ValueError) as error:
            raise EndpointUnreachableError(
                str(error), step=STEP_CONNECT, peer=self.address
            ) from error
        if self._is_aborted:
            raise EndpointUnreachableError(
                "the attempt was aborted while connecting",
                step=STEP_CONNECT,
                peer=self.address,
            )

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> None:
        """Send the request and wait for the head of the answer.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path and query.
        headers : dict of str to str
            Request headers.
        body : bytes
            Request body.
        timeout_s : float
            Time in seconds for the whole request and the whole head of the answer, and
            for its body too if `read_all` reads it.

        Raises
        ------
        EndpointBrokenError
            If the connection broke or the answer is invalid; bytes may have been sent.
        EndpointSilentError
            If there was no complete head in time.
        """
        self.is_sent = True
        deadline_s = self._clock.now_s() + timeout_s
        self._answer_deadline_s = deadline_s
        with translate_client_errors(STEP_SEND, self.address):
            request = encode_request(
                method,
                target,
                self._complete_headers(headers).items(),
                body,
                STREAM_HTTP_VERSION if self._is_stream else DEFAULT_HTTP_VERSION,
            )
            self._sock.send_all(request, deadline_s)
            answer = AnswerReader(self._sock, method, self._clock)
            head = answer.read_head(deadline_s)
        self._answer = answer
        self.status = head.status
        self.headers = head.headers

    def _complete_headers(self, headers: dict[str, str]) -> dict[str, str]:
        names = {name.lower() for name in headers}
        defaults = {"Host": self.address, "Accept-Encoding": "identity"}
        added = {n: v for n, v in defaults.items() if n.lower() not in names}
        return added | headers

    def begin_stream(self) -> None:
        """Read the rest of the answer with `read_stream` from now on.

        An answer with chunked encoding or a content length is read through its parser.
        """
        names = {name.lower() for name, _ in self.headers}
        if not self._is_stream or names & {"transfer-encoding", "content-length"}:
            return
        self._stream_reader = StreamReader(
            self._sock.green_socket, self._answer.take_unread_body(), self.address
        )

    def read_stream(self, timeout_s: float) -> bytes:
        """Read the available bytes of a stream, or wait for some.

        Parameters
        ----------
        timeout_s : float
            Time to wait in seconds.

        Returns
        -------
        bytes
            Bytes of the stream; empty at its end.

        Raises
        ------
        EndpointBrokenError
            If the connection broke.
        EndpointSilentError
            If nothing arrived in time.
        """
        if self._stream_reader is not None:
            return self._stream_reader.read(timeout_s)
        with translate_client_errors(STEP_RECEIVE, self.address):
            return self._answer.read(self._clock.now_s() + timeout_s)

    def is_readable(self) -> bool:
        """Return whether bytes or the end have arrived and were not read."""
        if self._stream_reader is not None:
            return self._stream_reader.is_readable
        return self._answer is not None and self._answer.is_readable

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of a stream have arrived that were not read yet."""
        if self._stream_reader is not None:
            return self._stream_reader.has_bytes
        return self._sock is not None and self._sock.has_bytes()

    def read_all(self, max_bytes: int) -> bytes:
        """Read the rest of the body.

        Parameters
        ----------
        max_bytes : int
            Maximum size of the body in bytes.

        Returns
        -------
        bytes
            The body.

        Raises
        ------
        AnswerTooLargeError
            If the body is larger than `max_bytes`.
        EndpointBrokenError
            If the connection broke or the answer is invalid.
        EndpointSilentError
            If the body did not end before the timeout of `send`.
        """
        with translate_client_errors(STEP_RECEIVE, self.address):
            return self._answer.read_all(
                max_bytes, self._answer_deadline_s, self._bound
            )

    def abort(self) -> None:
        """Shut the connection down from another greenlet; the reader gets an error."""
        self._is_aborted = True
        if self._sock is not None:
            self._sock.shut_down()
