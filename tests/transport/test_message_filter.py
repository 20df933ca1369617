"""Validation of received messages: addressing, expiry and incarnation."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.schema.peer_pb2 import EntryReport, Envelope
from chestnutvale.transport.const import (
    DROP_EXPIRED,
    DROP_FOREIGN_CLUSTER,
    DROP_MALFORMED,
    DROP_NO_BODY,
    DROP_OLD_INCARNATION,
    DROP_WRONG_RECIPIENT,
)
from chestnutvale.transport.exceptions import MessageDroppedError
from chestnutvale.transport.message_filter import MessageFilter, make_incarnation

NOW_UNIX_MS = 1_000_000


def make_envelope(**changes):
    fields = {
        "cluster_id": "c1",
        "sender_id": "entry-1",
        "sender_incarnation": make_incarnation(5, 1),
        "recipient_id": "control-1",
        "expires_at_unix_ms": NOW_UNIX_MS + 10,
        "entry_report": EntryReport(nonce=3),
    }
    fields.update(changes)
    return Envelope(**{k: v for k, v in fields.items() if v is not None})


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"cluster_id": "other"}, DROP_FOREIGN_CLUSTER),
        ({"recipient_id": "control-2"}, DROP_WRONG_RECIPIENT),
        ({"expires_at_unix_ms": NOW_UNIX_MS - 1}, DROP_EXPIRED),
        ({"entry_report": None}, DROP_NO_BODY),
        ({"sender_id": ""}, DROP_NO_BODY),
    ],
)
def test_message_is_dropped(changes, reason):
    message_filter = MessageFilter("c1", "control-1")
    with pytest.raises(MessageDroppedError) as caught:
        message_filter.decode_message(
            make_envelope(**changes).SerializeToString(), NOW_UNIX_MS
        )
    assert caught.value.reason == reason


def test_message_of_an_earlier_incarnation_is_dropped():
    message_filter = MessageFilter("c1", "control-1")
    late = make_envelope().SerializeToString()
    newer = make_envelope(sender_incarnation=make_incarnation(6, 0))
    message_filter.decode_message(newer.SerializeToString(), NOW_UNIX_MS)
    with pytest.raises(MessageDroppedError) as caught:
        message_filter.decode_message(late, NOW_UNIX_MS)
    assert caught.value.reason == DROP_OLD_INCARNATION


def test_valid_message_is_decoded():
    message_filter = MessageFilter("c1", "control-1")
    envelope = message_filter.decode_message(
        make_envelope().SerializeToString(), NOW_UNIX_MS
    )
    assert envelope.entry_report.nonce == 3


@seed(1)
@settings(max_examples=200, database=None, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_the_typed_error(data):
    message_filter = MessageFilter("c1", "control-1")
    with pytest.raises(MessageDroppedError):
        message_filter.decode_message(data, NOW_UNIX_MS)


def test_truncated_message_never_passes_as_another_one():
    data = make_envelope().SerializeToString()
    for length in range(len(data)):
        message_filter = MessageFilter("c1", "control-1")
        with pytest.raises(MessageDroppedError) as caught:
            message_filter.decode_message(data[:length], NOW_UNIX_MS)
        assert caught.value.reason in {
            DROP_MALFORMED,
            DROP_NO_BODY,
            DROP_WRONG_RECIPIENT,
            DROP_FOREIGN_CLUSTER,
            DROP_EXPIRED,
        }


def serialise_envelope(incarnation, expires_at_unix_ms=0):
    envelope = Envelope(
        cluster_id="c1",
        sender_id="entry-1",
        sender_incarnation=incarnation,
        recipient_id="control-1",
        expires_at_unix_ms=expires_at_unix_ms,
    )
    envelope.entry_report.nonce = 1
    return envelope.SerializeToString()


def test_where_clocks_may_step_no_message_expires():
    message_filter = MessageFilter("c1", "control-1", clocks_may_step=True)
    assert message_filter.decode_message(serialise_envelope("a"), 10**15)


def test_where_clocks_may_step_a_restart_with_an_earlier_time_is_accepted():
    message_filter = MessageFilter("c1", "control-1", clocks_may_step=True)
    message_filter.decode_message(serialise_envelope("0009"), 0)
    # The host clock was set back 40 minutes before the restart: the id sorts lower.
    message_filter.decode_message(serialise_envelope("0001"), 0)
    with pytest.raises(MessageDroppedError):
        message_filter.decode_message(serialise_envelope("0009"), 0)
    assert message_filter.decode_message(serialise_envelope("0001"), 0)
