"""Parsing of operators' texts, and every reason to reject one."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.configuration.const import MAX_TEXT_BYTES
from chestnutvale.configuration.digest import compute_text_digest
from chestnutvale.configuration.exceptions import TextError
from chestnutvale.configuration.parser import parse_text
from tests.configuration.conftest import BASE

COMMENTED = """{
  // What was "number": 3 before.
  "number": 4, /* {
  */ services: {
    'a': {"kind": "plain"},
    "b": {"kind": "plain", "depends_on": [
        "a",
        "missing"
    ]},
    "a": {"kind": "plain"},
  },
}"""


def parse_refused_text(raw, **arguments):
    with pytest.raises(TextError) as caught:
        parse_text(raw, **arguments)
    return caught.value.problems


def set_field(data, path, value):
    *parents, last = path.split(".")
    for name in parents:
        data = data.setdefault(name, {})
    data[last] = value


def test_cold_start_of_a_service_is_read(base, write_text):
    base["services"]["chat"] |= {"cold_requests_per_s": 2.5, "cold_start_ms": 3_000}
    found = parse_text(write_text(base)).services["chat"]
    assert (found.cold_requests_per_s, found.cold_start_ms) == (2.5, 3_000)


def test_defaults_and_equal_texts_have_one_digest(base, write_text):
    text = parse_text(write_text(base))
    assert text.services["chat"].limits.default_deadline_ms == 120_000
    assert text.workspaces["south"].weight == 1
    base["services"]["chat"]["adapters"].reverse()
    base["services"]["chat"]["limits"] = {"default_deadline_ms": 120_000}
    again = parse_text("// another way to write it\n" + json.dumps(base))
    assert compute_text_digest(again) == compute_text_digest(text)
    base["services"]["ledger"]["calls"].reverse()
    assert compute_text_digest(parse_text(json.dumps(base))) != compute_text_digest(
        text
    )


def test_lines_of_problems_among_comments():
    problems = parse_refused_text(COMMENTED)
    assert [(problem.line, problem.path) for problem in problems] == [
        (10, "services.a")
    ]
    problems = parse_refused_text(
        COMMENTED.replace('    "a": {"kind": "plain"},\n', "")
    )
    assert [(problem.line, problem.path) for problem in problems] == [
        (6, "services.b.depends_on")
    ]


@pytest.mark.parametrize(
    ("path", "value", "field", "reason"),
    [
        ("number", 0, "number", "from 1"),
        ("number", 2**64, "number", "from 0"),
        ("number", True, "number", "whole number"),
        ("number", 1.0, "number", "whole number"),
        ("services", [], "services", "object"),
        ("servces", {}, "servces", "'services'"),
        ("services.chat.hosts_per_grup", 3, None, "'hosts_per_group'"),
        ("services.chat.hosts_per_group", 0, None, "from 1"),
        ("services.chat.groups", 10_001, None, "10000"),
        ("services.chat.groups", None, None, "whole number"),
        ("services.chat.kind", "modell", None, "'model'"),
        ("services.chat.model", "", None, "must be set for a model"),
        ("services.chat.version", "\x07", None, "printable"),
        ("services.chat.adapters", ["x" * 600], "services.chat.adapters[0]", "512"),
        ("services.chat.calls", [{"method": "*", "path_prefix": "/"}], None, "plain"),
        ("services.chat.depends_on", ["chat"], None, "chat -> chat"),
        (
            "services.ledger.depends_on",
            ["chat"],
            "services.chat.depends_on",
            "chat -> ledger -> chat",
        ),
        ("services.ledger.depends_on", ["chatt"], None, "'chat'"),
        ("services.ledger.hosts_per_group", 2, None, "single hosts"),
        ("services.chat.cold_start_ms", 600_001, None, "from 0"),
        ("services.chat.cold_requests_per_s", -1.0, None, "from 0"),
        ("services.chat.cold_requests_per_s", 1e7, None, "to 1e+06"),
        ("services.ledger.limits.default_deadline_ms", 1, None, "from 100"),
        ("services.ledger.limits", 5, None, "object"),
        ("services.Ledger", {"kind": "plain"}, None, "lower-case"),
        ("workspaces.north.weight", 0, None, "from 1"),
        ("workspaces.north.key_sha256", ["abc"], None, "64"),
        ("workspaces.north.services", ["ledgr"], None, "'ledger'"),
    ],
)
def test_wrong_field(base, write_text, path, value, field, reason):
    set_field(base, path, value)
    raw = write_text(base)
    (problem,) = parse_refused_text(raw)
    assert problem.path == (field or path)
    assert reason in problem.reason
    named = "xxx" if problem.path.endswith("]") else path.split(".")[-1]
    assert named in raw.splitlines()[problem.line - 1]


def test_rules_that_are_wrong_or_never_reached(base, write_text):
    calls = base["services"]["ledger"]["calls"]
    calls.append({"method": "GET", "path_prefix": "/runs/new", "repeatable": True})
    calls.append({"method": "post", "path_prefix": "new"})
    reasons = [problem.reason for problem in parse_refused_text(write_text(base))]
    assert "never reached: calls[1]" in reasons[0]
    assert "'POST'" in reasons[1]
    assert "begin with '/'" in reasons[2]


def test_too_many_rules(base, write_text):
    rule = {"method": "GET", "path_prefix": "/"}
    base["services"]["ledger"]["calls"] = [rule] * 201
    (problem,) = parse_refused_text(write_text(base))
    assert problem.path == "services.ledger.calls"


def test_a_key_belongs_to_one_workspace(base, write_text):
    keys = base["workspaces"]["south"]["key_sha256"]
    base["workspaces"]["north"]["key_sha256"] += keys
    (problem,) = parse_refused_text(write_text(base))
    assert "'north'" in problem.reason


def test_group_larger_than_any_fabric_domain(base, write_text):
    raw = write_text(base)
    parse_text(raw, domain_hosts={"fd-1": 4, "fd-2": 2})
    (problem,) = parse_refused_text(raw, domain_hosts={"fd-1": 3, "fd-2": 2})
    assert problem.path == "services.chat.hosts_per_group"
    assert "'fd-1'" in problem.reason


@pytest.mark.parametrize(
    ("raw", "line", "reason"),
    [
        ("", 1, "JSON"),
        ("[1]", 1, "object"),
        ('{"number": 1,\n\n  ]', 3, "JSON"),
        ('{"number":\n' + "[" * 100_000, 2, "deeper"),
        (" " * (MAX_TEXT_BYTES + 1), 1, "larger"),
        ('{"number": 1' + "0" * 6_000 + "}", 1, "JSON"),
    ],
)
def test_malformed_text(raw, line, reason):
    (problem,) = parse_refused_text(raw)
    assert problem.line == line
    assert reason in problem.reason


def test_number_of_name_suggestions_is_bounded(monkeypatch):
    searches = []
    monkeypatch.setattr(
        "chestnutvale.configuration.report.difflib.get_close_matches",
        lambda *arguments, n: searches.append(arguments) or [],
    )
    services = {f"s{n}": {"kind": "plian", "grups": n} for n in range(500)}
    assert (
        len(parse_refused_text(json.dumps({"number": 1, "services": services}))) == 100
    )
    assert len(searches) == 10


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def list_paths(value, path=()):
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        yield (*path, key)
        if isinstance(item, dict | list):
            yield from list_paths(item, (*path, key))


def check_parsed_or_refused(raw):
    try:
        parse_text(raw)
    except TextError as error:
        last_line = raw.count("\n") + 1
        assert error.problems
        assert all(1 <= item.line <= last_line for item in error.problems)


@seed(41)
@settings(database=None, deadline=None, max_examples=400)
@given(st.sampled_from(sorted(list_paths(BASE), key=str)), JSON_VALUES)
def test_wrong_value_raises_only_text_error(path, value):
    data = json.loads(json.dumps(BASE))
    target = data
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    check_parsed_or_refused(json.dumps(data, indent=1))


@seed(42)
@settings(database=None, deadline=None, max_examples=400)
@given(st.data())
def test_damaged_text_raises_only_text_error(data):
    raw = json.dumps(BASE, indent=1)
    start = data.draw(st.integers(0, len(raw)))
    end = data.draw(st.integers(start, min(len(raw), start + 12)))
    alphabet = (
        st.sampled_from("{}[]:,\"'/*\\ \n\r\u2028\ufeff\ud800a1-.e") | st.characters()
    )
    inserted = data.draw(st.text(alphabet, max_size=8))
    check_parsed_or_refused(raw[:start] + inserted + raw[end:])
