"""Property-based tests of the invariants of admission control."""

import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.admission.const import (
    PRIORITIES,
    REFUSED_WINDOW_S,
    RETRY_AFTER_JITTER,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    URGENT_OVERDRAFT,
)
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Demand,
    Queue,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)

LIMITS = ServiceLimits(queue_requests=8, workspace_queue_requests=5)
WEIGHTS = {"a": 1.0, "b": 1.0, "c": 0.2}

offer = st.tuples(
    st.just("offer"),
    st.sampled_from(sorted(WEIGHTS)),
    st.sampled_from(PRIORITIES),
    st.integers(1, 600),
    st.floats(20.0, 600.0),
)
other = st.one_of(
    st.tuples(st.just("release"), st.integers(0, 50), st.integers(0, 900)),
    st.tuples(st.just("progress"), st.integers(0, 50), st.integers(0, 900)),
    st.tuples(st.just("withdraw"), st.integers(0, 50)),
    st.tuples(st.just("tick"), st.floats(0.0, 5.0)),
    st.tuples(st.just("capacity"), st.integers(0, 3), st.integers(0, 3000)),
    st.tuples(st.just("demand"), st.integers(0, 5000), st.integers(0, 5000)),
)
# Several offers in a row fill the limit and the queue between other events.
steps_of = st.lists(
    st.tuples(st.lists(offer, min_size=2, max_size=8), other), max_size=12
)


class Driver:
    """Applies generated steps and checks the invariants after each effect."""

    def __init__(self):
        self.controller = AdmissionController(random.Random(1))
        self.controller.set_entry_count(2)
        self.controller.configure(WEIGHTS, {"llm": LIMITS})
        self.controller.set_capacity("llm", ServiceCapacity(2, 4000), 0.0)
        self.now_s = 0.0
        self.requests = {}
        self.answers = {}
        self.running = []
        self.withdrawn = set()

    @property
    def service(self):
        return self.controller._services["llm"]

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, Queue):
                assert effect.request_id not in self.answers
                continue
            assert effect.request_id not in self.answers, "second final answer"
            assert effect.request_id not in self.withdrawn
            self.answers[effect.request_id] = effect
            if isinstance(effect, Admit):
                self.running.append(effect.request_id)
            elif effect.retry_after_s:
                most_s = RETRY_AFTER_MAX_S * RETRY_AFTER_JITTER
                assert RETRY_AFTER_MIN_S <= effect.retry_after_s <= most_s
        if any(isinstance(effect, Admit) for effect in effects):
            most = self.service.limit * (1 + URGENT_OVERDRAFT)
            assert self.service.reserved <= most or len(self.service.running) == 1
        assert self.service.queue.count <= LIMITS.queue_requests
        for workspace in WEIGHTS:
            waiting = self.service.queue.workspace_count(workspace)
            assert waiting <= LIMITS.workspace_queue_requests

    def apply(self, name, *values):
        self.now_s += 0.05
        getattr(self, name)(*values)

    def offer(self, workspace, priority, prompt, left_s):
        request_id = str(len(self.requests))
        deadline_s = self.now_s + left_s
        request = AdmissionRequest(
            request_id, "llm", workspace, priority, prompt, 900, deadline_s
        )
        self.requests[request_id] = request
        self.take(self.controller.offer(request, self.now_s))

    def release(self, index, used):
        if self.running:
            request_id = self.running.pop(index % len(self.running))
            self.take(self.controller.release(request_id, used, self.now_s))

    def progress(self, index, output):
        if self.running:
            request_id = self.running[index % len(self.running)]
            self.controller.progress(request_id, output)

    def withdraw(self, index):
        held = [
            request_id
            for request_id in self.requests
            if request_id not in self.answers and request_id not in self.withdrawn
        ] + self.running
        if not held:
            return
        request_id = held[index % len(held)]
        self.withdrawn.add(request_id)
        if request_id in self.running:
            self.running.remove(request_id)
        self.take(self.controller.withdraw(request_id, self.now_s))

    def tick(self, passed_s):
        self.now_s += passed_s
        self.take(self.controller.tick(self.now_s))

    def capacity(self, groups, used):
        capacity = ServiceCapacity(groups, 2000 * groups, min(used, 2000 * groups))
        self.controller.set_capacity("llm", capacity, self.now_s)

    def demand(self, own, other):
        mine = [Demand("llm", "a", own), Demand("llm", "b", 100)]
        total = [Demand("llm", "a", own + other), Demand("llm", "b", 100)]
        self.controller.set_demand(mine, total)


