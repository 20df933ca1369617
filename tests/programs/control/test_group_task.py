"""Group decisions must follow each change at once and pause while nothing changes."""

from types import SimpleNamespace

import pytest

from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.const import IDLE_DECISION_INTERVAL_S
from chestnutvale.programs.control.group_task import GroupTask
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.groups_pb2 import HostRelease
from chestnutvale.schema.membership_pb2 import Heard
from chestnutvale.schema.peer_pb2 import GroupView

ROUND_S = 0.1


class Coordinator:
    """Counts decision rounds."""

    def __init__(self):
        self.ticks = 0

    def became_leader(self, now_s):
        """Do nothing."""

    def tick(self, *arguments):
        """Decide nothing."""
        self.ticks += 1
        return []


class Scene:
    """A group task of a leader with a controlled clock."""

    def __init__(self):
        self.now_s = 100.0
        self.log = SimpleNamespace(
            is_leader=True, term=1, applied_index=5, has_lease=lambda now_s: True
        )
        self.state = ControlState()
        self.table = MembershipTable()
        self.views = [GroupView(serving=True)]
        self.entry_handler = SimpleNamespace(
            publish_changes=lambda: None,
            forward_cache_events=lambda: None,
            group_views=lambda: self.views,
            view_version=1,
            demand=lambda now_s: {},
        )
        self.coordinator = Coordinator()
        clock = SimpleNamespace(now_s=lambda: self.now_s, unix_ms=lambda: 1)
        measures = SimpleNamespace(update=lambda *arguments: None)
        self.task = GroupTask(
            self.log,
            self.state,
            self.table,
            self.coordinator,
            self.entry_handler,
            measures,
            clock,
        )

    def rounds(self, count):
        """Run `count` rounds and return the number of rounds with decisions."""
        before = self.coordinator.ticks
        for _ in range(count):
            self.now_s += ROUND_S
            self.task.run_round()
        return self.coordinator.ticks - before


@pytest.fixture
def scene():
    found = Scene()
    found.rounds(1)
    return found


def test_settled_groups_are_decided_about_now_and_then(scene):
    count = 5 * round(IDLE_DECISION_INTERVAL_S / ROUND_S)
    assert 4 <= scene.rounds(count) <= 6


@pytest.mark.parametrize("what", ["log", "host", "view", "term"])
def test_a_change_is_decided_about_at_once(scene, what):
    assert scene.rounds(1) == 0
    match what:
        case "log":
            scene.log.applied_index += 1
        case "host":
            scene.table.merge_entry_report(
                "e", [Heard(host_id="h", boot_id="b")], scene.now_s
            )
        case "view":
            scene.entry_handler.view_version += 1
        case "term":
            scene.log.term += 1
            scene.coordinator.lost_leadership = lambda: None
    assert scene.rounds(1) == 1


@pytest.mark.parametrize("what", ["broken", "release"])
def test_what_waits_for_time_is_decided_about_in_each_round(scene, what):
    if what == "broken":
        scene.views = [GroupView(serving=True), GroupView(serving=False)]
    else:
        scene.state.groups.releases["h"] = HostRelease(host_id="h")
    scene.log.applied_index += 1
    assert scene.rounds(8) == 8
