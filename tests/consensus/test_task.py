"""Consensus tasks over loopback transport and real data folders."""

import errno
import random
import shutil
import threading
import time
from contextlib import ExitStack

import attrs
import eventlet
import logbook
import pytest

from chestnutvale import compression
from chestnutvale.clock import SystemClock
from chestnutvale.compression import compress
from chestnutvale.consensus.config import make_raft_config
from chestnutvale.consensus.disk_writer import STOP_TIMEOUT_S
from chestnutvale.consensus.exceptions import (
    MembersChangeError,
    NotLeaderError,
    OutcomeUnknownError,
)
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.groups_pb2 import DrainHost
from chestnutvale.schema.settings_pb2 import ControlSettings, PeerAddress
from chestnutvale.storage.file_system import FileSystem
from chestnutvale.storage.store import DataStore
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode

CLOCK = SystemClock()
WRITE_STALL_TIMEOUT_S = 1.0
MAX_TEST_BYTES = 100_000


class HostList:
    """State machine that records the hosts of all drain commands."""

    def __init__(self):
        self.hosts = []

    def apply(self, index, command):
        self.hosts.append(command.drain_host.host_id)
        return CommandResult()

    def snapshot(self):
        return "\n".join(self.hosts).encode()

    def restore(self, data):
        self.hosts = data.decode().splitlines()


class Control:
    """A control under test with its settings, folder and open resources."""

    make_state_machine = HostList

    def __init__(self, position, peers, folder, **fields):
        self.settings = ControlSettings(
            cluster_id="t",
            control_id=peers[position].id,
            peer_address=peers[position].address,
            data_folder=str(folder / peers[position].id),
            controls=peers[:3],
            election_timeout_ms=300,
            heartbeat_interval_ms=50,
            voter_lost_ms=1_000,
            **fields,
        )
        self.position = position
        self.exit_stack = None

    def start(self, file_system=None):
        settings = self.settings
        self.exit_stack = ExitStack()
        storage = self.exit_stack.enter_context(DataStore(settings, file_system))
        incarnation = make_incarnation(CLOCK.unix_ms(), self.position)
        transport = self.exit_stack.enter_context(
            TransportNode(
                "t", settings.control_id, incarnation, settings.peer_address, CLOCK
            )
        )
        self.state_machine = self.make_state_machine()
        self.task = self.exit_stack.enter_context(
            ConsensusTask(
                settings,
                transport,
                storage,
                self.state_machine,
                CLOCK,
                random.Random(self.position),
                attrs.evolve(
                    make_raft_config(settings),
                    write_stall_timeout_s=WRITE_STALL_TIMEOUT_S,
                ),
            )
        )

    def stop(self):
        self.exit_stack.close()
        self.exit_stack = None


@pytest.fixture
def make_controls(free_address, tmp_path):
    """Return a function that creates controls, stopped after the test."""
    controls = []

    def make(count, spares=0):
        peers = [
            PeerAddress(id=f"c{i}", address=free_address())
            for i in range(count + spares)
        ]
        for position in range(count + spares):
            is_spare = position >= count
            controls.append(Control(position, peers, tmp_path, spare=is_spare))
        return controls

    yield make
    for control in controls:
        if control.exit_stack is not None:
            control.stop()


def wait_for_leader(controls, timeout_s=30):
    with eventlet.Timeout(timeout_s):
        while True:
            for control in controls:
                if control.exit_stack and control.task.has_lease(CLOCK.now_s()):
                    return control
            eventlet.sleep(0.02)


def wait_until(condition, timeout_s=30):
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.02)


def propose(control, host_id):
    command = Command()
    command.drain_host.host_id = host_id
    return control.task.propose(command, CLOCK.now_s() + 5)


def test_three_controls_agree_and_survive_restarts(make_controls):
    controls = make_controls(3)
    for control in controls:
        control.start()
    leader = wait_for_leader(controls)
    for host in ("a", "b"):
        propose(leader, host)
    assert leader.task.confirm_read(CLOCK.now_s() + 5) == leader.task.applied_index
    follower = next(c for c in controls if c is not leader)
    with pytest.raises(NotLeaderError) as caught:
        propose(follower, "x")
    assert caught.value.leader_id == leader.settings.control_id
    leader.stop()
    new_leader = wait_for_leader(controls)
    propose(new_leader, "c")
    leader.start()
    for control in controls:
        wait_until(lambda c=control: c.state_machine.hosts == ["a", "b", "c"])


