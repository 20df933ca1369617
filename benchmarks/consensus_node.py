"""Run controls that only replicate a log, each in its own process."""

import multiprocessing
import random
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection
from pathlib import Path

import attrs
import eventlet

from chestnutvale.clock import SystemClock
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.settings_pb2 import ControlSettings, PeerAddress
from chestnutvale.storage.store import DataStore
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode

CLUSTER_ID = "bench"
POLL_INTERVAL_S = 0.02


class CountingStateMachine:
    """State machine that only counts the applied commands."""

    def __init__(self) -> None:
        self.applied = 0

    def apply(self, index: int, command: Command) -> CommandResult:
        """Count one command; the result is empty."""
        self.applied += 1
        return CommandResult()

    def snapshot(self) -> bytes:
        """Serialise the count."""
        return str(self.applied).encode()

    def restore(self, data: bytes) -> None:
        """Replace the count with that of a snapshot."""
        self.applied = int(data)


@attrs.frozen
class RunningControl:
    """Parts of a running control that a measurement may access."""

    task: ConsensusTask
    transport: TransportNode


Measurement = Callable[[RunningControl], dict[str, float]]


def find_free_address() -> str:
    """Return a loopback address with a port that is currently unused."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_settings(control_index: int, peers: list[str], folder: str) -> ControlSettings:
    """Make the settings of the control at one index of the peers."""
    controls = [PeerAddress(id=f"c{i}", address=a) for i, a in enumerate(peers)]
    return ControlSettings(
        cluster_id=CLUSTER_ID,
        control_id=f"c{control_index}",
        peer_address=peers[control_index],
        data_folder=str(Path(folder) / f"c{control_index}"),
        controls=controls,
    )


@contextmanager
def open_control(settings: ControlSettings) -> Iterator[RunningControl]:
    """Run a control in this process until the context ends."""
    clock = SystemClock()
    incarnation = make_incarnation(clock.unix_ms(), 0)
    rng = random.Random(settings.control_id)
    with (
        DataStore(settings) as storage,
        TransportNode(
            CLUSTER_ID, settings.control_id, incarnation, settings.peer_address, clock
        ) as transport,
        ConsensusTask(
            settings, transport, storage, CountingStateMachine(), clock, rng
        ) as task,
    ):
        yield RunningControl(task, transport)


def run_control(
    settings_data: bytes, measurement: Measurement, connection: Connection
) -> None:
    """Run a control and measure it once a leader is known; wait for a stop message."""
    with open_control(ControlSettings.FromString(settings_data)) as control:
        while not control.task.leader_id or not control.task.applied_index:
            eventlet.sleep(POLL_INTERVAL_S)
        eventlet.sleep(1.0)
        connection.send(measurement(control))
        while not connection.poll():
            eventlet.sleep(POLL_INTERVAL_S)


def measure_controls(
    count: int, folder: str, measurement: Measurement, heartbeat_ms: int = 0
) -> list[dict[str, float]]:
    """Run a cluster of controls and return the measurement of each."""
    context = multiprocessing.get_context("spawn")
    peers = [find_free_address() for _ in range(count)]
    run_folder = str(Path(folder) / f"{count}-{time.time_ns()}")
    control_processes = []
    for control_index in range(count):
        parent_end, child_end = context.Pipe()
        settings = make_settings(control_index, peers, run_folder)
        settings.heartbeat_interval_ms = heartbeat_ms
        process = context.Process(
            target=run_control,
            args=(settings.SerializeToString(), measurement, child_end),
        )
        process.start()
        control_processes.append((process, parent_end))
    results = [connection.recv() for _, connection in control_processes]
    for process, connection in control_processes:
        connection.send("stop")
        process.join(10)
    return results
