"""Tests which weights the free hosts of a pool stage."""

from chestnutvale.groups.const import STAGE_BUSY_RETRY_S
from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.free_hosts import count_prospects
from chestnutvale.groups.planner import GroupPlanner, PlanInputs
from chestnutvale.groups.pool_demand import PoolDemand
from chestnutvale.groups.pools import select_pooled_services
from chestnutvale.groups.staging import StagingPlanner
from chestnutvale.schema.configuration_pb2 import ServiceLimits
from chestnutvale.schema.groups_pb2 import Group
from tests.groups.test_pools import (
    BIG,
    SMALL,
    Pool,
    all_hosts,
    make_serving_pool,
    make_text,
)


def plan(pool, staging, now_s, remaining_loads=7):
    fleet = Fleet.collect(pool.state, pool.table, now_s)
    groups = pool.state.groups.values()
    services = select_pooled_services(make_text())
    return staging.plan(services, groups, fleet, remaining_loads, True, now_s)


def free_hosts(pool):
    return [name for name in all_hosts() if name not in pool.state.owners]


def test_free_hosts_stage_the_weights_of_groups_in_their_domain():
    pool = make_serving_pool()
    staging = StagingPlanner(PoolDemand())
    chosen = plan(pool, staging, 2.5, remaining_loads=20)
    assert {item.host.host_id for item in chosen} == set(free_hosts(pool))
    assert {item.service for item in chosen} == {BIG}
    assert plan(pool, staging, 2.6, remaining_loads=20) == []


def test_loads_are_limited_and_continue_when_one_completes():
    pool = make_serving_pool()
    staging = StagingPlanner(PoolDemand())
    first = plan(pool, staging, 2.5, remaining_loads=3)
    assert len(first) == 3
    assert plan(pool, staging, 2.6, remaining_loads=3) == []
    done = first[0].host.host_id
    pool.announce(done, 2.7, staged=[BIG])
    assert len(plan(pool, staging, 2.8, remaining_loads=3)) == 1


def test_unused_weights_are_replaced_for_a_model_with_much_higher_pressure():
    pool = make_serving_pool()
    for name in free_hosts(pool):
        pool.announce(name, 2.4, staged=[BIG])
    pool_demand = PoolDemand()
    pool_demand.observe({BIG: 10.0, SMALL: 10.0}, 0.0)
    assert plan(pool, StagingPlanner(pool_demand), 2.5) == []
    pool_demand.observe({BIG: 1.0, SMALL: 60.0}, 60.0)
    chosen = plan(pool, StagingPlanner(pool_demand), 2.5)
    assert chosen
    assert {item.service for item in chosen} == {SMALL}


def test_pressure_is_requests_per_slot():
    pool_demand = PoolDemand()
    service = make_text().services[BIG]
    service.limits.CopyFrom(ServiceLimits(max_running_requests=9))
    assert pool_demand.pressure(BIG, service, 2) == 0.5 / 8
    pool_demand.observe({BIG: 9.0}, 1.0)
    assert pool_demand.pressure(BIG, service, 2) == 0.5
    assert pool_demand.pressure(BIG, service, 0) == float("inf")


def test_a_busy_host_is_retried_after_a_delay():
    pool = make_serving_pool()
    staging = StagingPlanner(PoolDemand())
    (chosen,) = plan(pool, staging, 2.5, remaining_loads=1)
    host_id = chosen.host.host_id
    staging.record_failure(host_id, 2.5, is_busy=True)
    # Until then its load counts against the load limit.
    assert plan(pool, staging, 2.5 + STAGE_BUSY_RETRY_S - 0.1, remaining_loads=1) == []
    for name in all_hosts():
        pool.announce(name, 7.0)
    assert (
        len(plan(pool, staging, 2.5 + STAGE_BUSY_RETRY_S + 0.1, remaining_loads=1)) == 1
    )


def test_new_hosts_stage_at_once_when_there_is_demand():
    pool = make_serving_pool()
    planner = GroupPlanner(pool.policy)
    planner.pools.pool_demand.observe({BIG: 5.0, SMALL: 5.0}, 2.0)
    pool.announce("d0-900", 2.6)
    pool.table.merge_entry_report("e1", [], 2.6)
    inputs = PlanInputs(
        pool.state,
        pool.table,
        make_text(),
        0,
        {BIG: 5.0, SMALL: 5.0},
        remaining_loads=20,
    )
    planner.plan(inputs, 2.7)
    assert "d0-900" in {item.host.host_id for item in planner.pop_spare_requests()}


