"""Replicated record of departures: expiry, bounds, snapshots and mixed builds."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.membership import departures as departures_module
from chestnutvale.membership.const import RECORDED_DEPARTURE_RETENTION_S
from chestnutvale.membership.departures import (
    DepartureDurability,
    DepartureState,
    required_durability,
)
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.command_pb2 import Command, StateSnapshot
from chestnutvale.schema.membership_pb2 import RecordDepartures, RecordedDeparture

RETENTION_MS = round(RECORDED_DEPARTURE_RETENTION_S * 1_000)


def record(*boots):
    return RecordDepartures(
        departures=[RecordedDeparture(host_id=h, boot_id=b) for h, b in boots]
    )


def test_departure_holds_for_one_boot():
    state = DepartureState()
    state.apply(record(("h1", "b1")), 10)
    assert state.contains("h1", "b1")
    assert not state.contains("h1", "b2")
    assert not state.contains("h2", "b1")


def test_departure_that_is_recorded_again_keeps_its_time():
    state = DepartureState()
    state.apply(record(("h1", "b1")), 10)
    state.apply(record(("h1", "b1")), 10 + RETENTION_MS)
    assert not state.was_recorded_since("h1", 11)
    state.apply(record(("h2", "b1")), 11 + RETENTION_MS)
    assert state.recorded() == [Incarnation("h2", "b1")]


def test_recent_record_of_any_boot_is_found():
    state = DepartureState()
    state.apply(record(("h1", "b1")), 10)
    assert state.was_recorded_since("h1", 10)
    assert not state.was_recorded_since("h1", 11)
    assert not state.was_recorded_since("h2", 0)


def test_records_are_bounded(monkeypatch):
    # Guards against a snapshot that grows with a fleet that restarts again and again.
    monkeypatch.setattr(departures_module, "MAX_RECORDED_DEPARTURES", 3)
    state = DepartureState()
    for number in range(5):
        state.apply(record((f"h{number}", "b")), number)
    assert [item.host_id for item in state.recorded()] == ["h2", "h3", "h4"]


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from("xy"), st.integers(0, 3))
    ),
    st.integers(0, 12),
)
def test_replay_and_snapshot_give_the_same_state(boots, cut):
    # Guards against controls that differ after a restart or a snapshot transfer.
    commands = [
        Command(
            proposed_at_unix_ms=1 + at * RETENTION_MS // 2,
            record_departures=record((host, boot)),
        )
        for host, boot, at in boots
    ]

    def replay(state, part):
        for index, command in enumerate(part, 1):
            state.apply(index, command)
        return state

    restored = ControlState()
    restored.restore(replay(ControlState(), commands[:cut]).snapshot())
    replay(restored, commands[cut:])
    assert restored.snapshot() == replay(ControlState(), commands).snapshot()


def test_snapshot_of_an_older_build_has_no_departures():
    # Guards against a new control that can't start from an old data folder.
    state = ControlState()
    state.restore(StateSnapshot().SerializeToString())
    assert not len(state.departures)


def test_listener_learns_of_commands_and_snapshots():
    state = ControlState()
    state.apply(1, Command(record_departures=record(("h1", "b1"))))
    seen = []
    restored = ControlState()
    restored.on_departures = seen.extend
    restored.restore(state.snapshot())
    restored.apply(2, Command(record_departures=record(("h2", "b1"))))
    assert [item.host_id for item in seen] == ["h1", "h2"]


RECORDED = DepartureDurability.RECORDED
IN_MEMORY = DepartureDurability.IN_MEMORY
UNAVAILABLE = DepartureDurability.UNAVAILABLE


@pytest.mark.parametrize(
    "is_leader, is_confirmed, leader_version, heard_versions, expected",
    [
        (True, True, None, [2, 2, None], RECORDED),
        (True, False, None, [2, None, None], RECORDED),
        (True, False, None, [2, 1, None], IN_MEMORY),
        (True, True, None, [2, 2, 1], IN_MEMORY),
        (False, True, 2, [], RECORDED),
        (False, False, 2, [], UNAVAILABLE),
        (False, False, 1, [], IN_MEMORY),
        (False, True, 1, [], IN_MEMORY),
        (False, True, None, [], UNAVAILABLE),
        (False, False, None, [], UNAVAILABLE),
    ],
)
def test_departure_is_kept_in_memory_only_beside_an_older_build(
    is_leader, is_confirmed, leader_version, heard_versions, expected
):
    # Guards against upgrades during which no departure is acknowledged, and against
    # acknowledgements from memory at any other time.
    durability = required_durability(
        is_leader=is_leader,
        is_confirmed=is_confirmed,
        leader_version=leader_version,
        heard_versions=heard_versions,
    )
    assert durability is expected
