"""Group decisions must follow each change at once and pause while nothing changes."""

from types import SimpleNamespace

import logbook
import pytest

from chestnutvale.groups.coordinator import GroupCoordinator, ProposeCommand
from chestnutvale.groups.failure_detector import LossCause, LostMember
from chestnutvale.groups.orders import OrderScheduler
from chestnutvale.groups.planner import GroupPlanner
from chestnutvale.membership.announcement_content import content_digest
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.const import IDLE_DECISION_INTERVAL_S
from chestnutvale.programs.control.group_task import GroupTask
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import (
    Group,
    GroupMember,
    HostRelease,
    RemoveGroup,
)
from chestnutvale.schema.membership_pb2 import Announcement, Heard
from chestnutvale.schema.peer_pb2 import GroupView
from chestnutvale.schema.raft_pb2 import Members

ROUND_S = 0.1


class Coordinator:
    """Counts decision rounds."""

    def __init__(self):
        self.ticks = 0
        self.new_losses = []

    def became_leader(self, now_s):
        """Do nothing."""

    def pop_new_losses(self):
        """Return each loss once."""
        losses, self.new_losses = self.new_losses, []
        return losses

    def tick(self, *arguments):
        """Decide nothing."""
        self.ticks += 1
        return []


class GroupTaskFixture:
    """A group task of a leader with a controlled clock."""

    def __init__(self):
        self.now_s = 100.0
        self.log = SimpleNamespace(
            is_leader=True,
            term=1,
            applied_index=5,
            has_applied_earlier_terms=True,
            has_lease=lambda now_s: True,
            members=Members(voters=["c1#0", "c2#0"]),
            silent_controls=lambda: frozenset(["c2"]),
        )
        self.state = ControlState()
        self.table = MembershipTable()
        self.views = [GroupView(serving=True)]
        self.entry_handler = SimpleNamespace(
            publish_changes=lambda: None,
            forward_cache_events=lambda: None,
            group_views=lambda: self.views,
            view_version=1,
            withhold=lambda group_id: None,
            demand=lambda now_s: {},
            begin_term=lambda now_s: self.table.extend_detection_timeout(
                now_s + self.table.detection_timeout_s, now_s
            ),
        )
        self.coordinator = Coordinator()
        clock = SimpleNamespace(now_s=lambda: self.now_s, unix_ms=lambda: 1)
        measures = SimpleNamespace(update=lambda *arguments: None, pause=lambda: None)
        self.task = GroupTask(
            self.log,
            self.state,
            self.table,
            self.coordinator,
            self.entry_handler,
            measures,
            clock,
        )

    def run_rounds(self, count):
        """Run `count` rounds and return the number of rounds with decisions."""
        before = self.coordinator.ticks
        for _ in range(count):
            self.now_s += ROUND_S
            self.task.run_round()
        return self.coordinator.ticks - before


@pytest.fixture
def task_fixture():
    result = GroupTaskFixture()
    result.run_rounds(1)
    return result


def test_decisions_are_rare_while_all_groups_serve(task_fixture):
    count = 5 * round(IDLE_DECISION_INTERVAL_S / ROUND_S)
    assert 4 <= task_fixture.run_rounds(count) <= 6


@pytest.mark.parametrize("what", ["log", "host", "view", "term"])
def test_a_change_causes_a_decision_at_once(task_fixture, what):
    assert task_fixture.run_rounds(1) == 0
    match what:
        case "log":
            task_fixture.log.applied_index += 1
        case "host":
            task_fixture.table.merge_entry_report(
                "e", [Heard(host_id="h", boot_id="b")], task_fixture.now_s
            )
        case "view":
            task_fixture.entry_handler.view_version += 1
        case "term":
            task_fixture.log.term += 1
            task_fixture.coordinator.lost_leadership = lambda: None
    assert task_fixture.run_rounds(1) == 1


