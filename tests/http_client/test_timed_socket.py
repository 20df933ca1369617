"""Sends and receives end by their deadline, and a failed connection stays failed."""

import contextlib
import time

import eventlet
import pytest
from eventlet import patcher
from eventlet.green import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutvale.clock import SystemClock
from chestnutvale.http_client.exceptions import ConnectionTimedOutError
from chestnutvale.http_client.timed_socket import TimedSocket
from tests.http_client.answer_faults import reset_connection

threading = patcher.original("threading")
CLOCK = SystemClock()
FLOOD_BYTES = 16 * 1024 * 1024
# Time in seconds for bytes and resets to pass through the loopback interface.
ARRIVAL_S = 0.01
BEFORE_FAILURE = b"some bytes"
USER_TIMEOUT_MS = 200


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


def reset(peer):
    reset_connection(peer)
    eventlet.sleep(ARRIVAL_S)


def send(sock):
    with contextlib.suppress(OSError):
        sock.send_all(b"x", CLOCK.now_s() + 1.0)


# Calls that may be the first to see that the connection has failed.
CALLS = {
    "has_bytes": TimedSocket.has_bytes,
    "is_quiet": TimedSocket.is_quiet,
    "wait_for_bytes": lambda sock: sock.wait_for_bytes(CLOCK.now_s() + 1.0),
    "send_all": send,
}


def receive_until_failure(sock):
    """Return the bytes that arrive before the connection is reported as failed."""
    data = b""
    with pytest.raises(ConnectionError):
        while True:
            part = sock.receive(CLOCK.now_s() + 1.0)
            assert part, "a reset was reported as the end of the connection"
            data += part
    return data


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
        reset_connection(peer)
        with pytest.raises(ConnectionResetError):
            sock.receive(CLOCK.now_s() + 1.0)
        receive_until_failure(sock)
    with open_pair() as (sock, peer):
        eventlet.spawn_after(0.05, sock.shut_down)
        with pytest.raises(ConnectionAbortedError):
            sock.receive(CLOCK.now_s() + 1.0)


@pytest.mark.parametrize("name", CALLS)
def test_reset_that_another_call_has_seen_is_no_end_of_the_connection(name):
    # Guards against an answer without a length that looks complete after a reset: the
    # kernel reports the error once, and the end of the connection afterwards.
    with open_pair() as (sock, peer):
        reset(peer)
        CALLS[name](sock)
        assert not sock.has_bytes()
        assert not sock.is_quiet()
        for _ in range(2):
            with pytest.raises(ConnectionError):
                sock.receive(CLOCK.now_s() + 1.0)
        with pytest.raises(ConnectionError):
            sock.send_all(b"x", CLOCK.now_s() + 1.0)


@contextlib.contextmanager
def open_given_up():
    """Open a connection that the kernel gives up, as its peer reads nothing."""
    with open_pair() as (sock, peer):
        # The peer's window closes, so that a part of what is sent stays unread.
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        sock.green_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        peer.sendall(BEFORE_FAILURE)
        with contextlib.suppress(BlockingIOError):
            while True:
                sock.green_socket.fd.send(bytes(65_536))
        yield sock


def test_timeout_of_the_kernel_is_no_deadline_while_receiving():
    # Guards against an answer without a length that ends as complete: a connection
    # that the kernel gave up was taken for a silent one and read again.
    with open_given_up() as sock:
        assert sock.receive(CLOCK.now_s() + 1.0) == BEFORE_FAILURE
        for _ in range(2):
            with pytest.raises(ConnectionTimedOutError):
                sock.receive(CLOCK.now_s() + 10.0)


def test_timeout_of_the_kernel_is_no_deadline_while_sending():
    # Guards against a request that is sent again: a connection that the kernel gave up
    # was taken for a slow one.
    with open_given_up() as sock:
        for _ in range(2):
            with pytest.raises(ConnectionTimedOutError):
                sock.send_all(b"x" * FLOOD_BYTES, CLOCK.now_s() + 10.0)
        assert sock.receive(CLOCK.now_s() + 1.0) == BEFORE_FAILURE
        with pytest.raises(ConnectionTimedOutError):
            sock.receive(CLOCK.now_s() + 1.0)


@settings(max_examples=60, deadline=None)
@given(
    data=st.sampled_from([b"", BEFORE_FAILURE]),
    calls_before=st.lists(st.sampled_from(sorted(CALLS)), max_size=2),
    calls_after=st.lists(st.sampled_from([*sorted(CALLS), "receive"]), max_size=5),
)
def test_no_order_of_calls_turns_a_reset_into_an_end(data, calls_before, calls_after):
    # Guards against an answer without a length that looks complete after a reset.
    with open_pair() as (sock, peer):
        if data:
            peer.sendall(data)
            eventlet.sleep(ARRIVAL_S)
        for name in calls_before:
            if data or name != "wait_for_bytes":
                CALLS[name](sock)
        reset(peer)
        received = b""
        for name in calls_after:
            if name != "receive":
                CALLS[name](sock)
            elif not received and data:
                received = sock.receive(CLOCK.now_s() + 1.0)
        received += receive_until_failure(sock)
        assert received == data


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
