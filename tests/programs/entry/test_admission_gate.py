"""Tests that the admission gate ticks only while calls wait."""

import eventlet

from chestnutvale.clock import SystemClock
from chestnutvale.programs.entry.admission_gate import AdmissionGate
from chestnutvale.programs.entry.context import CallRequest


class FakeController:
    """A controller in which calls wait until the number of ticks is a multiple of 3."""

    def __init__(self):
        self.ticks = 0
        self.waiting = []

    @property
    def next_deadline_s(self):
        return 0.0 if self.waiting else None

    def offer(self, request, now_s):
        self.waiting.append(request.request_id)
        return []

    def tick(self, now_s):
        self.ticks += 1
        if self.ticks % 3 == 0:
            self.waiting.clear()
        return []


def make_request(request_id):
    return CallRequest(request_id, "w", "s", "normal", b"", 1, "", 10.0)


def test_gate_ticks_only_while_call_waits():
    controller = FakeController()
    gate = AdmissionGate(controller, SystemClock())
    task = eventlet.spawn(gate.run)
    try:
        for expected in (3, 6):
            eventlet.sleep(0.2)
            assert controller.ticks == expected - 3
            gate.offer(make_request(str(expected)))
            with eventlet.Timeout(10):
                while controller.waiting:
                    eventlet.sleep(0.01)
            assert controller.ticks == expected
    finally:
        task.kill()
