"""The timer of a call: it never precedes data that has arrived."""

import eventlet
import pytest
from eventlet import patcher
from eventlet.green import socket

from chestnutvale.clock import SystemClock
from chestnutvale.programs.entry.tick_timer import TickTimer

block_process = patcher.original("time").sleep
DUE_S = 0.05


@pytest.mark.parametrize(("has_arrived", "is_called"), [(True, False), (False, True)])
def test_late_tick_does_not_precede_data_that_has_arrived(has_arrived, is_called):
    clock = SystemClock()
    calls = []
    timer = TickTimer(clock, lambda: calls.append(clock.now_s()))
    (stream, endpoint), (trigger, peer) = socket.socketpair(), socket.socketpair()

    def read_stream():
        stream.recv(1)
        timer.set_due(clock.now_s() + 60.0)

    def block():
        trigger.recv(1)
        if has_arrived:
            endpoint.sendall(b"x")
        block_process(2 * DUE_S)

    tasks = [eventlet.spawn(read_stream), eventlet.spawn(block)]
    timer.set_due(clock.now_s() + DUE_S)
    eventlet.sleep(0)
    peer.sendall(b"x")
    eventlet.sleep(4 * DUE_S)
    for task in tasks:
        task.kill()
    timer.cancel()
    assert bool(calls) is is_called
