"""Parser of the platform's heartbeats."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutvale.configuration.service_names import ServiceNames
from chestnutvale.membership.exceptions import AnnouncementRefusedError
from chestnutvale.membership.validation import validate_announcement
from tests.platform.documents import HEARTBEAT, list_paths, replace_value

from adapter.heartbeats import read_heartbeat  # isort: skip
from adapter.wire import WireError  # isort: skip


PLAIN_FIELDS = ("service", "address", "zone", "state", "sequence", "born")


def read(document, host_id="i-1"):
    return read_heartbeat(host_id, json.dumps(document).encode(), ServiceNames())


def test_heartbeat_of_engine_is_translated():
    found = read(HEARTBEAT)
    validate_announcement(found)
    assert (found.host_id, found.kind, found.pool) == ("i-1", "engine", "llm")
    assert found.fabric_domain == "llm.a-d0"
    assert (found.sequence, found.born_unix_ms) == (4, 1790991543082)
    assert list(found.staged) == ["llm/big"]
    holding = found.holding
    assert (holding.group_id, holding.epoch, holding.rank) == ("llm-big-3", 3, 0)
    assert (holding.phase, holding.service) == ("open", "llm/big")
    assert found.opens
    assert found.fencing
    assert not found.leaving


def test_heartbeat_of_plain_service_is_translated():
    plain = {
        key: HEARTBEAT[key]
        for key in (*PLAIN_FIELDS, "version", "slots", "coldRemainingMs")
    }
    found = read(plain)
    validate_announcement(found)
    assert (found.kind, found.service) == ("service", "llm")
    assert not found.HasField("holding")


def test_heartbeat_says_how_long_the_worker_stays_cold():
    assert read(HEARTBEAT).cold_remaining_ms == 0
    cold = HEARTBEAT | {"coldRemainingMs": 2_750}
    assert read(cold).cold_remaining_ms == 2_750
    # An absurd time must not make the table refuse the heartbeat.
    absurd = read(HEARTBEAT | {"coldRemainingMs": 10**12})
    validate_announcement(absurd)
    with pytest.raises(WireError):
        read(HEARTBEAT | {"coldRemainingMs": -1})


def test_restart_under_same_id_changes_boot_id():
    later = replace_value(HEARTBEAT, ("born",), HEARTBEAT["born"] + 1)
    assert read(HEARTBEAT).boot_id != read(later).boot_id


@pytest.mark.parametrize(
    "state, phase",
    [
        ("joining", "loading"),
        ("ready", "ready"),
        ("closing", "releasing"),
        ("broken", "broken"),
    ],
)
def test_group_state_is_translated_to_phase(state, phase):
    found = read(replace_value(HEARTBEAT, ("group", "state"), state))
    assert found.holding.phase == phase


def test_draining_worker_is_leaving():
    assert read(replace_value(HEARTBEAT, ("state",), "draining")).leaving


@pytest.mark.parametrize(
    "path, value",
    [
        (("state",), "resting"),
        (("service",), None),
        (("sequence",), "4"),
        (("group", "state"), "odd"),
        (("group", "rank"), 2**32),
        (("group", "name"), "\ud800"),
        (("address",), "\udfff"),
        (("staged",), ["\ud800"]),
        (("group",), "g"),
        (("staged",), [1]),
        (("models",), {"name": "x"}),
    ],
)
def test_malformed_heartbeat_is_rejected(path, value):
    with pytest.raises(WireError):
        read(replace_value(HEARTBEAT, path, value))


@pytest.mark.parametrize("name", [*PLAIN_FIELDS, "version", "slots", "coldRemainingMs"])
@pytest.mark.parametrize("value", ["absent", None, [], {}, True, 1.5, -1, 2**70])
def test_heartbeat_of_another_writer_is_rejected(name, value):
    # Guards against a worker that is used for a foreign service.
    document = dict(HEARTBEAT)
    if value == "absent":
        del document[name]
    else:
        document[name] = value
    with pytest.raises(WireError):
        read(document)


@pytest.mark.parametrize("name", ["slots", "born"])
def test_heartbeat_with_a_count_of_zero_is_rejected(name):
    with pytest.raises(WireError):
        read(HEARTBEAT | {name: 0})


@settings(max_examples=300, deadline=None)
@given(
    st.sampled_from(sorted(list_paths(HEARTBEAT), key=str)),
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
        validate_announcement(read(replace_value(HEARTBEAT, path, value)))
    except (WireError, AnnouncementRefusedError):
        return
