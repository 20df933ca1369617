"""Departures and pauses that endpoints state in their answers."""

from chestnutvale.membership.const import DEPARTURE_RETENTION_S, MAX_PAUSE_S
from chestnutvale.membership.endpoint_notices import (
    EndpointNotice,
    EndpointNotices,
    Incarnation,
)

FIRST = Incarnation("h1", "b1")
OTHER = Incarnation("h2", "b1")
LEAVING = EndpointNotice(is_leaving=True)


def test_a_departing_endpoint_gets_nothing_more():
    notices = EndpointNotices()
    assert notices.may_send(FIRST, 10.0)
    assert notices.record(FIRST, LEAVING, 10.0)
    assert not notices.may_send(FIRST, 1e9)
    assert notices.may_send(OTHER, 10.0)
    assert notices.departures() == [FIRST]


def test_a_departure_holds_for_that_incarnation_only():
    notices = EndpointNotices()
    notices.record(FIRST, LEAVING, 10.0)
    notices.record(FIRST, EndpointNotice(), 11.0)
    assert not notices.may_send(FIRST, 12.0)
    assert notices.may_send(Incarnation("h1", "b2"), 12.0)


def test_a_pause_ends_at_its_deadline():
    notices = EndpointNotices()
    assert notices.record(FIRST, EndpointNotice(pause_s=2.0), 10.0)
    assert not notices.may_send(FIRST, 11.99)
    assert notices.pause_end_s(FIRST, 11.0) == 12.0
    assert notices.may_send(FIRST, 12.0)
    assert notices.pause_end_s(FIRST, 12.0) is None


def test_a_paused_endpoint_that_leaves_is_a_change():
    notices = EndpointNotices()
    notices.record(FIRST, EndpointNotice(pause_s=5.0), 10.0)
    assert notices.record(FIRST, LEAVING, 11.0)
    assert notices.pause_end_s(FIRST, 11.0) is None


def test_a_shorter_pause_does_not_end_a_longer_one():
    notices = EndpointNotices()
    notices.record(FIRST, EndpointNotice(pause_s=5.0), 10.0)
    assert not notices.record(FIRST, EndpointNotice(pause_s=1.0), 10.5)
    assert notices.pause_end_s(FIRST, 11.0) == 15.0


def test_many_answers_of_one_paused_endpoint_are_one_change():
    notices = EndpointNotices()
    changes = [
        notices.record(FIRST, EndpointNotice(pause_s=2.0), 10.0 + number / 1_000)
        for number in range(100)
    ]
    assert changes.count(True) == 1


def test_a_pause_ends_although_the_clock_stood_still():
    # A machine that was frozen reads the same time again; the pause then lasts longer,
    # but its stored deadline is reached.
    notices = EndpointNotices()
    notices.record(FIRST, EndpointNotice(pause_s=2.0), 10.0)
    for now_s in (10.0, 10.0, 10.0, 12.5):
        is_sendable = notices.may_send(FIRST, now_s)
    assert is_sendable


def test_a_pause_without_length_and_an_endless_one_are_bounded():
    notices = EndpointNotices()
    assert not notices.record(FIRST, EndpointNotice(pause_s=0.0), 10.0)
    notices.record(FIRST, EndpointNotice(pause_s=1e12), 10.0)
    assert notices.may_send(FIRST, 10.0 + MAX_PAUSE_S)


def test_listed_departures_are_kept_and_others_are_forgotten():
    notices = EndpointNotices()
    notices.record(FIRST, LEAVING, 10.0)
    notices.record(OTHER, LEAVING, 10.0)
    later_s = 10.0 + DEPARTURE_RETENTION_S
    notices.keep_listed([FIRST], later_s)
    notices.keep_listed([FIRST], later_s + 1.0)
    assert notices.departures() == [FIRST]
    notices.keep_listed([], later_s + DEPARTURE_RETENTION_S + 2.0)
    assert notices.departures() == []


def test_the_dump_names_kind_and_age():
    notices = EndpointNotices()
    notices.record(FIRST, LEAVING, 10.0)
    notices.record(OTHER, EndpointNotice(pause_s=4.0), 11.0)
    assert notices.describe(12.0) == [
        {"host": "h1", "boot": "b1", "notice": "leaving", "age_s": 2.0},
        {"host": "h2", "boot": "b1", "notice": "paused", "left_s": 3.0},
    ]