def test_a_leader_decides_nothing_before_it_has_applied_the_log():
    """It would take hosts of unapplied groups for strays, and begin the first plan."""
    fixture = GroupTaskFixture()
    fixture.log.has_applied_earlier_terms = False
    assert fixture.run_rounds(5) == 0
    fixture.log.has_applied_earlier_terms = True
    assert fixture.run_rounds(1) == 1


@pytest.mark.parametrize("what", ["broken", "release"])
def test_time_dependent_operations_cause_a_decision_each_round(task_fixture, what):
    if what == "broken":
        task_fixture.views = [GroupView(serving=True), GroupView(serving=False)]
    else:
        task_fixture.state.groups.releases["h"] = HostRelease(host_id="h")
    task_fixture.log.applied_index += 1
    assert task_fixture.run_rounds(8) == 8


@pytest.mark.parametrize(
    ("reporter", "is_live"),
    [("e", True), ("silent-e", False), ("c1", True), ("c2", False)],
)
def test_loss_of_a_member_names_who_reported_it_last_and_whether_it_lives(
    task_fixture, reporter, is_live
):
    table, now_s = task_fixture.table, task_fixture.now_s
    heard = [Heard(host_id="h", boot_id="b", sequence=1)]
    if reporter.startswith("c"):
        table.merge_control_report(reporter, heard, now_s)
    else:
        reported_at_s = now_s if is_live else now_s - 60.0
        table.merge_entry_report(reporter, heard, reported_at_s)
    member = GroupMember(host_id="h", boot_id="b")
    task_fixture.state.groups.groups["g"] = Group(group_id="g", members=[member])
    task_fixture.coordinator.new_losses = [LostMember(member, LossCause.MISSING, 2.1)]
    with logbook.TestHandler() as handler:
        task_fixture.run_rounds(20)

    lines = [line.extra for line in handler.records if line.msg == "member_lost"]
    assert 0.0 <= lines[0].pop("term_age_s") <= 20 * ROUND_S
    assert lines == [
        {
            "group": "g",
            "host": "h",
            "cause": "missing",
            "away_s": 2.1,
            "reported_by": reporter,
            "is_reporter_live": is_live,
            "term": 1,
        }
    ]


def test_member_that_a_new_leader_has_not_heard_is_called_unknown(task_fixture):
    task_fixture.run_rounds(20)
    member = GroupMember(host_id="h", boot_id="b")
    task_fixture.state.groups.groups["g"] = Group(group_id="g", members=[member])
    task_fixture.coordinator.new_losses = [
        LostMember(member, LossCause.MISSING, 1.1),
        LostMember(GroupMember(host_id="d"), LossCause.LEAVING, 1.1),
    ]
    with logbook.TestHandler() as handler:
        task_fixture.run_rounds(20)

    lines = [line.extra for line in handler.records if line.msg == "member_lost"]
    assert [(line["host"], line["cause"]) for line in lines] == [
        ("h", "unknown"),
        ("d", "leaving"),
    ]
    assert lines[0]["term"] == 1
    assert 20 * ROUND_S <= lines[0]["term_age_s"] <= 40 * ROUND_S


def test_removal_of_a_group_names_what_was_known_of_its_calls(task_fixture):
    group = Group(group_id="g", phase="draining", members=[GroupMember(host_id="h")])
    task_fixture.state.groups.groups["g"] = group
    task_fixture.table.record_running_attempts("h", 2, is_complete=False)
    task_fixture.log.propose = lambda command, deadline_s: CommandResult()
    command = Command(remove_group=RemoveGroup(group_id="g"))
    with logbook.TestHandler() as handler:
        task_fixture.task._propose(ProposeCommand(command))
    (line,) = [item.extra for item in handler.records if item.msg == "group_command"]
    found = [line[name] for name in ("phase", "running", "is_count_complete")]
    assert found == ["draining", 2, False]


def test_group_is_withheld_before_its_removal_is_proposed(task_fixture):
    # Guards against a view between the decision and the commit that lets it serve.
    steps = []
    task_fixture.entry_handler.withhold = lambda group_id: steps.append(group_id)

    def propose(command, deadline_s):
        steps.append("proposed")
        return CommandResult()

    task_fixture.log.propose = propose
    command = Command(remove_group=RemoveGroup(group_id="g"))
    task_fixture.task._execute_effects([ProposeCommand(command)])
    assert steps == ["g", "proposed"]


