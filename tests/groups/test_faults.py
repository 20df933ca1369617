"""Tests single faults, with and without the mechanism that guards against them."""

import pytest

from chestnutvale.groups.orders import OrderScheduler
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.schema.groups_pb2 import DrainHost, FreeHost
from tests.groups.history import History


class UnguardedOrders(OrderScheduler):
    """Sends to hosts without fencing even if the lease is not confirmed."""

    def _is_allowed(self, record, lease_confirmed, now_s):
        return True


class EternalView(EntryView):
    """Keeps serving after its lease has expired."""

    def has_lease(self, now_s):
        return True


class ImmediateReleaseState(GroupsState):
    """Frees hosts before their release is complete."""

    def _release(self, host_id, boot_id, address, group_id, at_unix_ms):
        super()._release(host_id, boot_id, address, group_id, at_unix_ms)
        fence = self.releases[host_id].fence
        self.free_host(FreeHost(host_id=host_id, fence=fence), at_unix_ms)


def freeze_leader_while_forming(history):
    """Freeze a leader with due orders; resume it after another leader sent orders."""
    world = history.world
    old = world.leader
    history.run(4.5)
    assert world.state.groups
    old.is_running = False
    history.run(world.policy.leader_lease_s + 1.0)
    world.elect("c1")
    history.run(10.0)
    for host in world.hosts.values():
        world.submit("drain_host", DrainHost(host_id=host.host_id, draining=True))
    history.run(12.0)
    old.is_running = True
    history.run(5.0)


def test_a_resumed_leader_sends_no_orders():
    freeze_leader_while_forming(History(fencing=False, lossy=False))


def test_fencing_hosts_reject_orders_of_a_resumed_leader():
    history = History(fencing=True, lossy=False, make_orders=UnguardedOrders)
    freeze_leader_while_forming(history)


def test_without_the_lease_orders_of_a_resumed_leader_are_carried_out():
    history = History(fencing=False, lossy=False, make_orders=UnguardedOrders)
    with pytest.raises(AssertionError, match="older order"):
        freeze_leader_while_forming(history)


def lose_leader_and_member(history):
    history.run(20.0)
    member = history.world.state.groups[min(history.world.state.groups)].members[1]
    history.world.leader.is_running = False
    history.world.hosts[member.host_id].status = history.hosts()[0].status.DEAD
    history.run(8.0)


def test_no_entry_serves_a_broken_group_without_a_leader():
    lose_leader_and_member(History(lossy=False))


def test_without_the_lease_a_broken_group_is_served():
    history = History(lossy=False, make_view=EternalView)
    with pytest.raises(AssertionError, match="without a member"):
        lose_leader_and_member(history)
