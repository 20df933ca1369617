"""Configuration texts of the soak test."""

import hashlib
import json
import random
from typing import Any

import attrs

from chestnutvale.emulator.deployment import PLAIN_SERVICE, WORKSPACE_KEYS
from chestnutvale.soak.const import (
    HOSTS_PER_PAIR_GROUP,
    PAIR_SERVICE,
    PROBE_WORKSPACE,
    SOLO_SERVICE,
)

MAX_WORKSPACE_WEIGHT = 10
LARGE_CHANGE_WORKSPACES = 1_000
CALLS = [
    {"method": "GET", "path_prefix": "/", "repeatable": True},
    {"method": "POST", "path_prefix": "/postings", "repeatable": False},
]


@attrs.frozen
class Sizes:
    """Numbers of groups of the two model services."""

    solo_groups: int
    pair_groups: int


@attrs.frozen
class TextChange:
    """What a text changes; a large one is nearly as large as texts may be."""

    seed: int
    is_large: bool = False


def make_probe_key(number: int) -> str:
    """Return the API key that only the text with this number knows."""
    return f"soak-probe-{number}"


def make_text(number: int, sizes: Sizes, change: TextChange) -> str:
    """Return the configuration text of a number as JSON.

    Weights and limits of what callers use are drawn from the seed of the change.
    """
    rng = random.Random(change.seed)
    workspaces: dict[str, Any] = {
        name: _make_workspace(key, rng.randint(1, MAX_WORKSPACE_WEIGHT))
        for name, key in WORKSPACE_KEYS.items()
    }
    workspaces[PROBE_WORKSPACE] = _make_workspace(make_probe_key(number), 1)
    extra_count = LARGE_CHANGE_WORKSPACES if change.is_large else rng.randint(0, 5)
    for index in range(extra_count):
        workspaces[f"extra-{index}"] = _make_workspace(f"extra {number} {index}", 1)
    limits = {
        "max_queued_requests": rng.randint(800, 1_200),
        "default_deadline_ms": rng.randint(50_000, 70_000),
    }
    return json.dumps(
        {
            "number": number,
            "services": {
                SOLO_SERVICE: _make_model(1, sizes.solo_groups, limits),
                PAIR_SERVICE: _make_model(
                    HOSTS_PER_PAIR_GROUP, sizes.pair_groups, limits
                ),
                PLAIN_SERVICE: {"kind": "plain", "limits": limits, "calls": CALLS},
            },
            "workspaces": workspaces,
        }
    )


def _make_model(hosts_per_group: int, groups: int, limits: Any) -> dict[str, Any]:
    return {
        "kind": "model",
        "model": "chestnut",
        "version": "1",
        "hosts_per_group": hosts_per_group,
        "groups": groups,
        "limits": limits,
    }


def _make_workspace(key: str, weight: int) -> dict[str, Any]:
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {"weight": weight, "key_sha256": [digest]}
