"""Preview of what applying a text would change and interrupt."""

import pytest

from chestnutvale.configuration.digest import compute_text_digest, text_to_json
from chestnutvale.configuration.lookup import hash_key
from chestnutvale.configuration.parser import parse_text
from chestnutvale.configuration.plan import plan_change
from chestnutvale.schema.configuration_pb2 import Text


@pytest.fixture
def plan(base, write_text):
    """Return a function that plans a change of some fields of one object."""
    before = parse_text(write_text(base))

    def make(kind, name, **fields):
        base["number"] = 2
        base[kind][name].update(fields)
        return plan_change(before, parse_text(write_text(base)))

    return make


def test_the_same_text_changes_nothing(base, write_text):
    text = parse_text(write_text(base))
    plan = plan_change(text, text)
    assert not plan.changes and not plan.stops
    assert plan.would_conflict
    assert not plan_change(text, text, already_accepted=True).would_conflict


def test_the_canonical_form_is_a_text_again(base, write_text):
    text = parse_text(write_text(base))
    again = parse_text(text_to_json(text))
    assert again == text
    assert compute_text_digest(again) == compute_text_digest(text)


def test_first_text_adds_everything(base, write_text):
    plan = plan_change(Text(), parse_text(write_text(base)))
    assert [(change.action, change.name) for change in plan.changes] == [
        ("add", "chat"),
        ("add", "ledger"),
        ("add", "north"),
        ("add", "south"),
    ]
    assert not plan.stops and not plan.would_conflict


def test_removal_stops(base, write_text):
    before = parse_text(write_text(base))
    del base["services"]["chat"]
    base["workspaces"] = {}
    plan = plan_change(before, parse_text(write_text(base)))
    assert [(stop.kind, stop.name) for stop in plan.stops] == [
        ("service", "chat"),
        ("workspace", "north"),
        ("workspace", "south"),
    ]


@pytest.mark.parametrize(
    ("kind", "name", "fields", "stop", "reason"),
    [
        ("services", "chat", {"hosts_per_group": 2}, "groups", "2 instead of 4"),
        ("services", "chat", {"groups": 1}, "groups", "1 of 2"),
        ("services", "chat", {"groups": 3}, None, ""),
        ("services", "chat", {"version": "v2"}, "groups", "'v1' to 'v2'"),
        ("services", "chat", {"adapters": ["a", "c"]}, "calls", "adapters b are"),
        ("services", "chat", {"depends_on": []}, None, ""),
        ("services", "ledger", {"groups": 0}, None, ""),
        ("services", "ledger", {"limits": {"max_body_bytes": 9}}, "calls", "9 bytes"),
        ("workspaces", "north", {"services": ["chat"]}, "calls", "other than chat"),
        ("workspaces", "south", {"services": []}, None, ""),
        ("workspaces", "north", {"weight": 9}, None, ""),
    ],
)
def test_single_field_change(plan, kind, name, fields, stop, reason):
    result = plan(kind, name, **fields)
    (change,) = result.changes
    (field,) = fields
    assert (change.name, change.field.split(".")[0]) == (name, field)
    assert change.before != change.after
    assert [item.kind for item in result.stops] == ([stop] if stop else [])
    assert all(reason in item.reason for item in result.stops)


def test_keys_are_shown_by_their_first_digits_only(plan):
    result = plan("workspaces", "north", key_sha256=[hash_key("new")])
    assert [stop.kind for stop in result.stops] == ["calls"]
    assert hash_key("key-north") not in str(result)
    assert hash_key("new") not in str(result)
    assert hash_key("new")[:12] in result.changes[0].after
