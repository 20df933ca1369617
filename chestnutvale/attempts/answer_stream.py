"""Assembles an answer from the event streams of several attempts."""

from collections.abc import Iterable

from chestnutvale.attempts.const import MAX_HELD_EVENTS, MAX_RESUME_BYTES
from chestnutvale.attempts.sse import StreamEvent


class AnswerStream:
    """Delivers each token of an answer exactly once and in order.

    Events of other attempts and events with tokens already delivered are dropped. An
    event that arrives ahead of a gap is buffered until the gap is filled.

    Parameters
    ----------
    max_resume_bytes : int, optional
        Maximum number of delivered bytes kept for a resume.
    first_offset : int, optional
        Offset up to which the caller has received the answer in an earlier call.
    has_closing_event : bool, optional
        Whether an event without a token must precede the end of the stream.

    Attributes
    ----------
    next_offset : int
        Offset of the next token to deliver.
    is_whole : bool
        Whether the end of the answer was delivered.
    dropped_events : int
        Number of late, duplicate or foreign events.
    """

    def __init__(
        self,
        max_resume_bytes: int = MAX_RESUME_BYTES,
        first_offset: int = 0,
        *,
        has_closing_event: bool = True,
    ) -> None:
        self._has_closing_event = has_closing_event
        self.next_offset = first_offset
        self.is_whole = False
        self.dropped_events = 0
        self._attempt_id = b""
        self._held: dict[int, StreamEvent] = {}
        # Set by the closing event, which carries no token.
        self._is_closed = False
        self._delivered_parts: list[bytes] = []
        self._kept_bytes = 0
        self._max_resume_bytes = max_resume_bytes

    @property
    def has_delivered(self) -> bool:
        """Whether any byte was delivered."""
        return self._kept_bytes > 0

    @property
    def can_resume(self) -> bool:
        """Whether all delivered bytes were kept."""
        return self._kept_bytes <= self._max_resume_bytes

    @property
    def buffered_events(self) -> tuple[StreamEvent, ...]:
        """Events of the attempt that arrived ahead of a gap."""
        return tuple(self._held.values())

    def delivered(self) -> bytes:
        """Return all delivered events, if they were kept."""
        return b"".join(self._delivered_parts)

    def begin_attempt(
        self, attempt_id: str, buffered_events: Iterable[StreamEvent] = ()
    ) -> None:
        """Accept only events of this attempt from now on.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        buffered_events : iterable of StreamEvent, optional
            Its `buffered_events`, if the answer goes on with an earlier attempt.
        """
        self._attempt_id = attempt_id.encode()
        self._held = {event.first: event for event in buffered_events}

    def take(self, events: list[StreamEvent]) -> tuple[bytes, str]:
        """Process events that arrived together.

        Parameters
        ----------
        events : list of StreamEvent
            The events in their order of arrival.

        Returns
        -------
        data : bytes
            Bytes to deliver to the caller.
        fault : str
            Why the attempt must be abandoned; empty if it can continue.
        """
        ready: list[bytes] = []
        fault = ""
        for event in events:
            fault = self._accept_event(event, ready)
            if fault or self.is_whole:
                break
        data = b"".join(ready)
        self._retain_delivered(data)
        return data, fault

    def _accept_event(self, event: StreamEvent, ready: list[bytes]) -> str:
        if event.is_done:
            return self._end_answer(event, ready)
        if event.attempt_id != self._attempt_id:
            self.dropped_events += 1
            return ""
        if event.first == self.next_offset:
            self._append_event(event, ready)
            return self._append_held(ready) if self._held else ""
        if event.first > self.next_offset:
            return self._hold_event(event)
        if event.next > self.next_offset:
            return "an event overlaps the answer"
        self.dropped_events += 1
        return ""

    def _append_event(self, event: StreamEvent, ready: list[bytes]) -> None:
        is_closing = event.first == event.next
        if is_closing and self._is_closed:
            # A duplicate, or an earlier attempt broke between this event and the end.
            self.dropped_events += 1
            return
        self._is_closed = is_closing
        self.next_offset = event.next
        ready.append(event.data)

    def _hold_event(self, event: StreamEvent) -> str:
        if len(self._held) >= MAX_HELD_EVENTS:
            return "events are missing"
        held = self._held.get(event.first)
        if held is not None and held.next >= event.next:
            self.dropped_events += 1
            return ""
        self._held[event.first] = event
        return ""

    def _append_held(self, ready: list[bytes]) -> str:
        while (event := self._held.pop(self.next_offset, None)) is not None:
            self._append_event(event, ready)
        late = [first for first in self._held if first < self.next_offset]
        for first in late:
            if self._held.pop(first).next > self.next_offset:
                return "an event overlaps the answer"
            self.dropped_events += 1
        return ""

    def _end_answer(self, event: StreamEvent, ready: list[bytes]) -> str:
        if self._held or (self._has_closing_event and not self._is_closed):
            return "events are missing"
        ready.append(event.data)
        self.is_whole = True
        return ""

    def _retain_delivered(self, data: bytes) -> None:
        self._kept_bytes += len(data)
        if self.can_resume:
            self._delivered_parts.append(data)
        else:
            self._delivered_parts.clear()
