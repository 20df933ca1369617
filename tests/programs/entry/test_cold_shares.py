"""Cold groups at an entry: shares, order of views, and what answers say."""

import pytest

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.cold_bound import SlotPlan
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.peer_pb2 import ColdShare, ControlView, Envelope, GroupView
from tests.programs.entry.test_control_link import entry  # noqa: F401
from tests.programs.entry.test_group_router import (  # noqa: F401
    clock,
    make_request,
    router,
)

HEAD = Incarnation("h1", "b1")


def make_view(version=2, is_cold=True, limits_version=0, slots=0):
    member = GroupMember(host_id="h1", boot_id="b1", address="x:1")
    group = Group(group_id="g1", service="llm", epoch=1, version="1")
    group.members.append(member)
    text = Text(number=9)
    text.services["llm"].CopyFrom(Service(cold_requests_per_s=17.0))
    view = ControlView(
        nonce=2,
        source="s",
        view_version=version,
        whole=True,
        term=1,
        text=text,
        limits_version=limits_version,
    )
    view.groups.append(
        GroupView(group=group, serving=True, is_cold=is_cold, needs_cold_share=is_cold)
    )
    if slots:
        view.cold_shares.append(
            ColdShare(host_id="h1", boot_id="b1", slots=slots, rate_per_s=2.0)
        )
    return view


def choose(router):  # noqa: F811
    view = router.choose(make_request(), frozenset(), "")
    return view.group.group_id if view is not None else None


def install(router, clock, **fields):  # noqa: F811
    view = make_view(**fields)
    router._view.install_view(view, clock.now_s())
    router.send_budget.set_cold(router._view.bounded_cold_endpoints(), clock.now_s())
    router.install(view)


def test_a_cold_group_gets_nothing_without_a_share(router, clock):  # noqa: F811
    install(router, clock)
    clock.time_s += 1.0
    assert choose(router) is None
    assert router.capacity.by_service()["llm"].is_empty
    router.send_budget.install([], {}, clock.now_s(), {HEAD: SlotPlan(1, 2.0)})
    assert router.capacity.by_service()["llm"].limited.share_per_s == 2.0
    clock.time_s += 0.6
    assert choose(router) == "g1"
    assert choose(router) is None


def test_an_answer_that_says_cold_stops_the_ordinary_load(router, clock):  # noqa: F811
    # Guards against load on an endpoint that turned cold between two heartbeats.
    install(router, clock, is_cold=False)
    assert choose(router) == "g1"
    assert router.record_cold(HEAD, clock.now_s() + 1.0)
    assert not router.record_cold(HEAD, clock.now_s() + 1.0)
    assert choose(router) is None
    clock.time_s += 1.1
    install(router, clock, is_cold=False, version=3)
    assert choose(router) == "g1"


@pytest.mark.parametrize("versions", [(5, 4), (5, 5)])
def test_an_older_list_that_arrives_late_is_ignored(entry, versions):  # noqa: F811
    # Guards against a slot that another entry has got in the meantime.
    link = entry.link
    for limits_version, slots in zip(versions, (0, 1), strict=True):
        view = make_view(limits_version=limits_version, slots=slots)
        link._receive_view(Envelope(sender_id="c1", control_view=view))
    assert link._send_budget.held_slots() == {}
    assert not link._send_budget.may_send(HEAD, 1e6)


def test_an_entry_without_a_lease_reports_no_slots(entry):  # noqa: F811
    # Guards against a new leader that takes over a slot which its predecessor gave to
    # another entry after the lease had ended.
    link = entry.link
    link._receive_view(
        Envelope(sender_id="c1", control_view=make_view(limits_version=5, slots=2))
    )
    link._send_report()
    assert not entry.transport.reports[-1].cold_shares


def test_reports_name_the_slots_of_the_entry(entry):  # noqa: F811
    link = entry.link
    link._send_report()
    view = make_view(limits_version=5, slots=2)
    view.nonce = entry.transport.reports[-1].nonce
    link._receive_view(Envelope(sender_id="c1", control_view=view))
    link._send_report()
    report = entry.transport.reports[-1]
    assert report.obeys_cold_shares
    assert [(item.host_id, item.slots) for item in report.cold_shares] == [("h1", 2)]
