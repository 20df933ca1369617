"""What cold endpoints get from all entries together in any second."""

import pytest

from tests.rate_limits.cold_fleet import BOUND, COLD_PER_S, ColdFleet

ALLOWED = BOUND.requests(COLD_PER_S)
SLOTS = BOUND.plan_slots(COLD_PER_S).count
SIZES = [24, 126]
SEEDS = range(6)


def draw_faults(fleet, count=40):
    """Draw faults of entries, leaders and endpoints over 20 s."""
    rng = fleet.rng
    for _ in range(count):
        entry = rng.choice(fleet.entries)
        kind = rng.choice([fleet.stop, fleet.cut, fleet.pause])
        fleet.after(rng.uniform(2.0, 20.0), kind, entry, rng.uniform(0.1, 4.0))
    for _ in range(2):
        gap_s = rng.uniform(0.3, 1.5)
        fleet.after(rng.uniform(3.0, 18.0), fleet.change_leader, gap_s)
    for endpoint in fleet.endpoints[5:]:
        for _ in range(2):
            fleet.after(rng.uniform(3.0, 18.0), fleet.turn_cold, endpoint)
    for moment_s in (4.0, 11.0):
        fleet.after(moment_s, fleet.lose, fleet.endpoints[:5], 3.0)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seed", SEEDS)
def test_any_second_stays_within_the_bound_under_faults(seed, size):
    # Guards against shares that two entries hold at once and against entries that take
    # a cold group for an ordinary one.
    fleet = ColdFleet(seed, size)
    draw_faults(fleet)
    fleet.run(24.0)
    assert fleet.most_in_a_second() <= ALLOWED
    assert fleet.most_slots <= SLOTS


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_fleet_without_warm_endpoints_stays_within_the_bound(seed, size):
    # Guards against waiting calls that spend all tokens at the same moments.
    fleet = ColdFleet(seed, size, endpoints=5, demand_per_s=400, waits=True)
    draw_faults(fleet, count=20)
    fleet.run(24.0)
    assert fleet.most_in_a_second() <= ALLOWED
    assert fleet.most_slots <= SLOTS


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_are_cut_off_are_part_of_the_bound(seed, size):
    # Guards against a data centre of entries that still take a cold endpoint for an
    # ordinary one, beside the holders of all slots.
    fleet = ColdFleet(seed, size, endpoints=5, demand_per_s=400, waits=True)
    fleet.run(6.0)
    for entry in fleet.entries:
        if entry.data_centre == "dc-0":
            fleet.cut(entry, 3.5)
    fleet.run(6.1)
    for endpoint in fleet.endpoints[:3]:
        fleet.turn_cold(endpoint)
    fleet.run(12.0)
    assert 0 < fleet.most_in_a_second() <= ALLOWED


@pytest.mark.parametrize(("size", "least"), [(24, 0.75), (126, 0.4)])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_cold_endpoint_is_used_while_others_have_room(seed, size, least):
    # Guards against shares that stay unused. With 126 entries, a holder of a slot gets
    # about as many calls as tokens, and a token that finds no call is lost.
    fleet = ColdFleet(seed, size, demand_per_s=14 * COLD_PER_S)
    fleet.run(4.0)
    fleet.lose(fleet.endpoints[:2], 2.0)
    fleet.run(10.0)
    assert fleet.used_per_s() >= least * COLD_PER_S


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seed", SEEDS)
def test_cold_endpoints_are_used_fully_when_calls_wait(seed, size):
    # Guards against a bound that is kept by sending too little.
    fleet = ColdFleet(seed, size, endpoints=5, demand_per_s=8 * size, waits=True)
    fleet.run(4.0)
    fleet.lose(fleet.endpoints, 2.0)
    fleet.run(10.0)
    assert 0.8 * COLD_PER_S <= fleet.used_per_s() <= 1.1 * COLD_PER_S