class ControlStateMachine(ControlState):
    """The state of a control, with a list of the hosts that were drained."""

    @property
    def hosts(self):
        return sorted(self.groups.draining_hosts)


def make_bad_commands():
    damaged = Command(compressed_apply_text=b"damaged")
    too_large = Command(compressed_apply_text=compress(bytes(MAX_TEST_BYTES + 1)))
    no_message = Command(compressed_apply_text=compress(b"\xff" * 50))
    return [damaged, too_large, no_message]


def test_command_that_cannot_be_applied_is_skipped_by_all_controls(
    make_controls, monkeypatch
):
    # Guards against an entry of the log that ends all controls for good.
    monkeypatch.setattr(Control, "make_state_machine", ControlStateMachine)
    # Decompressing the real size would stop the controls, which share this process, for
    # longer than their election timeout.
    monkeypatch.setattr(compression, "MAX_DECOMPRESSED_BYTES", MAX_TEST_BYTES)
    controls = make_controls(3)
    for control in controls:
        control.start()
    leader = wait_for_leader(controls)
    for command in make_bad_commands():
        result = leader.task.propose(command, CLOCK.now_s() + 5)
        assert not result.ListFields()
    drain = Command(drain_host=DrainHost(host_id="a", draining=True))
    leader.task.propose(drain, CLOCK.now_s() + 5)
    for control in controls:
        wait_until(lambda c=control: c.state_machine.hosts == ["a"])
        assert control.task.failure is None
        assert control.task.skipped_commands == 3
    snapshots = {control.state_machine.snapshot() for control in controls}
    assert len(snapshots) == 1
    # The entries are still in the log at the next start.
    restarted = next(c for c in controls if c is not leader)
    restarted.stop()
    restarted.start()
    wait_until(lambda: restarted.state_machine.hosts == ["a"])
    assert restarted.task.skipped_commands == 3


def test_single_control_recovers_its_log(make_controls):
    control = make_controls(1)[0]
    control.start()
    propose(wait_for_leader([control]), "a")
    control.stop()
    control.start()
    wait_for_leader([control])
    wait_until(lambda: control.state_machine.hosts == ["a"])


def start_all(controls):
    for control in controls:
        control.start()
    return wait_for_leader(controls)


def voters_of(control):
    return {member.split("#")[0] for member in control.task.members.voters}


def test_leadership_is_handed_over_without_an_election_timeout(make_controls):
    controls = make_controls(3)
    leader = start_all(controls)
    propose(leader, "a")
    # It would still lead if the others had to wait for an election timeout.
    assert leader.task.transfer_leadership()
    wait_until(lambda: leader.task.leader_id not in ("", leader.settings.control_id))
    propose(wait_for_leader(controls), "b")


def test_lost_disk_comes_back_as_another_voter(make_controls):
    controls = make_controls(3)
    leader = start_all(controls)
    propose(leader, "a")
    lost = next(c for c in controls if c is not leader)
    old_id = lost.task.member_id
    lost.stop()
    shutil.rmtree(lost.settings.data_folder)
    lost.start()
    assert lost.task.member_id != old_id
    wait_until(lambda: lost.task.member_id in leader.task.members.voters)
    assert old_id not in leader.task.members.voters
    assert len(leader.task.members.voters) == 3
    wait_until(lambda: lost.state_machine.hosts == ["a"])


def test_spare_takes_the_place_of_a_lost_voter(make_controls):
    controls = make_controls(3, spares=1)
    leader = start_all(controls)
    propose(leader, "a")
    wait_until(lambda: leader.task.members.learners)
    first, second = [c for c in controls[:3] if c is not leader]
    first.stop()
    survivors = {leader.settings.control_id, second.settings.control_id, "c3"}
    wait_until(lambda: voters_of(leader) == survivors)
    wait_until(lambda: leader.task.status()["learners"] == [])
    second.stop()
    propose(wait_for_leader([leader, controls[3]]), "b")
    wait_until(lambda: controls[3].state_machine.hosts == ["a", "b"])


