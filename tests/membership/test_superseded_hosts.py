"""Processes that share an address, and hosts that report no load."""

from chestnutvale.membership.announcement_content import content_digest
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.membership_pb2 import Announcement, Heard


def heard(host_id, born, sequence=1, address="10.0.0.1:80", **fields):
    announcement = Announcement(
        host_id=host_id,
        boot_id=f"b{born}",
        sequence=sequence,
        address=address,
        born_unix_ms=born,
        kind="engine",
        **fields,
    )
    return Heard(
        host_id=host_id,
        boot_id=f"b{born}",
        sequence=sequence,
        changed=announcement,
        content_digest=content_digest(announcement),
    )


def test_a_later_process_at_an_address_supersedes_the_earlier_one():
    table = MembershipTable(3.0)
    table.merge_control_report("c1", [heard("old", 100)], 0.0)
    table.merge_control_report("c1", [heard("new", 200)], 0.5)
    assert not table.is_fresh("old", 0.6)
    assert table.is_fresh("new", 0.6)
    # An announcement that the old process sent before its end may still arrive.
    table.merge_control_report("c1", [heard("old", 100, sequence=9)], 0.7)
    assert [record.host_id for record in table.fresh_hosts(0.8)] == ["new"]


def test_an_unknown_earlier_process_is_superseded_on_arrival():
    table = MembershipTable(3.0)
    table.merge_control_report("c1", [heard("new", 200)], 0.0)
    table.merge_control_report("c1", [heard("old", 100)], 0.1)
    assert [record.host_id for record in table.fresh_hosts(0.2)] == ["new"]


def test_hosts_at_different_addresses_are_both_fresh():
    table = MembershipTable(3.0)
    table.merge_control_report("c1", [heard("one", 100)], 0.0)
    table.merge_control_report("c1", [heard("two", 200, address="10.0.0.2:80")], 0.0)
    assert len(table.fresh_hosts(0.1)) == 2


def test_attempt_count_is_the_load_of_a_host_that_reports_none():
    table = MembershipTable(3.0)
    table.merge_control_report("c1", [heard("one", 100)], 0.0)
    assert table.record_running_attempts("one", 4)
    assert table.host("one").load.running == 4
    table.merge_control_report("c1", [heard("one", 100, sequence=2, leaving=True)], 0.1)
    assert table.host("one").load.running == 4


def test_extended_timeout_keeps_hosts_that_search_for_a_control():
    table = MembershipTable(3.0)
    table.merge_control_report("c1", [heard("one", 100)], 0.0)
    assert not table.is_fresh("one", 3.5)
    table.extend_detection_timeout(6.0)
    assert table.is_fresh("one", 3.5)
    assert table.fresh_hosts(3.5)
    assert not table.is_fresh("one", 6.1)


def test_extended_timeout_excludes_hosts_that_announce_to_entries():
    table = MembershipTable(3.0)
    table.merge_entry_report("entry-1", [heard("one", 100)], 0.0)
    table.extend_detection_timeout(6.0)
    assert not table.is_fresh("one", 3.5)
    assert not table.fresh_hosts(3.5)


def test_a_new_leader_awaits_hosts_not_yet_reported():
    table = MembershipTable(3.0)
    table.merge_entry_report("entry-1", [heard("one", 100)], 0.0)
    table.merge_entry_report("entry-1", [heard("two", 100)], 0.0)
    table.extend_detection_timeout(23.0, 20.0)
    assert table.is_awaiting_report("one", 20.5)
    assert table.is_awaiting_report("unknown", 20.5)
    table.merge_entry_report("entry-1", [heard("two", 100, sequence=2)], 20.2)
    assert not table.is_awaiting_report("two", 20.5)
    assert not table.is_awaiting_report("one", 23.0)
