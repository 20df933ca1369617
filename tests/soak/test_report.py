"""The verdict says whether promises held, were broken, or could not be judged."""

import pytest

from chestnutvale.soak.checks import Violation
from chestnutvale.soak.records import (
    KeyReading,
    RequestRecord,
    RunRecord,
    SoakRecords,
    TextRecord,
)
from chestnutvale.soak.report import format_report
from chestnutvale.soak.runner import SoakResult

REQUEST = RequestRecord("c1", "stream", "entry-1", 1.0, 2.0, 9.0, 200, "whole", True)


def make_result(violations=(), failures=(), **changes):
    fields = {
        "requests": [REQUEST],
        "runs": [RunRecord("c1", "host-1", "finished")],
        "texts": [TextRecord(1, 0.5)],
        "readings": [KeyReading("entry-1", 7, 1.0, 1)],
        **changes,
    }
    records = SoakRecords(**fields)
    return SoakResult(3, records, list(violations), {}, list(failures), [(4.0, 0.5)])


def read_verdict(result):
    return format_report(result).splitlines()[-1]


def test_full_run_without_violations_held():
    assert read_verdict(make_result()) == "seed 3: all promises held"


def test_violation_is_listed_and_breaks_the_run():
    result = make_result([Violation("some promise", "what was seen")])
    assert read_verdict(result) == "seed 3: BROKEN: some promise 1"
    assert "BROKEN some promise: what was seen" in format_report(result)


# Guards against a run that holds because nothing was seen.
@pytest.mark.parametrize("name", ["requests", "runs", "texts", "readings"])
def test_run_that_saw_nothing_is_not_judged(name):
    assert "NOT JUDGED" in read_verdict(make_result(**{name: []}))


def test_run_with_a_failed_step_is_not_judged():
    assert "NOT JUDGED" in read_verdict(make_result(failures=["a restart"]))


def test_standstill_of_the_runner_is_told():
    assert "stood still for 0.5 s until 4.0 s" in format_report(make_result())
