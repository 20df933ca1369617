"""Tests of service call transitions that the random schedules don't cover."""

import pytest

from chestnutvale.attempts.call_limits import ServicePolicy
from chestnutvale.attempts.const import MAX_UNREACHABLE_GROUPS
from chestnutvale.attempts.events import (
    AttemptRefused,
    CallBanned,
    CallerDisconnected,
    CancelAttempt,
    ChooseGroup,
    Finish,
    GroupChosen,
    StartAttempt,
    Started,
    Tick,
)
from chestnutvale.attempts.retry_budget import AttemptBudgets
from chestnutvale.attempts.service_call import ServiceCall
from chestnutvale.attempts.service_events import (
    AnswerTooLarge,
    ClaimAnswered,
    Connected,
    SendRequest,
    SubmitClaim,
    SubmitOutcome,
    SubmitRelease,
)

DEADLINE_S = 10.0


def connect(call):
    (effect,) = call.handle(GroupChosen("g", 1, ""), 0.0)
    assert isinstance(effect, StartAttempt)
    return effect.attempt_id


@pytest.fixture
def claimed():
    """Return a call that holds its claim and waits for a group."""
    call = ServiceCall(
        "r", DEADLINE_S, AttemptBudgets(), repeatable=False, has_key=True
    )
    assert call.handle(Started(), 0.0) == [SubmitClaim()]
    assert isinstance(call.handle(ClaimAnswered("claimed"), 0.0)[0], ChooseGroup)
    return call


@pytest.mark.parametrize(
    ("now_s", "has_lease"), [(DEADLINE_S, True), (1.0, False)], ids=["frozen", "cut"]
)
def test_call_that_may_not_be_sent_any_more_is_released(claimed, now_s, has_lease):
    effects = claimed.handle(Connected(connect(claimed), has_lease), now_s)
    assert [type(e) for e in effects] == [CancelAttempt, SubmitRelease, Finish]
    assert effects[-1].failure.outcome == "not_run"


@pytest.mark.parametrize("event", [CallerDisconnected(), Tick(), CallBanned(9.0)])
def test_claim_is_released_if_its_call_ends_before_the_send(claimed, event):
    effects = claimed.handle(event, DEADLINE_S)
    assert [type(e) for e in effects] == [SubmitRelease, Finish]
    assert claimed.handle(GroupChosen("g", 1, ""), DEADLINE_S) == []


def test_sent_call_is_given_up_in_the_end_and_then_unknown(claimed):
    attempt_id = connect(claimed)
    assert claimed.handle(Connected(attempt_id, True), 0.0) == [SendRequest(attempt_id)]
    assert claimed.handle(Connected(attempt_id, True), 0.0) == []
    assert claimed.handle(CallerDisconnected(), 1.0) == []
    (effect,) = claimed.handle(Tick(), DEADLINE_S)
    assert effect.failure.outcome == "unknown"
    assert claimed.handle(Tick(), claimed.next_tick_s - 0.1) == []
    effects = claimed.handle(Tick(), claimed.next_tick_s)
    assert effects[0] == SubmitOutcome(None)
    assert claimed.is_over


def test_answer_too_large_to_pass_on_is_recorded_as_dropped(claimed):
    attempt_id = connect(claimed)
    claimed.handle(Connected(attempt_id, True), 0.0)
    effects = claimed.handle(AnswerTooLarge(attempt_id, 200), 1.0)
    assert [type(e) for e in effects] == [SubmitOutcome, Finish]
    assert effects[0].answer.body_dropped
    assert effects[1].failure.outcome == "failed"


def test_an_endpoint_that_was_sent_nothing_uses_up_no_attempt():
    call = ServiceCall(
        "r",
        DEADLINE_S,
        AttemptBudgets(),
        repeatable=False,
        has_key=False,
        policy=ServicePolicy(max_attempts=1),
    )
    call.handle(Started(), 0.0)
    for _ in range(MAX_UNREACHABLE_GROUPS):
        refused = AttemptRefused(connect(call), "unreachable")
        assert isinstance(call.handle(refused, 0.0)[0], ChooseGroup)
    (effect,) = call.handle(AttemptRefused(connect(call), "unreachable"), 0.0)
    assert (effect.failure.code, effect.failure.outcome) == (
        "attempts_exhausted",
        "not_run",
    )


def test_call_without_a_key_is_tried_elsewhere_only_if_it_was_not_sent():
    call = ServiceCall(
        "r", DEADLINE_S, AttemptBudgets(), repeatable=False, has_key=False
    )
    assert isinstance(call.handle(Started(), 0.0)[0], ChooseGroup)
    refused = AttemptRefused(connect(call), "unreachable")
    expected = ChooseGroup(frozenset({"g"}), "", is_unsent=True)
    assert call.handle(refused, 0.0) == [expected]
    attempt_id = connect(call)
    call.handle(Connected(attempt_id, True), 0.0)
    assert call.handle(AttemptRefused(attempt_id, "unreachable"), 0.0) == []
