"""The wait for a silent head counts from the first release that any control heard."""

import pytest

from chestnutvale.groups.const import HEAD_STALL_MARGIN_S
from chestnutvale.groups.orders import OrderOutcome, OrderScheduler
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_content import content_digest
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup, RemoveGroup
from chestnutvale.schema.membership_pb2 import Announcement, Heard, Holding

STALL_S = 5.0
HOSTS = ("head", "m1", "m2")


class DissolvedGroup:
    """A group whose head fell silent, seen by one control."""

    def __init__(self):
        self.sequence = 0
        self.table = MembershipTable(3.0)
        self.state = GroupsState()
        self.scheduler = OrderScheduler(GroupsPolicy(engine_stall_s=STALL_S))
        members = [
            GroupMember(host_id=name, boot_id="b", address=f"{name}:1", rank=rank)
            for rank, name in enumerate(HOSTS)
        ]
        group = Group(
            group_id="g", service="s", phase="forming", pooled=True, members=members
        )
        assert self.state.put_group(PutGroup(group=group), 1).outcome == "done"
        self.epoch = self.state.groups["g"].epoch
        for name in HOSTS:
            self.announce(name, 10.0, holds=True)
        remove = RemoveGroup(group_id="g", expected_epoch=self.epoch)
        assert self.state.remove_group(remove, 1).outcome == "done"
        self.scheduler.became_leader(10.0)

    def announce(self, name, now_s, holds):
        self.sequence += 1
        content = Announcement(
            host_id=name, boot_id="b", address=f"{name}:1", kind="engine", fencing=True
        )
        if holds:
            phase = "open" if name == "head" else "ready"
            rank = HOSTS.index(name)
            content.holding.CopyFrom(
                Holding(group_id="g", epoch=self.epoch, rank=rank, phase=phase)
            )
        heard = Heard(
            host_id=name,
            boot_id="b",
            sequence=self.sequence,
            changed=content,
            content_digest=content_digest(content),
        )
        self.table.merge_control_report("c", [heard], now_s)

    def accept_releases(self, now_s):
        """Have all members but the head accept their release order."""
        sends = self.scheduler.collect_due_orders(
            self.state, self.table, Text(), True, now_s, 1
        )
        for effect in sends:
            if effect.host_id != "head":
                self.scheduler.record_answer(
                    effect.host_id,
                    effect.order.order_id,
                    OrderOutcome.ACCEPTED,
                    now_s,
                )

    def free_hosts(self, now_s):
        found = self.scheduler.find_finished_releases(self.state, self.table, now_s, 1)
        return sorted(item.host_id for item in found)


@pytest.fixture
def group():
    made = DissolvedGroup()
    made.accept_releases(11.0)
    made.announce("m1", 11.1, holds=False)
    return made


def keep_fresh(group, now_s):
    group.announce("m1", now_s, holds=False)
    group.announce("m2", now_s, holds=False)


def test_members_wait_for_a_silent_head(group):
    keep_fresh(group, 14.0)
    assert group.free_hosts(14.1) == []


def test_all_members_are_free_a_stall_time_after_the_first_release(group):
    end_s = 11.1 + STALL_S + HEAD_STALL_MARGIN_S
    keep_fresh(group, end_s - 0.1)
    assert group.free_hosts(end_s - 0.05) == []
    assert group.free_hosts(end_s + 0.05) == ["m1", "m2"]


def test_a_new_leader_does_not_wait_again(group):
    keep_fresh(group, 15.0)
    group.scheduler = OrderScheduler(GroupsPolicy(engine_stall_s=STALL_S))
    group.scheduler.became_leader(15.0)
    group.accept_releases(15.1)
    end_s = 11.1 + STALL_S + HEAD_STALL_MARGIN_S
    keep_fresh(group, end_s - 0.1)
    assert group.free_hosts(end_s - 0.05) == []
    assert group.free_hosts(end_s + 0.05) == ["m1", "m2"]


@pytest.mark.parametrize("heard_before_joining", [False, True])
def test_a_new_leader_that_has_not_heard_the_head_waits(group, heard_before_joining):
    # Guards against a member that joins another group while its head accepts calls.
    group.table = MembershipTable(3.0)
    if heard_before_joining:
        group.announce("head", 14.5, holds=False)
    group.table.extend_detection_timeout(18.0, 15.0)
    group.scheduler = OrderScheduler(GroupsPolicy(engine_stall_s=STALL_S))
    group.scheduler.became_leader(15.0)
    keep_fresh(group, 15.1)
    group.accept_releases(15.2)
    keep_fresh(group, 15.3)
    assert group.free_hosts(15.4) == []
    end_s = 15.4 + STALL_S + HEAD_STALL_MARGIN_S
    keep_fresh(group, end_s - 0.1)
    assert group.free_hosts(end_s + 0.05) == ["m1", "m2"]


def test_a_member_that_holds_the_group_again_starts_the_wait_anew(group):
    group.announce("m1", 12.0, holds=True)
    group.announce("m2", 12.0, holds=True)
    assert group.table.host("m1").released_group_id == ""


def test_a_restart_is_no_release(group):
    heard = Heard(
        host_id="m1",
        boot_id="b2",
        sequence=1,
        changed=Announcement(host_id="m1", boot_id="b2", address="m1:1"),
        content_digest=1,
    )
    group.table.merge_control_report("c", [heard], 12.0)
    assert group.table.host("m1").released_group_id == ""
