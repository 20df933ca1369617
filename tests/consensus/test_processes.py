"""Linearizability of real processes under SIGKILL and SIGSTOP."""

import itertools
import math
import random
import signal
import time

import pytest

from chestnutvale.schema.settings_pb2 import ControlSettings, PeerAddress
from tests.consensus.process import Process
from tests.history import Operation, is_linearizable

CLIENTS = 3
FAULTS = 6
OPERATIONS = 100
RUN_LIMIT_S = 60.0
FAULT_INTERVAL_S = 1.2
GIVE_UP_S = 1.0
WAIT_S = 20.0
WITHOUT_CHECKS_ATTEMPTS = 8


@pytest.fixture
def make_processes(free_address, tmp_path):
    """Return a function that starts three controls and ends them after the test."""
    processes = []

    def make(without_lease_checks=False):
        peers = [PeerAddress(id=f"c{i}", address=free_address()) for i in range(3)]
        for peer in peers:
            settings = ControlSettings(
                cluster_id="t",
                control_id=peer.id,
                peer_address=peer.address,
                data_folder=str(tmp_path / peer.id),
                controls=peers,
                election_timeout_ms=400,
                heartbeat_interval_ms=50,
            )
            processes.append(Process(settings, without_lease_checks))
        return Clients(processes)

    yield make
    for process in processes:
        process.signal(signal.SIGKILL)


class Clients:
    """Sends operations to the processes and records the history."""

    def __init__(self, processes):
        self.processes = processes
        self.history = []
        self.waiting = {}
        self.numbers = itertools.count()
        self.values = itertools.count()
        self.leader = 0

    def start_operation(self, position, kind, argument=None):
        operation = Operation(kind, time.monotonic(), argument)
        number = next(self.numbers)
        self.waiting[number] = (position, operation)
        self.history.append(operation)
        self.processes[position].connection.send((number, kind, argument))
        return operation

    def receive(self):
        for process in self.processes:
            while process.connection.poll():
                self._record_result(*process.connection.recv())
        time.sleep(0.001)

    def _record_result(self, number, outcome, result):
        position, operation = self.waiting.pop(number)
        if outcome == "done":
            operation.finish(time.monotonic(), result)
            self.leader = position
        elif outcome == "not_run":
            self.history.remove(operation)
            operation.kind = "not_run"

    def count_done(self):
        return sum(o.returned_s < math.inf for o in self.history)

    def is_waiting(self, operation):
        return any(known is operation for _, known in self.waiting.values())

    def wait_for(self, operation):
        end_s = time.monotonic() + WAIT_S
        while self.is_waiting(operation) and time.monotonic() < end_s:
            self.receive()
        return operation.returned_s < time.monotonic()

    def write(self, value, positions=(0, 1, 2)):
        """Write through the current leader and return its position."""
        end_s = time.monotonic() + WAIT_S
        position_cycle = itertools.cycle(positions)
        position = next(position_cycle)
        while not self.wait_for(self.start_operation(position, "write", value)):
            assert time.monotonic() < end_s, "no leader accepted the write in time"
            position = next(position_cycle)
        return position


def resume_frozen_leader(clients):
    leader = clients.write(next(clients.values))
    clients.processes[leader].signal(signal.SIGSTOP)
    try:
        clients.write(next(clients.values), [p for p in range(3) if p != leader])
        read = clients.start_operation(leader, "read")
    finally:
        clients.processes[leader].signal(signal.SIGCONT)
    clients.wait_for(read)
    assert is_linearizable(clients.history)


def test_resumed_leader_serves_no_stale_state(make_processes):
    resume_frozen_leader(make_processes())


def test_resumed_leader_without_lease_serves_stale_state(make_processes):
    clients = make_processes(without_lease_checks=True)
    with pytest.raises(AssertionError):
        # A message from the new leader may arrive before the pending read.
        for _ in range(WITHOUT_CHECKS_ATTEMPTS):
            resume_frozen_leader(clients)


def inject_fault(clients, rng, frozen):
    """Resume frozen processes, then freeze or kill and restart one."""
    for position in frozen:
        clients.processes[position].signal(signal.SIGCONT)
    frozen.clear()
    position = rng.choice([clients.leader, rng.randrange(3)])
    if rng.random() < 0.5:
        clients.processes[position].signal(signal.SIGSTOP)
        frozen.append(position)
        return
    clients.processes[position].signal(signal.SIGKILL)
    clients.waiting = {n: w for n, w in clients.waiting.items() if w[0] != position}
    clients.processes[position].start()


def test_history_under_kill_and_freeze(make_processes):
    clients = make_processes()
    clients.write(next(clients.values))
    rng = random.Random(1)
    running = [None] * CLIENTS
    frozen = []
    faults = 0
    end_s = time.monotonic() + RUN_LIMIT_S
    fault_s = time.monotonic() + 0.5
    while faults < FAULTS or clients.count_done() < OPERATIONS:
        clients.receive()
        now_s = time.monotonic()
        assert now_s < end_s
        if now_s > fault_s:
            fault_s = now_s + FAULT_INTERVAL_S
            faults += 1
            inject_fault(clients, rng, frozen)
        for slot, operation in enumerate(running):
            is_given_up = operation and now_s > operation.called_s + GIVE_UP_S
            if operation and clients.is_waiting(operation) and not is_given_up:
                continue
            position = rng.choice([clients.leader, clients.leader, rng.randrange(3)])
            if rng.random() < 0.5:
                running[slot] = clients.start_operation(position, "read")
            else:
                running[slot] = clients.start_operation(
                    position, "write", next(clients.values)
                )
            # Limits the operations, so that the linearizability check is fast.
            time.sleep(0.01)
    for position in frozen:
        clients.processes[position].signal(signal.SIGCONT)
    clients.write(next(clients.values))
    assert is_linearizable(clients.history)
