"""Tests that any entry may use the slots that other entries leave free."""

import random

import pytest

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Demand,
    ServiceCapacity,
    ServiceLimits,
)

GROUPS = 4
SLOTS_PER_GROUP = 9


@pytest.fixture
def controller():
    """Return the controller of one of 13 entries with equal demand."""
    made = AdmissionController(random.Random(5))
    made.configure({"w": 1.0}, {"s": ServiceLimits(slots_per_group=SLOTS_PER_GROUP)})
    made.set_entry_count(13)
    made.set_demand([Demand("s", "w", 2)], [Demand("s", "w", 26)])
    made.set_capacity("s", ServiceCapacity(GROUPS, 0), 0.0)
    return made


def admit(controller, count, now_s):
    effects = []
    for number in range(count):
        request = AdmissionRequest(
            f"r{now_s}-{number}", "s", "w", "normal", 0, 100, now_s + 8.0, now_s + 0.3
        )
        effects += controller.offer(request, now_s)
    return sum(isinstance(effect, Admit) for effect in effects)


def test_entry_keeps_to_its_share_without_peer_counts(controller):
    assert admit(controller, 20, 0.1) < 8


def test_burst_at_one_entry_uses_slots_free_at_others(controller):
    controller.set_peer_running("s", 12, 0.0)
    admitted = admit(controller, 40, 0.1)
    assert 18 <= admitted <= GROUPS * SLOTS_PER_GROUP - 12


def test_load_of_peers_leaves_at_least_the_own_share(controller):
    controller.set_peer_running("s", 100, 0.0)
    assert admit(controller, 20, 0.1) >= 1


def test_expired_peer_counts_are_ignored(controller):
    controller.set_peer_running("s", 0, 0.0)
    controller.set_capacity("s", ServiceCapacity(GROUPS, 0), 2.0)
    assert admit(controller, 20, 2.1) < 8
