"""Measure how long commits are interrupted when the leader is killed or shut down.

Run with ``python -m benchmarks.consensus_failover``.
"""

import itertools
import multiprocessing
import time
from multiprocessing.connection import Connection
from pathlib import Path

import attrs
import defopt
import eventlet
from tabulate import tabulate

from benchmarks.consensus_node import (
    POLL_INTERVAL_S,
    find_free_address,
    make_settings,
    open_control,
)
from chestnutvale.exceptions import ChestnutError
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.settings_pb2 import ControlSettings

VOTERS = 3
LEADER_TIMEOUT_S = 20.0


def run_control(settings_data: bytes, connection: Connection) -> None:
    """Commit a command per request; "stop" shuts the control down gracefully."""
    with open_control(ControlSettings.FromString(settings_data)) as control:
        while True:
            while not connection.poll():
                eventlet.sleep(POLL_INTERVAL_S / 10)
            if connection.recv() == "stop":
                return
            command = Command()
            command.drain_host.host_id = "h"
            try:
                control.task.propose(command, time.monotonic() + 0.5)
            except ChestnutError:
                connection.send(False)
            else:
                connection.send(True)


@attrs.define
class ControlProcess:
    """A control in its own process and the pipe to it."""

    settings: ControlSettings
    process: multiprocessing.Process | None = None
    connection: Connection | None = None

    def start(self) -> None:
        """Start the process with a new pipe."""
        context = multiprocessing.get_context("spawn")
        self.connection, child_end = context.Pipe()
        arguments = (self.settings.SerializeToString(), child_end)
        self.process = context.Process(target=run_control, args=arguments)
        self.process.start()

    def commit(self) -> bool:
        """Request a commit; return whether this control committed it."""
        self.connection.send("commit")
        return self.connection.recv()

    def kill(self) -> None:
        """Kill the process without a graceful shutdown."""
        self.process.kill()
        self.process.join()

    def stop(self) -> None:
        """Request a graceful shutdown, without waiting for its end."""
        self.connection.send("stop")


def find_leader(controls: list[ControlProcess]) -> ControlProcess:
    """Return the first control that commits a command."""
    end_s = time.monotonic() + LEADER_TIMEOUT_S
    for control in itertools.cycle(controls):
        if control.commit():
            return control
        if time.monotonic() > end_s:
            raise TimeoutError("no control committed a command before the timeout")
        time.sleep(0.005)
    raise AssertionError


def measure_commit_gaps_s(
    controls: list[ControlProcess], stop_method: str, count: int
) -> list[float]:
    """Return the sorted interruptions of commits in seconds, one per stopped leader."""
    gaps_s = []
    for _ in range(count):
        leader = find_leader(controls)
        others = [control for control in controls if control is not leader]
        start_s = time.monotonic()
        getattr(leader, stop_method)()
        find_leader(others)
        gaps_s.append(time.monotonic() - start_s)
        leader.process.join()
        leader.start()
        time.sleep(2.0)
    return sorted(gaps_s)


def main(*, folder: str = "build/bench", count: int = 10) -> None:
    """Print the interruptions caused by kills and by graceful shutdowns."""
    peers = [find_free_address() for _ in range(VOTERS)]
    run_folder = str(Path(folder) / f"failover-{time.time_ns()}")
    controls = [
        ControlProcess(make_settings(p, peers, run_folder)) for p in range(VOTERS)
    ]
    for control in controls:
        control.start()
    rows = []
    for stop_method in ("kill", "stop"):
        gaps_s = measure_commit_gaps_s(controls, stop_method, count)
        rows.append(
            {
                "leader": stop_method,
                "count": count,
                "p50 ms": gaps_s[count // 2] * 1000,
                "worst ms": gaps_s[-1] * 1000,
            }
        )
    for control in controls:
        control.kill()
    print(tabulate(rows, headers="keys", floatfmt=".0f"))


if __name__ == "__main__":
    defopt.run(main)
