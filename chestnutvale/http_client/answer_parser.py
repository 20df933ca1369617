"""Incremental parser of one HTTP/1.1 answer, without I/O."""

import re
from collections.abc import Callable

import attrs

from chestnutvale.http_client.const import (
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_TRAILER_BYTES,
)
from chestnutvale.http_client.exceptions import AnswerFormatError

_STATUS_LINE = re.compile(
    rb"HTTP/1\.([0-9])[ \t]+([1-9][0-9]{2})(?:[ \t]([^\x00-\x08\x0a-\x1f\x7f]*))?"
)
_HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r]*)?")
_LENGTH = re.compile(r"[0-9]{1,18}")
_SWITCHING_PROTOCOLS = 101
_BODYLESS_STATUSES = frozenset({204, 304})
# Both ends of the line of a chunk's end.
_CRLF_BYTES = 2


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

    Everything except the body is limited in size, and at most one line is buffered, so
    bytes without end raise an error. Interim answers (1xx) are skipped.

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
        self._method = method
        self._buffer = bytearray()
        # Bytes of the buffer that are known to hold no line end.
        self._scanned_bytes = 0
        # Bytes of lines that may still follow in the current part of the answer.
        self._line_allowance_bytes = MAX_HEAD_BYTES
        self._status = 0
        self._reason = ""
        self._version = 1
        self._headers: list[tuple[bytes, bytes]] = []
        # Unread bytes of the body or of its current chunk.
        self._remaining_bytes = 0
        self._parse_next: Callable[[], bytes | None] = self._parse_status_line
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
        self._buffer += data
        parts: list[bytes] = []
        try:
            while not self.is_complete:
                part = self._parse_next()
                if part is None:
                    break
                parts.append(part)
        except AnswerFormatError as error:
            self._error = error
            self._buffer.clear()
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
        if self._parse_next == self._parse_unsized_body:
            self.is_complete = True
        if not self.is_complete:
            part = "head" if self.head is None else "body"
            raise AnswerFormatError(
                f"the connection ended within the {part} of the answer"
            )

    def take_rest(self) -> bytes:
        """Remove and return the bytes that follow the complete answer.

        Returns
        -------
        bytes
            The bytes; empty for none.
        """
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    # Each parse method returns the bytes of the body that it consumed, or None if it
    # needs more bytes.

    def _parse_status_line(self) -> bytes | None:
        line = self._take_line()
        if line is None:
            return None
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise AnswerFormatError("the answer has no valid status line")
        self._version = int(match[1])
        self._status = int(match[2])
        self._reason = (match[3] or b"").strip().decode("latin-1")
        self._headers = []
        self._parse_next = self._parse_header
        return b""

    def _parse_header(self) -> bytes | None:
        line = self._take_line()
        if line is None:
            return None
        if not line:
            self._end_head()
            return b""
        if b"\r" in line or b"\x00" in line:
            raise AnswerFormatError("a header has control characters")
        if line[:1] in b" \t":
            self._continue_header(line)
            return b""
        name, colon, value = line.partition(b":")
        name = name.rstrip(b" \t")
        if not colon or _HEADER_NAME.fullmatch(name) is None:
            raise AnswerFormatError("a line of the head is no header")
        self._headers.append((name, value.strip(b" \t")))
        return b""

    def _continue_header(self, line: bytes) -> None:
        if not self._headers:
            raise AnswerFormatError("a line of the head is no header")
        name, value = self._headers[-1]
        self._headers[-1] = (name, value + b" " + line.strip(b" \t"))

    def _end_head(self) -> None:
        if self._status < 200:
            if self._status == _SWITCHING_PROTOCOLS:
                raise AnswerFormatError("the answer switches the protocol")
            self._parse_next = self._parse_status_line
            return
        headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in self._headers]
        codings = _find_tokens(headers, "transfer-encoding")
        lengths = set(_find_tokens(headers, "content-length"))
        will_close = self._is_last_on_connection(headers)
        body_bytes = None
        if self._method == "HEAD" or self._status in _BODYLESS_STATUSES:
            self.is_complete = True
            body_bytes = 0
        elif codings:
            if codings != ["chunked"]:
                raise AnswerFormatError("the answer has an unknown transfer coding")
            will_close = will_close or bool(lengths)
            self._begin_chunk()
        elif lengths:
            body_bytes = self._begin_sized_body(lengths)
        else:
            will_close = True
            self._parse_next = self._parse_unsized_body
        self.head = AnswerHead(
            self._status,
            self._reason,
            headers,
            will_close,
            body_bytes,
            is_delimited=self._parse_next != self._parse_unsized_body,
        )

    def _is_last_on_connection(self, headers: list[tuple[str, str]]) -> bool:
        options = _find_tokens(headers, "connection")
        if "close" in options:
            return True
        return self._version == 0 and "keep-alive" not in options

    def _begin_sized_body(self, lengths: set[str]) -> int:
        length = lengths.pop()
        if lengths or _LENGTH.fullmatch(length) is None:
            raise AnswerFormatError("the answer has no valid Content-Length")
        self._remaining_bytes = int(length)
        self.is_complete = self._remaining_bytes == 0
        self._parse_next = self._parse_sized_body
        return self._remaining_bytes

    def _parse_sized_body(self) -> bytes | None:
        data = self._take(self._remaining_bytes)
        self._remaining_bytes -= len(data)
        self.is_complete = self._remaining_bytes == 0
        return data or None

    def _parse_unsized_body(self) -> bytes | None:
        return self._take(len(self._buffer)) or None

    def _begin_chunk(self) -> None:
        self._line_allowance_bytes = MAX_CHUNK_LINE_BYTES
        self._parse_next = self._parse_chunk_size

    def _parse_chunk_size(self) -> bytes | None:
        line = self._take_line()
        if line is None:
            return None
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise AnswerFormatError("a chunk has no valid size")
        self._remaining_bytes = int(match[1], 16)
        if self._remaining_bytes:
            self._parse_next = self._parse_chunk_data
        else:
            self._line_allowance_bytes = MAX_TRAILER_BYTES
            self._parse_next = self._parse_trailer
        return b""

    def _parse_chunk_data(self) -> bytes | None:
        data = self._take(self._remaining_bytes)
        self._remaining_bytes -= len(data)
        if not self._remaining_bytes:
            self._line_allowance_bytes = _CRLF_BYTES
            self._parse_next = self._parse_chunk_end
        return data or None

    def _parse_chunk_end(self) -> bytes | None:
        line = self._take_line()
        if line is None:
            return None
        if line:
            raise AnswerFormatError("a chunk is longer than its size")
        self._begin_chunk()
        return b""

    def _parse_trailer(self) -> bytes | None:
        line = self._take_line()
        if line is None:
            return None
        self.is_complete = not line
        return b""

    def _take_line(self) -> bytes | None:
        """Remove a line from the buffer; return it without its end, None if cut."""
        end = self._buffer.find(b"\n", self._scanned_bytes)
        # A line that is still incomplete has one more byte at least.
        size_bytes = end + 1 if end >= 0 else len(self._buffer) + 1
        if size_bytes > self._line_allowance_bytes:
            raise AnswerFormatError("the framing of the answer exceeds the size limit")
        if end < 0:
            self._scanned_bytes = len(self._buffer)
            return None
        self._scanned_bytes = 0
        self._line_allowance_bytes -= size_bytes
        return self._take(size_bytes)[:-1].removesuffix(b"\r")

    def _take(self, max_bytes: int) -> bytes:
        data = bytes(self._buffer[:max_bytes])
        del self._buffer[:max_bytes]
        return data


def _find_tokens(headers: list[tuple[str, str]], name: str) -> list[str]:
    """Return the comma-separated values of all headers with a name, in lower case."""
    return [
        token.strip().lower()
        for key, value in headers
        if key.lower() == name
        for token in value.split(",")
    ]
