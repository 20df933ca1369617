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
MAX_LIMIT_STEP = 200
LARGE_CHANGE_WORKSPACES = 1_000


@attrs.frozen
class Sizes:
    """Numbers of groups of the two model services."""

    solo_groups: int
    pair_groups: int


@attrs.frozen
class TextChange:
    """What a text changes against the first one.

    Attributes
    ----------
    workspace_weights : dict of str to int
        Weight of each workspace of callers.
    queue_bonus : int
        Number of requests added to the limits of all services.
    extra_workspaces : int
        Number of workspaces that no caller uses; many of them make the text large.
    """

    workspace_weights: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(WORKSPACE_KEYS, 1)
    )
    queue_bonus: int = 0
    extra_workspaces: int = 0


def draw_change(rng: random.Random, *, large: bool) -> TextChange:
    """Draw a change of weights and limits of the services in use.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    large : bool
        Whether the text grows to nearly its largest size.

    Returns
    -------
    TextChange
        The change.
    """
    return TextChange(
        {name: rng.randint(1, MAX_WORKSPACE_WEIGHT) for name in WORKSPACE_KEYS},
        rng.randint(0, MAX_LIMIT_STEP),
        LARGE_CHANGE_WORKSPACES if large else rng.randint(0, 5),
    )


def make_probe_key(number: int) -> str:
    """Return the API key that only the text with this number knows."""
    return f"soak-probe-{number}"


def make_text(number: int, sizes: Sizes, change: TextChange) -> str:
    """Return a configuration text.

    Parameters
    ----------
    number : int
        Number of the text.
    sizes : Sizes
        Number of groups of each model service.
    change : TextChange
        What differs from the first text.

    Returns
    -------
    str
        The text as JSON.
    """
    workspaces: dict[str, Any] = {
        name: _make_workspace(key, change.workspace_weights[name])
        for name, key in WORKSPACE_KEYS.items()
    }
    workspaces[PROBE_WORKSPACE] = _make_workspace(make_probe_key(number), 1)
    for index in range(change.extra_workspaces):
        workspaces[f"extra-{index}"] = _make_workspace(f"extra {number} {index}", 1)
    limits = {
        "max_queued_requests": 1_000 + change.queue_bonus,
        "default_deadline_ms": 60_000 + change.queue_bonus,
    }
    return json.dumps(
        {
            "number": number,
            "services": {
                SOLO_SERVICE: _make_model(1, sizes.solo_groups, limits),
                PAIR_SERVICE: _make_model(
                    HOSTS_PER_PAIR_GROUP, sizes.pair_groups, limits
                ),
                PLAIN_SERVICE: {
                    "kind": "plain",
                    "groups": 1,
                    "limits": limits,
                    "calls": [
                        {"method": "GET", "path_prefix": "/", "repeatable": True},
                        {
                            "method": "POST",
                            "path_prefix": "/postings",
                            "repeatable": False,
                        },
                    ],
                },
            },
            "workspaces": workspaces,
        },
        indent=1,
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
