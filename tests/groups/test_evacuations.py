"""Planning while data centres are evacuated: what is kept, and what is formed."""

import pytest

from benchmarks.groups_driver import make_hosts
from chestnutvale.groups.const import POOL_ORDER_TIMEOUT_S
from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.free_hosts import count_prospects
from chestnutvale.groups.planner import GroupPlanner, PlanInputs
from chestnutvale.groups.pools import select_pooled_services
from chestnutvale.groups.state import GroupsState
from chestnutvale.schema.configuration_pb2 import Service, Text
from tests.groups.test_planner import (
    make_membership_table,
    make_model_service,
    make_plain_announcement,
)
from tests.groups.test_pools import BIG, SMALL, Pool, all_hosts, make_text

FAR_DOMAINS = ("d3", "d4", "d5")


def make_pool():
    pool = Pool()
    pool.data_centres = dict.fromkeys(FAR_DOMAINS, "b")
    return pool


def announce_all(pool, now_s, without="", **fields):
    for host_id in all_hosts():
        if pool.data_centres.get(host_id[:2], "a") != without:
            pool.announce(host_id, now_s, **fields)


def make_serving_pool():
    pool = make_pool()
    announce_all(pool, 0.0)
    pool.plan(2.0)
    pool.apply_assignments()
    pool.promote_groups()
    announce_all(pool, 2.1)
    return pool


def plan_all(pool, planner, now_s, **fields):
    pool.table.merge_entry_report("e", [], now_s)
    inputs = PlanInputs(
        pool.state, pool.table, make_text(), 0, evacuated=pool.evacuated, **fields
    )
    return planner.plan(inputs, now_s)


def groups_in(pool, data_centre):
    return {
        group_id: group.epoch
        for group_id, group in pool.state.groups.items()
        if group.data_centre == data_centre
    }


def test_groups_there_are_kept_and_no_others_are_formed():
    # Guards against a finish after which the groups must load their weights again.
    pool = make_serving_pool()
    kept = groups_in(pool, "b")
    assert kept
    pool.evacuated = frozenset({"b"})
    for step in range(1, 40):
        announce_all(pool, 2.1 + step)
        commands = pool.plan(2.2 + step)
        assert not [c for c in commands if c.group.data_centre == "b"]
    assert groups_in(pool, "b") == kept
    pool.evacuated = frozenset()
    assert groups_in(pool, "b") == kept


def test_a_free_pool_fills_only_outside_the_evacuated_data_centre():
    # Guards against groups, staged weights and warm-ups where nothing may be sent.
    pool = make_pool()
    planner = GroupPlanner()
    pool.evacuated = frozenset({"b"})
    announce_all(pool, 0.0, staged=[SMALL])
    commands = plan_all(pool, planner, 2.0, remaining_loads=100)
    assert {command.group.data_centre for command in commands} == {"a"}
    for command in commands:
        pool.state.put_group(command, 0)
    plan_all(pool, planner, 2.1, remaining_loads=100)
    hosts = [item.host for item in planner.pop_spare_requests()]
    assert {host.announcement.data_centre for host in hosts} == {"a"}
    pool.evacuated = frozenset()
    planned = plan_all(pool, planner, 2.2, remaining_loads=100)
    assert {command.group.data_centre for command in planned} == {"b"}


def test_all_data_centres_evacuated_form_nothing():
    # Guards against a planner that fails without a host.
    pool = make_pool()
    pool.evacuated = frozenset({"a", "b"})
    announce_all(pool, 0.0)
    assert not plan_all(pool, GroupPlanner(), 3.0, remaining_loads=100)


def test_groups_there_are_no_capacity_of_their_model():
    # Guards against a model without groups elsewhere that gets none as it has some.
    pool = make_serving_pool()
    pool.evacuated = frozenset({"b"})
    fleet = Fleet.collect(pool.state, pool.table, 2.5, pool.evacuated)
    counted = fleet.select_counted(pool.state.groups.values())
    assert {group.group_id for group in counted} == set(groups_in(pool, "a"))
    counts = count_prospects(select_pooled_services(make_text()), counted, fleet)
    assert counts[BIG] + counts[SMALL] == len(counted)
    assert len(fleet.live_hosts) == 30


