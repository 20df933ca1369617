"""Cold hosts: their deadline in the table, and the views that name them."""

import math

import pytest

from chestnutvale.membership.cold_state import (
    ColdRule,
    find_cold_until_s,
)
from chestnutvale.membership.const import ANNOUNCEMENT_TRANSIT_S
from chestnutvale.membership.validation import validate_announcement
from tests.membership.test_view_publisher import ViewFixture

RULE = ColdRule(frozenset({"s"}))


@pytest.fixture
def fixture(announcement):
    return ViewFixture(announcement)


def publish(fixture, now_s, rule=RULE, nonce=1):
    """Return the group in the view that an entry gets."""
    heard = fixture.collector.drain_report(now_s)
    fixture.table.merge_entry_report("e1", heard, now_s)
    fixture.publisher.refresh(fixture.state, fixture.table, now_s, cold_rule=rule)
    (view,) = fixture.publisher.group_views()
    return view


def test_a_group_is_cold_in_the_version_in_which_it_serves(fixture):
    # Guards against entries that take a cold group for an ordinary one because the
    # list of shares comes later.
    fixture.announce_host(0.0, cold_remaining_ms=3_000)
    fixture.cold_rule = ColdRule(slow_services=frozenset({"s"}))
    fixture.entry.install_view(fixture.send_report(1, 0.0), 0.0)
    (view,) = fixture.entry.serving_groups("s", 0.0)
    assert view.is_cold
    assert not view.needs_cold_share
    view = publish(fixture, 0.1)
    assert view.serving
    assert view.needs_cold_share


def test_the_remaining_time_ends_without_another_announcement(fixture):
    # Guards against a duration that is stored: it would start again with each view.
    fixture.announce_host(0.0, cold_remaining_ms=1_500)
    assert publish(fixture, 1.4).is_cold
    version = fixture.publisher.version
    assert not publish(fixture, 1.6).is_cold
    assert fixture.publisher.version == version + 1


def test_the_countdown_changes_neither_content_nor_version(fixture):
    # Guards against full announcements and views to all entries with each heartbeat.
    fixture.announce_host(0.0, cold_remaining_ms=3_000)
    publish(fixture, 0.0)
    version = fixture.publisher.version
    fixture.announce_host(1.2, cold_remaining_ms=1_790)
    (heard,) = fixture.collector.drain_report(1.2)
    assert not heard.HasField("changed")
    fixture.table.merge_entry_report("e1", [heard], 1.2)
    assert publish(fixture, 1.2).is_cold
    assert fixture.publisher.version == version


def test_a_host_may_become_cold_again(fixture):
    fixture.announce_host(0.0)
    assert not publish(fixture, 0.0).is_cold
    fixture.announce_host(1.2, cold_remaining_ms=2_000)
    assert publish(fixture, 1.2).needs_cold_share
    fixture.announce_host(2.4)
    assert not publish(fixture, 2.4).is_cold
    record = fixture.table.host("a")
    assert record.cold_until_s == 2.4


def test_a_late_announcement_of_an_older_build_entry_tells_the_remaining_time(fixture):
    # Entries of older builds forward the field only within a full announcement.
    fixture.announce_host(0.0, cold_remaining_ms=2_000)
    (heard,) = fixture.collector.drain_report(0.0)
    heard.ClearField("cold_remaining_ms")
    fixture.table.merge_entry_report("e1", [heard], 0.0)
    assert publish(fixture, 0.0).is_cold


def test_after_an_evacuation_a_host_is_cold_until_heard_otherwise(fixture):
    # Guards against hosts that became cold unheard while they got no requests.
    fixture.announce_host(0.0)
    publish(fixture, 0.0)
    rule = ColdRule(RULE.bounded_services, evacuations_ended_s={"d1": 1.0})
    assert publish(fixture, 1.0, rule).needs_cold_share
    fixture.announce_host(1.0 + 0.5 * ANNOUNCEMENT_TRANSIT_S)
    assert publish(fixture, 1.4, rule).is_cold
    fixture.announce_host(2.2)
    assert not publish(fixture, 2.2, rule).is_cold
    fixture.announce_host(2.5, cold_remaining_ms=500)
    assert publish(fixture, 2.5, rule).is_cold


def test_an_evacuation_elsewhere_changes_nothing(fixture):
    fixture.announce_host(0.0)
    publish(fixture, 0.0)
    record = fixture.table.host("a")
    assert find_cold_until_s(record, {"d2": 9.0}) == -math.inf
    assert find_cold_until_s(record, {"d1": 9.0}) == math.inf


def test_hosts_of_services_without_a_cold_time_never_count_as_cold(fixture):
    """Deployments that name no cold time would lose capacity at every start."""
    fixture.announce_host(0.0, cold_remaining_ms=3_000)
    assert not publish(fixture, 0.5, ColdRule()).is_cold
    assert publish(fixture, 0.5, ColdRule(slow_services=frozenset({"s"}))).is_cold


def test_an_absurd_remaining_time_is_refused(announcement):
    validate_announcement(announcement(cold_remaining_ms=600_000))
    with pytest.raises(Exception, match="cold_remaining_ms"):
        validate_announcement(announcement(cold_remaining_ms=600_001))
