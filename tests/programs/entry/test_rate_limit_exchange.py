"""Limits travel from the entry that learned them over the leader to all entries."""

import pytest

from chestnutvale.membership.endpoint_notices import EndpointNotice, Incarnation
from chestnutvale.rate_limits.statements import RateStatement
from chestnutvale.rate_limits.wire import from_message, to_message
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.peer_pb2 import ControlView, EndpointLimit, GroupView
from tests.programs.entry.test_group_router import (  # noqa: F401
    clock,
    make_request,
    router,
)

HEAD = Incarnation("h1", "b1")
OTHER = Incarnation("h2", "b1")


@pytest.fixture
def limited_router(router, clock):  # noqa: F811
    """Return a router with two groups, of which the first one names 2 a second."""
    message = ControlView(nonce=2, source="s", view_version=2, whole=True, term=1)
    for number, head in enumerate((HEAD, OTHER), 1):
        member = GroupMember(host_id=head.host_id, boot_id=head.boot_id, address="x:1")
        group = Group(group_id=f"g{number}", service="llm", epoch=number, version="1")
        group.members.append(member)
        message.groups.append(GroupView(group=group, serving=True))
    router._view.install_view(message, clock.now_s())
    router.install(message)
    router.send_budget.record(RateStatement(HEAD, 2.0, clock.now_s()), clock.now_s())
    return router


def choose(router, excluded=frozenset()):  # noqa: F811
    view = router.choose(make_request(), excluded, "")
    return view.group.group_id if view is not None else None


def test_a_group_without_a_token_is_not_chosen(limited_router, clock):  # noqa: F811
    only_limited = frozenset({"g2"})
    assert choose(limited_router, only_limited) is None
    assert choose(limited_router) == "g2"
    clock.time_s += 0.6
    assert choose(limited_router, only_limited) == "g1"
    assert choose(limited_router, only_limited) is None
    assert limited_router.next_send_s("llm") == pytest.approx(
        clock.time_s + 0.4, abs=0.01
    )


def test_a_share_that_was_not_spent_lately_is_used_first(limited_router, clock):  # noqa: F811
    for _ in range(3):
        clock.time_s += 0.8
        assert choose(limited_router) == "g1"
    assert [choose(limited_router) for _ in range(5)] == ["g2"] * 5


def test_limited_groups_are_counted_apart(limited_router):
    capacity = limited_router.capacity.by_service()["llm"]
    assert (capacity.groups, capacity.limited.count) == (1, 1)
    assert capacity.limited.share_per_s == 2.0
    running = limited_router.capacity.count_shared_running({"g1": 5, "g2": 3})
    assert running == {"llm": 3}


def test_an_entry_without_a_share_sends_nothing(limited_router, clock):  # noqa: F811
    statement = RateStatement(HEAD, 2.0, clock.now_s())
    limited_router.send_budget.install([statement], {HEAD: 0.0}, clock.now_s())
    clock.time_s += 2.0
    assert choose(limited_router, frozenset({"g2"})) is None
    assert limited_router.capacity.by_service()["llm"].limited.share_per_s == 0.0
    assert limited_router.next_send_s("llm") == float("inf")


def test_what_the_leader_lists_is_not_reported_again(limited_router, clock):  # noqa: F811
    budget = limited_router.send_budget
    (statement,) = budget.unreported()
    budget.install([statement], {HEAD: 1.0}, clock.now_s())
    assert budget.unreported() == []
    budget.record(RateStatement(HEAD, None, clock.now_s() + 1.0), clock.now_s() + 1.0)
    assert [item.rate_per_s for item in budget.unreported()] == [None]
    # A new leader whose list is empty learns all limits that are in force.
    budget.record(RateStatement(HEAD, 3.0, clock.now_s() + 2.0), clock.now_s() + 2.0)
    budget.install([], {}, clock.now_s() + 3.0)
    assert [item.rate_per_s for item in budget.unreported()] == [3.0]
    assert budget.share_per_s(HEAD) == 1.5


def test_messages_carry_the_age_and_the_end_of_a_limit():
    for rate_per_s in (2.5, 0.0, None):
        message = to_message(RateStatement(HEAD, rate_per_s, 10.0), 12.5)
        data = EndpointLimit.FromString(message.SerializeToString())
        assert from_message(data, 50.0) == RateStatement(HEAD, rate_per_s, 47.5)


def test_attempts_at_paused_groups_take_no_place_of_the_others(limited_router, clock):  # noqa: F811
    # Guards against counts of groups that the capacity leaves out: 9 attempts at a
    # paused group made the other groups look full, and entries refused callers.
    limited_router.notices.record(OTHER, EndpointNotice(pause_s=5.0), clock.now_s())
    assert limited_router.capacity.by_service()["llm"].groups == 0
    assert limited_router.capacity.count_shared_running({"g2": 9}) == {}
    clock.time_s += 6.0
    assert limited_router.capacity.count_shared_running({"g2": 9}) == {"llm": 9}
