"""Splits server-sent events of an engine without parsing their data."""

import re

import attrs

from chestnutvale.attempts.const import MAX_EVENT_BYTES
from chestnutvale.attempts.exceptions import StreamFormatError

STEP_STREAM = "stream"
_ID_FIELD = b"id:"
_EVENT_NUMBER = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")
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


class EventSplitter:
    """Splits a byte stream into events, independent of chunk boundaries.

    Parameters
    ----------
    max_event_bytes : int, optional
        Maximum size of an event in bytes.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = b""

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
            If an event is too large, or has no valid id.
        """
        buffer = self._rest + chunk if self._rest else chunk
        if b"\r" in buffer:
            buffer = _normalise_line_ends(buffer)
        blocks = buffer.split(b"\n\n")
        self._rest = blocks.pop()
        if len(self._rest) > self._max_event_bytes:
            raise StreamFormatError("an event is too large", step=STEP_STREAM)
        return [event for event in map(self._parse, blocks) if event is not None]

    def _parse(self, block: bytes) -> StreamEvent | None:
        if len(block) > self._max_event_bytes:
            raise StreamFormatError("an event is too large", step=STEP_STREAM)
        if block.startswith(_ID_FIELD):
            return _parse_numbered(block)
        return _parse_other(block)


def _normalise_line_ends(buffer: bytes) -> bytes:
    # A trailing carriage return may be the first half of a CRLF.
    held = b"\r" if buffer.endswith(b"\r") else b""
    whole = buffer[: len(buffer) - len(held)]
    return whole.replace(b"\r\n", b"\n") + held


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
        self._max_event_bytes = max_event_bytes
        self._rest = b""

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
        buffer = self._rest + chunk if self._rest else chunk
        *blocks, self._rest = _split_events(buffer)
        if len(self._rest) > self._max_event_bytes:
            raise StreamFormatError("an event is too large", step=STEP_STREAM)
        return [self._number(block) for block in blocks]

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
        if self._rest:
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


def _split_events(buffer: bytes) -> list[bytes]:
    """Return the complete events, with terminators, and the incomplete rest."""
    parts = []
    begin = 0
    for match in _EVENT_END.finditer(buffer):
        parts.append(buffer[begin : match.end()])
        begin = match.end()
    return [*parts, buffer[begin:]]
