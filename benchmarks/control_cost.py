"""Measures the cost of the control plane for each role when no calls run.

Starts deployments of real processes one after the other, with different numbers of
entries, hosts or groups. Reads CPU time, resident memory and the counters of the peer
sockets of each daemon over a window. Prints one row for each deployment and role, and
the slopes along each axis. The hosts are emulated and announce themselves each second.
"""

import json
import time
from collections.abc import Sequence
from typing import Any

import attrs
import defopt
from tabulate import tabulate

from benchmarks.control_common import (
    BUILD_FOLDER,
    ROLE_ENTRY,
    ROLE_FOLLOWER,
    ROLE_LEADER,
    find_leader,
    fit_line,
    make_text,
    read_state,
    wait_ready_entries,
)
from chestnutvale.emulator.deployment import Deployment, DeploymentOptions
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.processes import ManagedProcess, wait_until

FOLDER = BUILD_FOLDER / "control_cost"
HOSTS_PER_PROCESS = 60
HOSTS_PER_GROUP = 4
BASE_ENTRIES = 6
ROLES = (ROLE_LEADER, ROLE_FOLLOWER, ROLE_ENTRY)
METRICS = ("cpu_percent", "resident_mb", "sent_kb_s", "received_kb_s", "messages_s")
GROUPS_TIMEOUT_S = 90.0


@attrs.frozen
class Shape:
    """Numbers of entries, hosts and groups of a deployment."""

    entries: int
    hosts: int = 0
    groups: int = 0


@attrs.frozen
class Sample:
    """Counters of one daemon at one time."""

    at_s: float
    cpu_s: float
    sent_bytes: int
    received_bytes: int
    messages: int
    resident_bytes: int


AXES: dict[str, list[Shape]] = {
    "entries": [Shape(entries) for entries in (3, 6, 12, 24)],
    "hosts": [Shape(BASE_ENTRIES, hosts) for hosts in (0, 60, 240, 600)],
    "groups": [Shape(BASE_ENTRIES, 240, groups) for groups in (0, 15, 30, 60)],
    "entries_with_groups": [Shape(entries, 240, 30) for entries in (3, 6, 12)],
}


