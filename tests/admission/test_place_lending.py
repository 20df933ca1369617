"""Tests that the places of a service are lent to whichever entry has callers."""

import random

import pytest

from benchmarks.models.fleet import Fleet, FleetSimulation
from benchmarks.models.fleet_load import FleetLoad
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import Demand
from chestnutvale.admission.place_lending import PlaceLending
from chestnutvale.admission.service_flow import FlowTable, ServiceFlow
from chestnutvale.admission.wire import (
    from_flow_messages,
    from_messages,
    to_flow_messages,
    to_messages,
)
from chestnutvale.schema import peer_pb2

WEIGHTS = {"a": 1.0, "b": 1.0}
PLACES = 40.0
HOLD_S = 0.5
ENTRIES = 126


def make_lending(running=PLACES, offered_per_s=160.0, rates=None, seed=1):
    """Return lending after counts of a fleet that runs calls of half a second."""
    lending = PlaceLending(random.Random(seed))
    lending.set_fleet_rates(rates or {"a": (80.0, 0.0, 0.0), "b": (80.0, 0.0, 0.0)})
    flow = ServiceFlow("s", offered_per_s, running / HOLD_S)
    lending.update(PLACES, running, flow, ENTRIES, WEIGHTS, 0.9, 10.0)
    return lending


@pytest.mark.parametrize("callers", [1, 12, ENTRIES])
def test_the_sum_over_all_entries_does_not_depend_on_where_callers_are(callers):
    # Guards against a fleet in which each entry fills all free places by itself, or
    # in which only those entries may fill them that own them.
    entries = [make_lending(seed=seed) for seed in range(callers)]
    interval_s = ENTRIES / 400
    calls = round(160.0 * interval_s)
    admitted = sum(entries[n % callers].draw("a", "urgent") for n in range(calls))
    room = PLACES / HOLD_S * interval_s
    assert room / 2 < admitted < 1.5 * room


def test_one_entry_does_not_exceed_the_room_of_the_fleet():
    # Guards against a burst at one entry that the others have not seen.
    lending = make_lending(running=0.0, offered_per_s=0.0)
    admitted = sum(lending.draw("a", "urgent") for _ in range(500))
    assert 0 < admitted <= PLACES


def test_overfilled_groups_get_no_more_calls():
    assert make_lending(running=4 * PLACES).chance("a", "urgent") == 0.0


def test_a_burst_is_borne_by_its_workspace():
    rates = {"a": (150.0, 0.0, 0.0), "b": (10.0, 0.0, 0.0)}
    lending = make_lending(rates=rates)
    assert lending.chance("b", "urgent") == 1.0
    assert lending.chance("a", "urgent") < 0.6


def test_more_urgent_calls_of_a_workspace_come_first():
    rates = {"a": (60.0, 50.0, 50.0)}
    lending = make_lending(rates=rates)
    chances = [lending.chance("a", name) for name in ("urgent", "normal", "batch")]
    assert chances == sorted(chances, reverse=True)
    assert chances[0] == 1.0
    assert chances[2] == 0.0


def test_lending_ends_when_counts_are_too_old():
    lending = make_lending(running=4 * PLACES)
    assert lending.is_valid(11.1)
    lending.refresh(11.1)
    # The groups were overfilled; by now only the rate at which places end counts.
    assert 0.3 < lending.chance("a", "urgent") < 1.0
    assert not lending.is_valid(11.3)


def test_flows_of_silent_entries_expire():
    table = FlowTable()
    table.record_flows("e1", [ServiceFlow("s", 2.0, 1.0)], 0.0)
    table.record_flows("e2", [ServiceFlow("s", 3.0, 1.0)], 1.0)
    assert table.totals(1.1) == [ServiceFlow("s", 5.0, 2.0)]
    assert table.totals(2.0) == [ServiceFlow("s", 3.0, 1.0)]


def test_rates_survive_the_messages_unless_they_are_invalid():
    demand = Demand("s", "a", 3, 2, 1, (4.0, 0.5, 0.0))
    assert from_messages(to_messages([demand])) == [demand]
    flow = ServiceFlow("s", 4.0, 0.5)
    assert from_flow_messages(to_flow_messages([flow])) == [flow]
    broken = peer_pb2.ServiceFlow(
        service="s", offered_per_s=float("nan"), admitted_per_s=-1.0
    )
    assert from_flow_messages([broken]) == [ServiceFlow("s", 0.0, 0.0)]


def run_fleet(lends_places, leaderless=(0.0, 0.0)):
    fleet = Fleet(26, 3, 10, leaderless)
    calls = FleetLoad(0.9 * fleet.capacity, 10.0, (4.0, 8.0), "w3").make_calls(
        random.Random(5)
    )

    def make_controller(rng):
        return AdmissionController(rng, lends_places=lends_places)

    simulation = FleetSimulation(fleet, calls, make_controller, 5).run()
    return calls, simulation.counters


def test_callers_are_not_refused_by_an_entry_with_one_place_while_places_are_free():
    # Guards against the limit of one place at which 26 entries refused calls.
    _, before = run_fleet(lends_places=False)
    calls, after = run_fleet(lends_places=True)
    assert before.refused_at_one_while_free > 0
    assert after.refused_at_one_while_free <= before.refused_at_one_while_free / 4
    assert all(call.outcome for call in calls)


def test_every_call_is_decided_while_no_control_leads():
    calls, _ = run_fleet(lends_places=True, leaderless=(3.0, 6.0))
    assert all(call.outcome for call in calls)
