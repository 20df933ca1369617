"""Callers that wait for requests to the replicated log."""

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
    """A caller that waits for a request.

    Parameters
    ----------
    request_id : int
        The request.
    signal : Signal
        Wakes the caller with its result or error.
    index, term : int
        Where the request was appended; 0 before that.
    """

    request_id: int
    signal: Signal = attrs.field(factory=Signal)
    index: int = 0
    term: int = 0

    def wait(self, duration_s: float, step: str) -> Any:
        """Return the result.

        Parameters
        ----------
        duration_s : float
            Time in seconds to wait at most.
        step : str
            The step, for the error.

        Returns
        -------
        object
            The result.

        Raises
        ------
        OutcomeUnknownError
            If nothing was known in time.
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
    """All callers that wait, by request and by place in the log."""

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
        """Forget a waiter whose caller has gone on."""
        self._by_request.pop(waiter.request_id, None)
        waiters = self._by_index.get(waiter.index, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._by_index.pop(waiter.index, None)

    def record_appended(self, effect: RequestAppended) -> None:
        """Note where a request was appended."""
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
                # Another entry took the place, so this one never commits.
                waiter.fail(NotLeaderError(leader_id, step=STEP_PROPOSE))

    def fail_up_to(self, index: int) -> None:
        """Wake the callers whose entries are hidden in a snapshot."""
        for entry_index in [
            entry_index for entry_index in self._by_index if entry_index <= index
        ]:
            self._fail(self._by_index.pop(entry_index), "followed by snapshot")

    def fail_all(self, reason: str) -> None:
        """Wake all callers; nobody can tell what becomes of their requests."""
        self._fail(list(self._by_request.values()), reason)

    @staticmethod
    def _fail(waiters: Sequence[Waiter], reason: str) -> None:
        for waiter in waiters:
            waiter.fail(OutcomeUnknownError(reason, step=STEP_PROPOSE))
