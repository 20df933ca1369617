"""Tests single rounds of the planner, repair choices and plain services."""

import random

import pytest

from benchmarks.groups_driver import make_hosts
from chestnutvale.groups.failure_detector import (
    BrokenGroup,
    GroupFailureDetector,
    LossCause,
    LostMember,
)
from chestnutvale.groups.members import group_head
from chestnutvale.groups.outage import MEMBER_OUTAGE
from chestnutvale.groups.planner import GroupPlanner, PlanInputs
from chestnutvale.groups.repair_cost import CostChooser, RepairOption
from chestnutvale.groups.serving import find_serving_fault
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup
from chestnutvale.schema.membership_pb2 import Announcement, Heard


def make_membership_table(announcements, now_s=0.0):
    collector, table = AnnouncementCollector(), MembershipTable()
    for item in announcements:
        collector.announce(item, now_s)
    table.merge_entry_report("e", collector.drain_report(now_s), now_s)
    return table


def make_model_service(groups, size, **fields):
    return Service(kind="model", groups=groups, hosts_per_group=size, **fields)


def plan(text, table, state=None, now_s=0.0):
    inputs = PlanInputs(state or GroupsState(), table, text, 0)
    return GroupPlanner().plan(inputs, now_s)


def test_equal_input_gives_an_equal_plan_in_any_order_of_announcements():
    text = Text(
        number=1,
        services={"a": make_model_service(2, 4), "b": make_model_service(3, 2)},
    )
    announcements = [host.announce(0.0) for host in make_hosts(3, 7).values()]
    first = plan(text, make_membership_table(announcements))
    random.Random(5).shuffle(announcements)
    assert plan(text, make_membership_table(announcements)) == first
    assert len(first) == 5


def test_groups_stay_in_one_domain_and_strand_the_fewest_hosts():
    text = Text(
        number=1,
        services={"big": make_model_service(2, 5), "small": make_model_service(2, 2)},
    )
    announcements = [host.announce(0.0) for host in make_hosts(2, 7).values()]
    groups = [
        command.group for command in plan(text, make_membership_table(announcements))
    ]
    assert len(groups) == 4
    for group in groups:
        domains = {member.host_id.split("-")[0] for member in group.members}
        assert len(domains) == 1
    assert len({group.fabric_domain for group in groups if group.service == "big"}) == 2


def make_plain_announcement(sequence=1, boot_id="b", service="ledger-app", **fields):
    return Announcement(
        host_id="p1",
        boot_id=boot_id,
        sequence=sequence,
        address="10.0.0.9:80",
        data_centre="d",
        fabric_domain="f",
        kind="service",
        service=service,
        **fields,
    )


class PlainRounds:
    """Rounds of the planner, with the announcements of plain hosts."""

    def __init__(self, text):
        self.state = GroupsState()
        self.table = MembershipTable()
        self._text = text
        self._planner = GroupPlanner()
        self._collector = AnnouncementCollector()

    def step(self, now_s, announcement=None):
        if announcement is not None:
            self._collector.announce(announcement, now_s)
        heard = self._collector.drain_report(now_s)
        self.table.merge_entry_report("e", heard, now_s)
        for group in self.state.groups.values():
            self.table.record_running_attempts(group_head(group).host_id, 0)
        inputs = PlanInputs(self.state, self.table, self._text, 0)
        for command in self._planner.plan(inputs, now_s):
            apply = {
                "PutGroup": self.state.put_group,
                "RemoveGroup": self.state.remove_group,
            }
            assert apply[type(command).__name__](command, 0).outcome == "done"


def test_a_plain_host_of_another_service_leaves_its_group():
    # Guards against calls that run at a host of a foreign service.
    services = {name: Service(kind="plain") for name in ("ledger-app", "report-app")}
    rounds = PlainRounds(Text(number=1, services=services))

    def step(now_s, announcement=None):
        rounds.step(now_s, announcement)
        return [
            (group.service, find_serving_fault(group, rounds.table, now_s) == "")
            for group in rounds.state.groups.values()
        ]

    step(0.0, make_plain_announcement())
    assert step(0.1) == [("ledger-app", True)]
    # The same boot now tells that it is of another service.
    wrong = make_plain_announcement(sequence=2, service="report-app")
    assert step(1.0, wrong) == [("ledger-app", False)]
    for number in range(3, 30):
        announcement = make_plain_announcement(sequence=number, service="report-app")
        groups = step(float(number), announcement)
    assert groups == [("report-app", True)]


def test_a_plain_host_is_a_group_by_its_announcement():
    text = Text(number=1, services={"ledger-app": Service(kind="plain")})
    rounds = PlainRounds(text)
    state = rounds.state

    def step(now_s, announcement=None):
        rounds.step(now_s, announcement)
        return [group.phase for group in state.groups.values()]

    assert step(0.0, make_plain_announcement()) == ["forming"]
    assert step(0.1) == ["serving"]
    assert step(1.0, make_plain_announcement(boot_id="c")) == ["forming"]
    assert step(1.1) == ["serving"]
    assert step(
        5.0, make_plain_announcement(boot_id="c", sequence=2, leaving=True)
    ) == ["serving"]
    assert (
        step(8.0, make_plain_announcement(boot_id="c", sequence=3, leaving=True)) == []
    )
    assert step(9.0, make_plain_announcement(boot_id="d")) == ["forming"]
    assert step(80.0) == []
    assert state.releases == {}


