"""Incremental parser of one HTTP/1.1 answer, without I/O."""

import math
import re

import attrs
import h11

from chestnutvale.http_client.const import (
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    MAX_INTERIM_ANSWERS,
    MAX_PIECELESS_BYTES,
    MAX_PIECES_PER_STEP,
    MAX_STATUS,
    PARSED_BYTES,
)
from chestnutvale.http_client.exceptions import AnswerFormatError, AnswerLimitError

_BODYLESS_STATUSES = frozenset({204, 304})
# Status that h11 suggests if a head exceeds its limit.
_HEAD_TOO_LARGE = 431
_BLANK_LINE = re.compile(rb"\n\r?\n")
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
    """Parses the bytes of one answer, however they are divided into reads.

    Everything except the body is limited in size and number, so bytes without end raise
    an error. Interim answers (1xx) are skipped. A piece is an event of h11, such as a
    head or a chunk; one call parses a limited number of them, so that it ends soon
    whatever was received.

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
    pieces : int
        Number of pieces parsed so far.
    """

    def __init__(self, method: str) -> None:
        self.head: AnswerHead | None = None
        self.is_complete = False
        self.pieces = 0
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
        self._head_lines = 0
        self._interim_answers = 0
        # Bytes given to h11 since the last piece after the head.
        self._pieceless_bytes = 0
        self._unparsed = memoryview(b"")
        # Whether h11 may have another piece in the bytes that it was given.
        self._may_have_piece = False
        self._error: AnswerFormatError | None = None

    @property
    def has_unparsed(self) -> bool:
        """Whether `feed` goes on, or raises its error, without further bytes."""
        if self._error is not None:
            return True
        return not self.is_complete and (self._may_have_piece or bool(self._unparsed))

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes.

        Parameters
        ----------
        data : bytes
            Bytes as received; none to go on while `has_unparsed`.

        Returns
        -------
        bytes
            Bytes of the body, without transfer coding; there may be more while
            `has_unparsed`.

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
            self._unparsed = memoryview(
                bytes(self._unparsed) + data if self._unparsed else data
            )
        body = bytearray()
        try:
            self._parse_step(body)
        except AnswerFormatError as error:
            self._error = error
            has_new_head = self.head is not None and not had_head
            if not body and not has_new_head:
                raise
        return bytes(body)

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
        self._parse_pieces(bytearray())
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
        return rest + bytes(self._unparsed)

    def _parse_step(self, body: bytearray) -> None:
        """Parse a limited number of pieces; append bytes of the body to `body`."""
        max_pieces = self.pieces + MAX_PIECES_PER_STEP
        self._parse_pieces(body, max_pieces)
        while self._unparsed and not (self.is_complete or self._may_have_piece):
            self._give_bytes()
            self._parse_pieces(body, max_pieces)
        if self.head is None and self._head_bytes > MAX_HEAD_BYTES:
            raise AnswerLimitError("the head of the answer exceeds the size limit")

    def _give_bytes(self) -> None:
        """Give h11 its next bytes, within the limits on what completes no piece."""
        is_sized = self.head is not None and self.head.body_bytes is not None
        size = len(self._unparsed) if is_sized else PARSED_BYTES
        data = bytes(self._unparsed[:size])
        self._unparsed = self._unparsed[size:]
        if self.head is None:
            self._count_head(data)
        elif not is_sized:
            self._pieceless_bytes += len(data)
            if self._pieceless_bytes > MAX_PIECELESS_BYTES:
                raise AnswerLimitError("a part of the answer exceeds the size limit")
        self._connection.receive_data(data)
        self._may_have_piece = True

    def _count_head(self, data: bytes) -> None:
        self._head_bytes += len(data)
        end = _BLANK_LINE.search(data)
        self._head_lines += data.count(b"\n", 0, end.start() if end else len(data))
        if self._head_lines > MAX_HEAD_LINES:
            raise AnswerLimitError("the head of the answer has too many lines")
        if end:
            # What follows is the body, or the head after an interim answer.
            self._head_lines = 0

    def _parse_pieces(self, body: bytearray, max_pieces: float = math.inf) -> None:
        while not self.is_complete and self.pieces < max_pieces:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                is_too_large = error.error_status_hint == _HEAD_TOO_LARGE
                kind = AnswerLimitError if is_too_large else AnswerFormatError
                raise kind(f"invalid answer: {error}") from error
            if event is h11.NEED_DATA:
                self._may_have_piece = False
                return
            self.pieces += 1
            self._pieceless_bytes = 0
            self._handle_piece(event, body)

    def _handle_piece(self, event: h11.Event, body: bytearray) -> None:
        if isinstance(event, h11.Response):
            self.head = self._make_head(event)
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            self.is_complete = True
        elif isinstance(event, h11.InformationalResponse):
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise AnswerLimitError("too many interim answers")
        else:
            raise AnswerFormatError("the connection ended within the answer")

    def _make_head(self, response: h11.Response) -> AnswerHead:
        if not response.http_version.startswith(b"1."):
            raise AnswerFormatError("the answer has another version of HTTP")
        if response.status_code > MAX_STATUS:
            # h11 accepts three digits; RFC 9110, section 15, ends at 599.
            raise AnswerFormatError(f"invalid status {response.status_code}")
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
