"""Compressed records of texts in the log."""

import pytest

from chestnutvale.configuration.const import MIN_COMPRESSED_COMMAND_BYTES
from chestnutvale.configuration.text_command import (
    make_text_command,
    read_text_command,
)
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.configuration_pb2 import ApplyText, Text

SMALL = ApplyText(text=Text(number=7), digest="d", document=b"{}")
LARGE = ApplyText(
    text=Text(number=7),
    digest="d",
    highest_wins=True,
    document=bytes(MIN_COMPRESSED_COMMAND_BYTES),
)


@pytest.mark.parametrize("apply_text", [SMALL, LARGE])
@pytest.mark.parametrize("may_compress", [True, False])
def test_command_is_read_as_it_was_made(apply_text, may_compress):
    command = make_text_command(apply_text, may_compress=may_compress)
    assert read_text_command(command) == apply_text


def test_only_large_commands_for_controls_that_read_them_are_compressed():
    compressed = make_text_command(LARGE, may_compress=True)
    assert compressed.ByteSize() < MIN_COMPRESSED_COMMAND_BYTES / 10
    for command in (
        make_text_command(SMALL, may_compress=True),
        make_text_command(LARGE, may_compress=False),
    ):
        assert command.WhichOneof("body") == "apply_text"


def test_compressed_command_has_the_same_effect():
    states = [ControlState(), ControlState()]
    results = [
        state.apply(1, make_text_command(LARGE, may_compress=may_compress))
        for state, may_compress in zip(states, (True, False), strict=True)
    ]
    assert results[0] == results[1]
    assert results[0].apply_text.outcome == "accepted"
    assert states[0].snapshot() == states[1].snapshot()


def test_damaged_command_is_an_error():
    command = make_text_command(LARGE, may_compress=True)
    command.compressed_apply_text = command.compressed_apply_text[:-1]
    with pytest.raises(ValueError, match="incomplete"):
        read_text_command(command)
