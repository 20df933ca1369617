"""Tests of the plan of the load tool and of its classification of answers."""

import itertools

import pytest

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.caller import Answer
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.load import parse_keys
from chestnutvale.emulator.load_plan import LoadPlan, PlannedRequest, plan_requests
from chestnutvale.emulator.load_result import LoadResult, classify_outcome

LOAD_PLAN = LoadPlan(
    ["e1", "e2"], {"a": "k"}, "s", 50.0, 10.0, 20, 4.0, 0.2, 0.3, 0.2, 0, 50, seed=3
)
COMPLETE_TEXT = expected_text("p", 8)


def test_plan_is_the_same_for_a_seed_and_has_the_rate():
    first, second = list(plan_requests(LOAD_PLAN)), list(plan_requests(LOAD_PLAN))
    assert first == second
    assert 400 < len(first) < 600
    assert all(a.at_s <= b.at_s for a, b in itertools.pairwise(first))
    assert {r.priority for r in first} == {"urgent", "normal", "batch"}


@pytest.mark.parametrize(
    ("answer", "hang_up", "outcome"),
    [
        (Answer(text=COMPLETE_TEXT, is_complete=True), 0, "whole"),
        (Answer(text=COMPLETE_TEXT[:-5], is_complete=True), 0, "wrong"),
        (Answer(text=COMPLETE_TEXT + COMPLETE_TEXT[:5]), 0, "wrong"),
        (Answer(text=COMPLETE_TEXT[:10]), 0, "broken"),
        (Answer(text=COMPLETE_TEXT[:10]), 2, "hung up"),
        (Answer(problem={"code": "busy", "outcome": "not_run"}), 0, "busy (not_run)"),
    ],
)
def test_outcome_of_an_answer_is_classified(answer, hang_up, outcome):
    request = PlannedRequest(0.0, "e1", "a", "normal", "p", 8, hang_up)
    assert classify_outcome(request, answer) == outcome
    result = LoadResult()
    result.record_answer(request, answer)
    assert result.to_dict()["outcomes"] == {outcome: 1}


def test_malformed_key_is_refused():
    assert parse_keys(["a=b=c"]) == {"a": "b=c"}
    with pytest.raises(EmulatorError):
        parse_keys(["a"])
