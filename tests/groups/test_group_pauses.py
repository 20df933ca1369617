"""Groups whose members only pause are kept; those that lost a member are dissolved."""

import math

import pytest

from benchmarks.groups_pauses import (
    ENGINE_STALL_S,
    SIZE,
    Fault,
    find_dissolved_times_s,
)
from chestnutvale.groups.budget import LoadBudget
from chestnutvale.groups.const import UNHEARD_GROUP_EXPIRY_S
from chestnutvale.groups.member_silence import MemberSilence
from chestnutvale.schema.groups_pb2 import PutGroup, RemoveGroup
from tests.groups.test_pools import BIG, all_hosts, make_serving_pool

ALL_RANKS = tuple(range(SIZE))
TRIALS = 12


def count_dissolved(fault, **options):
    times_s = find_dissolved_times_s(fault, trials=TRIALS, **options)
    return sum(at_s < math.inf for at_s in times_s)


@pytest.mark.parametrize("has_streams", [False, True])
@pytest.mark.parametrize("pause_s", [1.2, 2.6, 3.6])
def test_a_group_that_pauses_as_a_whole_is_not_dissolved(pause_s, has_streams):
    fault = Fault(ALL_RANKS, pause_s)
    assert count_dissolved(fault, has_streams=has_streams) == 0


@pytest.mark.parametrize("has_streams", [False, True])
@pytest.mark.parametrize("pause_s", [2.2, 2.8])
def test_a_control_that_ran_late_dissolves_no_group(pause_s, has_streams):
    fault = Fault(control_length_s=pause_s)
    assert count_dissolved(fault, has_streams=has_streams) == 0


@pytest.mark.parametrize("ranks", [(0,), (1,), (1, 2, 3)])
def test_a_group_that_lost_some_members_is_dissolved_as_soon_as_before(ranks):
    times_s = find_dissolved_times_s(Fault(ranks, math.inf), trials=TRIALS)
    assert max(times_s) < 2.5


@pytest.mark.parametrize("has_streams", [False, True])
def test_a_member_that_stays_silent_when_the_others_return_is_lost(has_streams):
    # The last member falls silent with the others and never returns.
    times_s = find_dissolved_times_s(
        Fault(ALL_RANKS, 3.6, lost_ranks=(3,)), has_streams=has_streams, trials=TRIALS
    )
    assert min(times_s) > 3.6 + 1.2
    assert max(times_s) < 3.6 + 2.0


@pytest.mark.parametrize("ranks", [(0,), (1,), ALL_RANKS])
@pytest.mark.parametrize("pause_s", [2.6, 3.6])
def test_a_group_without_a_pool_keeps_members_that_pause(pause_s, ranks):
    assert count_dissolved(Fault(ranks, pause_s), is_pooled=False) == 0


def test_a_group_without_a_pool_gets_a_spare_for_a_member_that_is_lost():
    times_s = find_dissolved_times_s(
        Fault((1,), math.inf), trials=TRIALS, is_pooled=False
    )
    assert min(times_s) > 3.5
    assert max(times_s) < 5.5


def announce_others(pool, group, now_s):
    members = {member.host_id for member in group.members}
    for host_id in all_hosts():
        if host_id not in members:
            pool.announce(host_id, now_s)


def test_an_unheard_group_does_not_count_as_capacity_and_expires():
    pool = make_serving_pool()
    group = next(g for g in pool.state.groups.values() if g.service == BIG)
    for host_id in all_hosts():
        pool.announce(host_id, 2.0)
    for silence_s in range(1, int(UNHEARD_GROUP_EXPIRY_S) + 1):
        announce_others(pool, group, 2.0 + silence_s)
        assert not any(isinstance(c, RemoveGroup) for c in pool.plan(2.0 + silence_s))
        counted = pool.fleet.select_counted(pool.state.groups.values())
        assert (group in counted) == (silence_s <= 3.0)
    now_s = 2.5 + UNHEARD_GROUP_EXPIRY_S
    (command,) = [c for c in pool.plan(now_s) if isinstance(c, RemoveGroup)]
    assert command.group_id == group.group_id


@pytest.mark.parametrize("ranks", [(0,), (1,), (1, 2, 3)])
@pytest.mark.parametrize("pause_s", [2.6, 3.6, 4.6])
def test_a_pause_of_some_members_ends_no_call_that_stayed_at_their_group(
    ranks, pause_s
):
    fault = Fault(ranks, pause_s)
    assert count_dissolved(fault, calls_left=1) == 0
    assert count_dissolved(fault, calls_left=0) == TRIALS


@pytest.mark.parametrize("ranks", [(0,), (1,), (1, 2, 3)])
def test_calls_that_stay_at_a_lost_group_delay_its_repair_until_it_ends_them(ranks):
    fault = Fault(ranks, math.inf)
    delayed = find_dissolved_times_s(fault, calls_left=1, trials=TRIALS)
    assert min(delayed) >= ENGINE_STALL_S
    assert max(delayed) <= ENGINE_STALL_S + 2.0


