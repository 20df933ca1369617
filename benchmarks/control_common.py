"""Helpers of the control benchmarks: configuration texts, roles and statistics."""

import hashlib
import json
import math
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import urllib3

from chestnutvale.emulator.deployment import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    WORKSPACE_KEYS,
    Deployment,
)
from chestnutvale.emulator.processes import wait_until

BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"
ROLE_LEADER = "leader"
ROLE_FOLLOWER = "follower"
ROLE_ENTRY = "entry"
READY_TIMEOUT_S = 60.0


def make_text(number: int, hosts_per_group: int = 0, groups: int = 0) -> str:
    """Return a text with one plain service and optionally one model service."""
    services: dict[str, Any] = {PLAIN_SERVICE: {"kind": "plain", "groups": 0}}
    if hosts_per_group:
        services[MODEL_SERVICE] = {
            "kind": "model",
            "model": "chestnut",
            "version": "1",
            "hosts_per_group": hosts_per_group,
            "groups": groups,
        }
    workspaces = {
        name: {"key_sha256": [hashlib.sha256(key.encode()).hexdigest()]}
        for name, key in WORKSPACE_KEYS.items()
    }
    text = {"number": number, "services": services, "workspaces": workspaces}
    return json.dumps(text, indent=2)


def read_state(deployment: Deployment, name: str) -> dict[str, Any]:
    """Return the debug state of a daemon; empty if it does not respond."""
    try:
        url = f"http://{deployment.addresses[name]}/debug/state"
        return deployment.http.request("GET", url, timeout=1.0).json()
    except (urllib3.exceptions.HTTPError, OSError, ValueError):
        return {}


def find_leader(deployment: Deployment, timeout_s: float = READY_TIMEOUT_S) -> str:
    """Wait for a leader with a lease and return its name."""

    def find_leader_name() -> str:
        for name in deployment.controls:
            consensus = read_state(deployment, name).get("consensus", {})
            if consensus.get("role") == ROLE_LEADER and consensus.get("has_lease"):
                return name
        return ""

    return wait_until(find_leader_name, timeout_s, "a leader")


def wait_ready_entries(deployment: Deployment) -> None:
    """Wait until every entry holds a serving lease."""
    wait_until(
        lambda: all(
            deployment.fetch_status(e, "/readyz") == 200 for e in deployment.entries
        ),
        READY_TIMEOUT_S,
        "ready entries",
    )


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile for a share between 0 and 1."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    return mean_y - slope * mean_x, slope
