"""Groups whose endpoints limit the rate of requests are no places to share."""

import random

from chestnutvale.admission.const import CODE_NO_CAPACITY
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    LimitedGroups,
    ServiceCapacity,
    ServiceLimits,
)

SLOTS = 6
HOLD_S = 0.5
MANY_REQUESTS = 100


def make_controller(entry_count=12):
    controller = AdmissionController(random.Random(3))
    controller.configure({"w": 1.0}, {"s": ServiceLimits(slots_per_group=SLOTS)})
    controller.set_capacity("s", ServiceCapacity(1, 0), 90.0)
    for number in range(50):
        controller.offer(make_request(f"warm-up-{number}"), 90.0)
        controller.release(f"warm-up-{number}", 0, 90.0 + HOLD_S)
    controller.set_entry_count(entry_count)
    return controller


def make_request(request_id):
    return AdmissionRequest(request_id, "s", "w", "normal", 0, 0, 108.0, 100.3)


def count_admitted(controller, capacity):
    controller.set_capacity("s", capacity, 100.0)
    effects = [
        controller.offer(make_request(f"r{number}"), 100.0)[-1]
        for number in range(MANY_REQUESTS)
    ]
    return sum(isinstance(effect, Admit) for effect in effects)


def test_a_share_admits_what_it_keeps_busy():
    limited = LimitedGroups(count=3, share_per_s=8.0)
    admitted = count_admitted(make_controller(), ServiceCapacity(0, 0, limited=limited))
    assert 8.0 * HOLD_S - 1 <= admitted <= 8.0 * HOLD_S + 1


def test_a_large_share_admits_no_more_than_the_places_of_its_groups():
    limited = LimitedGroups(count=2, share_per_s=1_000.0)
    admitted = count_admitted(make_controller(), ServiceCapacity(0, 0, limited=limited))
    assert admitted <= 2 * SLOTS


def test_a_share_adds_to_the_part_of_the_other_groups():
    controller = make_controller(entry_count=1)
    limited = LimitedGroups(count=1, share_per_s=4.0)
    admitted = count_admitted(controller, ServiceCapacity(2, 0, limited=limited))
    assert 2 * SLOTS + 1 <= admitted <= 2 * SLOTS + 3


def test_without_a_share_in_any_limit_calls_are_refused_at_once():
    controller = make_controller()
    limited = LimitedGroups(count=3, share_per_s=0.0)
    controller.set_capacity("s", ServiceCapacity(0, 0, limited=limited), 100.0)
    (refusal,) = controller.offer(make_request("r"), 100.0)
    assert refusal.code == CODE_NO_CAPACITY
    assert 0.0 < refusal.retry_after_s < 1.0
