"""Validation, ordering and reporting of announcements at an entry."""

import pytest

from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.exceptions import (
    InvalidAnnouncementError,
    OldBootError,
    OldSequenceError,
)
from chestnutvale.schema.membership_pb2 import Holding, Load


@pytest.mark.parametrize(
    "fields",
    [
        {"host_id": ""},
        {"host_id": "a" * 129},
        {"host_id": "a\n"},
        {"boot_id": ""},
        {"sequence": 0},
        {"address": "host.example:80"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1"},
        {"kind": "other"},
        {"kind": "service"},
        {"fabric_domain": ""},
        {"accelerators": 5_000},
        {"holding": Holding(group_id="g", service="s", phase="odd")},
        {"load": Load(running=2_000_000)},
    ],
)
def test_a_field_out_of_range_is_refused(announcement, fields):
    with pytest.raises(InvalidAnnouncementError):
        AnnouncementCollector().announce(announcement(**fields), 0.0)


def test_old_sequence_and_old_boot_are_refused(announcement):
    collector = AnnouncementCollector()
    collector.announce(announcement(sequence=2), 0.0)
    with pytest.raises(OldSequenceError):
        collector.announce(announcement(sequence=2), 0.1)
    assert collector.announce(announcement(boot_id="boot-0"), 0.2).urgent
    with pytest.raises(OldBootError):
        collector.announce(announcement(sequence=3), 0.3)


def test_a_superseded_boot_returns_once_its_successor_is_silent(announcement):
    collector = AnnouncementCollector(detection_timeout_s=3.0)
    collector.announce(announcement(boot_id="alive", sequence=5), 0.0)
    collector.announce(announcement(boot_id="late", sequence=9), 0.1)
    with pytest.raises(OldBootError):
        collector.announce(announcement(boot_id="alive", sequence=6), 1.0)
    assert collector.announce(announcement(boot_id="alive", sequence=7), 3.2).urgent


def test_a_report_is_compact_until_something_changes(announcement):
    collector = AnnouncementCollector()
    collector.announce(announcement(sequence=1), 0.0)
    first = collector.drain_report(0.5)
    collector.announce(announcement(sequence=2), 1.0)
    second = collector.drain_report(1.5)
    collector.announce(announcement(sequence=3, load=Load(running=1)), 2.0)
    third = collector.drain_report(2.5)
    assert first[0].HasField("changed")
    assert first[0].age_ms == 500
    assert not second[0].HasField("changed")
    assert not second[0].HasField("load")
    assert not third[0].HasField("changed")
    assert third[0].load.running == 1
    assert collector.drain_report(3.0) == []
    collector.mark_for_full_report(["a", "unknown"])
    assert collector.drain_report(3.0)[0].HasField("changed")


def test_leaving_and_a_new_phase_are_urgent(announcement):
    collector = AnnouncementCollector()
    holding = Holding(group_id="g", service="s", phase="loading")
    collector.announce(announcement(sequence=1), 0.0)
    assert not collector.announce(announcement(sequence=2), 0.1).urgent
    assert collector.announce(announcement(sequence=3, holding=holding), 0.2).urgent
    holding.phase = "ready"
    assert collector.announce(announcement(sequence=4, holding=holding), 0.3).urgent
    later = announcement(sequence=5, holding=holding, leaving=True)
    assert collector.announce(later, 0.4).urgent
