"""Each check of the soak test finds its fabricated fault and passes what is allowed."""

import math

import attrs
import pytest

from chestnutvale.soak.checks import (
    find_all_violations,
    find_calls_with_removed_keys,
    find_cuts_by_stops,
    find_denied_calls,
    find_false_refusals,
    find_kept_hosts,
    find_old_texts,
    find_repeated_postings,
    find_unanswered_runs,
    find_wrong_answers,
    find_wrong_text_replies,
)
from chestnutvale.soak.records import (
    Disruption,
    HostRelease,
    KeyReading,
    PlannedStop,
    RequestRecord,
    RunRecord,
    SoakRecords,
    TextRecord,
    TextReply,
)

RUN = RunRecord("c1", "host-1", "finished")
HUNG_UP_RUN = RunRecord("c1", "host-1", "hung up")


def make_request(kind="stream", **changes):
    """Return a request that was answered whole in two seconds, with changes."""
    fields = {
        "status": 200,
        "text_state": "whole",
        "is_complete": True,
        "ended_s": 12.0,
        **changes,
    }
    return RequestRecord("c1", kind, "entry-1", 10.0, deadline_s=40.0, **fields)


def make_cut(kind="stream", **changes):
    """Return a request whose connection ended without a whole answer."""
    fields = {"status": 0, "text_state": "", "is_complete": False, **changes}
    return make_request(kind, **fields)


def make_refusal(kind="stream", **changes):
    return make_cut(kind, **{"status": 503, "outcome": "not_run", **changes})


def count(check, **records):
    return len(list(check(SoakRecords(**records))))


def test_records_of_a_sound_run_break_no_promise():
    records = SoakRecords(
        [make_request()],
        [RUN],
        [TextRecord(1, 5.0)],
        [KeyReading("entry-1", 7, 11.0, 1)],
        [PlannedStop("entry-1", 9.0, 13.0, 0)],
    )
    assert find_all_violations(records) == []


# The incident: an entry closed the connection of a stream that an endpoint ran.
@pytest.mark.parametrize(
    "cut",
    [
        make_cut(status=200, text_state="part"),
        make_cut(status=200, text_state="part", outcome="failed"),
        make_cut(),
        make_cut(ended_s=10.1),
        make_refusal(),
        make_cut("read", status=502, outcome="failed"),
        make_cut("posting", status=504, outcome="unknown"),
    ],
)
@pytest.mark.parametrize(
    "run", [RUN, HUNG_UP_RUN, RunRecord("c1", "host-1", "the group was released")]
)
def test_call_that_ran_without_a_whole_answer_is_found(cut, run):
    assert count(find_unanswered_runs, requests=[cut], runs=[run]) == 1


def test_cut_of_a_posting_is_found_although_a_later_request_got_the_answer():
    cut = make_cut("posting")
    replayed = make_request("posting", is_replayed=True)
    runs = [RUN]
    check = find_unanswered_runs
    assert count(check, requests=[cut, replayed], runs=runs) == 1
    at_once = make_cut("posting", ended_s=10.1)
    assert count(check, requests=[at_once, replayed], runs=runs) == 1
    # Without a recorded answer the first request crossed the close unread.
    later = make_request("posting")
    assert count(check, requests=[at_once, later], runs=runs) == 0


@pytest.mark.parametrize(
    ("request_record", "run"),
    [
        (make_cut(hung_up=True), HUNG_UP_RUN),
        (make_cut(ended_s=39.9), HUNG_UP_RUN),
        (make_cut(), RunRecord("c1", "host-1", "a member is missing: rebooted")),
        (make_cut(), RunRecord("c2", "host-1", "finished")),
    ],
)
def test_call_that_others_ended_is_no_violation(request_record, run):
    assert count(find_unanswered_runs, requests=[request_record], runs=[run]) == 0


def test_foreign_and_falsely_complete_answers_are_found():
    check = find_wrong_answers
    assert count(check, requests=[make_request(text_state="wrong")]) == 1
    assert count(check, requests=[make_cut(text_state="wrong")]) == 1
    assert count(check, requests=[make_request(text_state="part")]) == 1
    assert count(check, requests=[make_cut(status=200, text_state="part")]) == 0


