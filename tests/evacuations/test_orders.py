"""Orders to evacuate at controls: checks, leader change, resending, mixed builds."""

from types import SimpleNamespace

import eventlet
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.clock import SystemClock
from chestnutvale.consensus import follower
from chestnutvale.consensus.const import COMMAND_VERSION
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.evacuations.exceptions import (
    EvacuationNotReadyError,
    UnknownDataCentreError,
)
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.operations import ControlOperations
from chestnutvale.programs.control.readers_task import ReadersTask
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.evacuations_pb2 import SetEvacuation
from chestnutvale.schema.membership_pb2 import Announcement, Heard
from chestnutvale.schema.settings_pb2 import ControlSettings
from tests.consensus.test_task import (
    CLOCK,
    Control,
    make_controls,
    wait_for_leader,
    wait_until,
)

__all__ = ["make_controls"]
ORDER = SetEvacuation(data_centre="a")


class FakeLog:
    """A log that commits at once; all members read all commands by default."""

    def __init__(self, state):
        self.state = state
        self.is_leader = True
        self.leader_id = "c1"
        self.leader_command_version = 1
        self.versions = {"c1#1": 1}
        self.committed_copies = 3
        self.index = 0

    def command_versions(self):
        return self.versions

    def propose(self, command, deadline_s):
        self.index += 1
        return self.state.apply(self.index, command)


def make_operations(data_centres=("a", "b"), table=None, entries=tuple, **settings):
    state = ControlState()
    return ControlOperations(
        ControlSettings(control_id="c1", data_centres=data_centres, **settings),
        FakeLog(state),
        state,
        table or MembershipTable(),
        None,
        None,
        SystemClock(),
        entries,
    )


def set_evacuation(operations, command=ORDER, timeout_s=0.2):
    return operations.set_evacuation(command, CLOCK.now_s() + timeout_s)


@given(st.text(max_size=200))
def test_unknown_data_centre_is_refused_and_not_proposed(name):
    # Guards against state for data centres that don't exist, and against crashes.
    operations = make_operations(data_centres=("known",))
    if name == "known":
        return
    with pytest.raises(UnknownDataCentreError):
        set_evacuation(operations, SetEvacuation(data_centre=name))
    assert not operations._log.index


def test_data_centres_without_a_setting_are_those_of_hosts_and_entries():
    # Guards against a refusal while a new leader still discovers the hosts.
    now_s = CLOCK.now_s()
    table = MembershipTable()
    announcement = Announcement(host_id="h", kind="engine", data_centre="a")
    operations = make_operations((), table, lambda: ["b"])
    table.extend_detection_timeout(now_s + 3, now_s)
    with pytest.raises(EvacuationNotReadyError):
        set_evacuation(operations)
    heard = Heard(host_id="h", boot_id="1", sequence=1, changed=announcement)
    table.merge_entry_report("e1", [heard], now_s)
    for name in ("a", "b"):
        command = SetEvacuation(data_centre=name)
        assert set_evacuation(operations, command).outcome == "done"
    table.extend_detection_timeout(now_s - 100, now_s - 100)
    operations = make_operations((), table)
    with pytest.raises(UnknownDataCentreError):
        set_evacuation(operations, SetEvacuation(data_centre="c"))


def test_order_is_acknowledged_only_with_the_required_copies():
    # Guards against an order that is lost with the disks of a data centre.
    operations = make_operations(durable_copies=3)
    assert set_evacuation(operations).changed
    operations._log.committed_copies = 2
    with pytest.raises(OutcomeUnknownError):
        set_evacuation(operations)


def test_order_waits_until_all_controls_can_read_it():
    # Guards against a control that skips the order and has another state from then on.
    operations = make_operations()
    log = operations._log
    log.versions = {"c1#1": COMMAND_VERSION, "c2#1": 0}
    with pytest.raises(EvacuationNotReadyError, match="c2#1"):
        set_evacuation(operations)
    log.versions["c2#1"] = None
    with pytest.raises(EvacuationNotReadyError):
        set_evacuation(operations)
    assert not log.index
    log.versions["c2#1"] = COMMAND_VERSION
    ReadersTask(log, operations._state, SystemClock()).run_round()
    # A lost control that could read the order before does not block it.
    log.versions["c2#1"] = None
    assert set_evacuation(operations).outcome == "done"
    log.versions["c3#1"] = None
    with pytest.raises(EvacuationNotReadyError, match="c3#1"):
        set_evacuation(operations)


