"""One attempt of a routed stream, reported as call events."""

from chestnutvale.attempts.events import (
    AttemptBroken,
    CallEvent,
    EventsArrived,
)
from chestnutvale.attempts.sse import NumberedEventSplitter
from chestnutvale.programs.entry.const import REASON_SENT_BEFORE
from chestnutvale.programs.entry.exchange_failures import (
    EXCHANGE_ERRORS,
    make_failure_event,
)
from chestnutvale.programs.entry.routed.caller_protocol import RoutedRequest
from chestnutvale.programs.entry.routed.const import MAX_ANSWER_BYTES
from chestnutvale.programs.entry.routed.exchange import RoutedExchange
from chestnutvale.schema.peer_pb2 import GroupView

STATUS_OK = 200


class RoutedAttempt:
    """Runs the exchange of one attempt and converts its results to call events.

    Parameters
    ----------
    attempt_id : str
        ID of the attempt.
    view : GroupView
        The group that runs it.
    exchange : RoutedExchange
        The HTTP exchange with the head host of the group.
    request : RoutedRequest
        The caller's request.
    body : bytes
        Body of the caller's request.
    last_event : int
        Number of the last event that the caller has received.

    Attributes
    ----------
    has_started : bool
        Whether the endpoint has answered with the head of a stream.
    error_body : bytes or None
        Body of an answer with an error status from the endpoint; None if there is
        none.
    """

    def __init__(
        self,
        attempt_id: str,
        view: GroupView,
        exchange: RoutedExchange,
        request: RoutedRequest,
        body: bytes,
        last_event: int,
    ) -> None:
        self.attempt_id = attempt_id
        self.view = view
        self.exchange = exchange
        self.has_started = False
        self.error_body: bytes | None = None
        self._request = request
        self._body = body
        self._splitter = NumberedEventSplitter(attempt_id, last_event)
        # A caller that resumes an answer may have all of its events.
        self._has_events = 0 < last_event <= request.last_event

    def start(self, timeout_s: float) -> CallEvent | None:
        """Send the request, or go on to wait for its answer if it was sent.

        A request is sent once: the endpoint may run it again, whatever it answers.

        Parameters
        ----------
        timeout_s : float
            Timeout in seconds of the connect, and of each send and receive up to the
            head of the answer.

        Returns
        -------
        CallEvent or None
            Why the attempt ended, or `Tick` if the answer did not start in time; None
            if the stream has started.
        """
        request = self._request
        try:
            if self.exchange.is_awaiting_head:
                self.exchange.receive_head(request.method, timeout_s)
            elif self.exchange.is_sent:
                return AttemptBroken(self.attempt_id, REASON_SENT_BEFORE)
            else:
                self.exchange.connect(timeout_s)
                self.exchange.send(
                    request.method, request.target, {}, self._body, timeout_s
                )
            if self.exchange.status == STATUS_OK:
                self.has_started = True
                return None
            self.error_body = self.exchange.read_all(MAX_ANSWER_BYTES)
        except EXCHANGE_ERRORS as error:
            return make_failure_event(self.attempt_id, error)
        reason = f"the endpoint answered with status {self.exchange.status}"
        return AttemptBroken(self.attempt_id, reason)

    def read(self, timeout_s: float) -> CallEvent:
        """Wait for the next events of the stream.

        Parameters
        ----------
        timeout_s : float
            Time to wait in seconds.

        Returns
        -------
        CallEvent
            Events, the end of the attempt, or `Tick` if nothing arrived in time.
        """
        try:
            data = self.exchange.read(timeout_s)
            if not data:
                return self._end_stream()
            events = self._splitter.feed(data)
            self._has_events = self._has_events or bool(events)
            return EventsArrived(self.attempt_id, events)
        except EXCHANGE_ERRORS as error:
            return make_failure_event(self.attempt_id, error)

    def _end_stream(self) -> CallEvent:
        end = self._splitter.end()
        # A host that crashes before its first event ends its connection the same way.
        if not (self.exchange.is_delimited or self._has_events):
            reason = "the connection ended before the first event"
            return AttemptBroken(self.attempt_id, reason)
        return EventsArrived(self.attempt_id, [end])

    def can_hold(self) -> bool:
        """Return whether a wait can be interrupted now without a loss."""
        return self.has_started or self.exchange.is_awaiting_head

    def is_readable(self) -> bool:
        """Return whether events or the end have arrived and were not read."""
        return self.has_started and self.exchange.is_readable()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the stream have arrived that were not read yet."""
        return self.exchange.has_unread_bytes()

    def abort(self) -> None:
        """Shut the connection down; a greenlet that waits for it gets an error."""
        self.exchange.abort()

    def close(self) -> None:
        """End the exchange; closing an unfinished one cancels the request."""
        self.exchange.__exit__(None, None, None)