def test_members_that_pause_one_after_another_are_each_given_the_stall_time():
    pool = make_serving_pool()
    group = next(g for g in pool.state.groups.values() if g.service == BIG)
    first, second, *others = [member.host_id for member in group.members]
    silence = MemberSilence(ENGINE_STALL_S)

    def is_conclusive(heard_at_s, now_s):
        silence.begin_round(now_s)
        return silence.is_conclusive(group, pool.table, heard_at_s, 1, now_s)

    for host_id in (second, *others):
        pool.announce(host_id, 5.4)
    assert not is_conclusive(2.0, 5.5)
    for now_s in (6.4, 7.4, 8.4):
        for host_id in (first, *others):
            pool.announce(host_id, now_s)
        assert not is_conclusive(5.4, now_s + 0.5)
    assert not is_conclusive(5.4, 9.0)


def test_without_a_stall_time_calls_delay_the_repair_by_a_second_at_most():
    fault = Fault((0,), math.inf)
    without = find_dissolved_times_s(fault, trials=TRIALS)
    delayed = find_dissolved_times_s(
        fault, calls_left=1, trials=TRIALS, engine_stall_s=0.0
    )
    for before_s, after_s in zip(without, delayed, strict=True):
        assert after_s - before_s <= 1.1


@pytest.mark.parametrize("attempts", [0, 1])
def test_a_draining_group_keeps_its_calls_while_its_head_pauses(attempts):
    pool = make_serving_pool()
    group = next(g for g in pool.state.groups.values() if g.service == BIG)
    draining = PutGroup(group=group, expected_epoch=group.epoch)
    draining.group.phase = "draining"
    pool.state.put_group(draining, 1)
    head = group.members[0].host_id
    pool.announce(head, 2.0)
    for now_s in (2.5, 4.0, 5.5):
        for host_id in all_hosts():
            if host_id != head:
                pool.announce(host_id, now_s)
        pool.table.record_running_attempts(head, attempts)
        commands = pool.plan(now_s)
    assert not pool.table.is_fresh(head, 5.5)
    assert any(isinstance(c, RemoveGroup) for c in commands) == (attempts == 0)


def test_control_that_ran_late_and_has_read_some_announcements_dissolves_no_group():
    pool = make_serving_pool()
    group = next(g for g in pool.state.groups.values() if g.service == BIG)
    late_id = group.members[-1].host_id
    for host_id in all_hosts():
        pool.announce(host_id, 2.0)
    assert not any(isinstance(c, RemoveGroup) for c in pool.plan(2.0))
    # The control stands still for 3.2 s, and the last announcement is read at 5.25.
    for host_id in all_hosts():
        if host_id != late_id:
            pool.announce(host_id, 5.2)
    assert not any(isinstance(c, RemoveGroup) for c in pool.plan(5.2))
    pool.announce(late_id, 5.25)
    assert not any(isinstance(c, RemoveGroup) for c in pool.plan(5.25))


def test_loads_of_an_unheard_group_do_not_hold_up_others():
    pool = make_serving_pool()
    group = next(g for g in pool.state.groups.values() if g.service == BIG)
    group.phase = "forming"
    for member in group.members:
        pool.holdings[member.host_id].phase = "loading"
    for host_id in all_hosts():
        pool.announce(host_id, 2.0)
    pool.plan(2.0)
    for now_s in (4.0, 6.0, 8.0):
        announce_others(pool, group, now_s)
        pool.plan(now_s)
    if group.group_id not in pool.state.groups:
        return
    budget = LoadBudget(pool.policy, pool.state, pool.table)
    assert budget.remaining_loads == pool.policy.max_loading_hosts


@pytest.mark.parametrize("is_draining", [False, True])
@pytest.mark.parametrize("ranks", [(0,), (1,), ALL_RANKS])
@pytest.mark.parametrize("lost_s", [2.6, 6.0, math.inf])
def test_new_leader_keeps_a_working_group_that_it_does_not_hear(
    lost_s, ranks, is_draining
):
    fault = Fault(
        ranks, lost_s, is_mute=True, has_new_leader=True, is_draining=is_draining
    )
    assert count_dissolved(fault) == 0


@pytest.mark.parametrize(("calls_left", "limit_s"), [(0, 4.4), (1, 7.0)])
def test_new_leader_dissolves_a_group_with_a_lost_member_it_never_heard(
    calls_left, limit_s
):
    fault = Fault((1,), math.inf, has_new_leader=True)
    times_s = find_dissolved_times_s(fault, calls_left=calls_left, trials=TRIALS)
    assert max(times_s) < limit_s
