"""Tests of admission while a new leader has yet to hear from groups."""

import random

import attrs
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

ENTRIES = 10
SLOTS = 10
DEADLINE_S = 5.0
TARGET_S = 0.2


class Fleet:
    """Entries that install views of a new leader, and calls spread over them."""

    def __init__(self, awaited, entries=ENTRIES, slots=SLOTS):
        self.controllers = []
        for number in range(entries):
            controller = AdmissionController(random.Random(number))
            controller.configure(
                {"a": 1.0}, {"llm": ServiceLimits(slots_per_group=slots)}
            )
            controller.set_entry_count(entries)
            self.controllers.append(controller)
        self.effects = {}
        self.install(ServiceCapacity(0, 0, awaited_groups=awaited), 0.0)

    def install(self, capacity, now_s):
        for controller in self.controllers:
            controller.set_capacity("llm", capacity, now_s)
            self._note(controller.tick(now_s))

    def offer(self, count, now_s):
        for number in range(count):
            controller = self.controllers[number % len(self.controllers)]
            request = AdmissionRequest(
                f"{now_s}-{number}",
                "llm",
                "a",
                "normal",
                10,
                10,
                now_s + DEADLINE_S,
                start_by_s=now_s + TARGET_S,
            )
            self._note(controller.offer(request, now_s))

    def _note(self, effects):
        self.effects.update((effect.request_id, effect) for effect in effects)

    def count(self, kind):
        return sum(isinstance(effect, kind) for effect in self.effects.values())


def make_capacity(groups, awaited):
    return ServiceCapacity(groups, 0, awaited_groups=awaited)


@pytest.mark.parametrize(("groups", "slots"), [(8, 10), (20, 13), (40, 4)])
def test_calls_wait_while_a_view_arrives_in_pieces(groups, slots):
    """Callers are refused although their groups are about to appear."""
    fleet = Fleet(groups, slots=slots)
    places = groups * slots
    fleet.offer(places // 2, 0.0)
    for known in range(1, groups + 1):
        fleet.install(make_capacity(known, groups - known), 0.5 * known / groups)
    assert fleet.count(Refuse) == 0
    assert fleet.count(Admit) == places // 2


def test_more_calls_than_the_awaited_groups_can_run_are_refused_at_once():
    fleet = Fleet(4)
    fleet.offer(100 * SLOTS, 0.0)
    assert fleet.count(Queue) <= 4 * SLOTS + ENTRIES
    assert fleet.count(Refuse) >= 100 * SLOTS - 4 * SLOTS - ENTRIES


def test_calls_are_refused_once_the_awaited_groups_are_lost():
    """A fleet that really lost all groups but one holds its callers."""
    fleet = Fleet(8)
    fleet.offer(6 * SLOTS, 0.0)
    fleet.install(make_capacity(1, 7), 0.3)
    assert fleet.count(Refuse) == 0
    fleet.install(make_capacity(1, 0), 1.0)
    assert fleet.count(Queue) == 0
    assert fleet.count(Admit) + fleet.count(Refuse) == 6 * SLOTS
    fleet.offer(6 * SLOTS, 1.1)
    assert fleet.count(Refuse) > 6 * SLOTS


def test_nothing_runs_before_a_group_is_known():
    fleet = Fleet(8)
    fleet.offer(ENTRIES, 0.0)
    for controller in fleet.controllers:
        assert controller.tick(0.1) == []
    assert fleet.count(Admit) == 0


def test_deadline_ends_the_wait_for_awaited_groups():
    fleet = Fleet(8)
    fleet.offer(1, 0.0)
    (refusal,) = fleet.controllers[0].tick(DEADLINE_S)
    assert refusal.code == "deadline_exceeded"


def test_entry_that_joins_an_old_leader_refuses_at_once():
    fleet = Fleet(0)
    fleet.offer(1, 0.0)
    assert attrs.asdict(fleet.effects["0.0-0"])["code"] == "no_capacity"
