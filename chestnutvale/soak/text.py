"""Configuration texts of the soak test."""

import hashlib
import json
import random
from collections.abc import Callable
from typing import Any, Final

import attrs

from chestnutvale.emulator.deployment import PLAIN_SERVICE, WORKSPACE_KEYS
from chestnutvale.soak.const import (
    GUEST_KEY,
    GUEST_WORKSPACE,
    HOSTS_PER_PAIR_GROUP,
    PAIR_SERVICE,
    PROBE_WORKSPACE,
    SOLO_SERVICE,
    SPARE_HOSTS,
)

MAX_WORKSPACE_WEIGHT = 10
MAX_RANK = 3
LARGE_CHANGE_WORKSPACES = 1_000
MIN_CHANGED_ROUTES = 50
MAX_CHANGED_ROUTES = 700
EXTRA_SERVICE = "drafts"
CALLS = [
    {"method": "GET", "path_prefix": "/", "repeatable": True},
    {"method": "POST", "path_prefix": "/postings", "repeatable": False},
]

Document = dict[str, Any]


@attrs.frozen
class Sizes:
    """Numbers of groups of the two model services."""

    solo_groups: int
    pair_groups: int


@attrs.frozen
class TextChange:
    """What a text changes, as names in `CHANGES`; the next text changes it back."""

    seed: int
    kinds: tuple[str, ...] = ()


def make_probe_key(number: int) -> str:
    """Return the API key that only the text with this number knows."""
    return f"soak-probe-{number}"


def make_text(number: int, sizes: Sizes, change: TextChange) -> Document:
    """Return the configuration text of a number as a JSON object."""
    keys = WORKSPACE_KEYS | {
        GUEST_WORKSPACE: GUEST_KEY,
        PROBE_WORKSPACE: make_probe_key(number),
    }
    document = {
        "number": number,
        "services": {
            SOLO_SERVICE: _make_model(1, sizes.solo_groups),
            PAIR_SERVICE: _make_model(HOSTS_PER_PAIR_GROUP, sizes.pair_groups),
            PLAIN_SERVICE: {"kind": "plain", "limits": {}, "calls": CALLS},
        },
        "workspaces": {name: _make_workspace(key) for name, key in keys.items()},
    }
    rng = random.Random(change.seed)
    # In the order of `CHANGES`, as some name services that others have changed.
    for kind, make_change in CHANGES.items():
        if kind in change.kinds:
            make_change(document, rng)
    return document


def list_known_workspaces(document: Document) -> frozenset[str]:
    """Return the workspaces whose callers a text admits with the keys they use."""
    keys = WORKSPACE_KEYS | {GUEST_WORKSPACE: GUEST_KEY}
    workspaces = document["workspaces"]
    return frozenset(
        name
        for name, key in keys.items()
        if name in workspaces and _hash_key(key) in workspaces[name]["key_sha256"]
    )


