"""Tests of reading a stream through a listener that stays registered."""

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
def open_reader(buffered=b""):
    reader_socket, sender_socket = socket.socketpair()
    reader_socket.setblocking(False)
    reader = StreamReader(reader_socket, buffered, "127.0.0.1:1")
    try:
        yield reader, sender_socket
    finally:
        reader.close()
        reader_socket.close()
        sender_socket.close()


def test_buffered_bytes_are_read_together():
    with open_reader(b"held ") as (reader, sender_socket):
        sender_socket.sendall(b"a")
        eventlet.sleep(SETTLE_S)
        sender_socket.sendall(b"b")
        eventlet.sleep(SETTLE_S)
        assert reader.read(5.0) == b"held ab"


def test_timeout_is_raised_and_loses_no_bytes():
    with open_reader() as (reader, sender_socket):
        for timeout_s in (0.01, 0.05, 0.01):
            with pytest.raises(EndpointSilentError):
                reader.read(timeout_s)
        eventlet.spawn_after(SETTLE_S, sender_socket.sendall, b"late")
        assert reader.read(5.0) == b"late"
        # The timer of an earlier read must not end a later one.
        sender_socket.sendall(b"x")
        assert reader.read(0.05) == b"x"
        eventlet.spawn_after(4 * SETTLE_S, sender_socket.sendall, b"y")
        assert reader.read(5.0) == b"y"


def test_end_of_stream_follows_buffered_bytes():
    with open_reader() as (reader, sender_socket):
        sender_socket.sendall(b"last")
        sender_socket.shutdown(socket.SHUT_WR)
        eventlet.sleep(SETTLE_S)
        assert [reader.read(1.0) for _ in range(3)] == [b"last", b"", b""]


def test_reset_connection_is_an_error():
    listener = eventlet.listen(("127.0.0.1", 0))
    reader_socket = eventlet.connect(listener.getsockname())
    sender_socket, _ = listener.accept()
    reader = StreamReader(reader_socket, b"", "127.0.0.1:1")
    sender_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sender_socket.close()
    with pytest.raises(EndpointBrokenError):
        reader.read(5.0)
    reader.close()
    reader_socket.close()
    listener.close()


def test_full_buffer_blocks_sender():
    size = 4 * MAX_BUFFERED_BYTES
    with open_reader() as (reader, sender_socket):
        sender_task = eventlet.spawn(sender_socket.sendall, b"z" * size)
        eventlet.sleep(SETTLE_S)
        assert not sender_task.dead
        total_bytes = 0
        while total_bytes < size:
            received_bytes = len(reader.read(5.0))
            assert received_bytes < 2 * MAX_BUFFERED_BYTES
            total_bytes += received_bytes
        sender_task.wait()
