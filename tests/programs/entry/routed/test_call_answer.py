"""The not-run promise of answers, for every status and origin."""

import itertools

import pytest

from chestnutvale.programs.entry.routed.call_answer import (
    CallAnswer,
    find_unproven_refusal,
    make_forwarded_answer,
)

CASES = list(itertools.product([True, False], repeat=3))


@pytest.mark.parametrize(("promises", "is_known", "is_repeatable"), CASES)
def test_only_a_promise_that_is_unknown_to_be_true_is_replaced(
    promises, is_known, is_repeatable
):
    answer = CallAnswer(503, "", [], [], is_known_not_run=is_known, peer="e")
    failure = find_unproven_refusal(
        answer, promises_not_run=promises, is_repeatable=is_repeatable
    )
    assert (failure is not None) == (promises and not is_known and not is_repeatable)
    if failure is not None:
        assert (failure.outcome, failure.peer) == ("unknown", "e")
        assert failure.retry_after_s is None
        assert "503" in failure.message


def test_forwarded_answer_is_never_known_not_to_have_run():
    answer = make_forwarded_answer(503, "", [("A", "1")], b"no", "e")
    assert not answer.is_known_not_run
    assert answer.headers == [("A", "1"), ("Content-Length", "2")]
    assert answer.status_line == "503 Service Unavailable"


@pytest.mark.parametrize("status", [204, 304])
def test_answers_without_content_have_no_length(status):
    assert not make_forwarded_answer(status, "", [], b"", "e").headers


def test_unknown_status_has_a_reason_phrase():
    assert CallAnswer(299, "", [], []).status_line == "299 Unknown"
    assert CallAnswer(200, "Fine", [], []).status_line == "200 Fine"


def test_body_of_a_replaced_answer_is_closed():
    def make_body():
        try:
            yield b"a"
        finally:
            closed.append(True)

    closed = []
    body = make_body()
    next(body)
    CallAnswer(503, "", [], body).close()
    CallAnswer(503, "", [], [b"list"]).close()
    assert closed == [True]
