"""A new configuration counts no running or waiting request twice, and loses none."""

import random

import pytest

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Queue,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)
from chestnutvale.admission.service_flow import ServiceFlow

SERVICES = ("app", "llm")
WEIGHTS = {"a": 1.0, "b": 2.0}
LIMITS = ServiceLimits(slots_per_group=2, overcommit=1.0)
SLOTS, TOKENS = ServiceCapacity(2, 0), ServiceCapacity(2, 800)
NONE = ServiceCapacity(0, 0)
REQUESTS = 12


class Entry:
    """A controller whose requests are all decided once."""

    def __init__(self, capacity, lends_places):
        self.controller = AdmissionController(
            random.Random(1), lends_places=lends_places
        )
        self.capacity = capacity
        self.now_s = 0.0
        self.decisions = {}
        self.configure()

    def configure(self, weights=WEIGHTS, limits=LIMITS, services=SERVICES):
        """Put a text in force as an entry does, which knows the capacity already."""
        self.now_s += 0.01
        self.controller.configure(weights, dict.fromkeys(services, limits))
        for service in services:
            self.set_capacity(service, self.capacity)
        self.tick()

    def set_capacity(self, service, capacity):
        self.controller.set_capacity(service, capacity, self.now_s)
        if self.controller.lends_places:
            self.controller.set_peer_running(service, 0, self.now_s)
            flow = ServiceFlow(service, 10.0, 10.0)
            self.controller.set_fleet_flow(flow, self.now_s)

    def tick(self):
        self.take(self.controller.tick(self.now_s))

    def offer_all(self):
        for number in range(REQUESTS):
            service = SERVICES[number % 2]
            workspace = "ab"[number // 2 % 2]
            priority = ("urgent", "normal", "batch")[number % 3]
            deadline_s = self.now_s + 100.0
            request = AdmissionRequest(
                f"r{number}", service, workspace, priority, 100, 50, deadline_s
            )
            self.take(self.controller.offer(request, self.now_s))

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, Queue):
                continue
            assert isinstance(effect, Admit | Refuse)
            assert effect.request_id not in self.decisions, "decided twice"
            self.decisions[effect.request_id] = effect

    def release_all(self):
        released = set()
        while True:
            self.now_s += 0.5
            for service in SERVICES:
                if self.controller.describe(service).get("groups"):
                    self.set_capacity(service, self.capacity)
            self.tick()
            admitted = {
                name for name, made in self.decisions.items() if isinstance(made, Admit)
            }
            if admitted == released:
                return
            for name in sorted(admitted - released):
                released.add(name)
                self.controller.progress(name, 200)
                self.take(self.controller.release(name, 200, self.now_s))
                assert self.controller.release(name, 200, self.now_s) == []

    def check_empty(self):
        controller = self.controller
        assert controller.demand(self.now_s + 1_000.0) == []
        assert controller.next_deadline_s is None
        assert not controller._service_of
        for service in controller._services.values():
            assert not service.reserved
            assert not any(service._class_reserved.values())
            assert not service.running
            assert not service._waiting


CHANGES = {
    "nothing": lambda entry: entry.configure(),
    "service leaves": lambda entry: entry.configure(services=("app",)),
    "service leaves and returns": lambda entry: (
        entry.configure(services=("app",)),
        entry.configure(),
    ),
    "services leave and return": lambda entry: (
        entry.configure(services=()),
        entry.configure(),
    ),
    "service is replaced": lambda entry: entry.configure(services=("app", "llm2")),
    "workspace leaves": lambda entry: entry.configure(weights={"a": 1.0}),
    "workspace leaves and returns": lambda entry: (
        entry.configure(weights={"a": 1.0}),
        entry.configure(),
    ),
    "no workspaces": lambda entry: entry.configure(weights={}),
    "weights": lambda entry: entry.configure(weights={"a": 100.0, "b": 0.01}),
    "fewer places": lambda entry: entry.configure(
        limits=ServiceLimits(slots_per_group=1, overcommit=1.0)
    ),
    "more places": lambda entry: entry.configure(
        limits=ServiceLimits(slots_per_group=50, overcommit=1.0)
    ),
    "short queue": lambda entry: entry.configure(
        limits=ServiceLimits(
            slots_per_group=2,
            overcommit=1.0,
            queue_requests=1,
            workspace_queue_requests=1,
        )
    ),
}


@pytest.mark.parametrize("name", CHANGES)
@pytest.mark.parametrize("lends_places", [False, True])
@pytest.mark.parametrize("capacity", [SLOTS, TOKENS], ids=["slots", "tokens"])
def test_each_request_is_decided_once_and_leaves_nothing(capacity, lends_places, name):
    entry = Entry(capacity, lends_places)
    entry.offer_all()
    CHANGES[name](entry)
    # All that wait were taken in under the text before.
    waiting = {f"r{number}" for number in range(REQUESTS)} - set(entry.decisions)
    entry.release_all()
    assert len(entry.decisions) == REQUESTS
    assert all(isinstance(entry.decisions[name], Admit) for name in waiting)
    entry.check_empty()


@pytest.mark.parametrize("capacity", [SLOTS, TOKENS], ids=["slots", "tokens"])
def test_text_without_workspaces_takes_no_place_away(capacity):
    # Guards against refusals by an entry whose places are all free.
    entry = Entry(capacity, lends_places=False)
    places = {name: entry.controller.describe(name)["limit"] for name in SERVICES}
    entry.configure(weights={})
    for number, service in enumerate(SERVICES):
        request = AdmissionRequest(
            f"n{number}", service, "", "normal", 0, 10, 60.0, start_by_s=50.0
        )
        entry.take(entry.controller.offer(request, entry.now_s))
        assert isinstance(entry.decisions[f"n{number}"], Admit)
        assert entry.controller.describe(service)["limit"] == places[service]
