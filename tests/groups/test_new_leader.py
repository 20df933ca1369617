"""A new leader takes no irrevocable step on knowledge that it lacks."""

import pytest

from chestnutvale.groups.const import UNHEARD_GROUP_EXPIRY_S
from chestnutvale.groups.pools import PoolPlanner
from chestnutvale.groups.serving import find_serving_fault
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import PutGroup, RemoveGroup
from tests.groups.test_pools import all_hosts, make_serving_pool

TERM_S = 10.0


def take_over(pool, table=None):
    """Let another control lead from `TERM_S` on, with what it has heard until then."""
    pool.table = table or MembershipTable(3.0)
    pool.table.extend_detection_timeout(TERM_S + 3.0, TERM_S)
    pool.idle_tracker.reset()
    pool.planner = PoolPlanner(pool.idle_tracker)


def drain(pool, group):
    command = PutGroup(group=group, expected_epoch=group.epoch)
    command.group.phase = "draining"
    pool.state.put_group(command, 1)
    return pool.state.groups[group.group_id]


def announce_others(pool, silent, now_s):
    for host_id in all_hosts():
        if host_id not in silent:
            pool.announce(host_id, now_s)


def is_removed(commands, group):
    return any(
        isinstance(command, RemoveGroup) and command.group_id == group.group_id
        for command in commands
    )


def find_removal_s(pool, group, until_s, silent=(), tick=lambda now_s: None):
    """Return when a group is dissolved, with a round each 0.1 s; None if never."""
    step = 0
    while (now_s := TERM_S + 1.0 + 0.1 * step) < until_s:
        announce_others(pool, silent, now_s)
        tick(now_s)
        if is_removed(pool.plan(now_s), group):
            return now_s
        step += 1
    return None


def test_draining_group_whose_head_a_new_leader_does_not_know_is_not_released():
    pool = make_serving_pool()
    group = drain(pool, next(iter(pool.state.groups.values())))
    take_over(pool)
    head_id = group.members[0].host_id
    removed_s = find_removal_s(pool, group, TERM_S + 4.0, silent=[head_id])
    assert removed_s is None


def test_working_group_with_a_member_unknown_to_a_new_leader_is_kept():
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    take_over(pool)
    unknown_id = group.members[1].host_id

    def report_events(now_s):
        pool.report_attempts(1)
        pool.table.mark_responsive([group.group_id], now_s + 1.2)

    removed_s = find_removal_s(
        pool, group, TERM_S + 8.0, silent=[unknown_id], tick=report_events
    )
    assert removed_s is None


@pytest.mark.parametrize(("running", "limit_s"), [(0, 4.2), (1, 1.5 + 5.0 + 0.3)])
def test_unknown_member_is_lost_once_calls_at_its_group_must_have_ended(
    running, limit_s
):
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    take_over(pool)
    removed_s = find_removal_s(
        pool,
        group,
        TERM_S + 10.0,
        silent=[group.members[1].host_id],
        tick=lambda now_s: pool.report_attempts(running),
    )
    assert removed_s == pytest.approx(TERM_S + limit_s, abs=0.15)


def test_group_none_of_whose_members_a_new_leader_knows_is_kept_until_it_expires():
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    take_over(pool)
    members = [member.host_id for member in group.members]
    removed_s = find_removal_s(
        pool,
        group,
        TERM_S + 70.0,
        silent=members,
        tick=lambda now_s: pool.report_attempts(0),
    )
    assert removed_s == pytest.approx(TERM_S + UNHEARD_GROUP_EXPIRY_S, abs=0.2)


def test_member_unknown_to_a_new_leader_is_not_reported_as_missing_at_once():
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    take_over(pool)
    announce_others(pool, [group.members[1].host_id], TERM_S + 0.5)
    pool.table.mark_responsive([group.group_id], TERM_S + 2.0)
    fault = find_serving_fault(group, pool.table, TERM_S + 1.0)
    assert fault == f"member {group.members[1].host_id} is not known yet"


@pytest.mark.parametrize("phase", ["serving", "draining"])
def test_announcement_from_before_the_term_proves_no_loss(phase):
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    if phase == "draining":
        group = drain(pool, group)
    member_id = group.members[1].host_id
    holding = pool.holdings.pop(member_id)
    # This control has missed the announcement that the member holds the group.
    pool.announce(member_id, TERM_S - 0.2)
    take_over(pool, pool.table)
    pool.holdings[member_id] = holding
    pool.report_attempts(1)
    announce_others(pool, [member_id], TERM_S + 0.9)
    assert not is_removed(pool.plan(TERM_S + 1.0), group)
    # The same content, announced under this leader, proves it.
    del pool.holdings[member_id]
    pool.announce(member_id, TERM_S + 1.1)
    assert is_removed(pool.plan(TERM_S + 1.2), group)


def test_boot_heard_before_the_term_proves_no_restart_of_a_member():
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    member = group.members[1]
    # This control has missed that the host announced a new boot, which joined.
    pool.announce(member.host_id, TERM_S - 0.2)
    member.boot_id = "c"
    take_over(pool, pool.table)
    pool.report_attempts(1)
    announce_others(pool, [member.host_id], TERM_S + 0.9)
    assert not is_removed(pool.plan(TERM_S + 1.0), group)
    fault = find_serving_fault(group, pool.table, TERM_S + 1.0)
    assert fault == f"member {member.host_id} is not known yet"


def test_long_silence_before_the_term_is_judged_once_entries_can_tell_of_events():
    # Guards against a release of a working group whose events this leader lacks yet.
    pool = make_serving_pool()
    group = next(iter(pool.state.groups.values()))
    head_id = group.members[0].host_id
    pool.announce(head_id, TERM_S - 6.0)
    announce_others(pool, [head_id], TERM_S - 0.5)
    take_over(pool, pool.table)
    removed_s = find_removal_s(
        pool,
        group,
        TERM_S + 5.0,
        silent=[head_id],
        tick=lambda now_s: pool.report_attempts(1),
    )
    assert removed_s == pytest.approx(TERM_S + 3.0, abs=0.15)
