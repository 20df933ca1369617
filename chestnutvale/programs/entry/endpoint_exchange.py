"""Sends one HTTP request to an endpoint, in steps that can fail separately."""

import contextlib
from http.client import HTTPException
from types import TracebackType
from typing import Self

import urllib3
from eventlet.green import socket
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from chestnutvale.programs.entry.const import STEP_CONNECT, STEP_RECEIVE, STEP_SEND
from chestnutvale.programs.entry.exceptions import (
    EndpointBrokenError,
    EndpointSilentError,
    EndpointUnreachableError,
)
from chestnutvale.programs.entry.response_body import join_body
from chestnutvale.programs.entry.stream_reader import StreamReader

CONNECT_TIMEOUT_S = 2.0


class _GreenConnection(HTTPConnection):
    """A connection that yields to other greenlets without global patching."""

    def _new_conn(self) -> socket.socket:
        sock = socket.create_connection((self.host, self.port), self.timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


class _StreamConnection(_GreenConnection):
    """Requests HTTP/1.0, so that a stream arrives without chunked encoding.

    The end marker of the protocol distinguishes a complete stream from a broken one,
    so decoding chunks would be needless work.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


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

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    headers : list of tuple of str
        Headers of the answer.
    """

    def __init__(self, address: str, *, is_stream: bool = False) -> None:
        self.address = address
        self._is_stream = is_stream
        self._reader: StreamReader | None = None
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self._connection: HTTPConnection | None = None
        # Kept because urllib3 drops its reference once the end of the answer closes it.
        self._sock: socket.socket | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
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
        if self._reader is not None:
            self._reader.close()
        if self._response is not None:
            self._response.close()
        if self._connection is not None:
            self._connection.close()

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
        host, _, port = self.address.rpartition(":")
        timeout_s = max(0.001, min(timeout_s, CONNECT_TIMEOUT_S))
        try:
            connection_class = (
                _StreamConnection if self._is_stream else _GreenConnection
            )
            self._connection = connection_class(host, int(port), timeout=timeout_s)
            self._connection.connect()
            self._sock = self._connection.sock
        except (HTTPError, OSError, ValueError) as error:
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
            Time to wait for each byte in seconds.

        Raises
        ------
        EndpointBrokenError
            If the connection broke; bytes may have been sent.
        EndpointSilentError
            If no answer began in time.
        """
        connection = self._connection
        connection.timeout = max(0.001, timeout_s)
        self.set_timeout(timeout_s)
        try:
            connection.request(
                method,
                target,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
            self._response = connection.getresponse()
        except TimeoutError as error:
            raise EndpointSilentError(
                "no answer began before the timeout", step=STEP_SEND, peer=self.address
            ) from error
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            raise EndpointBrokenError(
                str(error) or type(error).__name__, step=STEP_SEND, peer=self.address
            ) from error
        self.status = self._response.status
        self.headers = list(self._response.headers.items())

    def begin_stream(self) -> None:
        """Read the rest of the answer with `read_stream` from now on.

        An answer with chunked encoding or a content length is read through urllib3.

        Raises
        ------
        EndpointBrokenError
            If the connection broke.
        """
        names = {name.lower() for name, _ in self.headers}
        if not self._is_stream or names & {"transfer-encoding", "content-length"}:
            return
        self._sock.settimeout(0.0)
        # Bytes that urllib3 has read beyond the headers belong to the stream.
        try:
            buffered = self._response._fp.fp.peek()
            self._reader = StreamReader(self._sock, bytes(buffered), self.address)
        except OSError as error:
            raise EndpointBrokenError(
                str(error) or type(error).__name__,
                step=STEP_RECEIVE,
                peer=self.address,
            ) from error

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
        if self._reader is not None:
            return self._reader.read(timeout_s)
        self.set_timeout(timeout_s)
        return self.read()

    def set_timeout(self, timeout_s: float) -> None:
        """Set the time to wait for the next byte.

        Parameters
        ----------
        timeout_s : float
            Time in seconds.
        """
        # Not contextlib.suppress, for speed: this runs for each piece of a stream.
        try:  # noqa: SIM105
            self._sock.settimeout(max(0.001, timeout_s))
        except OSError:
            # If the socket was closed meanwhile, the next read fails.
            pass

    def read(self) -> bytes:
        """Read the available bytes of the body, or wait for some.

        Returns
        -------
        bytes
            Bytes of the body; empty at its end.

        Raises
        ------
        EndpointBrokenError
            If the connection broke before the end of the body.
        EndpointSilentError
            If nothing arrived in time.
        """
        try:
            return self._response.read1()
        except (urllib3.exceptions.ReadTimeoutError, TimeoutError) as error:
            raise EndpointSilentError(
                "no bytes arrived before the timeout",
                step=STEP_RECEIVE,
                peer=self.address,
            ) from error
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            raise EndpointBrokenError(
                str(error) or type(error).__name__,
                step=STEP_RECEIVE,
                peer=self.address,
            ) from error

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
            If the connection broke.
        EndpointSilentError
            If nothing arrived in time.
        """
        return join_body(iter(self.read, b""), max_bytes, self.address)

    def abort(self) -> None:
        """Shut the connection down from another greenlet; the reader gets an error."""
        self._is_aborted = True
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
