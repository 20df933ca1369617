"""Promises of the system, each checked on what callers and endpoints saw."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Protocol

import attrs

from chestnutvale.soak.const import (
    DENIAL_STATUSES,
    IN_FORCE_S,
    KIND_POSTING,
    REQUEST_READ_S,
    TEXT_WRONG,
)
from chestnutvale.soak.records import (
    KeyReading,
    PlannedStop,
    RequestRecord,
    RunRecord,
    SoakRecords,
    describe_end,
)


@attrs.frozen
class Violation:
    """A broken promise: the name of the check and what was seen."""

    check: str
    detail: str


class Check(Protocol):
    """Finds the violations of one promise."""

    name: str

    def find_violations(self, records: SoakRecords) -> Iterator[Violation]:
        """Yield a violation for each time the promise was broken."""


class RunCallsAreAnswered:
    """A call that an endpoint ran gets its whole answer, on the connection it came on.

    Excused are calls that their caller left, whose deadline passed, or that an endpoint
    broke off by itself. A pause of an endpoint is no excuse.
    """

    name = "a call that ran is answered"

    def find_violations(self, records: SoakRecords) -> Iterator[Violation]:
        """Yield a violation for each call that ran without a whole answer."""
        for requests, runs in records.pair_calls():
            if not runs or any(run.was_ended_by_endpoint for run in runs):
                continue
            cut = list_cut_requests(requests, runs)
            if not cut and not any(_is_settled(r) for r in requests):
                cut = requests[-1:]
            for request in cut:
                yield Violation(self.name, _describe(request, runs))


class AnswersAreOwn:
    """Nothing but the caller's own answer arrives, and what looks complete is whole."""

    name = "answers are the caller's own and whole"

    def find_violations(self, records: SoakRecords) -> Iterator[Violation]:
        """Yield a violation for each answer that is foreign or only looks complete."""
        for request in records.requests:
            looks_whole = request.is_complete and not request.is_whole
            if request.text_state == TEXT_WRONG or looks_whole:
                yield Violation(self.name, _describe(request))


class PostingsRunOnce:
    """A call that may not be repeated runs at most once."""

    name = "a call that may not be repeated runs once"

    def find_violations(self, records: SoakRecords) -> Iterator[Violation]:
        """Yield a violation for each such call that ran more often."""
        for requests, runs in records.pair_calls():
            if requests[0].kind == KIND_POSTING and len(runs) > 1:
                yield Violation(self.name, _describe(requests[-1], runs))


class RefusalsAreTrue:
    """A call whose refusals all state that it has not run has not run."""

    name = "a refusal as not run is true"

    def find_violations(self, records: SoakRecords) -> Iterator[Violation]:
        """Yield a violation for each refused call that an endpoint ran."""
        for requests, runs in records.pair_calls():
            if runs and all(r.is_refused_as_not_run for r in requests):
                yield Violation(self.name, _describe(requests[-1], runs))


class ValidCallsAreAllowed:
    """A call that every text allows is not denied, not even by a restarted entry."""

    name = "a valid call is not denied"

    def find_violations(self, records: SoakRecords) -> Iterator[Violation]:
        """Yield a violation for each call of a known key that was denied."""
        for request in records.requests:
            if request.status in DENIAL_STATUSES:
                yield Violation(self.name, _describe(request))


class TextsAreInForce:
    """An accepted text is in force at all entries in time, and never reverts."""

    name = "an accepted text is in force"

    def find_violations(self, records: SoakRecords) -> Iterator[Violation]:
        """Yield a violation for each reading that shows an older text."""
        newest: dict[tuple[str, int], int] = defaultdict(int)
        for reading in sorted(records.readings, key=lambda r: r.sent_s):
            due = [
                text.number
                for text in records.texts
                if text.accepted_s + IN_FORCE_S < reading.sent_s
            ]
            if reading.number < max(due, default=0):
                yield self._make(reading, f"text {max(due)} is due")
            incarnation = (reading.entry, reading.process_id)
            if 0 < reading.number < newest[incarnation]:
                yield self._make(reading, f"text {newest[incarnation]} was in force")
            newest[incarnation] = max(newest[incarnation], reading.number)

    def _make(self, reading: KeyReading, detail: str) -> Violation:
        seen = f"{reading.entry} at {reading.sent_s:.2f}: text {reading.number}"
        return Violation(self.name, f"{seen}, {detail}")


class StopsCutNothing:
    """A graceful stop of an entry ends no request that the entry had read.

    A request that was sent while its connection closed, and that no endpoint ran, may
    be sent again and is not counted.
    """

    name = "a planned stop cuts nothing"

    def find_violations(self, records: SoakRecords) -> Iterator[Violation]:
        """Yield a violation for each request cut by a stop, or a failed stop."""
        for stop in records.stops:
            if stop.exit_code != 0:
                detail = f"{stop.entry} exited with code {stop.exit_code}"
                yield Violation(self.name, detail)
        for requests, runs in records.pair_calls():
            for request in list_cut_requests(requests, runs):
                if any(_is_during(request, stop) for stop in records.stops):
                    yield Violation(self.name, _describe(request))


ALL_CHECKS: tuple[Check, ...] = (
    RunCallsAreAnswered(),
    AnswersAreOwn(),
    PostingsRunOnce(),
    RefusalsAreTrue(),
    ValidCallsAreAllowed(),
    TextsAreInForce(),
    StopsCutNothing(),
)


def find_all_violations(
    records: SoakRecords, checks: tuple[Check, ...] = ALL_CHECKS
) -> list[Violation]:
    """Return the violations that the checks find in the records of a run."""
    return [v for check in checks for v in check.find_violations(records)]


def list_cut_requests(
    requests: list[RequestRecord], runs: list[RunRecord]
) -> list[RequestRecord]:
    """Return the requests of a call that were read and ended without an answer.

    A request that crosses the close of its connection is unread, and may be sent again.
    That it was read shows by its begun answer, by the time that it was held, by the
    only request of a call having run, or by a later answer that was recorded for it.

    What their caller, their deadline or an endpoint ended is left out.
    """
    if any(run.was_ended_by_endpoint for run in runs):
        return []
    is_replayed = any(request.is_replayed for request in requests)
    has_run = is_replayed or (len(requests) == 1 and bool(runs))
    return [r for r in requests if _has_no_end(r) and (has_run or _was_read(r))]


def _has_no_end(request: RequestRecord) -> bool:
    if request.hung_up or request.reached_deadline or not request.was_sent:
        return False
    return not request.is_complete and not request.outcome


def _was_read(request: RequestRecord) -> bool:
    return bool(request.status) or request.ended_s - request.sent_s > REQUEST_READ_S


def _is_settled(request: RequestRecord) -> bool:
    return request.is_whole or request.hung_up or request.reached_deadline


def _is_during(request: RequestRecord, stop: PlannedStop) -> bool:
    return (
        request.entry == stop.entry
        and request.sent_s <= stop.exited_s
        and request.ended_s >= stop.requested_s
    )


def _describe(request: RequestRecord, runs: Sequence[RunRecord] = ()) -> str:
    return (
        f"{request.kind} {request.call_id} at {request.entry}, "
        f"sent {request.sent_s:.2f}, ended {request.ended_s:.2f}: "
        f"{describe_end(request)}, status {request.status}, "
        f"text {request.text_state or 'none'}, {request.detail or 'no detail'}, "
        f"runs {[f'{run.host} {run.outcome}' for run in runs]}"
    )