def make_faulty_text(document: Document, fault: str) -> str:
    """Return a text as JSON to which a fault in `FAULTS` was added."""
    raw = json.dumps(document)
    if fault == "cut":
        return raw[: len(raw) // 2]
    faulty = json.loads(raw)
    FAULTS[fault](faulty)
    return json.dumps(faulty)


def _change_weights(document: Document, rng: random.Random) -> None:
    for workspace in document["workspaces"].values():
        workspace["weight"] = rng.randint(1, MAX_WORKSPACE_WEIGHT)


def _change_ranks(document: Document, rng: random.Random) -> None:
    for workspace in document["workspaces"].values():
        workspace["rank"] = rng.randint(0, MAX_RANK)


def _change_limits(document: Document, rng: random.Random) -> None:
    for service in document["services"].values():
        service["limits"] |= {
            "max_queued_requests": rng.randint(800, 1_200),
            "max_running_requests": rng.choice([0, 4, 16]),
            "max_body_bytes": rng.choice([4_096, 4_194_304]),
        }


def _change_deadlines(document: Document, rng: random.Random) -> None:
    for service in document["services"].values():
        service["limits"]["default_deadline_ms"] = rng.choice([500, 5_000, 70_000])


def _change_caller_limits(document: Document, rng: random.Random) -> None:
    document["caller_limits"] = {
        "idle_timeout_ms": rng.choice([300, 2_000, 15_000]),
        "header_timeout_ms": rng.choice([500, 3_000]),
        "max_header_bytes": rng.choice([4_096, 16_384]),
        "max_body_bytes": rng.choice([65_536, 4_194_304]),
    }


def _take_key(document: Document, rng: random.Random) -> None:
    """Take the guest's only key away, with or without its workspace."""
    if rng.random() < 0.5:
        del document["workspaces"][GUEST_WORKSPACE]
    else:
        document["workspaces"][GUEST_WORKSPACE]["key_sha256"] = []


def _add_key(document: Document, rng: random.Random) -> None:
    name = rng.choice(sorted(WORKSPACE_KEYS))
    key = _hash_key(f"further {document['number']}")
    document["workspaces"][name]["key_sha256"].append(key)


def _add_workspaces(document: Document, rng: random.Random) -> None:
    for index in range(LARGE_CHANGE_WORKSPACES):
        key = f"extra {document['number']} {index}"
        document["workspaces"][f"extra-{index}"] = _make_workspace(key)


def _add_routes(document: Document, rng: random.Random) -> None:
    services = sorted(document["services"])
    document["routes"] = [
        {
            "name": f"route-{index}",
            "host": "shop.example",
            "path_prefix": f"/extra{index}/",
            "kind": rng.choice(["streaming", "repeatable", "once"]),
            "timeout_ms": rng.choice([2_000, 6_000]),
            "max_attempts": rng.randint(1, 3),
            "is_resumable": rng.random() < 0.5,
            "shares": [
                {"service": name, "weight": rng.randint(1, 90)}
                for name in rng.sample(services, rng.randint(1, 2))
            ],
        }
        for index in range(rng.randint(MIN_CHANGED_ROUTES, MAX_CHANGED_ROUTES))
    ]


def _change_groups(document: Document, rng: random.Random) -> None:
    service = document["services"][rng.choice([SOLO_SERVICE, PAIR_SERVICE])]
    service["groups"] = max(1, service["groups"] - 1)


def _change_group_size(document: Document, rng: random.Random) -> None:
    # One host less in each group, as no hosts are left for larger groups.
    document["services"][PAIR_SERVICE]["hosts_per_group"] = 1


def _change_version(document: Document, rng: random.Random) -> None:
    document["services"][rng.choice([SOLO_SERVICE, PAIR_SERVICE])]["version"] = "2"


def _add_service(document: Document, rng: random.Random) -> None:
    document["services"][EXTRA_SERVICE] = _make_model(rng.randint(1, SPARE_HOSTS), 1)


def _remove_service(document: Document, rng: random.Random) -> None:
    """Remove a service that is called, or give it another name."""
    service = document["services"].pop(PAIR_SERVICE)
    if rng.random() < 0.5:
        document["services"][f"{PAIR_SERVICE}-2"] = service


def _change_dependencies(document: Document, rng: random.Random) -> None:
    document["services"][PLAIN_SERVICE]["depends_on"] = [SOLO_SERVICE]


def _change_calls(document: Document, rng: random.Random) -> None:
    rule = {"method": "PUT", "path_prefix": "/", "repeatable": rng.random() < 0.5}
    document["services"][PLAIN_SERVICE]["calls"] = [*CALLS, rule]


def _change_weight_store(document: Document, rng: random.Random) -> None:
    document["weight_store"] = {
        "loads_per_s": rng.choice([2.0, 20.0]),
        "loads_at_once": rng.choice([1, 8]),
    }


CHANGES: Final[dict[str, Callable[[Document, random.Random], None]]] = {
    "weights": _change_weights,
    "ranks": _change_ranks,
    "limits": _change_limits,
    "deadlines": _change_deadlines,
    "caller limits": _change_caller_limits,
    "key taken": _take_key,
    "key added": _add_key,
    "workspaces": _add_workspaces,
    "groups": _change_groups,
    "group size": _change_group_size,
    "version": _change_version,
    "service added": _add_service,
    "service removed": _remove_service,
    "dependencies": _change_dependencies,
    "call rules": _change_calls,
    "weight store": _change_weight_store,
    "routes": _add_routes,
}
# Both change the service that the other one may have removed.
EXCLUSIVE_CHANGES: Final = frozenset(
    {"groups", "group size", "version", "service removed"}
)


def _add_unknown_service(document: Document) -> None:
    workspace = next(iter(document["workspaces"].values()))
    workspace["services"] = ["none"]


def _share_key(document: Document) -> None:
    first, second, *_ = document["workspaces"].values()
    first["key_sha256"] = second["key_sha256"] = [_hash_key("shared")]


def _add_cycle(document: Document) -> None:
    document["services"][SOLO_SERVICE]["depends_on"] = [PLAIN_SERVICE]
    document["services"][PLAIN_SERVICE]["depends_on"] = [SOLO_SERVICE]


def _exceed_deadline(document: Document) -> None:
    document["services"][SOLO_SERVICE]["limits"]["default_deadline_ms"] = 1


def _add_unknown_field(document: Document) -> None:
    document["servics"] = {}


def _repeat_route(document: Document) -> None:
    shares = [{"service": SOLO_SERVICE, "weight": 1}]
    route = {"host": "h", "path_prefix": "/a/", "kind": "once", "shares": shares}
    route |= {"timeout_ms": 1_000, "max_attempts": 1}
    document["routes"] = [{"name": name, **route} for name in ("a", "b")]


FAULTS: Final[dict[str, Callable[[Document], None]]] = {
    "unknown service": _add_unknown_service,
    "shared key": _share_key,
    "cycle": _add_cycle,
    "deadline": _exceed_deadline,
    "unknown field": _add_unknown_field,
    "same route": _repeat_route,
}
FAULT_NAMES: Final = (*FAULTS, "cut")


def _make_model(hosts_per_group: int, groups: int) -> Document:
    return {
        "kind": "model",
        "model": "chestnut",
        "version": "1",
        "hosts_per_group": hosts_per_group,
        "groups": groups,
        "limits": {},
    }


def _make_workspace(key: str) -> Document:
    return {"weight": 1, "key_sha256": [_hash_key(key)]}


def _hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
