"""A seed gives the same plan again, with all kinds of steps and valid texts."""

import json

import pytest

from chestnutvale.configuration.exceptions import TextError
from chestnutvale.configuration.parser import parse_text
from chestnutvale.soak.plan import (
    QUIET_END_S,
    AddHost,
    ApplyFaultyText,
    ApplyTexts,
    CrashHost,
    KillDaemon,
    LoseAnnouncements,
    PauseGroups,
    ReleaseEntries,
    ReleaseHost,
    ReloadDaemons,
    ResendText,
    ResetLinks,
    RestartDaemon,
    SuspendDaemon,
    draw_plan,
)
from chestnutvale.soak.text import (
    CHANGES,
    FAULT_NAMES,
    Sizes,
    TextChange,
    list_known_workspaces,
    make_faulty_text,
    make_text,
)

LENGTH_S = 300.0


def test_same_seed_gives_the_same_plan():
    assert draw_plan(3, LENGTH_S) == draw_plan(3, LENGTH_S)
    assert draw_plan(3, LENGTH_S) != draw_plan(4, LENGTH_S)


def test_plan_has_all_kinds_of_steps_in_order_and_a_quiet_end():
    steps = draw_plan(1, LENGTH_S)
    kinds = {type(step.action) for step in steps}
    assert kinds == {
        AddHost,
        ApplyFaultyText,
        ApplyTexts,
        LoseAnnouncements,
        ReleaseHost,
        ResendText,
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
    assert {type(action) for action in added} == {KillDaemon, ResetLinks, CrashHost}
    assert [step for step in with_faults if step in planned] == planned


def list_texts(length_s=LENGTH_S):
    steps = draw_plan(1, length_s)
    return [s.action for s in steps if isinstance(s.action, ApplyTexts)]


def test_texts_change_everything_that_a_text_has_alone_and_together():
    changes = [change for action in list_texts(3_000.0) for change in action.changes]
    assert {kind for change in changes for kind in change.kinds} == set(CHANGES)
    assert {len(change.kinds) for change in changes} == {1, 2, 3}


def test_texts_come_alone_in_storms_and_raced():
    sizes = {(len(action.changes), action.is_race) for action in list_texts()}
    assert sizes == {(1, False), (6, False), (2, True)}


def test_steps_of_different_kinds_overlap():
    steps = draw_plan(1, LENGTH_S)
    lost = [s for s in steps if isinstance(s.action, LoseAnnouncements)]
    assert any(
        isinstance(other.action, ApplyTexts)
        and step.at_s < other.at_s < step.at_s + step.action.duration_s
        for step in lost
        for other in steps
    )


@pytest.mark.parametrize("kind", sorted(CHANGES))
@pytest.mark.parametrize("seed", range(5))
def test_drawn_texts_are_valid_and_change_what_they_name(seed, kind):
    sizes = Sizes(4, 2)
    text = parse_text(json.dumps(make_text(5, sizes, TextChange(seed, (kind,)))))
    unchanged = parse_text(json.dumps(make_text(5, sizes, TextChange(seed))))
    assert text.number == 5
    # Some values that may be drawn are the defaults.
    assert text != unchanged or kind in ("limits", "ranks", "weights")


def test_all_texts_of_plans_are_valid():
    for seed in range(5):
        for step in draw_plan(seed, LENGTH_S):
            for change in getattr(step.action, "changes", ()):
                parse_text(json.dumps(make_text(5, Sizes(4, 2), change)))


@pytest.mark.parametrize("fault", FAULT_NAMES)
@pytest.mark.parametrize("kinds", [(), ("service removed",), ("key taken", "routes")])
def test_faulty_texts_are_refused(fault, kinds):
    document = make_text(5, Sizes(4, 2), TextChange(1, kinds))
    with pytest.raises(TextError):
        parse_text(make_faulty_text(document, fault))


@pytest.mark.parametrize("seed", range(4))
def test_guests_are_known_unless_their_key_is_taken_away(seed):
    texts = [
        make_text(5, Sizes(4, 2), TextChange(seed, kinds))
        for kinds in ((), ("key taken",))
    ]
    known = [list_known_workspaces(text) for text in texts]
    assert known == [{"accounts", "reports", "guest"}, {"accounts", "reports"}]
