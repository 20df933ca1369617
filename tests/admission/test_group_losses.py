"""Plays losses of groups and checks what callers get."""

from benchmarks.admission_group_losses import StalledCountedRouter, draw_scenario
from benchmarks.models.entry_fleet import EntryFleet, Outcome
from chestnutvale.programs.entry.group_router import GroupRouter

SEEDS = 6


def play(make_router, utilisation):
    total = Outcome()
    for seed in range(SEEDS):
        scenario = draw_scenario(seed, utilisation)
        total.add(EntryFleet(scenario, seed, make_router).run())
    return total


def test_calls_are_not_admitted_for_groups_that_stalled():
    """Calls for a stalled group queue inside the engines of the others, and are late.

    Load: 6 to 24 entries before 4 to 12 groups, which are asked for as much as they can
    run; every 2 to 5 s one of them is lost, and replaced after 4 s.
    """
    counted = play(StalledCountedRouter, 1.0)
    chosen = play(GroupRouter, 1.0)
    assert chosen.in_time > counted.in_time
    assert chosen.value_share > counted.value_share
