"""Tests that refused requests count as demand of an overloaded service."""

import pytest

from chestnutvale.admission.demand import DemandTable
from chestnutvale.admission.messages import ServiceCapacity, ServiceLimits
from chestnutvale.admission.refused_demand import RefusedDemand
from chestnutvale.admission.wire import from_messages, to_messages


def run_load(controller, make_request, rate_per_s, hold_s, until_s):
    """Offer requests that are refused unless a slot is free; return the demand."""
    ends = []
    for number in range(int(rate_per_s * until_s)):
        now_s = number / rate_per_s
        while ends and ends[0][0] <= now_s:
            end_s, request_id = ends.pop(0)
            controller.release(request_id, 0, end_s)
        controller.tick(now_s)
        name = f"r{number}"
        request = make_request(name, start_by_s=now_s)
        effects = controller.offer(request, now_s)
        if any(type(e).__name__ == "Admit" for e in effects):
            ends.append((now_s + hold_s, name))
    return sum(d.tokens + d.refused_tokens for d in controller.demand())


@pytest.fixture
def make_slot_limited(make_controller):
    def make():
        controller = make_controller(
            capacity=0, limits=ServiceLimits(slots_per_group=4)
        )
        controller.set_capacity("llm", ServiceCapacity(1, 0), 0.0)
        return controller

    return make


@pytest.mark.parametrize("factor", [2, 4])
def test_demand_shows_how_far_a_load_is_above_the_capacity(
    make_slot_limited, make_request, factor
):
    controller = make_slot_limited()
    slots, hold_s = 4, 1.0
    controller._services["llm"].hold_times.hold_s = hold_s
    demand = run_load(controller, make_request, factor * slots, hold_s, 10.0)
    assert demand == pytest.approx(factor * slots, rel=0.35)


def test_refusals_are_forgotten_when_the_load_ends(make_slot_limited, make_request):
    controller = make_slot_limited()
    run_load(controller, make_request, 16, 1.0, 4.0)
    controller.tick(10.0)
    assert sum(d.refused_tokens for d in controller.demand()) == 0


def test_mean_held_tokens_scale_with_hold_time():
    refused = RefusedDemand(window_s=2.0)
    for number in range(8):
        refused.record_refusal("a", 1, number * 0.2)
    assert refused.mean_held_tokens(hold_s=1.0)["a"] == 4
    assert refused.mean_held_tokens(hold_s=0.5)["a"] == 2
    refused.forget_old(5.0)
    assert not refused.mean_held_tokens(1.0)


def test_refused_demand_is_summed_over_entries(make_slot_limited, make_request):
    table = DemandTable()
    for entry in ("e1", "e2"):
        controller = make_slot_limited()
        run_load(controller, make_request, 16, 1.0, 4.0)
        sent = to_messages(controller.demand())
        table.record_report(entry, from_messages(sent), 4.0)
        own = sum(d.refused_tokens for d in controller.demand())
    assert own > 0
    assert sum(d.refused_tokens for d in table.totals(4.0)) == 2 * own
