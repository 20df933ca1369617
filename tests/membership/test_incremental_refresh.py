"""Incrementally refreshed views must equal views built from scratch."""

import random

import pytest

from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.cold_state import ColdRule
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.schema.groups_pb2 import DrainHost, Group, GroupMember, PutGroup
from chestnutvale.schema.membership_pb2 import Announcement, Heard, Holding, Load

GROUP_COUNT = 3
GROUP_SIZE = 3


class HostSimulation:
    """Hosts in groups that become silent, restart, leave and return at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        # Separate, so that the other events of a seed stay the same.
        self.cold_rng = random.Random(seed)
        self.now_s = 100.0
        self.sequence = 0
        self.state = GroupsState()
        self.table = MembershipTable()
        self.boots = {f"h{n}": 1 for n in range(GROUP_COUNT * GROUP_SIZE)}
        self.epochs = {}
        for number in range(GROUP_COUNT):
            self.put_group(f"g{number}")

    def put_group(self, group_id):
        """Create a group, or update it to the current boots of its members."""
        before = self.state.groups.get(group_id)
        first = int(group_id[1:]) * GROUP_SIZE
        hosts = [f"h{n}" for n in range(first, first + GROUP_SIZE)]
        members = [
            GroupMember(host_id=host, boot_id=f"{host}.{self.boots[host]}", rank=rank)
            for rank, host in enumerate(hosts)
        ]
        group = Group(group_id=group_id, service="s", version="1", members=members)
        group.phase = "serving" if before else "forming"
        epoch = before.epoch if before else 0
        result = self.state.put_group(PutGroup(group=group, expected_epoch=epoch), 1)
        self.epochs.update(dict.fromkeys(hosts, (group_id, result.epoch)))

    def announce(self, host):
        """Report a host with a random load, sometimes with a delay."""
        self.sequence += 1
        group_id, epoch = self.epochs[host]
        content = Announcement(
            host_id=host,
            boot_id=f"{host}.{self.boots[host]}",
            leaving=self.rng.random() < 0.01 and self.may_leave,
            data_centre=f"d{int(group_id[1:]) % 2}",
            holding=Holding(group_id=group_id, epoch=epoch, phase="ready"),
            load=Load(running=self.rng.randrange(3)),
        )
        heard = Heard(
            host_id=host,
            boot_id=content.boot_id,
            sequence=self.sequence,
            age_ms=self.rng.choice((0, 900)),
            content_digest=hash((content.boot_id, content.leaving, epoch)) % 2**64,
        )
        heard.cold_remaining_ms = self.cold_rng.choice((0, 0, 0, 400, 3_000))
        if self.rng.random() < 0.97:
            heard.changed.CopyFrom(content)
        self.table.merge_entry_report("e", [heard], self.now_s)

    def make_cold_rule(self):
        """Return a rule by which an evacuation ends in the middle of the run."""
        ends_s = {"d0": 150.0} if self.now_s > 150.0 else {}
        return ColdRule(frozenset({"s"}), evacuations_ended_s=ends_s)

    @property
    def may_leave(self):
        """Whether hosts leave by now; a boot that has left does not come back."""
        return self.now_s > 130.0

    def step(self):
        """Apply one random event and advance the time."""
        host = self.rng.choice(sorted(self.boots))
        match self.rng.randrange(200):
            case 0:
                self.boots[host] += 1
            case 1 | 2 | 3 | 4 | 5 | 6:
                self.put_group(self.epochs[host][0])
            case 7 | 8:
                draining = self.rng.random() < 0.3
                self.state.drain_host(DrainHost(host_id=host, draining=draining), 1)
            case 9:
                self.now_s += self.rng.choice((1.0, 2.9, 3.1))
            case _:
                self.announce(host)
        self.now_s += 0.05


@pytest.mark.parametrize("seed", range(6))
def test_incremental_refresh_equals_a_full_one(seed):
    simulation = HostSimulation(seed)
    publisher = ViewPublisher("c")
    serving_count = evacuated_count = cold_count = 0
    orders = random.Random(seed)
    evacuated = frozenset()
    for _ in range(1_500):
        simulation.step()
        if orders.random() < 0.02:
            evacuated ^= {orders.choice(("d0", "d1"))}
        rule = simulation.make_cold_rule()
        inputs = (simulation.state, simulation.table, simulation.now_s, evacuated, rule)
        publisher.refresh(*inputs)
        full_publisher = ViewPublisher("c")
        full_publisher.refresh(*inputs)
        assert publisher.group_views() == full_publisher.group_views()
        views = full_publisher.group_views()
        serving_count += sum(view.serving for view in views)
        evacuated_count += sum(view.evacuated for view in views)
        cold_count += sum(view.needs_cold_share for view in views)
    assert serving_count > 100
    assert evacuated_count > 100
    assert 0 < cold_count < serving_count
