"""Plays losses of groups and checks what callers get."""

from benchmarks.admission_group_losses import (
    StalledCountedRouter,
    TargetIgnoredAdmission,
    draw_scenario,
)
from benchmarks.models.entry_fleet import EntryFleet, Outcome

SEEDS = 4


def play(utilisation, **factories):
    total = Outcome()
    for seed in range(SEEDS):
        scenario = draw_scenario(seed, utilisation)
        total.add(EntryFleet(scenario, seed, **factories).run())
    return total


def test_calls_are_not_admitted_for_groups_that_stalled():
    """Calls for a stalled group queue inside the engines of the others, and are late.

    Load: 6 to 24 entries before 4 to 12 groups, which are asked for as much as they can
    run; every 2 to 5 s one of them is lost, and replaced after 4 s.
    """
    counted = play(1.0, make_router=StalledCountedRouter)
    chosen = play(1.0)
    assert chosen.in_time > counted.in_time
    assert chosen.value_share > counted.value_share


def test_calls_wait_only_while_they_can_be_in_time():
    """A call that starts late takes the place of one that could be in time.

    Load: the same groups, asked for 1.4 times as much as they can run.
    """
    ignored = play(1.4, make_service=TargetIgnoredAdmission)
    chosen = play(1.4)
    assert chosen.in_time > ignored.in_time
    assert chosen.value_share > ignored.value_share
