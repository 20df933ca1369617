"""Free hosts warm up for the weights that they have staged."""

from chestnutvale.groups.const import ORDER_ASSIGN, WARM_UP_RETRY_S
from chestnutvale.groups.fleet import (
    Fleet,
    is_warm_up,
    make_member,
    make_warm_up_group_id,
)
from chestnutvale.groups.order_messages import make_warm_up_order
from chestnutvale.groups.pools import select_pooled_services
from chestnutvale.groups.warm_up import WarmUpPlanner
from chestnutvale.schema.groups_pb2 import Group, PutGroup
from chestnutvale.schema.membership_pb2 import Holding
from tests.groups.test_pools import BIG, SMALL, Pool, make_text

HOST = "d0-1"


def plan(pool, planner, now_s, staging=()):
    fleet = Fleet.collect(pool.state, pool.table, now_s)
    services = select_pooled_services(make_text())
    chosen = planner.plan(services, fleet, staging, now_s)
    return [(item.host.host_id, item.service) for item in chosen]


def hold_warm_up(pool, service, phase):
    pool.holdings[HOST] = Holding(
        group_id=make_warm_up_group_id(HOST, service),
        epoch=3,
        service=service,
        phase=phase,
    )


def test_a_free_host_warms_up_once_for_its_staged_weights():
    pool, planner = Pool(), WarmUpPlanner()
    pool.announce(HOST, 0.0)
    assert plan(pool, planner, 0.1) == []
    pool.announce(HOST, 1.0, staged=[BIG])
    assert plan(pool, planner, 1.1) == [(HOST, BIG)]
    assert plan(pool, planner, 1.2) == []
    hold_warm_up(pool, BIG, "loading")
    pool.announce(HOST, 1.3, staged=[BIG])
    assert plan(pool, planner, 1.4) == []
    hold_warm_up(pool, BIG, "ready")
    pool.announce(HOST, 3.0, staged=[BIG])
    assert plan(pool, planner, 3.0 + WARM_UP_RETRY_S - 14.0) == []


def test_a_host_that_was_in_a_group_of_the_model_needs_no_warm_up():
    pool, planner = Pool(), WarmUpPlanner()
    pool.holdings[HOST] = Holding(group_id="g", epoch=1, service=BIG, phase="ready")
    pool.announce(HOST, 0.0, staged=[BIG])
    del pool.holdings[HOST]
    pool.announce(HOST, 1.0, staged=[BIG])
    assert plan(pool, planner, 1.1) == []


def test_other_weights_need_another_warm_up():
    pool, planner = Pool(), WarmUpPlanner()
    hold_warm_up(pool, BIG, "ready")
    pool.announce(HOST, 0.0, staged=[BIG])
    pool.announce(HOST, 1.0, staged=[SMALL])
    assert plan(pool, planner, 1.1) == [(HOST, SMALL)]


def test_a_host_that_is_loading_weights_does_not_warm_up():
    pool, planner = Pool(), WarmUpPlanner()
    pool.announce(HOST, 0.0, staged=[BIG])
    assert plan(pool, planner, 0.1, staging=[HOST]) == []


def test_a_lost_order_is_repeated():
    pool, planner = Pool(), WarmUpPlanner()
    pool.announce(HOST, 0.0, staged=[BIG])
    assert plan(pool, planner, 0.1) == [(HOST, BIG)]
    later_s = 0.2 + WARM_UP_RETRY_S
    pool.announce(HOST, later_s, staged=[BIG])
    assert plan(pool, planner, later_s) == [(HOST, BIG)]


def test_a_host_that_warms_up_is_free_and_not_orphaned():
    pool = Pool()
    for phase in ("loading", "ready"):
        hold_warm_up(pool, BIG, phase)
        pool.announce(HOST, 0.0, staged=[BIG])
        fleet = Fleet.collect(pool.state, pool.table, 0.1)
        assert fleet.orphaned == []
        assert [host.host_id for host in fleet.free_by_domain["gpu.d0"]] == [HOST]


def test_a_group_formed_later_has_a_higher_epoch_than_the_warm_up():
    pool = Pool()
    pool.state.last_fence = 7
    pool.announce(HOST, 0.0, staged=[BIG])
    order = make_warm_up_order(pool.table.host(HOST), BIG, "big", 7)
    assert (order.kind, order.epoch, order.fence) == (ORDER_ASSIGN, 7, 7)
    assert [member.host_id for member in order.members] == [HOST]
    assert is_warm_up(Holding(group_id=order.group_id), HOST)
    members = [make_member(pool.table.host(HOST), 0)]
    group = Group(group_id="g", service=BIG, phase="forming", members=members)
    assert pool.state.put_group(PutGroup(group=group), 1).epoch > order.epoch


def test_group_of_a_service_that_is_named_like_a_warm_up_is_no_warm_up():
    # Guards against a host that joins a group while its last one may still serve.
    assert not is_warm_up(Holding(group_id="warm-up-llm/big-12"), HOST)
    assert is_warm_up(Holding(group_id=make_warm_up_group_id(HOST, "warm-up-a")), HOST)
