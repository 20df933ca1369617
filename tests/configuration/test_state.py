"""Acceptance of texts by number, resends and snapshots."""

import pytest

from chestnutvale.configuration import state as state_module
from chestnutvale.configuration.state import ConfigurationState
from chestnutvale.schema.configuration_pb2 import (
    ApplyText,
    ConfigurationSnapshot,
    Text,
)


def make_command(number, digest, operator="ann"):
    return ApplyText(text=Text(number=number), digest=digest, operator=operator)


def apply(state, number, digest):
    result = state.apply_text(make_command(number, digest), number * 10)
    return result.outcome, result.number_in_force, result.digest_in_force


@pytest.fixture
def state():
    state = ConfigurationState()
    assert apply(state, 1, "a") == ("accepted", 1, "a")
    return state


def test_first_of_two_texts_with_one_number_wins(state):
    assert apply(state, 2, "x") == ("accepted", 2, "x")
    assert apply(state, 2, "y") == ("conflict", 2, "x")
    assert apply(state, 1, "y") == ("conflict", 2, "x")
    assert apply(state, 0, "y") == ("conflict", 2, "x")
    assert state.accepted_at_unix_ms == 20


def test_a_resend_gets_the_first_answer_also_later(state):
    assert apply(state, 1, "a") == ("resent", 1, "a")
    assert apply(state, 5, "b") == ("accepted", 5, "b")
    assert apply(state, 1, "a") == ("resent", 5, "b")
    assert state.number == 5


def test_snapshot_keeps_the_answers_of_resends(state):
    apply(state, 2, "b")
    data = state.to_snapshot().SerializeToString()
    restored = ConfigurationState.from_snapshot(ConfigurationSnapshot.FromString(data))
    assert restored.to_snapshot() == state.to_snapshot()
    assert apply(restored, 1, "a") == ("resent", 2, "b")
    assert apply(restored, 2, "c") == ("conflict", 2, "b")


def test_remembered_numbers_are_bounded(state, monkeypatch):
    monkeypatch.setattr(state_module, "ACCEPTED_NUMBERS_KEPT", 3)
    for number in range(2, 9):
        apply(state, number, "d")
    assert len(state.to_snapshot().accepted) == 3
    assert apply(state, 1, "a")[0] == "conflict"


def test_the_caller_can_not_change_the_text_in_force(state):
    command = make_command(2, "b")
    state.apply_text(command, 0)
    command.text.number = 9
    assert state.number == 2


def test_where_the_highest_number_wins_an_older_one_is_overtaken():
    state = ConfigurationState()
    for number, expected in ((5, "accepted"), (3, "overtaken"), (5, "overtaken")):
        command = ApplyText(
            text=Text(number=number),
            digest=f"digest-{number}-{expected}",
            highest_wins=True,
            document=f"document {number} {expected}".encode(),
        )
        assert state.apply_text(command, 1).outcome == expected
    assert state.number == 5
    assert state.document == b"document 5 accepted"
    restored = ConfigurationState.from_snapshot(state.to_snapshot())
    assert restored.document == state.document
