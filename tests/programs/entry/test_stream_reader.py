"""Reading a stream through a listener that stays registered."""

import struct
from contextlib import contextmanager

import eventlet
import pytest
from eventlet.green import socket

from chestnutvale.programs.entry.exceptions import (
    EndpointBrokenError,
    EndpointSilentError,
)
from chestnutvale.programs.entry.stream_reader import MAX_BUFFERED_BYTES, StreamReader

SETTLE_S = 0.05


@contextmanager
def open_pair(buffered=b""):
    near, far = socket.socketpair()
    near.setblocking(False)
    reader = StreamReader(near, buffered, "127.0.0.1:1")
    try:
        yield reader, far
    finally:
        reader.close()
        near.close()
        far.close()


def test_what_arrives_together_is_read_together():
    with open_pair(b"held ") as (reader, far):
        far.sendall(b"a")
        eventlet.sleep(SETTLE_S)
        far.sendall(b"b")
        eventlet.sleep(SETTLE_S)
        assert reader.read(5.0) == b"held ab"


def test_silence_is_told_in_time_and_loses_nothing():
    with open_pair() as (reader, far):
        for timeout_s in (0.01, 0.05, 0.01):
            with pytest.raises(EndpointSilentError):
                reader.read(timeout_s)
        eventlet.spawn_after(SETTLE_S, far.sendall, b"late")
        assert reader.read(5.0) == b"late"
        # A timer of an earlier read must not end a later one.
        far.sendall(b"x")
        assert reader.read(0.05) == b"x"
        eventlet.spawn_after(4 * SETTLE_S, far.sendall, b"y")
        assert reader.read(5.0) == b"y"


def test_end_comes_after_the_bytes_before_it():
    with open_pair() as (reader, far):
        far.sendall(b"last")
        far.shutdown(socket.SHUT_WR)
        eventlet.sleep(SETTLE_S)
        assert [reader.read(1.0) for _ in range(3)] == [b"last", b"", b""]


def test_reset_connection_is_an_error():
    listener = eventlet.listen(("127.0.0.1", 0))
    near = eventlet.connect(listener.getsockname())
    far, _ = listener.accept()
    reader = StreamReader(near, b"", "127.0.0.1:1")
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    far.close()
    with pytest.raises(EndpointBrokenError):
        reader.read(5.0)
    reader.close()
    near.close()
    listener.close()


def test_busy_reader_holds_the_sender_back():
    size = 4 * MAX_BUFFERED_BYTES
    with open_pair() as (reader, far):
        sender = eventlet.spawn(far.sendall, b"z" * size)
        eventlet.sleep(SETTLE_S)
        assert not sender.dead
        received = 0
        while received < size:
            piece_bytes = len(reader.read(5.0))
            assert piece_bytes < 2 * MAX_BUFFERED_BYTES
            received += piece_bytes
        sender.wait()
