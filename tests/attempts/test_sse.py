"""Tests of splitting event streams at arbitrary chunk boundaries."""

import time

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.attempts.const import MAX_EVENT_BYTES
from chestnutvale.attempts.exceptions import StreamFormatError
from chestnutvale.attempts.sse import EventSplitter, NumberedEventSplitter

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


def numbered(number):
    return f"id: {number}\ndata: t{number}\n\n".encode()


@given(st.lists(st.integers(1, 12), max_size=20))
def test_numbered_events_are_split_at_any_chunk_boundary(sizes):
    data = b"".join(numbered(n) for n in range(3, 8))
    splitter = NumberedEventSplitter("a", last_number=2)
    events = []
    for size in [*sizes, len(data)]:
        events += splitter.feed(data[:size])
        data = data[size:]
    assert [(e.first, e.next) for e in events] == [(n - 1, n) for n in range(3, 8)]
    assert b"".join(e.data for e in events) == b"".join(map(numbered, range(3, 8)))
    assert splitter.end().is_done


@pytest.mark.parametrize(
    "data", [b"data: no number\n\n", numbered(2), b"id: x\ndata: a\n\n"]
)
def test_events_without_an_increasing_number_are_refused(data):
    with pytest.raises(StreamFormatError):
        NumberedEventSplitter("a", last_number=2).feed(data)


def test_a_stream_that_ends_in_an_event_is_not_whole():
    splitter = NumberedEventSplitter("a")
    splitter.feed(numbered(1) + b"id: 2\ndata")
    with pytest.raises(StreamFormatError):
        splitter.end()


def test_a_line_before_the_number_is_passed_on():
    data = b"chestnut-versions: 2\n" + numbered(1)
    (event,) = NumberedEventSplitter("a").feed(data)
    assert (event.next, event.data) == (1, data)


@pytest.mark.parametrize("splitter", [EventSplitter(), NumberedEventSplitter("a")])
def test_event_without_end_is_refused_without_scanning_it_again(splitter):
    piece = b"data: xxxxxxxx\n"
    started_s = time.process_time()
    with pytest.raises(StreamFormatError):
        for _ in range(MAX_EVENT_BYTES // len(piece) + 1):
            assert splitter.feed(piece) == []
    assert time.process_time() - started_s < 0.5


@pytest.mark.parametrize("comment", [b":\n\n", b"\n\n", b": x\n"])
def test_comments_without_end_are_refused(comment):
    splitter = EventSplitter(max_event_bytes=100)
    with pytest.raises(StreamFormatError):
        for _ in range(100):
            splitter.feed(comment)


def test_comments_between_events_are_not_added_up():
    splitter = EventSplitter(max_event_bytes=100)
    for number in range(20):
        data = b": " + b"x" * 60 + b"\n\n" + b"id: a:%d:%d\ndata: {}\n\n"
        assert len(splitter.feed(data % (number, number + 1))) == 1
