"""Calls at an entry that stops are taken only if they can end before it."""

import math

from chestnutvale.admission.stop_window import StopWindow


def make_window(ends_at_s, durations_s=()):
    window = StopWindow()
    for duration_s in durations_s:
        window.record_answer("app", duration_s)
    window.ends_at_s = ends_at_s
    return window


def test_every_call_is_taken_while_the_entry_does_not_stop():
    window = make_window(math.inf)
    assert window.may_take("app", deadline_s=1e9, now_s=0.0)


def test_call_without_earlier_answers_must_have_its_deadline_before_the_stop():
    window = make_window(10.0)
    assert window.may_take("app", deadline_s=10.0, now_s=8.0)
    assert not window.may_take("app", deadline_s=10.1, now_s=8.0)


def test_call_that_usually_ends_before_the_stop_is_taken():
    window = make_window(10.0, [0.5] * 20)
    assert window.may_take("app", deadline_s=16.0, now_s=9.0)


def test_call_that_usually_ends_after_the_stop_is_refused():
    window = make_window(10.0, [0.5] * 20)
    assert not window.may_take("app", deadline_s=16.0, now_s=9.6)


def test_service_with_few_answers_is_expected_to_take_as_long_as_all():
    window = make_window(10.0, [0.5] * 20)
    assert window.may_take("other", deadline_s=16.0, now_s=9.0)
    assert not window.may_take("other", deadline_s=16.0, now_s=9.6)


def test_rare_long_answers_count():
    window = make_window(10.0, ([0.1] * 9 + [3.0]) * 10)
    assert not window.may_take("app", deadline_s=16.0, now_s=8.0)
