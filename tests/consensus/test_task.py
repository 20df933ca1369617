"""Consensus tasks over loopback and real data folders."""

import random
from contextlib import ExitStack

import eventlet
import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.consensus.exceptions import NotLeaderError
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.settings_pb2 import ControlSettings, PeerAddress
from chestnutvale.storage.store import DataStore
from chestnutvale.transport.gate import make_incarnation
from chestnutvale.transport.node import TransportNode

CLOCK = SystemClock()


class HostList:
    """State machine that keeps the hosts of all drain commands."""

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
    """One control of the test: settings, folder, and its life when started."""

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
        self.life = None

    def start(self):
        settings = self.settings
        self.life = ExitStack()
        storage = self.life.enter_context(DataStore(settings))
        incarnation = make_incarnation(CLOCK.unix_ms(), self.position)
        transport = self.life.enter_context(
            TransportNode(
                "t", settings.control_id, incarnation, settings.peer_address, CLOCK
            )
        )
        self.machine = HostList()
        self.task = self.life.enter_context(
            ConsensusTask(
                settings,
                transport,
                storage,
                self.machine,
                CLOCK,
                random.Random(self.position),
            )
        )

    def stop(self):
        self.life.close()
        self.life = None


@pytest.fixture
def make_controls(free_address, tmp_path):
    """Return a function that makes controls and stops them after the test."""
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
        if control.life is not None:
            control.stop()


def wait_for_leader(controls, timeout_s=10):
    with eventlet.Timeout(timeout_s):
        while True:
            for control in controls:
                if control.life and control.task.has_lease(CLOCK.now_s()):
                    return control
            eventlet.sleep(0.02)


def wait_until(condition, timeout_s=10):
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
    heir = wait_for_leader(controls)
    propose(heir, "c")
    leader.start()
    for control in controls:
        wait_until(lambda c=control: c.machine.hosts == ["a", "b", "c"])


def test_single_control_recovers_its_log(make_controls):
    control = make_controls(1)[0]
    control.start()
    propose(wait_for_leader([control]), "a")
    control.stop()
    control.start()
    wait_for_leader([control])
    wait_until(lambda: control.machine.hosts == ["a"])
