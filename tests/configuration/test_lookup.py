"""Look-ups in the text that entries make on every request."""

import pytest

from chestnutvale.configuration import lookup as lookup_module
from chestnutvale.configuration.dependencies import compute_start_order, find_cycle
from chestnutvale.configuration.lookup import TextLookup
from chestnutvale.configuration.parser import parse_text
from chestnutvale.schema.configuration_pb2 import Text


@pytest.fixture
def lookup(base, write_text):
    return TextLookup.from_text(parse_text(write_text(base)))


def test_workspace_by_key(lookup):
    assert lookup.find_workspace_by_key("key-north").name == "north"
    assert lookup.find_workspace_by_key("key-north").allows("ledger")
    assert not lookup.find_workspace_by_key("key-south").allows("ledger")
    for wrong in ("", "key-nort", "key-north ", "\ud800"):
        assert lookup.find_workspace_by_key(wrong) is None


@pytest.mark.parametrize(
    ("method", "path", "repeatable"),
    [
        ("POST", "/quotes/7", True),
        ("POST", "/other", False),
        ("PUT", "/quotes", False),
        ("get", "/other", True),
        ("GET", "/runs", False),
        ("GET", "/runs/3", False),
        # No spelling of a path bypasses its rule.
        ("GET", "//runs", False),
        ("GET", "/x/../runs", False),
        ("GET", "/%72uns", False),
        ("GET", "/./runs", False),
        ("POST", "/other/../quotes", False),
    ],
)
def test_repeatable_calls(lookup, method, path, repeatable):
    assert lookup.is_repeatable("ledger", method, path) is repeatable
    assert lookup.is_repeatable("unknown", method, path) is False


def test_dependencies(lookup):
    assert lookup.start_order == ("ledger", "chat")
    assert lookup.missing_dependencies("chat", set()) == ("ledger",)
    assert lookup.missing_dependencies("chat", {"ledger"}) == ()
    assert lookup.missing_dependencies("ledger", set()) == ()


def test_dependencies_are_computed_on_demand(monkeypatch):
    text = Text(number=1)
    for number in range(300):
        text.services[f"s{number}"].depends_on.append(f"s{number + 1}")
    text.services["s300"].kind = "plain"
    computed = []
    original = lookup_module.find_all_dependencies

    def count(name, graph):
        computed.append(name)
        return original(name, graph)

    monkeypatch.setattr(lookup_module, "find_all_dependencies", count)
    lookup = TextLookup.from_text(text)
    assert lookup.missing_dependencies("s300", ()) == ()
    for _ in range(3):
        assert len(lookup.missing_dependencies("s0", {"s300"})) == 299
    assert computed == ["s0"]


def test_indirect_dependencies_and_deep_graphs():
    graph = {f"s{n}": [f"s{n + 1}"] for n in range(5_000)} | {"s5000": []}
    assert find_cycle(graph) == ()
    assert compute_start_order(graph)[0] == "s5000"
    graph["s5000"] = ["s4999"]
    assert find_cycle(graph) == ("s4999", "s5000", "s4999")