def test_follower_names_the_leader_unless_that_is_of_an_older_build():
    # Guards against a redirect to a control that answers 404, which ends the order.
    operations = make_operations()
    operations._log.is_leader = False
    with pytest.raises(NotLeaderError):
        set_evacuation(operations)
    operations._log.leader_command_version = 0
    with pytest.raises(EvacuationNotReadyError):
        set_evacuation(operations)
    operations._log.leader_id = ""
    with pytest.raises(NotLeaderError):
        set_evacuation(operations)


class EvacuatingControl(Control):
    """A control with the product's state and operations."""

    make_state_machine = ControlState

    def start(self, file_system=None):
        super().start(file_system)
        self.settings.data_centres[:] = ["a"]
        self.operations = ControlOperations(
            self.settings,
            self.task,
            self.state_machine,
            MembershipTable(),
            None,
            None,
            CLOCK,
        )
        self.readers = ReadersTask(self.task, self.state_machine, CLOCK)


def start_three(make_controls):
    controls = make_controls(3)
    for control in controls:
        control.__class__ = EvacuatingControl
        control.start()
    return controls


def is_confirmed(control):
    control.readers.run_round()
    unready = control.state_machine.readers.find_unready
    return not unready(dict.fromkeys(control.task.members.voters), COMMAND_VERSION)


def test_order_survives_a_leader_change_before_its_acknowledgement(make_controls):
    # Guards against a lost order, and against a second answer that contradicts it.
    controls = start_three(make_controls)
    leader = wait_for_leader(controls)
    wait_until(lambda: is_confirmed(leader))
    followers = [control for control in controls if control is not leader]
    operator = eventlet.spawn(set_evacuation, leader.operations, ORDER, 5)
    wait_until(lambda: any(c.state_machine.evacuations.evacuated for c in followers))
    operator.kill()
    leader.stop()
    successor = wait_for_leader(followers)
    # The old leader is down, and the new one has never heard it.
    result = set_evacuation(successor.operations, ORDER, 5)
    assert (result.outcome, result.changed) == ("done", False)
    follower_control = next(c for c in followers if c is not successor)
    with pytest.raises(NotLeaderError) as caught:
        set_evacuation(follower_control.operations, ORDER, 5)
    assert caught.value.leader_id == successor.settings.control_id
    finish = SetEvacuation(data_centre="a", finish=True)
    assert set_evacuation(successor.operations, finish, 5).changed
    leader.start()
    wait_until(lambda: leader.state_machine.evacuations.finished_at_unix_ms("a"))


def test_replies_of_an_older_build_close_the_gate(make_controls, monkeypatch):
    # Guards against a gate that only looks at the record of a past upgrade.
    controls = start_three(make_controls)
    leader = wait_for_leader(controls)
    wait_until(lambda: is_confirmed(leader))
    monkeypatch.setattr(follower, "COMMAND_VERSION", 0)
    wait_until(lambda: 0 in leader.task.command_versions().values())
    with pytest.raises(EvacuationNotReadyError):
        set_evacuation(leader.operations)
    monkeypatch.undo()
    wait_until(
        lambda: set(leader.task.command_versions().values()) == {COMMAND_VERSION}
    )
    assert set_evacuation(leader.operations, ORDER, 5).changed


def test_readers_task_ignores_a_lost_leadership():
    # Guards against a task that ends with the first failed proposal.
    def refuse(command, deadline_s):
        raise NotLeaderError("c2")

    log = SimpleNamespace(
        is_leader=True, command_versions=lambda: {"c1#1": 1}, propose=refuse
    )
    state = ControlState()
    ReadersTask(log, state, SystemClock()).run_round()
    assert state.readers.find_unready({"c1#1": None}, 1) == ["c1#1"]
