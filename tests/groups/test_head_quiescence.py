"""Tests that members of a dissolved group wait for its head to stop."""

import pytest

from chestnutvale.groups.head_quiescence import HeadQuiescenceCheck
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.membership_pb2 import Holding
from tests.membership.test_superseded_hosts import heard

STALL_S = 5.0


def check_with_head(phase, now_s=0.0, rank=0):
    table = MembershipTable(3.0)
    holding = Holding(group_id="g", epoch=1, rank=rank, service="s", phase=phase)
    table.merge_control_report("c1", [heard("head", 100, holding=holding)], now_s)
    return HeadQuiescenceCheck(GroupsPolicy(engine_stall_s=STALL_S), table)


@pytest.mark.parametrize("phase", ["open", "releasing"])
def test_a_head_that_may_accept_calls_blocks_its_members(phase):
    check = check_with_head(phase)
    assert not check.is_quiesced("g", 0.5, 1.0)


@pytest.mark.parametrize("phase", ["ready", "loading", "broken"])
def test_a_head_that_accepts_no_calls_frees_its_members(phase):
    assert check_with_head(phase).is_quiesced("g", 0.5, 1.0)


def test_a_silent_head_frees_its_members_only_after_the_stall_time():
    # The head may be partitioned from the controls and still serve callers.
    check = check_with_head("ready")
    assert not check.is_quiesced("g", 4.0, 8.0)
    assert check.is_quiesced("g", 4.0, 4.0 + STALL_S + 1.5)


def test_other_groups_and_other_ranks_do_not_matter():
    assert check_with_head("open").is_quiesced("other", 0.5, 1.0)
    assert check_with_head("open", rank=1).is_quiesced("g", 0.5, 1.0)


def test_engines_without_a_stall_time_need_no_wait():
    check = HeadQuiescenceCheck(GroupsPolicy(), check_with_head("open").table)
    assert check.is_quiesced("g", 0.5, 1.0)
