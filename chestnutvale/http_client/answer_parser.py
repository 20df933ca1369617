"""Incremental parser of one HTTP/1.1 answer, without I/O."""

import attrs
import h11

from chestnutvale.http_client.const import MAX_HEAD_BYTES
from chestnutvale.http_client.exceptions import AnswerFormatError

_BODYLESS_STATUSES = frozenset({204, 304})
_HEAD_METHOD = "HEAD"
# h11 parses answers to requests that it has sent; only HEAD changes how.
_OTHER_METHOD = "GET"


@attrs.frozen
class AnswerHead:
    """Head of an answer.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase.
    headers : list of tuple of str
        Names and values in order.
    will_close : bool
        Whether the connection can't be used after the answer.
    body_bytes : int or None
        Size of the body in bytes; None if only its end will show it.
    is_delimited : bool
        Whether the answer itself marks its end, by a length or by chunks; otherwise it
        ends with the connection.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    will_close: bool
    body_bytes: int | None
    is_delimited: bool


class AnswerParser:
    """Parses the bytes of one answer in pieces of any size.

    Everything except the body is limited in size, so bytes without end raise an error.
    Interim answers (1xx) are skipped.

    Parameters
    ----------
    method : str
        Method of the request.

    Attributes
    ----------
    head : AnswerHead or None
        Head of the answer once it is complete.
    is_complete : bool
        Whether the end of the answer was reached.
    """

    def __init__(self, method: str) -> None:
        self.head: AnswerHead | None = None
        self.is_complete = False
        self._has_body = method != _HEAD_METHOD
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        request = h11.Request(
            method=_OTHER_METHOD if self._has_body else _HEAD_METHOD,
            target="/",
            headers=[("Host", "")],
        )
        self._connection.send(request)
        self._connection.send(h11.EndOfMessage())
        # Bytes received before the head was complete, with interim answers.
        self._head_bytes = 0
        self._error: AnswerFormatError | None = None

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes.

        Parameters
        ----------
        data : bytes
            Bytes as received.

        Returns
        -------
        bytes
            The bytes of the body in them, without transfer coding.

        Raises
        ------
        AnswerFormatError
            If the bytes are no valid answer. A complete head and bytes of the body
            before the fault are given first; the next call then raises the error.
        """
        if self._error is not None:
            raise self._error
        had_head = self.head is not None
        if data:
            self._connection.receive_data(data)
        parts: list[bytes] = []
        try:
            self._parse_events(parts)
            if self.head is None:
                self._check_head_size(len(data))
        except AnswerFormatError as error:
            self._error = error
            has_new_head = self.head is not None and not had_head
            if not any(parts) and not has_new_head:
                raise
        return b"".join(parts)

    def end(self) -> None:
        """Handle the end of the connection.

        Raises
        ------
        AnswerFormatError
            If the answer is incomplete.
        """
        if self._error is not None:
            raise self._error
        if self.is_complete:
            return
        # For h11, no bytes are the end of the connection.
        self._connection.receive_data(b"")
        self._parse_events([])
        if not self.is_complete:
            raise AnswerFormatError("the connection ended within the answer")

    def take_rest(self) -> bytes:
        """Return the bytes that follow the complete answer.

        Returns
        -------
        bytes
            The bytes; empty for none.
        """
        rest, _ = self._connection.trailing_data
        return rest

    def _parse_events(self, parts: list[bytes]) -> None:
        """Handle the events that are complete; append bytes of the body to `parts`."""
        while not self.is_complete:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerFormatError(f"invalid answer: {error}") from error
            if event is h11.NEED_DATA:
                return
            if isinstance(event, h11.Response):
                self.head = self._make_head(event)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.is_complete = True
            elif not isinstance(event, h11.InformationalResponse):
                raise AnswerFormatError("the connection ended within the answer")

    def _check_head_size(self, received_bytes: int) -> None:
        self._head_bytes += received_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            raise AnswerFormatError("the head of the answer exceeds the size limit")

    def _make_head(self, response: h11.Response) -> AnswerHead:
        if not response.http_version.startswith(b"1."):
            raise AnswerFormatError("the answer has another version of HTTP")
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers.raw_items()
        ]
        codings = _find_tokens(headers, "transfer-encoding")
        lengths = _find_tokens(headers, "content-length")
        is_bodyless = not self._has_body or response.status_code in _BODYLESS_STATUSES
        is_delimited = bool(is_bodyless or codings or lengths)
        body_bytes = None
        if is_bodyless:
            body_bytes = 0
        elif lengths and not codings:
            body_bytes = int(lengths[0])
        options = _find_tokens(headers, "connection")
        will_close = (
            not is_delimited
            or "close" in options
            or (response.http_version == b"1.0" and "keep-alive" not in options)
            or bool(codings and lengths)
        )
        return AnswerHead(
            response.status_code,
            response.reason.decode("latin-1"),
            headers,
            will_close,
            body_bytes,
            is_delimited,
        )


def _find_tokens(headers: list[tuple[str, str]], name: str) -> list[str]:
    """Return the comma-separated values of all headers with a name, in lower case."""
    return [
        token.strip().lower()
        for key, value in headers
        if key.lower() == name
        for token in value.split(",")
    ]
