"""Split an engine's server-sent events without reading their data."""

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
        Attempt that the event names; empty for the end of the stream.
    first : int
        Offset in tokens of the event's first token in the whole answer.
    next : int
        Offset in tokens after the event's last token.
    data : bytes
        The event as callers get it: its data lines and the empty line.
    is_done : bool
        Whether this is the end of the stream.
    """

    attempt_id: bytes
    first: int
    next: int
    data: bytes
    is_done: bool = False


class EventSplitter:
    """Cuts a byte stream into events, whatever its chunk boundaries.

    Parameters
    ----------
    max_event_bytes : int, optional
        Largest event that is held in memory.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that they complete.

        Parameters
        ----------
        chunk : bytes
            Bytes as received.

        Returns
        -------
        list of StreamEvent
            Whole events in their order; comments are left out.

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
    # A carriage return at the very end may be half of a line end.
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
        raise StreamFormatError("an event is not valid", step=STEP_STREAM)
    return StreamEvent(attempt_id.strip(), first, following, data + b"\n\n")


def _parse_other(block: bytes) -> StreamEvent | None:
    lines = [line for line in block.split(b"\n") if line and not line.startswith(b":")]
    if not lines:
        return None
    if lines == [_DONE_FIELD]:
        return StreamEvent(b"", 0, 0, _DONE_FIELD + b"\n\n", is_done=True)
    # A comment may stand on the line before the event's own lines.
    if lines[0].startswith(_ID_FIELD):
        return _parse_numbered(b"\n".join(lines))
    raise StreamFormatError("an event has no id", step=STEP_STREAM)


class NumberedEventSplitter:
    """Cuts a stream whose events carry one rising number each.

    An event is passed on byte for byte. The number of the event before it is the
    offset at which it begins, so that an attempt which continues an answer must begin
    behind what the caller has.

    Parameters
    ----------
    attempt_id : str
        The attempt whose stream it is.
    last_number : int, optional
        Number of the last event that the caller has.
    max_event_bytes : int, optional
        Largest event that is held in memory.
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
        """Take in bytes and return the events that they complete.

        Parameters
        ----------
        chunk : bytes
            Bytes as received.

        Returns
        -------
        list of StreamEvent
            Whole events in their order.

        Raises
        ------
        StreamFormatError
            If an event is too large, or its number is missing or does not rise.
        """
        buffer = self._rest + chunk if self._rest else chunk
        *blocks, self._rest = _split_events(buffer)
        if len(self._rest) > self._max_event_bytes:
            raise StreamFormatError("an event is too large", step=STEP_STREAM)
        return [self._number(block) for block in blocks]

    def end(self) -> StreamEvent:
        """Return the end of a stream whose last byte has arrived.

        Returns
        -------
        StreamEvent
            The end; it has no bytes of its own.

        Raises
        ------
        StreamFormatError
            If the stream ended within an event.
        """
        if self._rest:
            raise StreamFormatError("the stream ended in an event", step=STEP_STREAM)
        return StreamEvent(b"", 0, 0, b"", is_done=True)

    def _number(self, block: bytes) -> StreamEvent:
        match = _EVENT_NUMBER.search(block)
        if match is None:
            raise StreamFormatError("an event has no number", step=STEP_STREAM)
        number = int(match.group(1))
        if number <= self._last_number:
            raise StreamFormatError("an event's number is low", step=STEP_STREAM)
        event = StreamEvent(self._attempt_id, self._last_number, number, block)
        self._last_number = number
        return event


def _split_events(buffer: bytes) -> list[bytes]:
    """Return whole events with their empty line, and what follows the last one."""
    parts = []
    begin = 0
    for match in _EVENT_END.finditer(buffer):
        parts.append(buffer[begin : match.end()])
        begin = match.end()
    return [*parts, buffer[begin:]]
