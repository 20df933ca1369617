"""Measure commits per second in comparison with the fsync rate of the same disk.

Run with ``python -m benchmarks.consensus_commits --folder FOLDER-ON-THE-DISK``.
"""

import functools
import os
import time
from pathlib import Path

import defopt
import eventlet
from tabulate import tabulate

from benchmarks.consensus_node import RunningControl, measure_controls
from chestnutvale.consensus.exceptions import NotLeaderError
from chestnutvale.schema.command_pb2 import Command

RECORD_BYTES = 200


def measure_sync_rate(folder: Path, duration_s: float) -> float:
    """Return how many records per second can be written with one fsync each."""
    path = folder / "bare"
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND)
    end_s = time.monotonic() + duration_s
    count = 0
    while time.monotonic() < end_s:
        os.write(descriptor, bytes(RECORD_BYTES))
        os.fsync(descriptor)
        count += 1
    os.close(descriptor)
    path.unlink()
    return count / duration_s


def measure_commits(
    control: RunningControl, clients: int, duration_s: float
) -> dict[str, float]:
    """Measure commits of concurrent clients on the leader; empty on a follower."""
    if not control.task.is_leader:
        return {}
    command = Command()
    command.drain_host.host_id = "h" * RECORD_BYTES
    latencies_s = []
    end_s = time.monotonic() + duration_s

    def commit_repeatedly() -> None:
        while time.monotonic() < end_s:
            start_s = time.monotonic()
            try:
                control.task.propose(command, end_s + 5)
            except NotLeaderError:
                return
            latencies_s.append(time.monotonic() - start_s)

    syncs_before = control.task.status()["syncs"]
    cpu_start_s = time.process_time()
    for greenlet in [eventlet.spawn(commit_repeatedly) for _ in range(clients)]:
        greenlet.wait()
    latencies_s.sort()
    count = len(latencies_s)
    return {
        "commits/s": count / duration_s,
        "commits a sync": count / (control.task.status()["syncs"] - syncs_before),
        "p50 ms": latencies_s[count // 2] * 1000,
        "p99 ms": latencies_s[count * 99 // 100] * 1000,
        "leader us/commit": (time.process_time() - cpu_start_s) / count * 1e6,
    }


def main(
    *,
    folder: str = "build/bench",
    clients: str = "1,8,64,256",
    voters: int = 3,
    duration_s: float = 3.0,
) -> None:
    """Print commits per second for several numbers of concurrent clients."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    rows = []
    for count in [int(text) for text in clients.split(",")]:
        sync_rate_per_s = measure_sync_rate(Path(folder), duration_s)
        measurement = functools.partial(
            measure_commits, clients=count, duration_s=duration_s
        )
        results = measure_controls(voters, folder, measurement)
        leader = next(result for result in results if result)
        rows.append({"clients": count, "bare syncs/s": sync_rate_per_s, **leader})
    print(tabulate(rows, headers="keys", floatfmt=".1f"))


if __name__ == "__main__":
    defopt.run(main)
