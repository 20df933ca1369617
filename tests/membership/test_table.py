"""Merging of host reports into the host table of a control."""

import math

import pytest

from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.const import HOST_RETENTION_S
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.membership_pb2 import Announcement, Heard


@pytest.fixture
def collector_and_table():
    return AnnouncementCollector(), MembershipTable(detection_timeout_s=3.0)


def test_freshness_counts_from_receipt_at_the_entry(collector_and_table, announcement):
    collector, table = collector_and_table
    collector.announce(announcement(), 10.0)
    table.merge_entry_report("e1", collector.drain_report(10.5), 110.5)
    assert table.is_fresh("a", 113.0)
    assert not table.is_fresh("a", 113.1)
    assert table.next_deadline(111.0) == pytest.approx(113.0)
    assert table.next_deadline(114.0) == math.inf


def test_announcements_through_two_entries_out_of_order(
    collector_and_table, announcement
):
    first, table = collector_and_table
    second = AnnouncementCollector()
    first.announce(announcement(sequence=1, leaving=False), 0.0)
    second.announce(announcement(sequence=2, leaving=True), 0.1)
    table.merge_entry_report("e2", second.drain_report(0.2), 0.2)
    assert table.merge_entry_report("e1", first.drain_report(0.3), 0.3) == []
    assert table.host("a").announcement.leaving
    assert table.host("a").sender_id == "e2"


def test_a_late_report_of_an_earlier_boot_changes_nothing(
    collector_and_table, announcement
):
    collector, table = collector_and_table
    collector.announce(announcement(boot_id="one", sequence=7), 0.0)
    late = collector.drain_report(0.0)
    table.merge_entry_report("e1", late, 0.0)
    collector.announce(announcement(boot_id="two", sequence=1), 0.5)
    table.merge_entry_report("e1", collector.drain_report(0.5), 0.5)
    table.merge_entry_report("e2", late, 0.6)
    assert table.host("a").boot_id == "two"


def test_a_repeated_report_of_an_earlier_boot_changes_nothing(
    collector_and_table, announcement
):
    # Guards against a live host that counts as restarted at a control that starts.
    collector, table = collector_and_table
    other = AnnouncementCollector()
    other.announce(announcement(boot_id="one", sequence=7), 0.0)
    collector.announce(announcement(boot_id="two", sequence=1), 0.5)
    table.merge_entry_report("e1", collector.drain_report(0.6), 0.6)
    table.merge_entry_report("e2", other.drain_report(0.7), 0.7)
    assert table.host("a").boot_id == "two"


def test_a_lost_change_is_requested_and_completed(collector_and_table, announcement):
    collector, table = collector_and_table
    collector.announce(announcement(sequence=1), 0.0)
    table.merge_entry_report("e1", collector.drain_report(0.0), 0.0)
    collector.announce(announcement(sequence=2, leaving=True), 1.0)
    collector.drain_report(1.0)
    collector.announce(announcement(sequence=3, leaving=True), 2.0)
    table.merge_entry_report("e1", collector.drain_report(2.0), 2.0)
    assert table.fresh_hosts(2.0) == []
    assert table.hosts_lacking_content("e2") == []
    collector.mark_for_full_report(table.hosts_lacking_content("e1"))
    assert table.merge_entry_report("e1", collector.drain_report(2.1), 2.1) == ["a"]
    assert table.host("a").announcement.leaving
    assert table.hosts_lacking_content("e1") == []


def test_loss_of_an_entry_is_not_loss_of_its_hosts(announcement):
    table = MembershipTable(detection_timeout_s=3.0)
    entries = {name: AnnouncementCollector() for name in ("e1", "e2", "e3")}
    for second in range(20):
        live = ["e1", "e2", "e3"] if second < 8 else ["e1", "e2"]
        for host in range(6):
            # A host that gets no answer from a stopped entry retries at another one.
            preferred = ["e1", "e2", "e3"][(second + host) % 3]
            name = preferred if preferred in live else live[host % 2]
            host_announcement = announcement(host_id=f"h{host}", sequence=second + 1)
            entries[name].announce(host_announcement, second)
        for name in live:
            table.merge_entry_report(name, entries[name].drain_report(second), second)
        assert len(table.fresh_hosts(second)) == 6
    assert table.live_entries(19) == ["e1", "e2"]
    assert table.known_entries() == ["e1", "e2", "e3"]