def test_posting_that_ran_twice_is_found():
    check = find_repeated_postings
    posting, read = make_request("posting"), make_request("read")
    assert count(check, requests=[posting], runs=[RUN, RUN]) == 1
    assert count(check, requests=[posting], runs=[RUN]) == 0
    assert count(check, requests=[read], runs=[RUN, RUN]) == 0


def test_false_refusal_is_found():
    check = find_false_refusals
    refusals = [make_refusal("posting"), make_refusal("posting")]
    assert count(check, requests=refusals, runs=[RUN]) == 1
    assert count(check, requests=refusals, runs=[]) == 0
    answered = [make_refusal("posting"), make_request("posting")]
    assert count(check, requests=answered, runs=[RUN]) == 0


@pytest.mark.parametrize("status", [401, 403, 404])
def test_denied_call_is_found(status):
    check = find_denied_calls
    assert count(check, requests=[make_refusal(status=status)]) == 1
    assert count(check, requests=[make_refusal(), make_request(), make_cut()]) == 0


def test_text_that_comes_late_or_reverts_is_found():
    check = find_old_texts
    texts = [TextRecord(1, 0.0), TextRecord(2, 10.0)]

    def count_readings(*readings):
        made = [KeyReading("entry-1", *reading) for reading in readings]
        return count(check, texts=texts, readings=made)

    assert count_readings((7, 14.0, 1), (7, 15.1, 2)) == 0
    assert count_readings((7, 15.1, 1)) == 1
    assert count_readings((7, 15.1, 0)) == 1
    assert count_readings((7, 11.0, 2), (7, 12.0, 1)) == 1
    # Another incarnation may know an older text for a while.
    assert count_readings((7, 11.0, 2), (8, 12.0, 1)) == 0


@pytest.mark.parametrize("stop_s", [(9.0, 13.0), (10.1, 20.0), (5.0, 10.0)])
def test_request_cut_by_a_stop_is_found(stop_s):
    check = find_cuts_by_stops
    stops = [PlannedStop("entry-1", *stop_s, 0)]
    cut = make_cut()
    assert count(check, requests=[cut], runs=[RUN], stops=stops) == 1
    # It was held for two seconds, so it had been read.
    assert count(check, requests=[cut], stops=stops) == 1
    crossing = make_cut(ended_s=10.1)
    assert count(check, requests=[crossing], stops=stops) == 0
    assert count(check, requests=[crossing], runs=[RUN], stops=stops) == 1
    never_sent = make_cut(was_sent=False)
    assert count(check, requests=[never_sent], stops=stops) == 0


def test_stop_elsewhere_or_at_another_time_is_not_blamed():
    check = find_cuts_by_stops
    for stop in (
        PlannedStop("entry-2", 9.0, 13.0, 0),
        PlannedStop("entry-1", 12.1, 13.0, 0),
        PlannedStop("entry-1", 8.0, 9.9, 0),
    ):
        assert count(check, requests=[make_cut()], runs=[RUN], stops=[stop]) == 0


def test_stop_that_fails_is_found():
    assert count(find_cuts_by_stops, stops=[PlannedStop("entry-1", 1.0, 2.0, 1)]) == 1


@pytest.mark.parametrize(
    ("disruption", "expected"),
    [
        (Disruption(9.0, "entry-1"), 0),
        (Disruption(11.0), 0),
        (Disruption(9.0, "entry-2"), 1),
        # Longer before the request than disruptions excuse.
        (Disruption(6.5), 1),
        (Disruption(12.5), 1),
    ],
)
def test_only_a_disruption_nearby_excuses_a_cut(disruption, expected):
    records = {
        "requests": [make_cut(status=200, text_state="part")],
        "runs": [HUNG_UP_RUN],
        "stops": [PlannedStop("entry-1", 11.0, 13.0, 0)],
        "disruptions": [disruption],
    }
    assert count(find_unanswered_runs, **records) == expected
    assert count(find_cuts_by_stops, **records) == expected


def test_posting_whose_entry_was_killed_may_stay_unknown_at_another():
    first = make_cut("posting")
    second = attrs.evolve(
        make_cut("posting", status=409, outcome="unknown", detail="call_running"),
        entry="entry-2",
        sent_s=14.0,
        ended_s=14.1,
    )
    records = {"requests": [first, second], "runs": [RUN]}
    killed = Disruption(11.0, "entry-1")
    assert count(find_unanswered_runs, **records) == 1
    assert count(find_unanswered_runs, disruptions=[killed], **records) == 0


