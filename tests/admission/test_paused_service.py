"""A service whose groups all pause refuses at once and spreads the returns."""

import random

import pytest

from chestnutvale.admission.const import CODE_NO_CAPACITY
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)

SLOTS = 6
CALLERS = 60
RETURNS_AT_S = 103.0
HOLD_S = 0.5


@pytest.fixture
def controller():
    made = AdmissionController(random.Random(3))
    made.configure({"w": 1.0}, {"s": ServiceLimits(slots_per_group=SLOTS)})
    made.set_capacity("s", ServiceCapacity(1, 0), 99.0)
    for number in range(50):
        made.offer(make_request(f"warm-up-{number}", 99.0), 99.0)
        made.release(f"warm-up-{number}", 0, 99.0 + HOLD_S)
    made.set_capacity("s", ServiceCapacity(0, 0, returns_at_s=RETURNS_AT_S), 100.0)
    return made


def make_request(request_id, now_s):
    return AdmissionRequest(
        request_id, "s", "w", "normal", 0, 0, now_s + 8.0, now_s + 0.3
    )


def refuse_all(controller, now_s):
    effects = [
        controller.offer(make_request(f"r{number}", now_s), now_s)[-1]
        for number in range(CALLERS)
    ]
    assert all(isinstance(effect, Refuse) for effect in effects)
    return effects


def test_callers_are_refused_at_once_until_the_return(controller):
    effects = refuse_all(controller, 100.0)
    assert {effect.code for effect in effects} == {CODE_NO_CAPACITY}
    assert min(effect.retry_after_s for effect in effects) >= RETURNS_AT_S - 100.0


def test_returns_fit_what_the_service_can_run(controller):
    returns_s = sorted(
        100.0 + effect.retry_after_s for effect in refuse_all(controller, 100.0)
    )
    # In no half second come more callers back than slots twice over.
    for start_s in returns_s:
        count = sum(start_s <= other_s < start_s + HOLD_S for other_s in returns_s)
        assert count <= 2 * SLOTS


def test_callers_are_admitted_after_the_return(controller):
    controller.set_capacity("s", ServiceCapacity(1, 0), RETURNS_AT_S)
    effects = controller.offer(make_request("back", RETURNS_AT_S), RETURNS_AT_S)
    assert isinstance(effects[-1], Admit)
