"""Callers waiting for requests to the replicated log."""

from collections.abc import Sequence
from typing import Any

import attrs
import eventlet
from eventlet.event import Event as Signal

from chestnutvale.consensus.const import STEP_MEMBERS, STEP_PROPOSE
from chestnutvale.consensus.events import RequestAppended, RequestRefused
from chestnutvale.consensus.exceptions import (
    MembersChangeError,
    NotLeaderError,
    OutcomeUnknownError,
)
from chestnutvale.consensus.members import control_of
from chestnutvale.schema.raft_pb2 import LogEntry


@attrs.define(eq=False)
class Waiter:
    """A caller waiting for the result of a request.

    Parameters
    ----------
    request_id : int
        Number of the request.
    signal : Signal
        Delivers the result or error to the caller.
    index, term : int
        Log position of the request; 0 until it is appended.
    """

    request_id: int
    signal: Signal = attrs.field(factory=Signal)
    index: int = 0
    term: int = 0

    def wait(self, duration_s: float, step: str) -> Any:
        """Wait for the result and return it.

        Parameters
        ----------
        duration_s : float
            Longest time to wait, in seconds.
        step : str
            Name of the step, reported in the error.

        Returns
        -------
        object
            Result of the request.

        Raises
        ------
        OutcomeUnknownError
            If no result arrived in time.
        """
        with eventlet.Timeout(duration_s, False):
            return self.signal.wait()
        raise OutcomeUnknownError("no quorum answered in time", step=step)

    def finish(self, result: object) -> None:
        """Wake the caller with a result."""
        if not self.signal.ready():
            self.signal.send(result)

    def fail(self, error: Exception) -> None:
        """Wake the caller with an error."""
        if not self.signal.ready():
            self.signal.send_exception(error)


class Waiters:
    """Waiting callers, by request number and by log index."""

    def __init__(self) -> None:
        self._by_request: dict[int, Waiter] = {}
        self._by_index: dict[int, list[Waiter]] = {}
        self._next_request_id = 0

    def add(self) -> Waiter:
        """Return a waiter with a new request number."""
        self._next_request_id += 1
        waiter = Waiter(self._next_request_id)
        self._by_request[waiter.request_id] = waiter
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter whose caller no longer waits."""
        self._by_request.pop(waiter.request_id, None)
        waiters = self._by_index.get(waiter.index, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._by_index.pop(waiter.index, None)

    def record_appended(self, effect: RequestAppended) -> None:
        """Record the log position of a request."""
        waiter = self._by_request.get(effect.request_id)
        if waiter is None:
            return
        waiter.index = effect.index
        waiter.term = effect.term
        self._by_index.setdefault(effect.index, []).append(waiter)

    def fail_refused(self, effect: RequestRefused) -> None:
        """Wake the caller of a request that was not proposed."""
        waiter = self._by_request.get(effect.request_id)
        if waiter is None:
            return
        if effect.reason:
            waiter.fail(MembersChangeError(effect.reason, step=STEP_MEMBERS))
        else:
            waiter.fail(NotLeaderError(control_of(effect.leader_id)))

    def finish(self, request_id: int, result: object) -> None:
        """Wake the caller of a request with its result."""
        waiter = self._by_request.get(request_id)
        if waiter is not None:
            waiter.finish(result)

    def finish_entry(self, entry: LogEntry, result: object, leader_id: str) -> None:
        """Wake the callers whose requests were appended at an entry's index."""
        for waiter in self._by_index.pop(entry.index, ()):
            if waiter.term == entry.term:
                waiter.finish(result)
            else:
                # An entry of another term has this index, so the request never commits.
                waiter.fail(NotLeaderError(leader_id, step=STEP_PROPOSE))

    def fail_up_to(self, index: int) -> None:
        """Fail the callers whose entries an installed snapshot covers."""
        for entry_index in [
            entry_index for entry_index in self._by_index if entry_index <= index
        ]:
            self._fail(
                self._by_index.pop(entry_index),
                "an installed snapshot covers the entry",
            )

    def fail_all(self, reason: str) -> None:
        """Fail all callers; the outcome of their requests is unknown."""
        self._fail(list(self._by_request.values()), reason)

    @staticmethod
    def _fail(waiters: Sequence[Waiter], reason: str) -> None:
        for waiter in waiters:
            waiter.fail(OutcomeUnknownError(reason, step=STEP_PROPOSE))
