"""Slots of cold endpoints: their number, who holds them, and what a holder may send."""

import math

import pytest

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.cold_bound import ColdBound, SlotPlan
from chestnutvale.rate_limits.const import COLD_WINDOW_S, SLOT_EXPIRY_MARGIN_S
from chestnutvale.rate_limits.coordinator import RateLimitCoordinator
from chestnutvale.rate_limits.division import EndpointPlace
from chestnutvale.rate_limits.send_budget import SendBudget
from chestnutvale.rate_limits.slot_ledger import ColdEndpoint
from chestnutvale.rate_limits.statements import RateStatement

ENDPOINT = Incarnation("h", "b")
PLACES = {ENDPOINT: EndpointPlace("llm", "dc-1")}
COLD = {ENDPOINT: ColdEndpoint(PLACES[ENDPOINT], SlotPlan(4, 2.0))}
LEASE_S = 2.0
ENTRIES = {f"e{n}": f"dc-{n % 3}" for n in range(12)}
LATER_S = LEASE_S + SLOT_EXPIRY_MARGIN_S + 0.1


def make_coordinator(started_at_s=0.0):
    coordinator = RateLimitCoordinator()
    coordinator.begin_term(started_at_s, LEASE_S)
    return coordinator


def refresh(coordinator, now_s, entries=ENTRIES, cold=COLD):
    coordinator.refresh(entries, PLACES, now_s, cold, entries)


def count_slots(coordinator):
    return {
        name: coordinator.cold_shares(name)[ENDPOINT].count
        for name in ENTRIES
        if coordinator.cold_shares(name)
    }


@pytest.mark.parametrize("rate_per_s", [0.3, 1.0, 4.0, 17.0, 90.0])
@pytest.mark.parametrize("factor", [1.0, 1.5, 2.0])
@pytest.mark.parametrize("burst", [0.0, 1.0, 5.0])
def test_slots_keep_the_bound_in_any_window(rate_per_s, factor, burst):
    # Guards against rates and bursts that add up to more than the bound.
    bound = ColdBound(factor, burst)
    plan = bound.plan_slots(rate_per_s)
    worst = plan.count * math.floor(1.0 + plan.rate_per_s * COLD_WINDOW_S)
    assert worst <= bound.requests(rate_per_s)
    assert plan.count * plan.rate_per_s <= rate_per_s + 1e-9
    assert bool(plan.count) == (bound.requests(rate_per_s) >= 1.0)


def test_slots_of_the_first_deployment_have_the_whole_rate():
    # Guards against a division that wastes what a cold endpoint takes.
    plan = ColdBound(1.5, 5.0).plan_slots(17.0)
    assert plan.count * plan.rate_per_s == pytest.approx(17.0)
    assert plan.count >= 8


def test_slots_go_to_as_many_entries_as_there_are_slots():
    coordinator = make_coordinator()
    refresh(coordinator, LATER_S)
    assert set(count_slots(coordinator).values()) == {1}
    assert len(count_slots(coordinator)) == 4


def test_a_few_entries_hold_all_slots():
    coordinator = make_coordinator()
    refresh(coordinator, LATER_S, {"e0": "dc-1", "e1": "dc-1", "e2": "dc-2"})
    assert sorted(count_slots(coordinator).values()) == [1, 1, 2]


def test_a_slot_moves_only_after_its_holder_has_acknowledged():
    # Guards against two entries that spend the same slot at once.
    coordinator = make_coordinator()
    refresh(coordinator, LATER_S)
    gone, *_ = count_slots(coordinator)
    coordinator.record_slots(gone, coordinator.version, {ENDPOINT: 1}, LATER_S)
    others = {name: place for name, place in ENTRIES.items() if name != gone}
    refresh(coordinator, LATER_S + 0.1, others)
    assert sum(count_slots(coordinator).values()) == 3
    old_version = coordinator.version - 1
    coordinator.record_slots(gone, old_version, {ENDPOINT: 1}, LATER_S + 0.2)
    refresh(coordinator, LATER_S + 0.3, others)
    assert sum(count_slots(coordinator).values()) == 3
    coordinator.record_slots(gone, coordinator.version, {}, LATER_S + 0.4)
    refresh(coordinator, LATER_S + 0.5, others)
    assert sum(count_slots(coordinator).values()) == 4


def test_a_slot_of_a_silent_entry_moves_once_its_lease_has_ended():
    coordinator = make_coordinator()
    refresh(coordinator, LATER_S)
    gone, *_ = count_slots(coordinator)
    coordinator.record_slots(gone, coordinator.version, {ENDPOINT: 1}, LATER_S)
    others = {name: place for name, place in ENTRIES.items() if name != gone}
    refresh(coordinator, LATER_S + LEASE_S, others)
    assert sum(count_slots(coordinator).values()) == 3
    refresh(coordinator, 2 * LATER_S + 0.1, others)
    assert sum(count_slots(coordinator).values()) == 4


def test_an_endpoint_that_turns_cold_again_does_not_grant_held_slots_twice():
    # Guards against an entry that is cut off and still uses the slot of the last time.
    coordinator = make_coordinator()
    refresh(coordinator, LATER_S)
    for name in ENTRIES:
        coordinator.record_slots(name, coordinator.version, {}, LATER_S)
    refresh(coordinator, LATER_S + 0.1, cold={})
    assert not count_slots(coordinator)
    refresh(coordinator, LATER_S + 0.2)
    assert not count_slots(coordinator)


