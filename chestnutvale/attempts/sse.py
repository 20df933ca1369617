"""Splits server-sent events of an engine without parsing their data."""

import re

import attrs

from chestnutvale.attempts.const import MAX_EVENT_BYTES
from chestnutvale.attempts.exceptions import StreamFormatError

STEP_STREAM = "stream"
_ID_FIELD = b"id:"
_EVENT_NUMBER = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_BLANK_LINE = b"\n\n"
_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Bytes of a blank line that may arrive before the rest of it.
_MAX_SPLIT_END_BYTES = 3
_DONE_FIELD = b"data: [DONE]"
_DATA_FIELD = b"data:"


@attrs.define
class StreamEvent:
    """One event of a stream.

    Attributes
    ----------
    attempt_id : bytes
        Attempt id in the event; empty for the end of the stream.
    first : int
        Offset of the event's first token in the complete answer.
    next : int
        Offset after the event's last token; equals `first` if it has no token.
    data : bytes
        The event as sent to callers: its data lines and the terminating empty line.
    is_done : bool
        Whether this is the end of the stream.
    """

    attempt_id: bytes
    first: int
    next: int
    data: bytes
    is_done: bool = False


class _EventBuffer:
    """Cuts a byte stream after blank lines and searches each byte once."""

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether no part of an event is buffered."""
        return not self._rest

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, with their blank lines."""
        if not self._rest and b"\r" not in chunk:
            *events, rest = chunk.split(_BLANK_LINE)
            events = [event + _BLANK_LINE for event in events]
            self._rest += rest
        else:
            events = self._append(chunk)
        if len(self._rest) > self._max_event_bytes or any(
            len(event) > self._max_event_bytes for event in events
        ):
            raise StreamFormatError("an event is too large", step=STEP_STREAM)
        return events

    def _append(self, chunk: bytes) -> list[bytes]:
        begin = max(0, len(self._rest) - _MAX_SPLIT_END_BYTES)
        self._rest += chunk
        events = []
        cut = 0
        for match in _EVENT_END.finditer(self._rest, begin):
            events.append(bytes(self._rest[cut : match.end()]))
            cut = match.end()
        del self._rest[:cut]
        return events


class EventSplitter:
    """Splits a byte stream into events, independent of chunk boundaries.

    Parameters
    ----------
    max_event_bytes : int, optional
        Maximum size of an event in bytes.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = _EventBuffer(max_event_bytes)
        # A carriage return that may be the first half of a CRLF.
        self._held = b""
        # Bytes of comments since the last event.
        self._comment_bytes = 0

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Process received bytes and return the events that they complete.

        Parameters
        ----------
        chunk : bytes
            Bytes as received.

        Returns
        -------
        list of StreamEvent
            Complete events in order, without comments.

        Raises
        ------
        StreamFormatError
            If an event is too large or has no valid id, or too many comments follow
            each other.
        """
        if self._held or b"\r" in chunk:
            chunk = self._normalise_line_ends(chunk)
        events = []
        for block in self._buffer.feed(chunk):
            event = self._parse(block[: -len(_BLANK_LINE)])
            if event is not None:
                self._comment_bytes = 0
                events.append(event)
                continue
            self._comment_bytes += len(block)
            if self._comment_bytes > self._max_event_bytes:
                raise StreamFormatError(
                    "the stream has only comments", step=STEP_STREAM
                )
        return events

    def _normalise_line_ends(self, chunk: bytes) -> bytes:
        chunk = self._held + chunk
        self._held = b"\r" if chunk.endswith(b"\r") else b""
        return chunk.removesuffix(b"\r").replace(b"\r\n", b"\n")

    def _parse(self, block: bytes) -> StreamEvent | None:
        if block.startswith(_ID_FIELD):
            return _parse_numbered(block)
        return _parse_other(block)


def _parse_numbered(block: bytes) -> StreamEvent:
    id_line, separator, data = block.partition(b"\n")
    try:
        attempt_id, first_text, next_text = id_line[len(_ID_FIELD) :].rsplit(b":", 2)
        first = int(first_text)
        following = int(next_text)
    except ValueError as error:
        raise StreamFormatError("an event has no valid id", step=STEP_STREAM) from error
    if not 0 <= first <= following or not data.startswith(_DATA_FIELD):
        raise StreamFormatError(
            "an event has an invalid token range or no data", step=STEP_STREAM
        )
    return StreamEvent(attempt_id.strip(), first, following, data + b"\n\n")


def _parse_other(block: bytes) -> StreamEvent | None:
    lines = [line for line in block.split(b"\n") if line and not line.startswith(b":")]
    if not lines:
        return None
    if lines == [_DONE_FIELD]:
        return StreamEvent(b"", 0, 0, _DONE_FIELD + b"\n\n", is_done=True)
    # A comment line may precede the lines of the event.
    if lines[0].startswith(_ID_FIELD):
        return _parse_numbered(b"\n".join(lines))
    raise StreamFormatError("an event has no id", step=STEP_STREAM)


class NumberedEventSplitter:
    """Splits a stream whose events carry strictly increasing numbers.

    Events are forwarded byte for byte. The number of the previous event serves as the
    offset at which an event starts, so an attempt that resumes an answer must start
    after the last event that the caller has received.

    Parameters
    ----------
    attempt_id : str
        Identity of the attempt that the stream belongs to.
    last_number : int, optional
        Number of the last event that the caller has received.
    max_event_bytes : int, optional
        Maximum size of an event in bytes.
    """

    def __init__(
        self,
        attempt_id: str,
        last_number: int = 0,
        max_event_bytes: int = MAX_EVENT_BYTES,
    ) -> None:
        self._attempt_id = attempt_id.encode()
        self._last_number = last_number
        self._buffer = _EventBuffer(max_event_bytes)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Process received bytes and return the events that they complete.

        Parameters
        ----------
        chunk : bytes
            Bytes as received.

        Returns
        -------
        list of StreamEvent
            Complete events in order.

        Raises
        ------
        StreamFormatError
            If an event is too large, or its number is missing or not greater than the
            previous one.
        """
        return [self._number(block) for block in self._buffer.feed(chunk)]

    def end(self) -> StreamEvent:
        """Return the end event of a stream that was closed by the endpoint.

        Returns
        -------
        StreamEvent
            End event, without data.

        Raises
        ------
        StreamFormatError
            If the stream ended in the middle of an event.
        """
        if not self._buffer.is_empty:
            raise StreamFormatError(
                "the stream ended in the middle of an event", step=STEP_STREAM
            )
        return StreamEvent(b"", 0, 0, b"", is_done=True)

    def _number(self, block: bytes) -> StreamEvent:
        match = _EVENT_NUMBER.search(block)
        if match is None:
            raise StreamFormatError("an event has no number", step=STEP_STREAM)
        number = int(match.group(1))
        if number <= self._last_number:
            raise StreamFormatError(
                "an event number is not greater than the previous one", step=STEP_STREAM
            )
        event = StreamEvent(self._attempt_id, self._last_number, number, block)
        self._last_number = number
        return event
