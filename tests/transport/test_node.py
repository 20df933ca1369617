"""Message exchange between two transport nodes over loopback."""

import subprocess
import sys
import time
from pathlib import Path

import eventlet
import pynng
import pytest
from eventlet import patcher

from chestnutvale.clock import SystemClock
from chestnutvale.schema.peer_pb2 import EntryReport
from chestnutvale.transport.const import CONNECT_TIMEOUT_S, DROP_FOREIGN_CLUSTER
from chestnutvale.transport.exceptions import TransportError
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode

PROGRAM_TIMEOUT_S = 20
CLOSE_S = 0.8


def make_node(name, address):
    incarnation = make_incarnation(1, 1)
    return TransportNode("c1", name, incarnation, address, SystemClock())


def wait_until(condition, timeout_s=5.0):
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.01)


def test_failing_handler_does_not_stop_later_messages(free_address):
    received = []

    def handle(envelope):
        received.append(envelope.entry_report.nonce)
        if envelope.entry_report.nonce == 1:
            raise ValueError("first message fails")

    with (
        make_node("a", free_address()) as sender,
        make_node("b", free_address()) as receiver,
    ):
        receiver.register_handler("entry_report", handle)
        for nonce in (1, 2):
            sender.send("b", receiver.address, "entry_report", EntryReport(nonce=nonce))
        wait_until(lambda: received == [1, 2])
        assert receiver.drops["handler_failed"] == 1


def test_empty_message_does_not_end_the_receiving_task(free_address):
    received = []
    with (
        make_node("a", free_address()) as sender,
        make_node("b", free_address()) as receiver,
    ):
        receiver.register_handler(
            "entry_report", lambda e: received.append(e.entry_report.nonce)
        )
        with pynng.Push0() as foreign:
            foreign.dial(f"tcp://{receiver.address}", block=True)
            foreign.send(b"")
            wait_until(lambda: receiver.drops[DROP_FOREIGN_CLUSTER] == 1)
        sender.send("b", receiver.address, "entry_report", EntryReport(nonce=4))
        wait_until(lambda: received == [4])


def test_address_in_use_is_a_typed_error(free_address):
    address = free_address()
    with make_node("a", address), pytest.raises(TransportError) as caught:
        make_node("b", address).__enter__()
    assert caught.value.peer == address


def test_many_reconnects_at_once_do_not_stop_the_inbox(free_address):
    program = [sys.executable, "-m", "tests.transport.reconnects"]
    run = subprocess.run(
        [*program, free_address(), free_address()],
        cwd=Path(__file__).parents[2],
        capture_output=True,
        text=True,
        timeout=PROGRAM_TIMEOUT_S,
    )
    assert run.stdout == "received 1\nclosed\n", run.stderr
    assert "Cannot switch to a different thread" not in run.stderr


def test_reopening_a_connection_does_not_stop_the_process(free_address, monkeypatch):
    # nng closes a socket in threads of its own, which may have to wait for a processor.
    sleep_natively = patcher.original("time").sleep
    close = pynng.Push0.close
    closed = []

    def close_slowly(socket):
        sleep_natively(CLOSE_S)
        close(socket)
        closed.append(socket)

    pauses_s = []

    def beat():
        while True:
            started_s = time.monotonic()
            eventlet.sleep(0.01)
            pauses_s.append(time.monotonic() - started_s)

    with make_node("a", free_address()) as sender:
        address = free_address()
        sender.send("b", address, "entry_report", EntryReport(nonce=1))
        monkeypatch.setattr(pynng.Push0, "close", close_slowly)
        eventlet.sleep(2 * CONNECT_TIMEOUT_S)
        heartbeat = eventlet.spawn(beat)
        eventlet.sleep(0.05)
        sender.send("b", address, "entry_report", EntryReport(nonce=2))
        assert sender.drops["silent_peer"] == 1
        wait_until(lambda: closed)
        eventlet.sleep(0.05)
        heartbeat.kill()
        monkeypatch.undo()
    assert max(pauses_s) < CLOSE_S / 2