def test_leader_counts_silent_voters(make_controls):
    controls = make_controls(3)
    leader = start_all(controls)
    assert leader.task.silent_voters == 0
    follower = next(c for c in controls if c is not leader)
    follower.stop()
    wait_until(lambda: leader.task.silent_voters == 1)
    follower.start()
    wait_until(lambda: leader.task.silent_voters == 0)
    assert follower.task.silent_voters == 0


def test_leader_without_a_quorum_logs_why_it_gives_up(make_controls):
    controls = make_controls(3)
    leader = start_all(controls)
    with logbook.TestHandler().applicationbound() as handler:
        for control in controls:
            if control is not leader:
                control.stop()
        wait_until(lambda: not leader.task.is_leader)
        eventlet.sleep(0)
    messages = [record.message for record in handler.records]
    assert any("Gave up leadership: no quorum has" in text for text in messages)


def test_delay_of_the_process_is_logged_and_counted(make_controls):
    leader = start_all(make_controls(1))
    with logbook.TestHandler().applicationbound() as handler:
        # Blocks all green threads, as a long computation does.
        time.sleep(1.0)
        wait_until(lambda: leader.task.delayed_s > 0.5)
    assert any("task ran" in record.message for record in handler.records)


def test_a_control_whose_settings_name_no_leader_joins_by_a_follower(make_controls):
    controls = make_controls(3)
    leader = start_all(controls)
    propose(leader, "a")
    lost, follower = [c for c in controls if c is not leader]
    lost.stop()
    shutil.rmtree(lost.settings.data_folder)
    known = {lost.settings.control_id, follower.settings.control_id}
    seeds = [peer for peer in lost.settings.controls if peer.id in known]
    del lost.settings.controls[:]
    lost.settings.controls.extend(seeds)
    lost.settings.spare = True
    lost.start()
    wait_until(lambda: lost.task.member_id in leader.task.members.voters)
    assert leader.settings.control_id in lost.task.known_addresses()
    wait_until(lambda: lost.state_machine.hosts == ["a"])


def test_a_control_whose_settings_name_only_itself_is_invited(make_controls):
    controls = make_controls(3)
    leader = start_all(controls)
    propose(leader, "a")
    lost = next(control for control in controls if control is not leader)
    lost.stop()
    shutil.rmtree(lost.settings.data_folder)
    own = [p for p in lost.settings.controls if p.id == lost.settings.control_id]
    del lost.settings.controls[:]
    lost.settings.controls.extend(own)
    lost.settings.spare = True
    lost.start()
    wait_until(lambda: lost.task.member_id in leader.task.members.voters)
    wait_until(lambda: lost.state_machine.hosts == ["a"])


def test_operator_removes_and_adds_a_voter(make_controls):
    controls = make_controls(3)
    leader = start_all(controls)
    other = next(c for c in controls if c is not leader)
    control_id = other.settings.control_id
    deadline_s = CLOCK.now_s() + 20
    leader.task.remove(control_id, deadline_s)
    assert control_id not in voters_of(leader)
    with pytest.raises(MembersChangeError):
        leader.task.remove(control_id, deadline_s)
    wait_until(lambda: not other.task.leader_id)
    wait_until(lambda: can_add(leader, control_id, deadline_s))
    wait_until(lambda: can_promote(leader, control_id, deadline_s))
    assert voters_of(leader) == {"c0", "c1", "c2"}


def can_add(leader, control_id, deadline_s):
    try:
        leader.task.add_learner(control_id, deadline_s)
    except MembersChangeError:
        return False
    return True


def can_promote(leader, control_id, deadline_s):
    try:
        leader.task.promote(control_id, deadline_s)
    except MembersChangeError:
        return False
    return True


class FailingSyncFileSystem(FileSystem):
    """File system whose syncs fail once `fails_syncs` is set."""

    def __init__(self):
        self.fails_syncs = False

    def sync(self, descriptor):
        if self.fails_syncs:
            raise OSError(errno.EIO, "broken")
        super().sync(descriptor)


