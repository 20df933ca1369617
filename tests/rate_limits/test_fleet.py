"""What endpoints with a limit get from all entries together."""

import pytest

from tests.rate_limits.fleet import Fleet

SEEDS = range(3)
LIMITS_PER_S = [0.4, 1.2, 2.3, 9.0]


def allowed(limit_per_s):
    """Return the requests that the rule allows in 4 s."""
    return 1.5 * 4.0 * limit_per_s + 5.0


@pytest.mark.parametrize("limit_per_s", LIMITS_PER_S)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_fleet_under_load_keeps_and_uses_the_limits(seed, limit_per_s):
    fleet = Fleet(seed, limit_per_s=limit_per_s, demand_per_s=4 * limit_per_s + 4)
    fleet.run(20.0)
    assert fleet.most_in_window() <= allowed(limit_per_s)
    used = fleet.arrivals_between(6.0, 20.0) / 14.0 / len(fleet.endpoints)
    assert used >= 0.75 * limit_per_s


@pytest.mark.parametrize("limit_per_s", LIMITS_PER_S)
@pytest.mark.parametrize("seed", SEEDS)
def test_changes_of_leader_keep_the_limits(seed, limit_per_s):
    fleet = Fleet(seed, limit_per_s=limit_per_s, demand_per_s=4 * limit_per_s + 4)
    for moment_s in (7.0, 11.0, 15.0):
        fleet.run(moment_s)
        fleet.change_leader(gap_s=1.0)
    fleet.run(20.0)
    assert fleet.most_in_window() <= allowed(limit_per_s)


@pytest.mark.parametrize("limit_per_s", LIMITS_PER_S)
@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_restart_in_turn_keep_the_limits(seed, limit_per_s):
    fleet = Fleet(seed, limit_per_s=limit_per_s, demand_per_s=4 * limit_per_s + 4)
    for number, entry in enumerate(fleet.entries):
        fleet.run(5.0 + 1.2 * number)
        fleet.stop(entry, down_s=1.0)
    fleet.run(20.0)
    assert fleet.most_in_window() <= allowed(limit_per_s)


def test_the_rate_returns_when_the_limit_ends():
    fleet = Fleet(1, limit_per_s=1.0, demand_per_s=8)
    fleet.limited_until_s = 15.0
    fleet.run(25.0)
    assert fleet.arrivals_between(18.0, 25.0) / 7.0 / 3 > 6.0
