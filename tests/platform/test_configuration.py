"""Parser of the platform's configuration documents."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutvale.configuration.checks import find_document_faults
from chestnutvale.configuration.lookup import TextLookup, hash_key
from chestnutvale.configuration.route_access import find_caller_workspace
from chestnutvale.configuration.routes import RouteTable
from chestnutvale.configuration.state import ConfigurationState
from chestnutvale.configuration.text_command import make_text_command, read_text_command
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.configuration_pb2 import (
    ApplyText,
    ConfigurationSnapshot,
    Text,
)
from tests.platform.documents import CONFIGURATION, list_paths, replace_value

from adapter.configuration import parse_configuration  # isort: skip
from adapter.wire import WireError  # isort: skip


def read(document):
    return parse_configuration(json.dumps(document).encode())


def test_configuration_is_translated():
    text = read(CONFIGURATION)
    assert text.number == 7
    assert set(text.services) == {"llm/big", "llm/small", "app"}
    big = text.services["llm/big"]
    assert (big.pool, big.model, big.hosts_per_group, big.work_share) == (
        "llm",
        "big",
        4,
        0.5,
    )
    assert big.limits.max_running_requests == 9
    first, second = text.routes
    assert (first.kind, first.is_resumable, first.target_gap_ms) == (
        "streaming",
        True,
        300,
    )
    assert [(s.service, s.weight) for s in first.shares] == [("llm", 90), ("app", 10)]
    assert (second.kind, second.is_public, second.max_attempts) == ("once", True, 1)
    assert list(text.workspaces["t1"].key_sha256) == [
        hash_key("key-1"),
        hash_key("key-2"),
    ]
    assert text.workspaces["t1"].rank == 0
    assert text.weight_store.loads_at_once == 7
    assert text.caller_limits.idle_timeout_ms == 15000
    assert not find_document_faults(text)


def test_cold_start_of_services_is_translated():
    document = replace_value(CONFIGURATION, ("services", 0, "coldPerS"), 17)
    document = replace_value(document, ("services", 0, "coldStartS"), 3)
    document = replace_value(document, ("services", 1, "coldPerS"), 2.5)
    services = read(document).services
    for name in ("llm/big", "llm/small"):
        found = services[name]
        assert (found.cold_requests_per_s, found.cold_start_ms) == (17.0, 3_000)
    found = services["app"]
    assert (found.cold_requests_per_s, found.cold_start_ms) == (2.5, 0)
    # A number that no field can hold must not break the parser.
    document = replace_value(document, ("services", 1, "coldStartS"), 1e300)
    assert read(document).services["app"].cold_start_ms == 600_000


def test_routes_and_keys_of_configuration_are_found():
    text = read(CONFIGURATION)
    assert RouteTable.from_text(text).find_route("shop.example", "/gen/1").name == "r-1"
    assert TextLookup.from_text(text).find_workspace_by_key("key-2").name == "t1"


def carry(text):
    """Return a text after its way through the log, a snapshot and a message."""
    apply_text = ApplyText(text=text, digest="d", document=b"x" * 100_000)
    command = make_text_command(apply_text, may_compress=True)
    state = ConfigurationState()
    state.apply_text(read_text_command(Command.FromString(bytes_of(command))), 1)
    snapshot = ConfigurationSnapshot.FromString(bytes_of(state.to_snapshot()))
    return Text.FromString(bytes_of(ConfigurationState.from_snapshot(snapshot).text))


def bytes_of(message):
    return message.SerializeToString()


@pytest.mark.parametrize(
    ("tenants", "is_open"),
    [(None, True), ([], False), ([{"name": "t1", "apiKeys": []}], False)],
    ids=["no list", "empty list", "no keys"],
)
def test_only_a_configuration_without_a_list_of_tenants_opens_its_routes(
    tenants, is_open
):
    # Guards against routes that open to everybody once the last key is taken away.
    document = {key: CONFIGURATION[key] for key in CONFIGURATION if key != "tenants"}
    if tenants is not None:
        document["tenants"] = tenants
    lookup = TextLookup.from_text(carry(read(document)))
    for key in ("", "key-1", "never"):
        found = find_caller_workspace(lookup, key, is_public=False)
        assert found == ("" if is_open else None)
        assert find_caller_workspace(lookup, key, is_public=True) == ""
    assert not find_document_faults(read(document))


def test_a_list_of_tenants_that_is_null_is_rejected():
    with pytest.raises(WireError):
        read(replace_value(CONFIGURATION, ("tenants",), None))


@pytest.mark.parametrize(
    "path, value",
    [
        (("routes", 1, "service"), "nobody"),
        (("routes", 1, "pathPrefix"), "/gen/"),
        (("routes", 0, "split"), [{"service": "llm", "weight": 0}]),
        (("routes", 1, "timeoutMs"), 0),
        (
            ("tenants",),
            [{"name": "t1", "apiKeys": ["k"]}, {"name": "t2", "apiKeys": ["k"]}],
        ),
    ],
    ids=["unknown service", "same prefix", "no weight", "no timeout", "shared key"],
)
def test_invalid_configuration_has_a_fault(path, value):
    assert find_document_faults(read(replace_value(CONFIGURATION, path, value)))


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"\xff", b"[" * 100_000, b'{"version": true}', b'{"version":0}'],
)
def test_malformed_document_is_rejected(body):
    with pytest.raises(WireError):
        parse_configuration(body)


@pytest.mark.parametrize(
    "path",
    [
        ("version",),
        ("limits", "headerTimeoutMs"),
        ("limits", "maxBodyBytes"),
        ("services", 0, "inferenceEngine", "slots"),
        ("services", 0, "inferenceEngine", "loads_at_once"),
        ("services", 0, "inferenceEngine", "loadsPerS"),
    ],
)
def test_out_of_range_number_is_rejected(path):
    with pytest.raises(WireError):
        read(replace_value(CONFIGURATION, path, 10**400))


def test_unknown_fields_are_ignored():
    assert read(CONFIGURATION | {"novelty": [1]}) == read(CONFIGURATION)


@settings(max_examples=300, deadline=None)
@given(
    st.sampled_from(sorted(list_paths(CONFIGURATION), key=str)),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=2)
            | st.dictionaries(st.text(max_size=5), inner, max_size=2)
        ),
        max_leaves=4,
    ),
)
def test_any_field_value_is_parsed_or_rejected(path, value):
    try:
        text = read(replace_value(CONFIGURATION, path, value))
    except WireError:
        return
    # Validation and lookups must not raise on any parsed configuration.
    if not find_document_faults(text):
        RouteTable.from_text(text)
        TextLookup.from_text(text)


@given(st.binary(max_size=200))
def test_any_bytes_are_parsed_or_rejected(body):
    try:
        parse_configuration(body)
    except WireError:
        return