def test_disruption_excuses_a_late_text_but_no_older_one():
    records = {
        "texts": [TextRecord(2, 1.0)],
        "readings": [
            KeyReading("entry-1", 7, 10.0, 1),
            KeyReading("entry-1", 7, 11.0, 2),
            KeyReading("entry-1", 7, 12.0, 1),
        ],
    }
    assert count(find_old_texts, **records) == 3
    assert count(find_old_texts, disruptions=[Disruption(9.0)], **records) == 1


GUEST = {"service": "chat", "workspace": "guest"}
KNOWN = (frozenset({"chat"}), frozenset({"guest"}))
NO_KEY = (frozenset({"chat"}), frozenset())
NO_SERVICE = (frozenset(), frozenset({"guest"}))


def make_text_record(number, at_s, names):
    return TextRecord(number, at_s + 0.1, at_s, *names)


# The request is sent at 10 s and ends at 12 s; a text is in force 5 s after its
# acknowledgement at the latest.
@pytest.mark.parametrize("names", [NO_KEY, NO_SERVICE])
@pytest.mark.parametrize(
    ("removed_s", "returned_s", "may_be_denied", "must_be_denied"),
    [
        (1.0, 20.0, True, True),
        (1.0, 11.0, True, False),
        (1.0, 3.0, False, False),
        (1.0, 7.0, True, False),
        (7.0, 20.0, True, False),
        (11.0, 20.0, True, False),
        (13.0, 20.0, False, False),
    ],
)
def test_keys_and_services_are_judged_by_the_texts_that_may_be_in_force(
    names, removed_s, returned_s, may_be_denied, must_be_denied
):
    texts = [
        make_text_record(1, 0.0, KNOWN),
        make_text_record(2, removed_s, names),
        make_text_record(3, returned_s, KNOWN),
    ]
    denied = make_cut(status=401, **GUEST)
    served = make_request(**GUEST)
    is_undue = count(find_denied_calls, requests=[denied], texts=texts)
    is_late = count(find_calls_with_removed_keys, requests=[served], texts=texts)
    assert (is_undue == 0, is_late == 1) == (may_be_denied, must_be_denied)


def test_text_without_an_acknowledgement_may_be_in_force_at_any_later_time():
    texts = [make_text_record(1, 0.0, KNOWN), TextRecord(2, math.inf, 1.0, *NO_KEY)]
    denied, served = make_cut(status=401, **GUEST), make_request(**GUEST)
    assert not count(find_denied_calls, requests=[denied], texts=texts)
    assert not count(find_calls_with_removed_keys, requests=[served], texts=texts)


def test_removed_key_that_a_disrupted_entry_still_knows_is_excused():
    records = {
        "requests": [make_request(**GUEST)],
        "texts": [make_text_record(1, 0.0, NO_KEY)],
    }
    assert count(find_calls_with_removed_keys, **records) == 1
    disruption = Disruption(8.0, "entry-1")
    assert not count(find_calls_with_removed_keys, **records, disruptions=[disruption])


# A key that is taken away ends no answer that has begun.
def test_stream_that_was_cut_when_its_key_was_taken_away_is_found():
    texts = [make_text_record(1, 0.0, KNOWN), make_text_record(2, 11.0, NO_KEY)]
    cut = make_cut(status=200, text_state="part", **GUEST)
    run = HUNG_UP_RUN
    assert count(find_unanswered_runs, requests=[cut], runs=[run], texts=texts) == 1


@pytest.mark.parametrize("is_due", [False, True])
def test_only_replies_that_differ_from_what_is_due_are_found(is_due):
    replies = [TextReply("text 3", is_accepted, is_due) for is_accepted in (0, 1)]
    assert count(find_wrong_text_replies, text_replies=replies[:1]) == is_due
    assert count(find_wrong_text_replies, text_replies=replies[1:]) != is_due


def test_host_that_leaves_and_is_kept_is_found():
    kept, free = HostRelease("host-1", "chat-3, 1 requests run"), HostRelease("h2", "")
    assert count(find_kept_hosts, releases=[kept, free]) == 1
