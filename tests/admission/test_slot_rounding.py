"""Tests that rounding lets many entries use all slots of a small capacity."""

import random

import pytest

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)
from chestnutvale.admission.slot_rounding import SlotRounding

SLOTS = 6


def run_overload(groups, entries, seed):
    """Overload every entry; return the numbers of admitted and refused requests."""
    admitted = refused = 0
    for number in range(entries):
        controller = AdmissionController(random.Random(seed * 1000 + number))
        limits = ServiceLimits(slots_per_group=SLOTS)
        controller.configure({"a": 1.0, "b": 1.0}, {"llm": limits})
        controller.set_entry_count(entries)
        controller.set_capacity("llm", ServiceCapacity(groups, 0), 0.0)
        for call in range(groups * SLOTS):
            request = AdmissionRequest(
                f"r{call}", "llm", "a", "normal", 1, 1, deadline_s=9.0, start_by_s=0.1
            )
            effects = controller.offer(request, 0.1)
            admitted += sum(isinstance(effect, Admit) for effect in effects)
            refused += sum(isinstance(effect, Refuse) for effect in effects)
    return admitted, refused


@pytest.mark.parametrize("groups", [3, 4, 7])
def test_entries_together_use_a_small_capacity(groups):
    entries = 12
    rounds = [run_overload(groups, entries, seed) for seed in range(20)]
    assert all(refused for _, refused in rounds)
    mean = sum(admitted for admitted, _ in rounds) / len(rounds)
    whole_slots = groups * SLOTS
    # Rounding down would use 12 of 18 slots with 3 groups, and 36 of 42 with 7.
    assert 0.95 * whole_slots <= mean <= 1.05 * whole_slots
    # The rounding of each entry changes the sum by less than one slot.
    assert all(abs(admitted - whole_slots) <= entries / 2 for admitted, _ in rounds)


def test_any_positive_share_gets_a_slot():
    rounding = SlotRounding(random.Random(5))
    assert rounding.whole_slots(0.2) == 1.0
    assert rounding.whole_slots(0.0) == 0.0


def test_rounding_alternates_over_time():
    rounding = SlotRounding(random.Random(5))
    seen = []
    for number in range(200):
        rounding.redraw(number * rounding.interval_s)
        seen.append(rounding.whole_slots(1.7))
    assert set(seen) == {1.0, 2.0}
    assert sum(seen) / len(seen) == pytest.approx(1.7, abs=0.1)
