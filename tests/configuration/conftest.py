"""Fixtures: a configuration text that uses every kind of object."""

import copy
import json

import pytest

from chestnutvale.configuration.lookup import hash_key

BASE = {
    "number": 1,
    "services": {
        "ledger": {
            "kind": "plain",
            "calls": [
                {"method": "POST", "path_prefix": "/quotes", "repeatable": True},
                {"method": "*", "path_prefix": "/runs", "repeatable": False},
            ],
        },
        "chat": {
            "kind": "model",
            "model": "m-70b",
            "version": "v1",
            "hosts_per_group": 4,
            "groups": 2,
            "adapters": ["b", "a"],
            "depends_on": ["ledger"],
        },
    },
    "workspaces": {
        "north": {"weight": 3, "key_sha256": [hash_key("key-north")]},
        "south": {"key_sha256": [hash_key("key-south")], "services": ["chat"]},
    },
}


@pytest.fixture
def base():
    """Return a fresh copy of the base text as a dict."""
    return copy.deepcopy(BASE)


@pytest.fixture
def write_text():
    """Return a function that serialises a dict as a text, with one field per line."""

    def write(data):
        return json.dumps(data, indent=1)

    return write