def test_loss_of_another_data_centre_leaves_the_rest_to_serve():
    # Guards against groups formed in the evacuated data centre for those that are lost.
    pool = make_serving_pool()
    kept = groups_in(pool, "b")
    pool.evacuated = frozenset({"b"})
    for step in range(1, 12):
        announce_all(pool, 2.1 + step, without="a")
        pool.plan(2.2 + step)
    assert groups_in(pool, "b") == kept
    lost = groups_in(pool, "a")
    counted = pool.fleet.select_counted(pool.state.groups.values())
    assert lost.keys().isdisjoint(group.group_id for group in counted)
    pool.holdings = {
        host_id: holding
        for host_id, holding in pool.holdings.items()
        if pool.data_centres.get(host_id[:2]) == "b"
    }
    announce_all(pool, 15.0)
    pool.plan(15.1)
    assert lost.keys().isdisjoint(groups_in(pool, "a"))
    pool.state.releases.clear()
    pool.plan(17.5)
    assert groups_in(pool, "a")
    assert groups_in(pool, "b") == kept


def test_a_lost_group_there_is_not_formed_again_before_the_end():
    # Guards against a dissolved group whose free hosts are used at once.
    pool = make_serving_pool()
    lost_id, epoch = next(iter(groups_in(pool, "b").items()))
    members = {m.host_id for m in pool.state.groups[lost_id].members}
    pool.evacuated = frozenset({"b"})
    victim = min(members)
    for step in range(1, int(POOL_ORDER_TIMEOUT_S) + 4):
        for host_id in all_hosts():
            if host_id != victim:
                pool.announce(host_id, 2.1 + step)
        pool.plan(2.2 + step)
    assert groups_in(pool, "b").get(lost_id) != epoch
    assert all(host_id not in pool.state.owners for host_id in members)


@pytest.mark.parametrize("wanted", [1, 2])
def test_a_service_without_a_pool_gets_its_groups_elsewhere(wanted):
    # Guards against a service that counts the groups that may serve nobody.
    text = Text(number=1, services={"s": make_model_service(wanted, 4)})
    table = make_membership_table(
        [host.announce(0.0) for host in make_hosts(2, 9, data_centres=2).values()]
    )
    state, planner = GroupsState(), GroupPlanner()

    def plan(evacuated, now_s):
        inputs = PlanInputs(state, table, text, 0, evacuated=frozenset(evacuated))
        return planner.plan(inputs, now_s)

    first = plan({"dc1"}, 0.1)
    assert [c.group.data_centre for c in first] == ["dc0"] * wanted
    for command in first:
        state.put_group(command, 0)
    assert not plan({"dc1"}, 0.2)
    replaced = plan({"dc0"}, 0.3)
    assert [c.group.data_centre for c in replaced] == ["dc1"] * wanted
    for command in replaced:
        state.put_group(command, 0)
    assert not plan({"dc0"}, 0.4)
    assert len(state.groups) == 2 * wanted


def test_a_dependency_in_an_evacuated_data_centre_is_not_available():
    # Guards against groups that are formed before the service that they call.
    text = Text(
        number=1,
        services={
            "s": make_model_service(1, 2, depends_on=["ledger-app"]),
            "ledger-app": Service(kind="plain"),
        },
    )
    hosts = [host.announce(0.0) for host in make_hosts(1, 2).values()]
    table = make_membership_table([*hosts, make_plain_announcement()])
    state, planner = GroupsState(), GroupPlanner()
    inputs = PlanInputs(state, table, text, 0)
    (plain,) = planner.plan(inputs, 0.1)
    state.put_group(plain, 0)
    state.groups[plain.group.group_id].phase = "serving"
    there = PlanInputs(state, table, text, 0, evacuated=frozenset({"d"}))
    assert not planner.plan(there, 0.2)
    assert [c.group.service for c in planner.plan(inputs, 0.3)] == ["s"]


def test_a_plain_host_that_appears_in_an_evacuated_data_centre_waits():
    # Guards against a new group there; its host joins with the end of the evacuation.
    text = Text(number=1, services={"ledger-app": Service(kind="plain")})
    table = make_membership_table([make_plain_announcement()])
    state, planner = GroupsState(), GroupPlanner()
    there = PlanInputs(state, table, text, 0, evacuated=frozenset({"d"}))
    assert not planner.plan(there, 0.1)
    assert len(planner.plan(PlanInputs(state, table, text, 0), 0.2)) == 1
