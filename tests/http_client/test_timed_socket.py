"""Sends and receives end by their deadline and leave time to other greenlets."""

import contextlib
import struct
import time

import eventlet
import pytest
from eventlet import patcher
from eventlet.green import socket

from chestnutvale.clock import SystemClock
from chestnutvale.http_client.timed_socket import TimedSocket

threading = patcher.original("threading")
CLOCK = SystemClock()
FLOOD_BYTES = 16 * 1024 * 1024


@contextlib.contextmanager
def open_pair():
    listener = eventlet.listen(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    sock = TimedSocket.open(f"127.0.0.1:{port}", 1.0, CLOCK)
    peer, _ = listener.accept()
    with (
        contextlib.closing(listener),
        contextlib.closing(peer),
        contextlib.closing(sock),
    ):
        yield sock, peer


def test_send_to_a_slow_peer_ends_by_the_deadline():
    with open_pair() as (sock, peer):

        def receive_slowly():
            while peer.recv(50_000):
                eventlet.sleep(0.01)

        reader = eventlet.spawn(receive_slowly)
        started_s = time.monotonic()
        with pytest.raises(TimeoutError):
            sock.send_all(b"x" * FLOOD_BYTES, CLOCK.now_s() + 0.2)
        assert time.monotonic() - started_s < 1.0
        reader.kill()


def test_receive_gives_what_arrived_after_the_deadline_but_does_not_wait():
    with open_pair() as (sock, peer):
        peer.sendall(b"late")
        eventlet.sleep(0.05)
        assert sock.receive(CLOCK.now_s() - 1.0) == b"late"
        with pytest.raises(TimeoutError):
            sock.receive(CLOCK.now_s() - 1.0)


def test_end_reset_and_shut_down_are_told_apart():
    with open_pair() as (sock, peer):
        peer.close()
        assert sock.receive(CLOCK.now_s() + 1.0) == b""
    with open_pair() as (sock, peer):
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        with pytest.raises(ConnectionResetError):
            sock.receive(CLOCK.now_s() + 1.0)
    with open_pair() as (sock, peer):
        eventlet.spawn_after(0.05, sock.shut_down)
        with pytest.raises(ConnectionAbortedError):
            sock.receive(CLOCK.now_s() + 1.0)


def test_only_an_open_connection_without_data_is_quiet():
    with open_pair() as (sock, peer):
        assert sock.is_quiet()
        peer.sendall(b"x")
        eventlet.sleep(0.05)
        assert not sock.is_quiet()
        assert sock.receive(CLOCK.now_s()) == b"x"
        peer.close()
        eventlet.sleep(0.05)
        assert not sock.is_quiet()


def test_other_greenlets_run_beside_a_fast_peer():
    with open_pair() as (sock, peer):
        plain = peer.fd.dup()
        plain.setblocking(True)
        sender = threading.Thread(target=plain.sendall, args=(b"x" * FLOOD_BYTES,))
        sender.start()
        turns = []

        def count_turns():
            while True:
                turns.append(None)
                eventlet.sleep(0)

        counter = eventlet.spawn(count_turns)
        received_bytes = 0
        while received_bytes < FLOOD_BYTES:
            received_bytes += len(sock.receive(CLOCK.now_s() + 5.0))
        counter.kill()
        sender.join()
        plain.close()
        assert len(turns) >= FLOOD_BYTES // (512 * 1024)