def test_failed_sync_stops_participation_and_acknowledges_nothing(make_controls):
    control = make_controls(1)[0]
    file_system = FailingSyncFileSystem()
    control.start(file_system)
    wait_for_leader([control])
    propose(control, "a")
    file_system.fails_syncs = True
    with pytest.raises(OutcomeUnknownError):
        propose(control, "b")
    assert control.task.failure.code == "storage_failed"
    assert not control.task.has_lease(CLOCK.now_s())
    file_system.fails_syncs = False
    with pytest.raises(NotLeaderError):
        propose(control, "c")
    assert control.state_machine.hosts == ["a"]


class FullFileSystem(FileSystem):
    """File system that refuses writes while `is_full`."""

    def __init__(self):
        self.is_full = False

    def write(self, descriptor, data):
        if self.is_full:
            raise OSError(errno.ENOSPC, "full")
        super().write(descriptor, data)


@pytest.mark.parametrize("is_leader_full", [False, True])
def test_control_whose_disk_was_full_votes_again(make_controls, is_leader_full):
    controls = make_controls(3)
    file_systems = [FullFileSystem() for _ in controls]
    for control, file_system in zip(controls, file_systems, strict=True):
        control.start(file_system)
    leader = wait_for_leader(controls)
    full = leader if is_leader_full else controls[leader.position - 1]
    disk = file_systems[full.position]
    disk.is_full = True
    propose(wait_for_leader(controls), "a")
    eventlet.sleep(WRITE_STALL_TIMEOUT_S / 2)
    disk.is_full = False
    wait_until(lambda: full.state_machine.hosts == ["a"])
    next(control for control in controls if control is not full).stop()
    propose(wait_for_leader(controls), "b")
    assert full.task.failure is None


def test_control_stops_while_its_disk_is_full(make_controls):
    control = make_controls(1)[0]
    file_system = FullFileSystem()
    control.start(file_system)
    leader = wait_for_leader([control])
    file_system.is_full = True
    with pytest.raises(OutcomeUnknownError):
        propose(leader, "a")
    with eventlet.Timeout(STOP_TIMEOUT_S / 2):
        control.stop()


class HangingSyncFileSystem(FileSystem):
    """File system whose syncs wait while `works` is cleared."""

    def __init__(self):
        self.works = threading.Event()
        self.works.set()

    def sync(self, descriptor):
        self.works.wait()
        super().sync(descriptor)


def test_control_whose_write_hangs_says_so_and_another_one_leads(make_controls):
    controls = make_controls(3)
    file_systems = [HangingSyncFileSystem() for _ in controls]
    for control, file_system in zip(controls, file_systems, strict=True):
        control.start(file_system)
    leader = wait_for_leader(controls)
    disk = file_systems[leader.position]
    disk.works.clear()
    try:
        propose(leader, "a")
        others = [control for control in controls if control is not leader]
        propose(wait_for_leader(others), "b")
        assert leader.task.is_write_stalled
        assert not leader.task.is_leader
        assert leader.task.write_waited_s > WRITE_STALL_TIMEOUT_S
    finally:
        disk.works.set()
    wait_until(lambda: not leader.task.is_write_stalled)
    wait_until(lambda: leader.state_machine.hosts == ["a", "b"])


def test_a_control_back_after_500_changes_restores_a_snapshot(make_controls):
    controls = make_controls(3)
    leader = start_all(controls)
    late = next(c for c in controls if c is not leader)
    late.stop()
    # Until it is considered silent, entries for it queue in the socket.
    eventlet.sleep(1.0)
    # Names of 1 KB make the state larger than one chunk of the snapshot.
    hosts = [f"{number}".rjust(1_000, "h") for number in range(500)]
    pool = eventlet.GreenPool()
    list(pool.starmap(propose, [(leader, host) for host in hosts]))
    late.start()
    wait_until(lambda: len(late.state_machine.hosts) == 500)
    assert sorted(late.state_machine.hosts) == sorted(hosts)
    assert late.task.status()["snapshot_index"] > 400
    late.stop()
    late.start()
    assert len(late.state_machine.hosts) >= 400
