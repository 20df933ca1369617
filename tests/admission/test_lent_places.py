"""Tests of the calls that wait for a lent place, and of what refused ones are told."""

import random

import pytest

from chestnutvale.admission.const import CODE_DEADLINE, RETRY_AFTER_MIN_S
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
from chestnutvale.admission.service_flow import ServiceFlow

ENTRIES = 126
PLACES = 30


@pytest.fixture
def controller():
    """Return the controller of one of 126 entries that share 30 places."""
    made = AdmissionController(random.Random(5), lends_places=True)
    made.configure({"w": 1.0}, {"s": ServiceLimits(slots_per_group=10)})
    made.set_entry_count(ENTRIES)
    made.set_capacity("s", ServiceCapacity(3, 0), 0.0)
    return made


def receive_counts(controller, running, offered_per_s, now_s, admitted_per_s=60.0):
    rates = (offered_per_s, 0.0, 0.0)
    total = [Demand("s", "w", 30, 30, 0, rates)]
    controller.set_demand([], total)
    controller.set_peer_running("s", running, now_s)
    flow = ServiceFlow("s", offered_per_s, admitted_per_s)
    controller.set_fleet_flow(flow, now_s)


def offer(controller, number, now_s, target_s=0.2, timeout_s=6.0):
    request = AdmissionRequest(
        f"r{number}",
        "s",
        "w",
        "urgent",
        0,
        100,
        now_s + timeout_s,
        now_s + 0.4,
        target_s=now_s + target_s,
    )
    return controller.offer(request, now_s)[-1]


def test_free_places_admit_at_any_entry(controller):
    receive_counts(controller, 5, 40.0, 1.0, 10.0)
    assert isinstance(offer(controller, 1, 1.1), Admit)
    state = controller.describe("s")
    assert state["lent_per_s"] > 40.0
    assert state["offered_per_s"] == 40.0


def test_a_call_that_would_miss_its_target_in_the_queue_is_refused_at_once(controller):
    # Guards against late refusals, which cost their callers the time for another try.
    receive_counts(controller, 4 * PLACES, 200.0, 1.0)
    effect = offer(controller, 1, 1.01)
    assert isinstance(effect, Refuse)
    assert effect.code == CODE_DEADLINE


def test_a_call_waits_for_counts_that_probably_bring_room(controller):
    receive_counts(controller, PLACES, 65.0, 1.0)
    effects = [offer(controller, n, 1.01, target_s=0.39) for n in range(30)]
    waiting = [e.request_id for e in effects if isinstance(e, Queue)]
    assert waiting
    receive_counts(controller, 5, 40.0, 1.3)
    ticked = controller.tick(1.3)
    assert {e.request_id for e in ticked if isinstance(e, Admit)} == set(waiting)


def test_the_predicted_first_event_counts_toward_the_target(controller):
    for _ in range(20):
        controller.observe_first_event("s", 0.2)
    receive_counts(controller, PLACES, 65.0, 1.0)
    effects = [offer(controller, n, 1.01, target_s=0.39) for n in range(30)]
    assert not any(isinstance(effect, Queue) for effect in effects)


def test_a_call_that_can_not_meet_its_deadline_is_refused_although_a_place_is_free(
    controller,
):
    for _ in range(20):
        controller.observe_first_event("s", 0.5)
    receive_counts(controller, 5, 40.0, 1.0, 10.0)
    assert isinstance(offer(controller, 1, 1.1, timeout_s=0.4), Refuse)
    assert isinstance(offer(controller, 2, 1.1, timeout_s=0.6), Admit)


def test_returns_are_spread_by_the_rate_of_the_fleet(controller):
    # Guards against an entry that spreads returns as if a whole place were its own.
    receive_counts(controller, 4 * PLACES, 200.0, 1.0)
    waits_s = [offer(controller, n, 1.01, timeout_s=60.0).retry_after_s for n in (1, 2)]
    assert waits_s[0] >= RETRY_AFTER_MIN_S
    receive_counts(controller, PLACES, 200.0, 1.3)
    effects = [offer(controller, n, 1.31, timeout_s=60.0) for n in range(3, 40)]
    waits_s += [e.retry_after_s for e in effects if isinstance(e, Refuse)]
    assert max(waits_s) > 10.0


def test_only_a_controller_that_lends_reports_flows(controller):
    assert controller.flows(1.0) == [ServiceFlow("s", 0.0, 0.0)]
    divides = AdmissionController(random.Random(1))
    divides.configure({"w": 1.0}, {"s": ServiceLimits()})
    assert divides.flows(1.0) == []
