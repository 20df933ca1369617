"""Statuses of the problem documents that report failures of calls."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.attempts.events import Failure
from chestnutvale.programs.entry.problems import make_problem

CODES = [
    "no_lease",
    "no_group_available",
    "retry_budget_exhausted",
    "overloaded",
    "queue_full",
    "crashing_prompt_part",
    "internal",
]


def make(code, outcome):
    failure = Failure(code, outcome, "why", retry_after_s=2.0)
    return make_problem(failure, "r1", random.Random(1))


@given(st.sampled_from(["unknown", "failed"]), st.sampled_from(CODES) | st.text())
def test_call_that_may_have_run_gets_no_status_that_says_not_run(outcome, code):
    # Guards against calls that run twice because their callers believed the status.
    assert make(code, outcome).status not in (408, 421, 429, 503)


@pytest.mark.parametrize("code", CODES)
def test_status_says_not_run_if_the_call_has_not_run(code):
    problem = make(code, "not_run")
    assert problem.status in (429, 503)
    assert problem.retry_after_s >= 2


@pytest.mark.parametrize(
    ("code", "status"), [("deadline_exceeded", 504), ("call_running", 409)]
)
def test_other_statuses_do_not_depend_on_the_outcome(code, status):
    assert make(code, "unknown").status == make(code, "not_run").status == status
