"""Tests which weights the free hosts of a pool stage."""

from chestnutvale.groups.const import STAGE_BUSY_RETRY_S
from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.planner import GroupPlanner, PlanInputs
from chestnutvale.groups.pool_demand import PoolDemand
from chestnutvale.groups.pools import select_pooled_services
from chestnutvale.groups.staging import StagingPlanner
from chestnutvale.schema.configuration_pb2 import ServiceLimits
from tests.groups.test_pools import BIG, SMALL, all_hosts, make_serving_pool, make_text


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
    assert "d0-900" in {item.host.host_id for item in planner.pop_staging_requests()}