def test_a_delayed_report_does_not_make_a_host_fresh(collector_and_table, announcement):
    collector, table = collector_and_table
    collector.announce(announcement(sequence=1), 10.0)
    table.merge_entry_report("e1", collector.drain_report(10.0), 110.1, 10_000, "life")
    collector.announce(announcement(sequence=2), 11.0)
    late = collector.drain_report(11.0)
    table.merge_entry_report("e1", late, 116.1, 11_000, "life")
    assert table.host("a").heard_at_s == pytest.approx(111.1)
    assert not table.is_fresh("a", 116.1)


def test_a_restarted_entry_gets_a_new_clock_offset(collector_and_table, announcement):
    collector, table = collector_and_table
    collector.announce(announcement(sequence=1), 900.0)
    table.merge_entry_report("e1", collector.drain_report(900.0), 110.0, 900_000, "one")
    collector.announce(announcement(sequence=2), 901.0)
    table.merge_entry_report("e1", collector.drain_report(901.0), 112.0, 1_000, "two")
    assert table.is_fresh("a", 113.0)


def departing(host_id, sequence, leaving):
    content = Announcement(host_id=host_id, boot_id="b1", leaving=leaving)
    return Heard(
        host_id=host_id,
        boot_id="b1",
        sequence=sequence,
        changed=content,
        content_digest=2 if leaving else 1,
    )


def test_a_later_ready_announcement_does_not_undo_a_departure():
    table = MembershipTable()
    table.merge_control_report("c1", [departing("h1", 1, False)], 10.0)
    assert table.mark_departed("h1", "b1")
    assert not table.mark_departed("h1", "b1")
    table.merge_control_report("c2", [departing("h1", 2, False)], 11.0)
    assert table.host("h1").announcement.leaving


def test_a_departure_that_arrives_after_a_newer_announcement_holds():
    table = MembershipTable()
    table.merge_control_report("c1", [departing("h1", 3, False)], 10.0)
    assert table.merge_control_report("c2", [departing("h1", 2, True)], 10.1) == ["h1"]
    assert table.host("h1").announcement.leaving


def test_another_boot_is_not_affected_by_a_departure():
    table = MembershipTable()
    table.merge_control_report("c1", [departing("h1", 1, False)], 10.0)
    assert not table.mark_departed("h1", "b0")
    table.mark_departed("h1", "b1")
    restarted = departing("h1", 1, False)
    restarted.boot_id = restarted.changed.boot_id = "b2"
    table.merge_control_report("c1", [restarted], 11.0)
    assert not table.host("h1").announcement.leaving


def test_recorded_departure_holds_for_a_host_that_is_heard_first_afterwards():
    # Guards against a restarted control that believes a late announcement.
    table = MembershipTable(is_recorded_departure=lambda *boot: boot == ("h1", "b1"))
    table.merge_control_report("c1", [departing("h1", 1, False)], 10.0)
    assert table.host("h1").announcement.leaving
    assert table.is_departed("h1", "b1")
    assert not table.is_departed("h1", "b2")
    assert not table.unrecorded_departures()


def test_departure_is_listed_until_the_log_contains_it():
    log = set()
    calls = []
    table = MembershipTable(is_recorded_departure=lambda *boot: boot in log)
    table.on_departure = lambda: calls.append("departure")
    table.merge_control_report("c1", [departing("h1", 1, False)], 10.0)
    assert not calls
    table.merge_control_report("c1", [departing("h1", 2, True)], 10.1)
    assert calls == ["departure"]
    assert table.unrecorded_departures() == [Incarnation("h1", "b1")]
    log.add(("h1", "b1"))
    table.mark_recorded("h1", "b1")
    table.merge_control_report("c1", [departing("h1", 3, True)], 10.2)
    assert not table.unrecorded_departures()


def test_unrecorded_departures_are_forgotten_with_their_host():
    table = MembershipTable()
    table.merge_control_report("c1", [departing("h1", 1, True)], 10.0)
    table.remove_expired(10.0 + HOST_RETENTION_S + 1)
    assert not table.unrecorded_departures()