def test_a_new_leader_takes_over_slots_and_waits_before_it_grants_others():
    # Guards against a new leader that grants slots which unheard entries still hold.
    coordinator = make_coordinator(started_at_s=10.0)
    coordinator.record_slots("e3", 0, {ENDPOINT: 1}, 10.1)
    refresh(coordinator, 10.2)
    assert count_slots(coordinator) == {"e3": 1}
    for name in ENTRIES:
        held = {ENDPOINT: 1} if name == "e3" else {}
        coordinator.record_slots(name, coordinator.version, held, 10.0 + LATER_S)
    refresh(coordinator, 10.0 + LATER_S)
    assert count_slots(coordinator)["e3"] == 1
    assert sum(count_slots(coordinator).values()) == 4


def test_an_endpoint_that_became_cold_in_a_leaders_own_time_is_used_at_once():
    # Guards against a fleet that leaves cold endpoints unused after each election.
    coordinator = make_coordinator(started_at_s=10.0)
    item = COLD[ENDPOINT]
    for since_s, count in ((9.9, 0), (10.1, 4)):
        cold = {ENDPOINT: ColdEndpoint(item.place, item.plan, since_s)}
        refresh(coordinator, 10.5, cold=cold)
        assert sum(count_slots(coordinator).values()) == count


def test_slots_are_kept_for_entries_that_may_not_know_that_it_is_cold():
    # Guards against entries that are cut off and still take the endpoint for an
    # ordinary one, beside holders of all slots.
    coordinator = make_coordinator()
    for name in ENTRIES:
        coordinator.record_slots(name, coordinator.version, {}, 10.0)
    refresh(coordinator, 10.0, cold={})
    refresh(coordinator, 10.1)
    assert not count_slots(coordinator)
    reached = [name for name, place in ENTRIES.items() if place != "dc-0"]
    for name in reached:
        coordinator.record_slots(name, coordinator.version, {}, 10.4)
    refresh(coordinator, 10.5)
    assert sum(count_slots(coordinator).values()) == 3
    assert coordinator.ledger.has_pending
    # The leases of the others have ended.
    refresh(coordinator, 10.0 + LATER_S)
    assert sum(count_slots(coordinator).values()) == 4
    assert not coordinator.ledger.has_pending


def test_an_endpoint_that_appears_cold_is_used_at_once():
    # Guards against a delay where no entry can take it for an ordinary one.
    coordinator = make_coordinator()
    for name in ENTRIES:
        coordinator.record_slots(name, coordinator.version, {}, 10.0)
    coordinator.refresh(ENTRIES, {}, 10.0, {}, ENTRIES)
    refresh(coordinator, 10.1)
    assert sum(count_slots(coordinator).values()) == 4


def test_the_record_of_entries_that_are_gone_is_forgotten():
    # Guards against memory that grows with each entry that was ever there.
    coordinator = make_coordinator()
    for number in range(50):
        now_s = 10.0 * number
        version = coordinator.version
        coordinator.record_slots(f"gone-{number}", version, {}, now_s)
        refresh(coordinator, now_s, cold={})
    assert len(coordinator.ledger._acknowledged) <= 1


def test_a_late_report_brings_no_slot_back():
    coordinator = make_coordinator()
    coordinator.record_slots("e3", 0, {ENDPOINT: 1}, 0.1)
    refresh(coordinator, 0.2, cold={})
    coordinator.record_slots("e3", coordinator.version, {}, 0.3)
    coordinator.record_slots("e3", 0, {ENDPOINT: 1}, 0.4)
    refresh(coordinator, 0.5)
    assert not count_slots(coordinator)


def test_an_entry_without_a_known_share_sends_nothing_to_a_cold_endpoint():
    budget = SendBudget()
    assert budget.may_send(ENDPOINT, 0.0)
    budget.set_cold([ENDPOINT], 0.0)
    assert budget.next_send_s(ENDPOINT, 5.0) == math.inf
    budget.install([], {}, 5.0, {ENDPOINT: SlotPlan(1, 2.0)})
    assert not budget.may_send(ENDPOINT, 5.4)
    assert budget.may_send(ENDPOINT, 5.6)
    budget.set_cold([], 6.0)
    assert not budget.is_limited(ENDPOINT)


def test_a_slot_saves_no_more_than_one_request():
    budget = SendBudget()
    budget.set_cold([ENDPOINT], 0.0)
    budget.install([], {}, 0.0, {ENDPOINT: SlotPlan(1, 2.0)})
    assert budget.may_send(ENDPOINT, 60.0)
    budget.record_sent(ENDPOINT, 60.0)
    assert not budget.may_send(ENDPOINT, 60.4)


def test_a_cold_endpoint_that_names_a_limit_gets_the_lower_of_both():
    coordinator = make_coordinator()
    statement = RateStatement(ENDPOINT, 3.0, LATER_S)
    coordinator.merge([statement])
    refresh(coordinator, LATER_S)
    stated = [coordinator.share_per_s(ENDPOINT, name) for name in ENTRIES]
    assert sum(stated) == pytest.approx(3.0)
    budgets = {}
    for name in ENTRIES:
        budget = budgets[name] = SendBudget()
        budget.set_cold([ENDPOINT], LATER_S)
        share_per_s = coordinator.share_per_s(ENDPOINT, name)
        budget.install(
            [statement],
            {ENDPOINT: share_per_s},
            LATER_S,
            coordinator.cold_shares(name),
        )
    total = sum(budget.share_per_s(ENDPOINT) for budget in budgets.values())
    assert total == pytest.approx(3.0)