class PlanningFixture(GroupTaskFixture):
    """A group task that plans for one group and applies what it proposes."""

    def __init__(self):
        super().__init__()
        self.proposed = []
        self.sequence = 0
        service = Service(kind="model", groups=1, hosts_per_group=2)
        self.state.configuration.text = Text(number=1, services={"s": service})
        self.task._coordinator = GroupCoordinator(GroupPlanner(), OrderScheduler())
        self.task._propose = self.apply
        self.task._send_order = lambda effect: None

    def apply(self, effect):
        body = effect.command.WhichOneof("body")
        self.proposed.append(body)
        getattr(self.state.groups, body)(getattr(effect.command, body), 1)
        self.log.applied_index += 1

    def find_spares(self):
        return sorted(set("abcd") - set(self.state.groups.owners))

    def announce(self, hosts="abcd"):
        """Announce live hosts; the members of the group are ready."""
        self.sequence += 1
        for host in hosts:
            announcement = Announcement(
                host_id=host, boot_id="b", fabric_domain="f", kind="engine"
            )
            owner = self.state.groups.owners.get(host)
            if owner is not None:
                holding = announcement.holding
                holding.group_id, holding.phase = owner, "ready"
                holding.epoch = self.state.groups.groups[owner].epoch
            heard = Heard(
                host_id=host,
                boot_id="b",
                sequence=self.sequence,
                changed=announcement,
                content_digest=content_digest(announcement),
            )
            self.table.merge_entry_report("e", [heard], self.now_s)


def test_late_leader_dissolves_no_group_before_it_has_read_what_arrived():
    fixture = PlanningFixture()
    for _ in range(100):
        fixture.announce()
        fixture.run_rounds(1)
    (group,) = fixture.state.groups.groups.values()
    assert group.phase == "serving"
    fixture.proposed.clear()
    # The process stands still; no quorum has confirmed the leadership since.
    fixture.now_s += 2 * fixture.table.detection_timeout_s
    # Of what arrived, it has read the announcements of the spare hosts.
    fixture.announce(fixture.find_spares())
    fixture.log.has_lease = lambda now_s: False
    fixture.run_rounds(1)
    assert fixture.proposed == []
    fixture.announce()
    fixture.log.has_lease = lambda now_s: True
    fixture.run_rounds(5)
    assert fixture.proposed == []


@pytest.mark.parametrize(
    ("reporter", "away_s", "is_fresh"),
    [("c2", 4.1, True), ("c2", 4.3, False), ("c1", 3.1, False), ("e", 3.1, False)],
)
def test_hosts_of_a_control_that_stands_still_may_search_for_another_one(
    reporter, away_s, is_fresh
):
    # The control acknowledged an announcement that it has not passed on.
    fixture = GroupTaskFixture()
    fixture.run_rounds(100)
    heard = [Heard(host_id="h", boot_id="b", sequence=1)]
    if reporter == "e":
        fixture.table.merge_entry_report("e", heard, fixture.now_s)
    else:
        fixture.table.merge_control_report(reporter, heard, fixture.now_s)
    heard_at_s = fixture.now_s
    fixture.run_rounds(10)
    assert fixture.table.is_fresh("h", heard_at_s + away_s) is is_fresh


def test_hosts_of_a_control_that_is_heard_again_are_missing_as_usual(task_fixture):
    table = task_fixture.table
    task_fixture.run_rounds(100)
    heard = [Heard(host_id="h", boot_id="b", sequence=1)]
    table.merge_control_report("c2", heard, task_fixture.now_s)
    heard_at_s = task_fixture.now_s
    task_fixture.log.silent_controls = frozenset
    task_fixture.run_rounds(1)
    assert not table.is_fresh("h", heard_at_s + 3.1)
