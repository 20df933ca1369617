"""Pauses of endpoints that send answers without end."""

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.routing.const import (
    ENDLESS_ANSWER_MEMORY_S,
    ENDLESS_ANSWERS_TO_PAUSE,
    MAX_ENDLESS_ANSWER_PAUSE_S,
    MIN_ENDLESS_ANSWER_PAUSE_S,
)
from chestnutvale.routing.endless_answers import EndlessAnswerTracker

ENDPOINT = Incarnation("h1", "b1")


def record(tracker, count, now_s=0.0, endpoint=ENDPOINT):
    return [tracker.record_endless(endpoint, now_s) for _ in range(count)]


def test_one_request_with_an_endless_answer_pauses_nothing():
    # Guards against a single caller who could take an endpoint from all others.
    tracker = EndlessAnswerTracker()
    for number in range(20):
        assert record(tracker, ENDLESS_ANSWERS_TO_PAUSE - 1, number) == [0.0] * (
            ENDLESS_ANSWERS_TO_PAUSE - 1
        )
        tracker.record_whole(ENDPOINT)


def test_calls_that_were_sent_before_the_pause_do_not_lengthen_it():
    tracker = EndlessAnswerTracker()
    pauses_s = record(tracker, 100)
    assert sum(pauses_s) == MIN_ENDLESS_ANSWER_PAUSE_S
    assert pauses_s[ENDLESS_ANSWERS_TO_PAUSE - 1] == MIN_ENDLESS_ANSWER_PAUSE_S


def test_pauses_grow_until_an_answer_is_whole():
    tracker = EndlessAnswerTracker()
    now_s, pauses_s = 0.0, []
    record(tracker, ENDLESS_ANSWERS_TO_PAUSE - 1)
    for _ in range(8):
        pauses_s.append(tracker.record_endless(ENDPOINT, now_s))
        now_s += pauses_s[-1]
    assert pauses_s[:4] == [2.0, 4.0, 8.0, 16.0]
    assert pauses_s[-1] == MAX_ENDLESS_ANSWER_PAUSE_S
    tracker.record_whole(ENDPOINT)
    assert record(tracker, 1, now_s) == [0.0]


def test_endpoints_are_independent_and_forgotten_after_a_while():
    tracker = EndlessAnswerTracker()
    restarted = Incarnation("h1", "b2")
    record(tracker, ENDLESS_ANSWERS_TO_PAUSE - 1)
    assert record(tracker, 1, 0.0, restarted) == [0.0]
    late_s = ENDLESS_ANSWER_MEMORY_S + 1.0
    assert record(tracker, 1, late_s) == [0.0]
    pauses_s = record(tracker, ENDLESS_ANSWERS_TO_PAUSE - 1, late_s)
    assert pauses_s[-1] == MIN_ENDLESS_ANSWER_PAUSE_S
