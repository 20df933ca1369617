"""What the leader does to groups with running calls when the configuration changes."""

import pytest

from chestnutvale.groups.serving import find_serving_fault
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.schema.configuration_pb2 import Route, Text
from chestnutvale.schema.groups_pb2 import RemoveGroup
from tests.groups.test_pools import BIG, SMALL, all_hosts, make_serving_pool, make_text

POLICY = GroupsPolicy(engine_stall_s=5.0, serving_lease_s=2.0, drain_timeout_s=8.0)
TIMEOUT_MS = 30_000
ROUND_S = 0.5


class BusyPool:
    """A pool in each of whose groups a call runs."""

    def __init__(self):
        self.pool = make_serving_pool()
        self.pool.idle_tracker.policy = POLICY
        self.groups = dict(self.pool.state.groups)
        self.running = 1
        self.now_s = 2.0
        self.change(restore)

    def run_rounds(self, count):
        """Run rounds of the leader and return its commands."""
        commands = []
        for _ in range(count):
            self.now_s += ROUND_S
            for host_id in all_hosts():
                self.pool.announce(host_id, self.now_s)
            for group in self.pool.state.groups.values():
                head_id = group.members[0].host_id
                self.pool.table.record_running_attempts(head_id, self.running)
            commands += self.pool.plan(self.now_s)
        return commands

    def change(self, *steps):
        """Put texts in force, one in each round."""
        commands = []
        for step in steps:
            text = Text()
            text.CopyFrom(self.pool.text)
            text.number += 1
            step(text)
            self.pool.text = text
            commands += self.run_rounds(1)
        return commands


def restore(text):
    number = text.number
    text.CopyFrom(make_text())
    text.number = number
    text.routes.append(Route(timeout_ms=TIMEOUT_MS))


def drop_model(text):
    del text.services[BIG]


def drop_share(text):
    text.services[BIG].work_share = 0.0


def drop_all(text):
    text.services.clear()
    del text.routes[:]


def shorten_timeout(text):
    text.routes[0].timeout_ms = 1


def drop_routes(text):
    del text.routes[:]


def change_share(text):
    text.services[BIG].work_share = 0.01


def change_places(text):
    for service in text.services.values():
        service.limits.max_running_requests = 100


def resize_model(text):
    text.services[BIG].hosts_per_group = 3


CHANGES = {
    "model leaves": (drop_model,),
    "model leaves and returns": (drop_model, restore),
    "model leaves with its routes": (drop_all,),
    "all leave and return": (drop_all, restore),
    "share of 0": (drop_share,),
    "share of 0 and back": (drop_share, restore),
    "shorter timeout": (shorten_timeout,),
    "shorter timeout, then the model leaves": (shorten_timeout, drop_model),
    "routes leave": (drop_routes,),
    "routes leave, then the model": (drop_routes, drop_model),
    "share": (change_share,),
    "places": (change_places,),
    "size": (resize_model,),
    "size and back": (resize_model, restore),
}


@pytest.mark.parametrize("name", CHANGES)
def test_no_group_is_removed_while_its_calls_may_run(name):
    busy = BusyPool()
    commands = busy.change(*CHANGES[name])
    # Calls that were accepted under the first text may last as long as it says.
    commands += busy.run_rounds(int(TIMEOUT_MS / 1_000 / ROUND_S))
    removed = {item.group_id for item in commands if isinstance(item, RemoveGroup)}
    assert not removed & set(busy.groups)
    for group_id, group in busy.groups.items():
        now = busy.pool.state.groups[group_id]
        assert (now.members, now.service) == (group.members, group.service)
        assert now.phase in ("serving", "draining")


@pytest.mark.parametrize("name", ["model leaves", "share of 0"])
def test_group_of_a_model_that_left_ends_once_its_calls_have_ended(name):
    busy = BusyPool()
    busy.change(*CHANGES[name])
    drained = [g for g in busy.pool.state.groups.values() if g.phase == "draining"]
    assert {group.service for group in drained} == {BIG}
    busy.running = 0
    removed = busy.run_rounds(4)
    names = {item.group_id for item in removed if isinstance(item, RemoveGroup)}
    assert names == {group.group_id for group in drained}


def test_groups_of_another_size_than_the_model_has_get_no_new_calls():
    # Guards against calls in groups that the configuration calls incomplete.
    busy = BusyPool()
    busy.change(resize_model)
    busy.running = 0
    busy.run_rounds(8)
    serving = [
        group
        for group in busy.pool.state.groups.values()
        if not find_serving_fault(group, busy.pool.table, busy.now_s, {})
    ]
    sizes = {SMALL: 2, BIG: 3}
    assert all(len(group.members) == sizes[group.service] for group in serving)
