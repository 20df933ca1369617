"""A seed gives the same plan again, with all kinds of steps and valid texts."""

import pytest

from chestnutvale.configuration.parser import parse_text
from chestnutvale.soak.plan import (
    QUIET_END_S,
    ApplyTexts,
    KillDaemon,
    PauseGroups,
    ReleaseEntries,
    ReloadDaemons,
    ResetLinks,
    RestartDaemon,
    SuspendDaemon,
    draw_plan,
)
from chestnutvale.soak.text import Sizes, TextChange, make_text

LENGTH_S = 300.0


def test_same_seed_gives_the_same_plan():
    assert draw_plan(3, LENGTH_S) == draw_plan(3, LENGTH_S)
    assert draw_plan(3, LENGTH_S) != draw_plan(4, LENGTH_S)


def test_plan_has_all_kinds_of_steps_in_order_and_a_quiet_end():
    steps = draw_plan(1, LENGTH_S)
    kinds = {type(step.action) for step in steps}
    assert kinds == {
        ApplyTexts,
        PauseGroups,
        RestartDaemon,
        SuspendDaemon,
        ReloadDaemons,
        ReleaseEntries,
    }
    times_s = [step.at_s for step in steps]
    assert times_s == sorted(times_s)
    assert times_s[-1] < LENGTH_S - QUIET_END_S
    pauses = [s.action for s in steps if isinstance(s.action, PauseGroups)]
    assert {pause.duration_s for pause in pauses} == {1.2, 2.6, 3.6}
    assert {pause.by_signal for pause in pauses} == {True, False}
    assert any(not pause.indices for pause in pauses)


def test_faults_are_drawn_only_on_request_and_change_no_other_step():
    planned = draw_plan(1, LENGTH_S)
    with_faults = draw_plan(1, LENGTH_S, has_faults=True)
    added = [step.action for step in with_faults if step not in planned]
    assert {type(action) for action in added} == {KillDaemon, ResetLinks}
    assert [step for step in with_faults if step in planned] == planned


@pytest.mark.parametrize("is_large", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_drawn_texts_are_valid(seed, is_large):
    text = make_text(5, Sizes(4, 2), TextChange(seed, is_large))
    assert parse_text(text).number == 5
