"""Splitting a stream of events, whatever its chunk boundaries."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.attempts.exceptions import StreamFormatError
from chestnutvale.attempts.sse import EventSplitter

STREAM = (
    b": hello\n\n"
    b'id: r:1.2:0:2\ndata: {"a": "id: x:5:6"}\n\n'
    b":\nid: r:1.2:2:2\ndata: {}\n\n\n"
    b"data: [DONE]\n\n"
)
EXPECTED = [
    (b"r:1.2", 0, 2, b'data: {"a": "id: x:5:6"}\n\n', False),
    (b"r:1.2", 2, 2, b"data: {}\n\n", False),
    (b"", 0, 0, b"data: [DONE]\n\n", True),
]


def split(chunks):
    splitter = EventSplitter()
    events = [event for chunk in chunks for event in splitter.feed(chunk)]
    return [(e.attempt_id, e.first, e.next, e.data, e.is_done) for e in events]


@pytest.mark.parametrize("stream", [STREAM, STREAM.replace(b"\n", b"\r\n")])
def test_every_boundary_gives_the_same_events(stream):
    assert split([stream]) == EXPECTED
    assert split([stream[i : i + 1] for i in range(len(stream))]) == EXPECTED
    for cut in range(len(stream)):
        assert split([stream[:cut], stream[cut:]]) == EXPECTED


def test_unfinished_event_is_not_given():
    splitter = EventSplitter()
    assert splitter.feed(b"id: a:0:1\ndata: {}\n") == []


@pytest.mark.parametrize(
    "block",
    [
        b"id: a:0\ndata: {}\n\n",
        b"id: a:2:1\ndata: {}\n\n",
        b"id: a:-1:1\ndata: {}\n\n",
        b"id: a:x:1\ndata: {}\n\n",
        b"id: a:0:1\n\n",
        b"data: {}\n\n",
        b"x" * 101,
        b"id: a:0:1\ndata: " + b"x" * 100 + b"\n\n",
    ],
)
def test_wrong_or_large_event_is_a_typed_error(block):
    with pytest.raises(StreamFormatError):
        EventSplitter(max_event_bytes=100).feed(block)


@seed(6)
@settings(max_examples=300, database=None, deadline=None)
@given(st.lists(st.sampled_from([b"id", b":", b"0", b"\n", b"\r", b"data: "])))
def test_foreign_bytes_only_ever_raise_the_typed_error(parts):
    try:
        split(parts)
    except StreamFormatError as error:
        assert error.step == "stream"
