"""The admission gate: its ticks, and the decision of every call."""

import random

import attrs
import eventlet
import pytest

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import ServiceCapacity, ServiceLimits
from chestnutvale.clock import SystemClock
from chestnutvale.programs.entry.admission_gate import AdmissionGate
from chestnutvale.programs.entry.context import CallRequest


class FakeController:
    """A controller in which calls wait until the number of ticks is a multiple of 3."""

    def __init__(self):
        self.ticks = 0
        self.waiting = []
        self.withdrawn = []

    @property
    def next_deadline_s(self):
        return 0.0 if self.waiting else None

    def offer(self, request, now_s):
        self.waiting.append(request.request_id)
        return []

    def withdraw(self, request_id, now_s):
        self.withdrawn.append(request_id)
        return []

    def describe(self, service):
        return {}

    def tick(self, now_s):
        self.ticks += 1
        if self.ticks % 3 == 0:
            self.waiting.clear()
        return []


def make_request(request_id, deadline_s=10.0):
    return CallRequest(request_id, "w", "s", "normal", b"", 1, "", deadline_s)


@pytest.fixture
def full_gate():
    """Return a gate of a service that runs its only call, ``running``."""
    clock = SystemClock()
    controller = AdmissionController(random.Random(1))
    limits = ServiceLimits(slots_per_group=1, overcommit=1.0)
    controller.configure({"w": 1.0}, {"s": limits})
    controller.set_capacity("s", ServiceCapacity(1, 0), clock.now_s())
    gate = AdmissionGate(controller, clock)
    assert offer(gate, "running").wait() is None
    return gate


def offer(gate, request_id):
    return gate.offer(make_request(request_id, SystemClock().now_s() + 60.0))


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


def test_call_without_a_decision_is_refused_at_its_deadline():
    gate = AdmissionGate(FakeController(), SystemClock())
    ticket = gate.offer(make_request("undecided", SystemClock().now_s() + 0.1))
    with eventlet.Timeout(5):
        assert ticket.wait().code == "deadline_exceeded"
    ticket.release(0)
    assert gate.controller.withdrawn == ["undecided"]


def test_second_call_under_one_id_does_not_leave_the_first_one_waiting(full_gate):
    first = offer(full_gate, "twice")
    second = offer(full_gate, "twice")
    assert second.wait().code == "duplicate_request"
    second.release(0)
    full_gate.release("running", 0)
    with eventlet.Timeout(5):
        assert first.wait() is None


@pytest.mark.parametrize("workspace", ["w", "other"])
def test_waiting_call_is_refused_once_its_service_leaves_the_configuration(
    full_gate, workspace
):
    waiting = offer(full_gate, "waiting")
    full_gate.controller.configure({workspace: 1.0}, {"another": ServiceLimits()})
    full_gate.reevaluate_waiting()
    with eventlet.Timeout(5):
        assert waiting.wait().code == "no_capacity"


def test_waiting_call_is_admitted_after_its_workspace_left_the_configuration(full_gate):
    waiting = offer(full_gate, "waiting")
    limits = ServiceLimits(slots_per_group=1, overcommit=1.0)
    full_gate.controller.configure({"other": 1.0}, {"s": limits})
    full_gate.release("running", 0)
    with eventlet.Timeout(5):
        assert waiting.wait() is None


def test_refusals_are_counted_by_workspace_rank_and_code(full_gate):
    request = make_request("waiting", SystemClock().now_s() - 1.0)
    refusal = full_gate.offer(attrs.evolve(request, rank=2)).wait()
    assert refusal is not None
    assert full_gate.refusals == {("w", 2, refusal.code): 1}
    # The counts of workspaces that the text no longer has are removed.
    full_gate.keep_workspaces({"w"})
    assert full_gate.refusals
    full_gate.keep_workspaces({"other"})
    assert not full_gate.refusals
