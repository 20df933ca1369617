"""Promises of the system, each checked on what callers and endpoints saw."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence

import attrs

from chestnutvale.soak.const import (
    DENIAL_STATUSES,
    IN_FORCE_S,
    KIND_POSTING,
    REQUEST_READ_S,
    SUCCESS_STATUSES,
    TEXT_WRONG,
)
from chestnutvale.soak.records import (
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


def find_unanswered_runs(records: SoakRecords) -> Iterator[str]:
    """Yield each call that an endpoint ran and that got no whole answer.

    Excused are calls that their caller left, whose deadline passed, or that an endpoint
    broke off by itself. A pause of an endpoint is no excuse, nor is a later request
    that got the answer of one that was cut.
    """
    for requests, runs in records.pair_calls():
        if not runs or any(run.was_ended_by_endpoint for run in runs):
            continue
        cut = list_cut_requests(requests, runs)
        # The key of a call whose entry was killed stays claimed for some time.
        if not cut and not any(
            _is_settled(r) or _is_excused(r, records) for r in requests
        ):
            cut = requests[-1:]
        yield from (_describe(r, runs) for r in cut if not _is_excused(r, records))


def find_wrong_answers(records: SoakRecords) -> Iterator[str]:
    """Yield each answer that is not the caller's own, or only looks complete."""
    for request in records.requests:
        looks_whole = request.is_complete and not request.is_whole
        if request.text_state == TEXT_WRONG or looks_whole:
            yield _describe(request)


def find_repeated_postings(records: SoakRecords) -> Iterator[str]:
    """Yield each call that may not be repeated and ran more than once."""
    for requests, runs in records.pair_calls():
        if requests[0].kind == KIND_POSTING and len(runs) > 1:
            yield _describe(requests[-1], runs)


def find_false_refusals(records: SoakRecords) -> Iterator[str]:
    """Yield each call that was only ever refused as not run, and has run."""
    for requests, runs in records.pair_calls():
        if runs and all(request.is_refused_as_not_run for request in requests):
            yield _describe(requests[-1], runs)


def find_denied_calls(records: SoakRecords) -> Iterator[str]:
    """Yield each denied call that all texts that may have been in force allow."""
    for request in records.requests:
        if request.status not in DENIAL_STATUSES:
            continue
        texts = records.list_texts_in_force(request.sent_s, request.ended_s)
        if all(text.allows(request) for text in texts):
            yield _describe(request)


def find_calls_with_removed_keys(records: SoakRecords) -> Iterator[str]:
    """Yield each call that ran although its key or service had been taken away."""
    for request in records.requests:
        texts = records.list_texts_in_force(request.sent_s, request.ended_s)
        is_answered = request.status in SUCCESS_STATUSES
        if not texts or any(text.allows(request) for text in texts) or not is_answered:
            continue
        begin_s = request.sent_s - IN_FORCE_S
        if not records.is_disrupted(request.entry, begin_s, request.ended_s):
            yield _describe(request)


def find_wrong_text_replies(records: SoakRecords) -> Iterator[str]:
    """Yield each faulty text that was accepted, and each old one that was refused."""
    for reply in records.text_replies:
        if reply.is_accepted != reply.is_due:
            yield f"{reply.name} was {'accepted' if reply.is_accepted else 'refused'}"


def find_kept_hosts(records: SoakRecords) -> Iterator[str]:
    """Yield each host that was not freed although it had said that it leaves."""
    for release in records.releases:
        if release.held_by:
            yield f"{release.host} is held by {release.held_by}"


def find_old_texts(records: SoakRecords) -> Iterator[str]:
    """Yield each reading of an entry that is late with a text, or went back."""
    newest: dict[tuple[str, int], int] = defaultdict(int)
    for reading in sorted(records.readings, key=lambda r: r.sent_s):
        latest_s = reading.sent_s - IN_FORCE_S
        due = max(
            (t.number for t in records.texts if t.accepted_s < latest_s), default=0
        )
        seen = f"{reading.entry} at {reading.sent_s:.2f}: text {reading.number}"
        is_excused = records.is_disrupted(
            reading.entry, reading.sent_s - IN_FORCE_S, reading.sent_s
        )
        if reading.number < due and not is_excused:
            yield f"{seen}, text {due} is due"
        incarnation = (reading.entry, reading.process_id)
        if 0 < reading.number < newest[incarnation]:
            yield f"{seen}, text {newest[incarnation]} was in force"
        newest[incarnation] = max(newest[incarnation], reading.number)


def find_cuts_by_stops(records: SoakRecords) -> Iterator[str]:
    """Yield each request that a stopping entry had read and cut, and failed stops."""
    for stop in records.stops:
        if stop.exit_code != 0:
            yield f"{stop.process} exited with code {stop.exit_code}"
    for requests, runs in records.pair_calls():
        for request in list_cut_requests(requests, runs):
            if _is_excused(request, records):
                continue
            if any(_is_during(request, stop) for stop in records.stops):
                yield _describe(request, runs)


CHECKS: dict[str, Callable[[SoakRecords], Iterator[str]]] = {
    "a call that ran is answered": find_unanswered_runs,
    "answers are the caller's own and whole": find_wrong_answers,
    "a call that may not be repeated runs once": find_repeated_postings,
    "a refusal as not run is true": find_false_refusals,
    "a valid call is not denied": find_denied_calls,
    "a key or service that was taken away serves nothing": find_calls_with_removed_keys,
    "a faulty text is refused, an accepted one stays": find_wrong_text_replies,
    "a host that leaves is freed": find_kept_hosts,
    "an accepted text is in force": find_old_texts,
    "a planned stop cuts nothing": find_cuts_by_stops,
}


def find_all_violations(records: SoakRecords) -> list[Violation]:
    """Return the violations that the checks find in the records of a run."""
    return [
        Violation(n, detail) for n, find in CHECKS.items() for detail in find(records)
    ]


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


def _is_excused(request: RequestRecord, records: SoakRecords) -> bool:
    return records.is_disrupted(request.entry, request.sent_s, request.ended_s)


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
        request.entry == stop.process
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
