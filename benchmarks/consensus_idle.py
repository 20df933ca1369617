"""Measure the traffic and processor time of idle controls per number of voters.

Run with ``python -m benchmarks.consensus_idle``.
"""

import functools
import time

import defopt
import eventlet
from tabulate import tabulate

from benchmarks.consensus_node import RunningControl, measure_controls


def measure_idle(control: RunningControl, duration_s: float) -> dict[str, float]:
    """Measure message and byte rates and processor use of one idle control."""
    transport = control.transport
    before = (
        transport.sent_messages,
        transport.sent_bytes,
        transport.received_messages,
        transport.received_bytes,
        time.process_time(),
    )
    is_leader = control.task.is_leader
    eventlet.sleep(duration_s)
    after = (
        transport.sent_messages,
        transport.sent_bytes,
        transport.received_messages,
        transport.received_bytes,
        time.process_time(),
    )
    column_names = ("sent/s", "sent B/s", "received/s", "received B/s", "core %")
    rates = [(b - a) / duration_s for a, b in zip(before, after, strict=True)]
    rates[-1] *= 100
    return {"leads": is_leader, **dict(zip(column_names, rates, strict=True))}


def main(
    *,
    folder: str = "build/bench",
    voters: str = "1,3,5",
    heartbeats_ms: str = "100,250",
    duration_s: float = 10.0,
) -> None:
    """Print the idle cost of a leader and a follower, and the cost per voter."""
    for heartbeat_ms in [int(text) for text in heartbeats_ms.split(",")]:
        print(f"heartbeat interval {heartbeat_ms} ms")
        rows = []
        for count in [int(text) for text in voters.split(",")]:
            measurement = functools.partial(measure_idle, duration_s=duration_s)
            results = measure_controls(count, folder, measurement, heartbeat_ms)
            results.sort(key=lambda result: not result["leads"])
            rows.append({"voters": count, "role": "leader", **results[0]})
            if count > 1:
                rows.append({"voters": count, "role": "follower", **results[1]})
        print_slopes(rows)


def print_slopes(rows: list[dict]) -> None:
    """Print the rows and the cost of each additional voter for the leader."""
    print(tabulate(rows, headers="keys", floatfmt=".2f"))
    leaders = [row for row in rows if row["role"] == "leader"]
    voter_range = leaders[-1]["voters"] - leaders[0]["voters"]
    for name in ("sent/s", "sent B/s", "received B/s", "core %"):
        cost_per_voter = (leaders[-1][name] - leaders[0][name]) / max(voter_range, 1)
        print(f"leader, per additional voter: {cost_per_voter:.2f} {name}")


if __name__ == "__main__":
    defopt.run(main)