class FreePool:
    """Free hosts of two domains, some of which still release their group."""

    def __init__(self):
        self.pool = Pool()
        self.releasing = set()
        self.pool_demand = PoolDemand()

    def add(self, domain, numbers, staged=(), is_releasing=False):
        for number in numbers:
            host_id = f"{domain}-{number}"
            self.pool.announce(host_id, 0.0, staged=staged)
            if is_releasing:
                self.releasing.add(host_id)

    def plan(self, demand, remaining_loads=7, domains=("d0", "d1")):
        """Return the staging of one round as pairs of host and service.

        Each model has a group in each of `domains`, and one in another domain.
        """
        fleet = Fleet.collect(self.pool.state, self.pool.table, 1.0)
        for domain, hosts in fleet.free_by_domain.items():
            held = [host for host in hosts if host.host_id in self.releasing]
            fleet.releasing_by_domain[domain] = held
            fleet.free_by_domain[domain] = [h for h in hosts if h not in held]
        self.pool_demand.observe(demand, 0.0)
        # Some groups of each model, so that no pressure is infinite.
        groups = [
            Group(service=name, fabric_domain=f"gpu.{domain}")
            for name in (BIG, SMALL)
            for domain in (*domains, "d5")
        ]
        services = select_pooled_services(make_text())
        chosen = StagingPlanner(self.pool_demand).plan(
            services, groups, fleet, remaining_loads, True, 1.0
        )
        return [(item.host.host_id, item.service) for item in chosen]


def test_a_spare_is_kept_for_hosts_that_still_release_their_group():
    free = FreePool()
    free.add("d0", [1], staged=[BIG])
    free.add("d0", [2, 3, 4], staged=[BIG], is_releasing=True)
    free.add("d0", [5], staged=[SMALL])
    # The four hosts form a group without a load as soon as the head lets go.
    assert free.plan({BIG: 2.0, SMALL: 60.0}) == []


def test_the_load_that_completes_a_group_comes_first():
    free = FreePool()
    free.add("d0", [1, 2, 3], staged=[BIG])
    free.add("d0", [4])
    free.add("d1", [11, 12, 13, 14])
    assert free.plan({BIG: 8.0, SMALL: 8.0}, remaining_loads=1) == [("d0-4", BIG)]


def test_loads_are_spread_by_the_pressure_that_each_relieves():
    free = FreePool()
    free.add("d0", range(1, 5))
    # A small group takes two loads, a large one four.
    chosen = free.plan({BIG: 8.0, SMALL: 6.0}, remaining_loads=2)
    assert [service for _, service in chosen] == [SMALL, SMALL]


def test_weights_without_use_are_replaced_if_fewer_loads_make_a_group():
    free = FreePool()
    free.add("d0", [1], staged=[SMALL])
    free.add("d0", [2], staged=[BIG])
    # One load makes a small group; a large one would take three.
    assert free.plan({BIG: 8.0, SMALL: 8.0}) == [("d0-2", SMALL)]


def test_weights_are_not_replaced_while_groups_have_free_capacity():
    free = FreePool()
    free.add("d0", [1], staged=[SMALL])
    free.add("d0", [2], staged=[BIG])
    assert free.plan({BIG: 0.5, SMALL: 0.5}) == []


def test_weights_that_no_group_of_the_domain_uses_are_replaced_sooner():
    free = FreePool()
    free.add("d0", [1], staged=[SMALL])
    free.add("d0", [2], staged=[BIG])
    demand = {BIG: 2.2, SMALL: 2.2}
    assert free.plan(demand) == []
    assert free.plan(demand, domains=("d1",)) == [("d0-2", SMALL)]


def test_a_single_new_host_becomes_a_spare_of_the_groups_in_its_domain():
    free = FreePool()
    free.add("d0", [1])
    services = select_pooled_services(make_text())
    fleet = Fleet.collect(free.pool.state, free.pool.table, 1.0)
    free.pool_demand.observe({BIG: 4.0, SMALL: 9.0}, 0.0)
    groups = [
        Group(service=BIG, fabric_domain="gpu.d0"),
        *(Group(service=SMALL, fabric_domain=f"gpu.d{n}") for n in range(1, 4)),
    ]
    chosen = StagingPlanner(free.pool_demand).plan(
        services, groups, fleet, 7, True, 1.0
    )
    assert [item.service for item in chosen] == [BIG]


def test_weights_are_not_replaced_for_a_part_of_a_group():
    free = FreePool()
    free.add("d0", [1, 2, 3], staged=[SMALL])
    free.add("d0", [4], staged=[SMALL], is_releasing=True)
    free.add("d1", [11], staged=[BIG])
    chosen = free.plan({BIG: 2.0, SMALL: 60.0})
    assert ("d1-11", SMALL) not in chosen


def test_hosts_that_already_load_count_as_staged():
    services = select_pooled_services(make_text())
    free = FreePool()
    free.add("d0", [1, 2])
    fleet = Fleet.collect(free.pool.state, free.pool.table, 1.0)
    pending = {"d0-1": SMALL, "d0-2": SMALL}
    assert count_prospects(services, [], fleet, pending)[SMALL] == 1