def make_broken_group(
    size, lost, away_s, cause=LossCause.MISSING, group_id="g", is_domain_outage=False
):
    members = [
        GroupMember(host_id=f"{group_id}{rank}", rank=rank) for rank in range(size)
    ]
    group = Group(group_id=group_id, members=members, fabric_domain="f")
    gone = tuple(LostMember(member, cause, away_s) for member in members[:lost])
    return BrokenGroup(group, gone, is_domain_outage=is_domain_outage)


def test_the_return_rate_falls_with_time():
    rates = [MEMBER_OUTAGE.return_rate(away_s) for away_s in (0, 10, 100, 1e3, 1e5)]
    assert rates == sorted(rates, reverse=True)


@pytest.mark.parametrize("size", [4, 16])
def test_a_move_is_decided_earlier_the_more_downtime_weighs(size):
    move = RepairOption("move", "other")

    def find_first_repair_s(downtime, stranded):
        chooser = CostChooser(
            GroupsPolicy(group_downtime_weight=downtime, stranded_hosts_weight=stranded)
        )
        times = range(3, 5_000)
        return next(
            (
                at
                for at in times
                if chooser.choose(make_broken_group(size, 1, at), [move])
            ),
            5_000,
        )

    assert (
        find_first_repair_s(10.0, 0.1)
        < find_first_repair_s(1.0, 1.0)
        <= find_first_repair_s(0.1, 1.0)
    )


def test_a_spare_is_preferred_and_a_leaving_member_is_not_waited_for():
    chooser = CostChooser(GroupsPolicy(member_wait_s=5.0))
    spare = RepairOption("spare", "f", ("x",))
    move = RepairOption("move", "other")
    assert chooser.choose(make_broken_group(4, 1, 4.0), [spare, move]) is None
    assert chooser.choose(make_broken_group(4, 1, 60.0), [move, spare]) is spare
    leaving = make_broken_group(4, 1, 0.0, LossCause.LEAVING)
    assert chooser.choose(leaving, [spare]) is spare


class UncheckedState(GroupsState):
    """Accepts hosts that other groups own."""

    def _find_member_fault(self, host_id, group_id):
        return ""


def commit_racing_plans(state):
    """Commit plans of two leaders for the same state; return the shared hosts."""
    announcements = [host.announce(0.0) for host in make_hosts(1, 6).values()]
    table = make_membership_table(announcements)
    texts = [Text(number=1, services={name: make_model_service(1, 4)}) for name in "ab"]
    for commands in [plan(text, table) for text in texts]:
        for command in commands:
            state.put_group(command, 0)
    members = [
        item.host_id for group in state.groups.values() for item in group.members
    ]
    return len(members) - len(set(members))


def test_plans_of_two_leaders_give_no_host_to_two_groups():
    assert commit_racing_plans(GroupsState()) == 0


def test_without_the_check_of_owners_two_groups_share_hosts():
    assert commit_racing_plans(UncheckedState()) == 4


def test_a_failed_domain_is_waited_for_longer_than_as_many_single_hosts():
    policy = GroupsPolicy(group_downtime_weight=1.0, stranded_hosts_weight=3.0)
    move = RepairOption("move", "other")

    def find_first_repair_s(is_domain_outage):
        chooser = CostChooser(policy)
        times = range(3, 5_000)
        groups = (
            (at, make_broken_group(4, 4, at, is_domain_outage=is_domain_outage))
            for at in times
        )
        return next(at for at, group in groups if chooser.choose(group, [move]))

    assert find_first_repair_s(is_domain_outage=True) > 1.2 * find_first_repair_s(
        is_domain_outage=False
    )


@pytest.mark.parametrize(
    ("lost_by_group", "has_failed"), [((4, 4), True), ((4, 2), True), ((4, 1), False)]
)
def test_a_domain_has_failed_when_most_of_its_hosts_are_silent(
    lost_by_group, has_failed
):
    state = GroupsState()
    failure_detector = GroupFailureDetector()
    hosts = []
    for index, lost in enumerate(lost_by_group):
        members = [
            GroupMember(host_id=f"g{index}h{rank}", boot_id="b", rank=rank)
            for rank in range(4)
        ]
        group = Group(
            group_id=f"g{index}",
            service="s",
            members=members,
            fabric_domain="f",
            phase="forming",
        )
        assert state.put_group(PutGroup(group=group), 0).outcome == "done"
        hosts += [member.host_id for member in members[lost:]]
    table = MembershipTable()
    heard = [Heard(host_id=name, boot_id="b", sequence=1) for name in hosts]
    table.merge_entry_report("e", heard, 100.0)
    found = failure_detector.find_broken_groups(state, table, 100.0)
    assert found
    assert {item.is_domain_outage for item in found} == {has_failed}
    losses = [item.member.host_id for item in failure_detector.pop_new_losses()]
    assert losses == [lost.member.host_id for item in found for lost in item.lost]
    failure_detector.find_broken_groups(state, table, 100.1)
    assert failure_detector.pop_new_losses() == []