@seed(61)
@settings(database=None, deadline=None, max_examples=150)
@given(steps_of)
def test_any_order_of_events(steps):
    driver = Driver()
    for offers, last in steps:
        for name, *values in [*offers, last]:
            driver.apply(name, *values)
    driver.apply("capacity", 2, 0)
    driver.apply("tick", 1000.0)
    while driver.running:
        driver.apply("release", 0, 10)
        driver.apply("tick", 0.0)
    answered = set(driver.answers) | driver.withdrawn
    assert answered == set(driver.requests)
    assert driver.service.reserved == 0
    assert sum(driver.service._class_reserved.values()) == 0
    # Refused requests count as demand until their window expires.
    driver.apply("tick", REFUSED_WINDOW_S)
    assert driver.controller.demand() == []
    assert driver.controller._service_of == {}


@seed(62)
@settings(database=None, deadline=None, max_examples=50)
@given(st.randoms(use_true_random=False))
def test_backlog_of_other_workspaces_causes_no_starvation(rng):
    """A batch request of a low-weight workspace runs despite a permanent backlog."""
    controller = AdmissionController(random.Random(1))
    controller.configure({"a": 1.0, "b": 1.0, "c": 0.1}, {"llm": ServiceLimits()})
    controller.set_capacity("llm", ServiceCapacity(1, 2000), 0.0)
    running = []
    served = []

    def offer(number, workspace, priority):
        request = AdmissionRequest(
            f"{workspace}{number}", "llm", workspace, priority, 100, 100, 1e9
        )
        take(controller.offer(request, number / 10))

    def take(effects):
        for effect in effects:
            assert not isinstance(effect, Refuse)
            if isinstance(effect, Admit):
                running.append(effect.request_id)
                served.append(effect.request_id)

    for number in range(30):
        offer(number, rng.choice("ab"), rng.choice(PRIORITIES))
    offer(0, "c", "batch")
    for number in range(30, 200):
        offer(number, rng.choice("ab"), rng.choice(PRIORITIES))
        # Requests end in the order of their admission.
        take(controller.release(running.pop(0), 100, number / 10))
        if number == 90:
            assert "c0" in served


@pytest.mark.parametrize("share", [0.3, 0.7])
def test_urgent_share_is_bounded_while_others_wait(share):
    controller = AdmissionController(random.Random(1))
    limits = ServiceLimits(urgent_share=share)
    controller.configure({"a": 1.0, "b": 1.0}, {"llm": limits})
    controller.set_capacity("llm", ServiceCapacity(1, 4000), 0.0)
    running = []
    for number in range(200):
        priority = "urgent" if number % 2 else "batch"
        workspace = "a" if number % 2 else "b"
        request = AdmissionRequest(
            f"{priority}{number}", "llm", workspace, priority, 100, 100, 1e9
        )
        effects = controller.offer(request, 0.0)
        running += [e.request_id for e in effects if isinstance(e, Admit)]
    for _ in range(60):
        effects = controller.release(running.pop(0), 100, 1.0)
        running += [e.request_id for e in effects if isinstance(e, Admit)]
    urgent = sum(request_id.startswith("urgent") for request_id in running)
    assert share * 20 <= urgent <= share * 20 + 1
    assert len(running) >= 20
