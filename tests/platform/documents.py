"""Sample documents of the platform's wire protocol."""

import copy

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "shop.example",
            "pathPrefix": "/gen/",
            "routeKind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 400,
            "priority": 1,
            "split": [
                {"service": "llm", "weight": 90},
                {"service": "app", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "targetGapMs": 300,
        },
        {
            "name": "r-2",
            "host": "shop.example",
            "pathPrefix": "/pay/",
            "routeKind": "non_idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 100,
            "priority": 2,
            "service": "app",
            "maxAttempts": 1,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "llm",
            "healthPath": "/health",
            "maxConnections": 396,
            "inferenceEngine": {
                "slots": 9,
                "models": [
                    {"name": "big", "size": 4, "share": 0.5, "pace": 1.0},
                    {"name": "small", "size": 2, "share": 0.5, "pace": 0.6},
                ],
                "loadsPerS": 5.0,
                "loads_at_once": 7,
            },
        },
        {"name": "app", "healthPath": "/health", "maxConnections": 96},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "t1", "apiKeys": ["key-1", "key-2"], "priority": 0}],
}

HEARTBEAT = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "coldRemainingMs": 0,
    "stage": "mixed",
    "models": [{"name": "big", "version": 1, "adapters": []}],
    "domain": "a-d0",
    "staged": ["big"],
    "group": {"name": "llm-big-3", "epoch": 3, "rank": 0, "state": "open"},
    "sequence": 4,
    "born": 1790991543082,
}


def replace_value(document, path, value):
    """Return a copy of a document with the value at a path replaced."""
    found = copy.deepcopy(document)
    *parents, last = path
    place = found
    for step in parents:
        place = place[step]
    place[last] = value
    return found


def list_paths(document, prefix=()):
    """Yield the path of each value in a document."""
    items = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in items:
        yield (*prefix, key)
        if isinstance(value, dict | list):
            yield from list_paths(value, (*prefix, key))
