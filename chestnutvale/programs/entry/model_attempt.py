"""Runs one attempt of a model call over HTTP and reports it as events."""

import json
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

from chestnutvale.attempts.const import (
    CODE_BAD_REQUEST,
    REFUSAL_MEMBER_MISSING,
    REFUSAL_OVERLOADED,
    REFUSAL_UNAVAILABLE,
    REFUSAL_WRONG_EPOCH,
)
from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallEvent,
    EventsArrived,
)
from chestnutvale.attempts.sse import EventSplitter
from chestnutvale.programs.entry.const import REASON_SENT_BEFORE
from chestnutvale.programs.entry.endpoint_exchange import EndpointExchange
from chestnutvale.programs.entry.exceptions import EndpointSilentError
from chestnutvale.programs.entry.exchange_failures import (
    EXCHANGE_ERRORS,
    make_failure_event,
)
from chestnutvale.schema.peer_pb2 import GroupView

GENERATE_PATH = "/v1/generate"
MAX_REFUSAL_BYTES = 64 * 1024
STATUS_OK = 200
# Longest Retry-After that is accepted from an endpoint.
MAX_RETRY_AFTER_S = 3_600.0
MAX_RETRY_AFTER_DIGITS = 9

# Pairs of status and problem code by which an engine says that it did not run the
# request. Any other answer may come from a request that ran.
_REFUSALS = {
    (409, REFUSAL_WRONG_EPOCH),
    (429, REFUSAL_OVERLOADED),
    (503, REFUSAL_MEMBER_MISSING),
    (400, "bad_request"),
    (400, "resume_mismatch"),
    (404, "not_found"),
    (413, "too_large"),
}


class ModelAttempt:
    """Owns the connection of one attempt; a context manager.

    Parameters
    ----------
    attempt_id : str
        Identity of the attempt.
    view : GroupView
        The group that runs it.
    address : str
        IP address and port of the group's head.
    body : dict
        JSON body of the request.
    may_send : callable, optional
        Tells whether the endpoint still takes requests; asked right before sending.

    Attributes
    ----------
    is_open : bool
        Whether the stream of the answer has begun and the connection is open.
    """

    def __init__(
        self,
        attempt_id: str,
        view: GroupView,
        address: str,
        body: dict[str, Any],
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._may_send = may_send
        self._body = body
        self.attempt_id = attempt_id
        self.view = view
        self.is_open = False
        self._exchange = EndpointExchange(address, is_stream=True)
        self._splitter = EventSplitter()

    def __enter__(self) -> Self:
        """Return the attempt."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection; see `close`."""
        self.close()

    def close(self) -> None:
        """Close the connection; the engine then cancels an unfinished request."""
        self.is_open = False
        self._exchange.__exit__(None, None, None)

    def can_hold(self) -> bool:
        """Return whether a wait can be interrupted now without a loss."""
        return self.is_open

    def is_readable(self) -> bool:
        """Return whether events or the end have arrived and were not read."""
        return self.is_open and self._exchange.is_readable()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the stream have arrived that were not read yet."""
        return self._exchange.has_unread_bytes()

    def abort(self) -> None:
        """Interrupt the greenlet that waits for the endpoint."""
        self._exchange.abort()

    def start(self, timeout_s: float) -> CallEvent | None:
        """Send the request and wait for the head of the answer.

        A request is sent once: the engine may run it again, whatever it answers.

        Parameters
        ----------
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        CallEvent or None
            Why there is no stream; None if the stream has begun.
        """
        if self._exchange.is_sent:
            return AttemptBroken(self.attempt_id, REASON_SENT_BEFORE)
        data = json.dumps(self._body).encode()
        headers = {"Content-Type": "application/json", "Host": self._exchange.address}
        try:
            self._exchange.connect(timeout_s)
            # The call may have waited for the connection since the group was chosen.
            if not self._may_send():
                return AttemptRefused(
                    self.attempt_id,
                    REFUSAL_UNAVAILABLE,
                    "the endpoint leaves, pauses or is in an evacuated data centre",
                )
            self._exchange.send("POST", GENERATE_PATH, headers, data, timeout_s)
            if self._exchange.status != STATUS_OK:
                return self._read_refusal()
            self._exchange.begin_stream()
        except EXCHANGE_ERRORS as error:
            return make_failure_event(self.attempt_id, error)
        self.is_open = True
        return None

    def read(self, timeout_s: float) -> CallEvent:
        """Wait for the next events of the stream.

        Parameters
        ----------
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        CallEvent
            `EventsArrived`, `AttemptBroken`, or `Tick` if nothing arrived in time.
        """
        try:
            data = self._exchange.read_stream(timeout_s)
            if not data:
                return AttemptBroken(self.attempt_id, "the stream ended early")
            return EventsArrived(self.attempt_id, self._splitter.feed(data))
        except EXCHANGE_ERRORS as error:
            return make_failure_event(self.attempt_id, error)

    def _read_refusal(self) -> CallEvent:
        status = self._exchange.status
        try:
            data = self._exchange.read_all(MAX_REFUSAL_BYTES)
        except EndpointSilentError as error:
            return AttemptBroken(self.attempt_id, error.message)
        try:
            document = json.loads(data)
            code = str(document["code"])
        except (ValueError, KeyError, TypeError, RecursionError):
            code = ""
        if (status, code) not in _REFUSALS:
            return AttemptBroken(self.attempt_id, f"unexpected status {status}")
        message = str(document.get("message", ""))
        return AttemptRefused(
            self.attempt_id,
            code or CODE_BAD_REQUEST,
            message,
            _read_retry_after_s(self._exchange.headers),
        )


def _read_retry_after_s(headers: list[tuple[str, str]]) -> float | None:
    for name, value in headers:
        if name.lower() == "retry-after" and value.isdecimal():
            return min(float(value[:MAX_RETRY_AFTER_DIGITS]), MAX_RETRY_AFTER_S)
    return None
