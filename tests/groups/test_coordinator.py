"""Tests rounds of the coordinator with its planner and order scheduler."""

import pytest

from chestnutvale.groups.coordinator import GroupCoordinator, ProposeCommand
from chestnutvale.groups.orders import OrderOutcome, OrderScheduler, SendOrder
from chestnutvale.groups.planner import GroupPlanner
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.membership_pb2 import Announcement, Holding

TEXT = Text(
    number=1,
    services={"s": Service(kind="model", groups=1, hosts_per_group=2, model="m")},
)


class Rounds:
    """Runs a coordinator with two hosts, one entry and one control."""

    def __init__(self, fencing):
        self.fencing = fencing
        self.collector = AnnouncementCollector()
        self.table = MembershipTable()
        self.state = GroupsState()
        self.coordinator = GroupCoordinator(GroupPlanner(), OrderScheduler())
        self.sequence = 0
        self.evacuated = frozenset()

    def announce_hosts(self, now_s, holding=None):
        self.sequence += 1
        for host in "ab":
            announcement = Announcement(
                host_id=host,
                boot_id="b",
                sequence=self.sequence,
                address="10.0.0.1:1",
                data_centre="d",
                fabric_domain="f",
                kind="engine",
                fencing=self.fencing,
                holding=holding,
            )
            self.collector.announce(announcement, now_s)
        self.table.merge_entry_report("e", self.collector.drain_report(now_s), now_s)

    def tick(self, now_s, lease_confirmed=True):
        effects = self.coordinator.tick(
            now_s,
            self.state,
            self.table,
            TEXT,
            lease_confirmed,
            1_000,
            evacuated=self.evacuated,
        )
        for effect in effects:
            if isinstance(effect, ProposeCommand):
                body = effect.command.WhichOneof("body")
                getattr(self.state, body)(getattr(effect.command, body), 1_000)
        return [effect for effect in effects if isinstance(effect, SendOrder)]


@pytest.mark.parametrize("fencing", [True, False])
def test_a_group_is_formed_ordered_and_promoted(fencing):
    rounds = Rounds(fencing)
    rounds.announce_hosts(0.0)
    assert rounds.tick(0.0) == []
    rounds.coordinator.became_leader(0.0)
    rounds.announce_hosts(5.0)
    rounds.tick(5.0)
    assert [group.phase for group in rounds.state.groups.values()] == ["forming"]
    sends = rounds.tick(5.1)
    assert [send.order.kind for send in sends] == ["assign", "assign"]
    assert rounds.tick(5.2) == []
    for send in sends:
        rounds.coordinator.order_answered(
            send.host_id, send.order.order_id, OrderOutcome.ACCEPTED, 5.3
        )
    group = next(iter(rounds.state.groups.values()))
    holding = Holding(
        group_id=group.group_id, epoch=group.epoch, service="s", phase="ready"
    )
    rounds.announce_hosts(6.0, holding)
    rounds.tick(6.0)
    assert [group.phase for group in rounds.state.groups.values()] == ["serving"]
    assert rounds.tick(6.1) == []


@pytest.mark.parametrize("fencing", [True, False])
def test_a_host_is_free_after_its_release_without_an_announced_fence(fencing):
    rounds = Rounds(fencing)
    rounds.coordinator.became_leader(0.0)
    unknown = Holding(group_id="old", epoch=9, service="s", phase="ready")
    rounds.announce_hosts(10.0, unknown)
    rounds.tick(10.0)
    assert set(rounds.state.releases) == {"a", "b"}
    sends = rounds.tick(10.1)
    assert [send.order.kind for send in sends] == ["release", "release"]
    rounds.announce_hosts(11.0)
    rounds.announce_hosts(14.0)
    rounds.tick(14.0)
    assert set(rounds.state.releases) == {"a", "b"}
    for send in sends:
        rounds.coordinator.order_answered(
            send.host_id, send.order.order_id, OrderOutcome.ACCEPTED, 14.1
        )
    rounds.announce_hosts(16.0)
    rounds.tick(16.0)
    assert not rounds.state.releases


def test_hosts_without_fencing_wait_for_a_confirmed_lease_and_the_old_one():
    rounds = Rounds(fencing=False)
    rounds.coordinator.became_leader(0.0)
    rounds.announce_hosts(4.0)
    rounds.tick(4.0)
    rounds.coordinator.became_leader(4.0)
    rounds.announce_hosts(5.0)
    assert rounds.tick(5.0) == []
    assert rounds.tick(6.5, lease_confirmed=False) == []
    assert len(rounds.tick(6.6)) == 2
    rounds.coordinator.lost_leadership()
    assert rounds.tick(20.0) == []


def test_a_group_that_forms_in_an_evacuated_data_centre_gets_no_order():
    # Guards against hosts that load weights for a group that may serve nobody.
    rounds = Rounds(fencing=True)
    rounds.coordinator.became_leader(0.0)
    rounds.announce_hosts(4.9)
    rounds.tick(5.0)
    assert len(rounds.state.groups) == 1
    rounds.evacuated = frozenset({"d"})
    assert rounds.tick(5.1) == []
    assert len(rounds.state.groups) == 1
    rounds.evacuated = frozenset()
    # The order is finished, which is an input of its own: no timeout is awaited.
    assert [send.order.kind for send in rounds.tick(5.11)] == ["assign", "assign"]
