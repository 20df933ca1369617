"""The newest life of a host decides, in whatever order its heartbeats arrive.

Guards against a healthy group that is dissolved, or a drain that is forgotten, as a
heartbeat of an earlier life of its host arrived late.
"""

import random

import pytest

from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.announcement_content import content_digest
from chestnutvale.membership.boot_ids import is_earlier_boot, make_born_boot_id
from chestnutvale.membership.exceptions import OldBootError
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup
from chestnutvale.schema.membership_pb2 import Announcement, Heard

TIMEOUT_S = 3.0


def announce(born, sequence=1, host_id="h1", **fields):
    return Announcement(
        host_id=host_id,
        boot_id=make_born_boot_id(born),
        born_unix_ms=born,
        sequence=sequence,
        address="10.0.0.1:80",
        kind="engine",
        data_centre="dc",
        fabric_domain="f",
        **fields,
    )


def heard(announcement):
    return Heard(
        host_id=announcement.host_id,
        boot_id=announcement.boot_id,
        sequence=announcement.sequence,
        changed=announcement,
        content_digest=content_digest(announcement),
    )


def merge(table, announcement, now_s):
    table.merge_control_report("c1", [heard(announcement)], now_s)


@pytest.mark.parametrize("late_s", [0.5, TIMEOUT_S + 1.0, 60.0])
def test_late_heartbeat_of_a_life_that_was_never_seen_changes_nothing(late_s):
    table = MembershipTable(TIMEOUT_S)
    merge(table, announce(300, sequence=4), 0.0)
    merge(table, announce(200, sequence=9, leaving=True), late_s)
    record = table.host("h1")
    assert record.boot_id == "born-300"
    assert not record.announcement.leaving
    assert record.heard_at_s == 0.0


def test_late_heartbeat_does_not_take_back_a_drain():
    table = MembershipTable(TIMEOUT_S)
    merge(table, announce(300, leaving=True), 0.0)
    merge(table, announce(200, sequence=9), 0.2)
    assert table.host("h1").announcement.leaving
    assert table.is_departed("h1", "born-300")
    # A start after the drain is free of it.
    merge(table, announce(400), 0.4)
    assert not table.host("h1").announcement.leaving


def test_later_life_counts_although_a_late_heartbeat_of_the_earlier_came_after_it():
    table = MembershipTable(TIMEOUT_S)
    merge(table, announce(200, sequence=9), 10.0)
    report = heard(announce(300))
    report.age_ms = 500
    table.merge_control_report("c2", [report], 10.1)
    assert table.host("h1").boot_id == "born-300"


def test_control_that_hears_a_host_itself_ignores_an_earlier_life():
    collector = AnnouncementCollector(TIMEOUT_S)
    collector.announce(announce(300), 0.0)
    with pytest.raises(OldBootError):
        collector.announce(announce(200, sequence=9), 10.0)
    collector.announce(announce(400), 0.1)


def test_new_control_ignores_a_life_before_the_one_that_the_log_names():
    groups = GroupsState()
    member = GroupMember(host_id="h1", boot_id="born-300", rank=0)
    group = Group(group_id="g", service="s", members=[member], phase="forming")
    groups.put_group(PutGroup(group=group), 1)
    assert (groups.find_boot("h1"), groups.find_boot("h2")) == ("born-300", "")
    table = MembershipTable(TIMEOUT_S, find_recorded_boot=groups.find_boot)
    merge(table, announce(200), 0.0)
    assert table.host("h1") is None
    merge(table, announce(300), 0.1)
    merge(table, announce(200, sequence=9), 0.2)
    assert table.host("h1").boot_id == "born-300"


@pytest.mark.parametrize(
    ("boot_id", "other_id", "expected"),
    [
        ("born-200", "born-1000", True),
        ("born-1000", "born-200", False),
        ("born-200", "born-200", False),
        # Boots that don't tell when they began have no order.
        ("born-0", "born-200", False),
        ("born-200", "0199-ab", False),
        ("0199-ab", "born-200", False),
        ("born-200", "", False),
        ("born-2x", "born-200", False),
    ],
)
def test_order_of_boots(boot_id, other_id, expected):
    assert is_earlier_boot(boot_id, other_id) == expected


@pytest.mark.parametrize("seed", range(300))
def test_newest_born_that_was_heard_decides(seed):
    """Heartbeats of several lives arrive late, in any order and at any control."""
    rng = random.Random(seed)
    heartbeats = [
        announce(born, sequence, leaving=rng.random() < 0.2)
        for born in rng.sample(range(1, 1_000), rng.randint(2, 4))
        for sequence in range(1, rng.randint(2, 6))
    ]
    rng.shuffle(heartbeats)
    tables = [MembershipTable(TIMEOUT_S) for _ in range(3)]
    newest = [0] * 3
    now_s = 0.0
    for heartbeat in heartbeats:
        now_s += rng.choice([0.01, 0.5, 2.0, 2 * TIMEOUT_S])
        if rng.random() < 0.1:
            # A control that starts again knows the lives that the log names.
            at = rng.randrange(3)
            boot_id = make_born_boot_id(newest[at]) if newest[at] else ""
            tables[at] = MembershipTable(
                TIMEOUT_S, find_recorded_boot=lambda host_id, found=boot_id: found
            )
        reached = [at for at in range(3) if rng.random() < 0.7]
        for at in reached:
            merge(tables[at], heartbeat, now_s)
            newest[at] = max(newest[at], heartbeat.born_unix_ms)
            record = tables[at].host("h1")
            if record is not None:
                assert record.boot_id == make_born_boot_id(newest[at])