class CostMeasurement:
    """Measures one deployment.

    Parameters
    ----------
    shape : Shape
        Size of the deployment.
    settle_s, window_s : float
        Time before the measurement and duration of each window, in seconds.
    windows : int
        Number of windows; the spread between them shows the noise.
    """

    def __init__(
        self, shape: Shape, settle_s: float, window_s: float, windows: int
    ) -> None:
        self._shape = shape
        self._settle_s = settle_s
        self._window_s = window_s
        self._windows = windows

    def run(self) -> list[dict[str, Any]]:
        """Return one row for each window and role."""
        shape = self._shape
        FOLDER.mkdir(parents=True, exist_ok=True)
        text_path = BUILD_FOLDER / "control_cost_text.json"
        size = HOSTS_PER_GROUP if shape.groups else 0
        text_path.write_text(make_text(1, size, shape.groups))
        process_count = -(-shape.hosts // HOSTS_PER_PROCESS)
        hosts = ["--hosts", str(HOSTS_PER_PROCESS), "--weights-bytes", "1000"]
        options = DeploymentOptions(
            folder=FOLDER,
            text_path=text_path,
            entries=shape.entries,
            fabric_domains={f"fabric-{n}": 1 for n in range(process_count)},
            services=0,
            engine_arguments=hosts,
        )
        with Deployment(options) as deployment:
            wait_ready_entries(deployment)
            deployment.apply_text(text_path)
            self._wait_complete(deployment)
            time.sleep(self._settle_s)
            return self._measure(deployment)

    def _wait_complete(self, deployment: Deployment) -> None:
        shape = self._shape

        def is_complete() -> bool:
            state = read_state(deployment, next(iter(deployment.entries)))
            serving = [group for group in state.get("groups", ()) if group["serving"]]
            leader = read_state(deployment, find_leader(deployment))
            hosts = leader.get("hosts", -1)
            return hosts >= shape.hosts and len(serving) >= shape.groups

        wait_until(is_complete, GROUPS_TIMEOUT_S, f"{shape} complete", 0.5)

    def _measure(self, deployment: Deployment) -> list[dict[str, Any]]:
        leader = find_leader(deployment)
        daemons = deployment.controls | deployment.entries
        rows: list[dict[str, Any]] = []
        before = self._sample(deployment, daemons)
        for _ in range(self._windows):
            time.sleep(self._window_s)
            after = self._sample(deployment, daemons)
            rows += [
                self._make_row(role, names, before, after)
                for role, names in self._names_by_role(deployment, leader).items()
            ]
            before = after
        if find_leader(deployment) != leader:
            raise EmulatorError("the leader changed during the run", step="measure")
        return rows

    @staticmethod
    def _names_by_role(deployment: Deployment, leader: str) -> dict[str, list[str]]:
        followers = [name for name in deployment.controls if name != leader]
        return {
            ROLE_LEADER: [leader],
            ROLE_FOLLOWER: followers,
            ROLE_ENTRY: list(deployment.entries),
        }

    @staticmethod
    def _sample(
        deployment: Deployment, daemons: dict[str, ManagedProcess]
    ) -> dict[str, Sample]:
        samples = {}
        for name, process in daemons.items():
            counters = read_state(deployment, name)["transport"]
            samples[name] = Sample(
                time.monotonic(),
                process.read_cpu_time_s(),
                counters["sent_bytes"],
                counters["received_bytes"],
                counters["sent_messages"] + counters["received_messages"],
                process.read_resident_bytes(),
            )
        return samples

    def _make_row(
        self,
        role: str,
        names: list[str],
        before: dict[str, Sample],
        after: dict[str, Sample],
    ) -> dict[str, Any]:
        row: dict[str, Any] = attrs.asdict(self._shape) | {"role": role}
        metrics = [_compute_metrics(before[name], after[name]) for name in names]
        for metric in METRICS:
            row[metric] = sum(
                daemon_metrics[metric] for daemon_metrics in metrics
            ) / len(metrics)
        return row


def _compute_metrics(before: Sample, after: Sample) -> dict[str, float]:
    elapsed_s = after.at_s - before.at_s
    return {
        "cpu_percent": 100 * (after.cpu_s - before.cpu_s) / elapsed_s,
        "resident_mb": after.resident_bytes / 1e6,
        "sent_kb_s": (after.sent_bytes - before.sent_bytes) / 1e3 / elapsed_s,
        "received_kb_s": (after.received_bytes - before.received_bytes)
        / 1e3
        / elapsed_s,
        "messages_s": (after.messages - before.messages) / elapsed_s,
    }


def run(
    *,
    axes: Sequence[str] = tuple(AXES),
    settle_s: float = 25.0,
    window_s: float = 10.0,
    windows: int = 1,
    format: str = "table",
) -> None:
    """Measure the cost of the control plane for each role when no calls run.

    Parameters
    ----------
    axes : Sequence[str]
        Numbers to vary: ``entries``, ``hosts``, ``groups``, ``entries_with_groups``;
        all by default.
    settle_s : float
        Time in seconds between the last change and the first window. By then most
        entries have heard each host once; on that occasion they forward its full
        announcement.
    window_s : float
        Duration of a window in seconds.
    windows : int
        Number of windows of each deployment.
    format : str
        ``table`` or ``json``.
    """
    rows: list[dict[str, Any]] = []
    measured_shapes: set[Shape] = set()
    selected_axes = list(axes)
    for shape in (shape for axis in selected_axes for shape in AXES[axis]):
        if shape not in measured_shapes:
            measured_shapes.add(shape)
            rows += CostMeasurement(shape, settle_s, window_s, windows).run()
    slopes = [
        _make_slope_row(axis, role, rows) for axis in selected_axes for role in ROLES
    ]
    if format == "json":
        print(json.dumps({"rows": rows, "slopes": slopes}, indent=2))
        return
    print(tabulate(rows, headers="keys", floatfmt=".2f"))
    print("\nbase + slope for each one more of the axis")
    print(tabulate(slopes, headers="keys"))


def _make_slope_row(axis: str, role: str, rows: list[dict[str, Any]]) -> dict[str, Any]:
    field = axis.partition("_")[0]
    shapes = [attrs.asdict(shape) for shape in AXES[axis]]
    matching_rows = [
        row
        for row in rows
        if row["role"] == role and {k: row[k] for k in shapes[0]} in shapes
    ]
    result: dict[str, Any] = {"axis": axis, "role": role}
    for metric in METRICS:
        base, slope = fit_line([(row[field], row[metric]) for row in matching_rows])
        result[metric] = f"{base:.2f} + {slope:.4f}"
    return result


if __name__ == "__main__":
    defopt.run(run)
