"""Tests of the model call state machine with scripted and random schedules."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.attempts.answer_stream import AnswerStream
from chestnutvale.attempts.call_limits import CallLimits
from chestnutvale.attempts.const import (
    CODE_DEADLINE,
    LOST_GROUP_SILENCE_S,
    MAX_ATTEMPTS,
    MAX_LATE_READS,
    MAX_UNREACHABLE_GROUPS,
    REFUSAL_OVERLOADED,
    REFUSAL_UNREACHABLE,
    STREAM_IDLE_TIMEOUT_S,
)
from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallBanned,
    CallerDisconnected,
    CancelAttempt,
    ChooseGroup,
    Deliver,
    EventsArrived,
    Finish,
    GroupChosen,
    GroupLost,
    GroupStalled,
    HoldAttempt,
    NoGroupAvailable,
    ResumeAttempt,
    StartAttempt,
    Started,
    Tick,
)
from chestnutvale.attempts.model_call import ModelCall
from chestnutvale.attempts.retry_budget import AttemptBudgets, RetryBudget
from chestnutvale.attempts.sse import EventSplitter, StreamEvent

TOKENS = 8
DEADLINE_S = 100.0
DONE = StreamEvent(b"", 0, 0, b"data: [DONE]\n\n", is_done=True)
WHOLE = b"".join(b"data: %d\n\n" % i for i in range(TOKENS)) + b"data: end\n\n"


def token(attempt_id, first, following=None):
    following = first + 1 if following is None else following
    data = b"".join(b"data: %d\n\n" % i for i in range(first, following))
    return StreamEvent(attempt_id.encode(), first, following, data)


def end(attempt_id):
    return StreamEvent(attempt_id.encode(), TOKENS, TOKENS, b"data: end\n\n")


def start(call, group_id="g1", version="v1"):
    assert isinstance(call.handle(Started(), 0.0)[0], ChooseGroup)
    return choose(call, group_id, version)


def choose(call, group_id, version="v1"):
    (effect,) = call.handle(GroupChosen(group_id, 1, version), 0.0)
    assert isinstance(effect, StartAttempt)
    return effect.attempt_id


@pytest.fixture
def call():
    return ModelCall("r", DEADLINE_S, AttemptBudgets())


def run_call(call, events_of, faults):
    """Run a call to its end; `events_of` injects the faults of a schedule."""
    delivered = b""
    sent_once = []
    effects = call.handle(Started(), 0.0)
    attempts = 0
    while True:
        following = []
        for effect in effects:
            if isinstance(effect, Deliver):
                delivered += effect.data
            elif isinstance(effect, Finish):
                return delivered, effect.failure
            elif isinstance(effect, ChooseGroup):
                attempts += 1
                group = GroupChosen(f"g{attempts}", 1, "v1")
                following += call.handle(group, 0.0)
            elif isinstance(effect, StartAttempt):
                events = events_of(effect, faults, sent_once)
                following += call.handle(EventsArrived(effect.attempt_id, events), 1.0)
                broken = AttemptBroken(effect.attempt_id, "ended")
                following += call.handle(broken, 1.0)
        effects = following


def inject_faults(effect, faults, sent_before):
    """Return an attempt's events with duplicates, reordering, losses and breaks."""
    own = [token(effect.attempt_id, i) for i in range(effect.resume_offset, TOKENS)]
    own += [end(effect.attempt_id), DONE]
    events = []
    for event in own:
        fault = faults.pop() if faults else ""
        if fault == "break":
            break
        if fault == "double":
            events.append(event)
        if fault == "foreign":
            events.append(StreamEvent(b"x", event.first, event.next, b"data: x\n\n"))
        if fault == "late" and sent_before:
            events.append(sent_before[-1])
        events.append(event)
        if fault == "swap" and len(events) > 1:
            events[-1], events[-2] = events[-2], events[-1]
        if fault == "lose":
            events.pop()
    sent_before.extend(own[:-1])
    return events


@seed(6)
@settings(max_examples=1_500, database=None, deadline=None)
@given(
    st.lists(
        st.sampled_from(["", "", "break", "double", "foreign", "late", "swap", "lose"]),
        max_size=40,
    )
)
def test_answer_is_whole_or_a_true_failure_under_any_schedule(faults):
    call = ModelCall("r", DEADLINE_S, AttemptBudgets())
    delivered, failure = run_call(call, inject_faults, faults)
    if failure is None:
        assert delivered == WHOLE + DONE.data
    else:
        assert WHOLE.startswith(delivered)
        assert failure.outcome == "failed"
        assert call.attempts == MAX_ATTEMPTS


def encode(event):
    if event.is_done:
        return event.data
    head = f"id: {event.attempt_id.decode()}:{event.first}:{event.next}\n"
    return head.encode() + event.data


def test_stream_cut_at_any_byte_is_resumed_byte_for_byte():
    raw = b"".join(
        encode(e) for e in inject_faults(StartAttempt("r.1", "g", 1, 0), [], [])
    )
    for cut in range(len(raw)):
        call = ModelCall("r", DEADLINE_S, AttemptBudgets())
        attempt_id = start(call)
        events = EventSplitter().feed(raw[:cut])
        effects = call.handle(EventsArrived(attempt_id, events), 0.0)
        effects += call.handle(AttemptBroken(attempt_id, "cut"), 0.0)
        (resume,) = call.handle(GroupChosen("g2", 1, "v1"), 0.0)
        events = inject_faults(resume, [], [])
        effects += call.handle(EventsArrived(resume.attempt_id, events), 0.0)
        delivered = b"".join(e.data for e in effects if isinstance(e, Deliver))
        assert delivered == WHOLE + DONE.data
        assert effects[-1] == Finish()


def test_event_that_overlaps_the_answer_breaks_the_attempt(call):
    attempt_id = start(call)
    call.handle(EventsArrived(attempt_id, [token(attempt_id, 0, 2)]), 0.0)
    effects = call.handle(EventsArrived(attempt_id, [token(attempt_id, 1, 3)]), 0.0)
    assert [type(e) for e in effects] == [CancelAttempt, ChooseGroup]
    assert effects[1] == ChooseGroup(frozenset({"g1"}), "v1")
    (effect,) = call.handle(GroupChosen("g2", 1, "v1"), 0.0)
    assert effect.resume_offset == 2


def test_events_of_an_ended_attempt_are_dropped(call):
    first = start(call)
    call.handle(AttemptBroken(first, "x"), 0.0)
    second = choose(call, "g2")
    assert call.handle(EventsArrived(first, [token(first, 0)]), 0.0) == []
    assert call.handle(EventsArrived(second, [token(first, 0)]), 0.0) == []
    assert call.answer.dropped_events == 2


def test_answer_with_nothing_but_its_end_is_broken(call):
    attempt_id = start(call)
    effects = call.handle(EventsArrived(attempt_id, [DONE]), 0.0)
    assert [type(e) for e in effects] == [CancelAttempt, ChooseGroup]


def test_too_many_missing_events_break_the_attempt(call):
    attempt_id = start(call)
    events = [token(attempt_id, i) for i in range(2, 100)]
    effects = call.handle(EventsArrived(attempt_id, events), 0.0)
    assert [type(e) for e in effects] == [CancelAttempt, ChooseGroup]


def test_refusal_before_any_byte_leaves_the_version_open(call):
    attempt_id = start(call)
    (effect,) = call.handle(AttemptRefused(attempt_id, "wrong_epoch"), 0.0)
    assert effect == ChooseGroup(frozenset({"g1"}), "v1", is_unsent=True)


@pytest.mark.parametrize(
    ("event", "outcome"),
    [
        (NoGroupAvailable(3.0), "not_run"),
        (CallBanned(9.0), "failed"),
    ],
)
def test_call_without_a_group_ends_at_once(call, event, outcome):
    call.handle(Started(), 0.0)
    (effect,) = call.handle(event, 0.0)
    assert effect.failure.outcome == outcome
    assert effect.failure.retry_after_s == event.retry_after_s


def test_break_before_any_byte_is_unknown_even_after_a_later_refusal(call):
    first = start(call)
    call.handle(AttemptBroken(first, "x"), 0.0)
    second = choose(call, "g2")
    call.handle(AttemptRefused(second, "overloaded"), 0.0)
    (effect,) = call.handle(NoGroupAvailable(1.0), 0.0)
    assert effect.failure.outcome == "unknown"


@pytest.mark.parametrize("code", ["bad_request", "too_large"])
def test_refusal_for_the_request_itself_is_final(call, code):
    attempt_id = start(call)
    (effect,) = call.handle(AttemptRefused(attempt_id, code, "why"), 0.0)
    assert (effect.failure.outcome, effect.failure.message) == ("not_run", "why")
    assert effect.failure.retry_after_s is None


def test_a_group_that_was_sent_nothing_uses_up_no_attempt():
    budgets = AttemptBudgets(RetryBudget(0.0, 0.0), RetryBudget(0.0, 0.0))
    call = ModelCall("r", DEADLINE_S, budgets, CallLimits(max_attempts=1))
    attempt_id = start(call)
    for number in range(MAX_UNREACHABLE_GROUPS):
        (effect,) = call.handle(AttemptRefused(attempt_id, "unreachable"), 0.0)
        assert isinstance(effect, ChooseGroup)
        attempt_id = choose(call, f"other-{number}")
    (effect,) = call.handle(AttemptRefused(attempt_id, "unreachable"), 0.0)
    assert effect.failure.outcome == "not_run"


@pytest.mark.parametrize(
    ("code", "spent"), [("overloaded", "retries"), ("wrong_epoch", "reroutes")]
)
def test_exhausted_budget_ends_the_call_with_retry_after(code, spent):
    for kind in ("retries", "reroutes"):
        budgets = AttemptBudgets(**{kind: RetryBudget(0.0, 0.0)})
        call = ModelCall("r", DEADLINE_S, budgets)
        refused = AttemptRefused(start(call), code, "", 7.0)
        (effect,) = call.handle(refused, 0.0)
        assert isinstance(effect, Finish) == (kind == spent)
        if kind == spent:
            assert effect.failure.outcome == "not_run"
            assert effect.failure.retry_after_s == 7.0


def test_retries_stay_a_share_of_fresh_calls():
    budget = RetryBudget(share=0.2, reserve=10.0)
    retries = 0
    for _ in range(1_000):
        budget.count_call()
        retries += sum(budget.try_retry() for _ in range(3))
    assert retries == 209


@pytest.mark.parametrize(
    ("now_s", "kinds"),
    [
        (STREAM_IDLE_TIMEOUT_S - 0.1, []),
        (STREAM_IDLE_TIMEOUT_S, [HoldAttempt, ChooseGroup]),
        (DEADLINE_S, [CancelAttempt, Finish]),
    ],
)
def test_silent_stream_is_abandoned_and_the_deadline_ends_the_call(call, now_s, kinds):
    start(call)
    assert [type(e) for e in call.handle(Tick(), now_s)] == kinds


NO_RETRIES = AttemptBudgets(RetryBudget(0.0, 0.0), RetryBudget(0.0, 0.0))


@pytest.mark.parametrize("has_begun", [False, True])
@pytest.mark.parametrize(
    ("budgets", "limits"),
    [
        (AttemptBudgets(), CallLimits(max_attempts=1)),
        (AttemptBudgets(), CallLimits(is_resumable=False)),
        (NO_RETRIES, CallLimits()),
    ],
    ids=["last-attempt", "not-resumable", "no-retry-budget"],
)
def test_silent_last_attempt_is_not_cut(budgets, limits, has_begun):
    call = ModelCall("r", DEADLINE_S, budgets, limits)
    attempt_id = start(call)
    if has_begun:
        call.handle(EventsArrived(attempt_id, [token(attempt_id, 0)]), 0.0)
    assert call.handle(Tick(), STREAM_IDLE_TIMEOUT_S) == []
    events = [token(attempt_id, i) for i in range(int(has_begun), TOKENS)]
    events += [end(attempt_id), DONE]
    effects = call.handle(EventsArrived(attempt_id, events), 2 * STREAM_IDLE_TIMEOUT_S)
    assert effects[-1] == Finish()


def test_silent_call_waits_for_a_healthy_group_and_then_moves():
    healthy_groups = {"g1"}
    call = ModelCall("r", DEADLINE_S, AttemptBudgets())
    call.has_alternative = lambda excluded, version: bool(healthy_groups - excluded)
    start(call)
    assert call.handle(Tick(), STREAM_IDLE_TIMEOUT_S) == []
    assert call.kept_because == "no_group_available"
    assert call.next_tick_s == 2 * STREAM_IDLE_TIMEOUT_S
    healthy_groups.add("g2")
    effects = call.handle(Tick(), call.next_tick_s)
    assert [type(effect) for effect in effects] == [HoldAttempt, ChooseGroup]


@pytest.mark.parametrize(
    ("budgets", "limits"),
    [
        (AttemptBudgets(), CallLimits(max_attempts=1)),
        (AttemptBudgets(), CallLimits(is_resumable=False)),
        (NO_RETRIES, CallLimits()),
    ],
    ids=["last-attempt", "not-resumable", "no-retry-budget"],
)
def test_late_announcements_do_not_cut_an_answer_that_cannot_move(budgets, limits):
    call = ModelCall("r", DEADLINE_S, budgets, limits)
    attempt_id = start(call)
    call.handle(EventsArrived(attempt_id, [token(attempt_id, 0)]), 0.0)
    assert call.handle(GroupLost(), 3.0) == []
    while call.next_tick_s < 5.0:
        assert call.handle(Tick(), call.next_tick_s) == []
    events = [token(attempt_id, i) for i in range(1, TOKENS)]
    events += [end(attempt_id), DONE]
    assert call.handle(EventsArrived(attempt_id, events), 5.0)[-1] == Finish()


def test_late_announcements_do_not_move_a_stream_that_goes_on(call):
    attempt_id = start(call)
    for number in range(TOKENS - 1):
        now_s = number * 0.9 * LOST_GROUP_SILENCE_S
        call.handle(EventsArrived(attempt_id, [token(attempt_id, number)]), now_s)
        assert call.handle(GroupLost(), now_s) == []
        assert call.next_tick_s > now_s + 0.9 * LOST_GROUP_SILENCE_S
    # An event proves that the group works, so the usual timeout applies again.
    call.handle(EventsArrived(attempt_id, [token(attempt_id, TOKENS - 1)]), 3.0)
    assert call.next_tick_s == 3.0 + STREAM_IDLE_TIMEOUT_S


def test_silent_stream_leaves_a_lost_group_before_its_own_timeout(call):
    attempt_id = start(call)
    call.handle(EventsArrived(attempt_id, [token(attempt_id, 0)]), 0.0)
    assert call.handle(GroupLost(), 3.0) == []
    assert call.next_tick_s == 3.0
    effects = call.handle(Tick(), 3.0)
    assert [type(effect) for effect in effects] == [HoldAttempt, ChooseGroup]
    assert effects[0].reason == "the group was reported as lost"


def test_silent_stream_at_a_lost_group_moves_as_soon_as_another_group_serves():
    healthy_groups = {"g1"}
    call = ModelCall("r", DEADLINE_S, AttemptBudgets())
    call.has_alternative = lambda excluded, version: bool(healthy_groups - excluded)
    start(call)
    call.handle(GroupLost(), 3.0)
    assert call.handle(Tick(), 3.0) == []
    assert call.next_tick_s == 3.0 + LOST_GROUP_SILENCE_S
    healthy_groups.add("g2")
    effects = call.handle(Tick(), call.next_tick_s)
    assert [type(effect) for effect in effects] == [HoldAttempt, ChooseGroup]


def test_loss_that_was_reported_of_an_earlier_group_does_not_count(call):
    start(call)
    call.handle(GroupLost(), 3.0)
    call.handle(Tick(), 3.0)
    (effect,) = call.handle(GroupChosen("g2", 1, "v1"), 3.0)
    assert isinstance(effect, StartAttempt)
    assert call.next_tick_s == 3.0 + STREAM_IDLE_TIMEOUT_S


def test_pause_within_an_event_does_not_cut_the_last_attempt():
    limits = CallLimits(max_attempts=1)
    call = ModelCall("r", DEADLINE_S, AttemptBudgets(), limits)
    attempt_id = start(call)
    unfinished = EventsArrived(attempt_id, [])
    assert call.handle(unfinished, 1.0) == []
    assert call.handle(Tick(), STREAM_IDLE_TIMEOUT_S) == []
    assert call.handle(unfinished, 1.5 * STREAM_IDLE_TIMEOUT_S) == []
    effects = call.handle(
        EventsArrived(attempt_id, [token(attempt_id, 0)]), 1.6 * STREAM_IDLE_TIMEOUT_S
    )
    assert [type(effect) for effect in effects] == [Deliver]


def test_refusal_after_leaving_a_silent_endpoint_does_not_end_the_answer():
    call = ModelCall("r", DEADLINE_S, AttemptBudgets(), CallLimits(max_attempts=2))
    attempt_id = start(call)
    call.handle(EventsArrived(attempt_id, [token(attempt_id, 0)]), 0.0)
    call.handle(Tick(), STREAM_IDLE_TIMEOUT_S)
    attempt_id = choose(call, "g2")
    refusal = AttemptRefused(attempt_id, REFUSAL_OVERLOADED, "full", is_proven=True)
    call.handle(refusal, STREAM_IDLE_TIMEOUT_S)
    assert not call.is_finished


def test_bytes_without_a_complete_event_do_not_keep_a_stalled_stream(call):
    attempt_id = start(call)
    call.handle(EventsArrived(attempt_id, [token(attempt_id, 0)]), 1.0)
    step_s = STREAM_IDLE_TIMEOUT_S / 100
    kinds = []
    for number in range(1, 103):
        # The endpoint sends a byte now and then, but no event is completed.
        effects = call.handle(EventsArrived(attempt_id, []), 1.0 + number * step_s)
        kinds += [type(effect) for effect in effects]
    assert kinds == [CancelAttempt, ChooseGroup]


def test_a_slow_stream_that_completes_events_goes_on(call):
    attempt_id = start(call)
    for number in range(4):
        now_s = 0.9 * STREAM_IDLE_TIMEOUT_S * (number + 1)
        effects = call.handle(
            EventsArrived(attempt_id, [token(attempt_id, number)]), now_s
        )
        assert [type(effect) for effect in effects] == [Deliver]


def test_stream_that_goes_on_is_ended_at_the_deadline(call):
    attempt_id = start(call)
    events = EventsArrived(attempt_id, [token(attempt_id, 0)])
    effects = call.handle(events, DEADLINE_S)
    assert [type(e) for e in effects] == [Deliver, CancelAttempt, Finish]
    assert effects[-1].failure.outcome == "failed"


def test_answer_that_had_arrived_by_the_deadline_is_delivered_whole(call):
    # Guards against a call that is cut at its deadline although the rest of its answer
    # waits to be read.
    attempt_id = start(call)
    arrived = [[token(attempt_id, 0, TOKENS)], [end(attempt_id)], [DONE]]
    call.is_readable = lambda: bool(arrived)
    assert call.handle(Tick(), DEADLINE_S) == []
    effects = []
    while arrived:
        effects += call.handle(EventsArrived(attempt_id, arrived.pop(0)), DEADLINE_S)
    assert [type(effect) for effect in effects] == [Deliver, Deliver, Deliver, Finish]
    assert effects[-1].failure is None


def test_endpoint_that_always_has_more_does_not_outlive_the_deadline(call):
    attempt_id = start(call)
    call.is_readable = lambda: True
    for number in range(MAX_LATE_READS):
        effects = call.handle(
            EventsArrived(attempt_id, [token(attempt_id, number)]), DEADLINE_S
        )
        assert [type(effect) for effect in effects] == [Deliver]
    effects = call.handle(Tick(), DEADLINE_S)
    assert [type(effect) for effect in effects] == [CancelAttempt, Finish]
    assert effects[-1].failure.code == CODE_DEADLINE


def test_nothing_follows_once_the_call_is_finished(call):
    attempt_id = start(call)
    assert isinstance(call.handle(CallerDisconnected(), 0.0)[0], CancelAttempt)
    events = EventsArrived(attempt_id, [token(attempt_id, 0)])
    assert call.handle(events, 0.0) == []
    assert call.handle(Tick(), DEADLINE_S) == []


def test_answer_too_long_to_keep_is_not_resumed(call):
    call.answer = AnswerStream(max_resume_bytes=15)
    attempt_id = start(call)
    call.handle(EventsArrived(attempt_id, [token(attempt_id, 0, 2)]), 0.0)
    effects = call.handle(AttemptBroken(attempt_id, "x"), 0.0)
    assert [type(e) for e in effects] == [CancelAttempt, Finish]
    assert effects[1].failure.code == "stream_broken"


def leave_silent_group(call, group_id="g1"):
    attempt_id = start(call, group_id)
    call.handle(EventsArrived(attempt_id, [token(attempt_id, 0)]), 0.0)
    call.handle(GroupLost(), 3.0)
    return call.handle(Tick(), 3.0)


def test_last_attempt_at_a_lost_group_returns_to_a_group_that_went_on():
    # A host without power closes no connection, so nothing else ends the attempt.
    limits = CallLimits(max_attempts=2)
    call = ModelCall("r", DEADLINE_S, AttemptBudgets(), limits)
    leave_silent_group(call)
    choose(call, "g2")
    call.can_return = lambda groups, version: "g1" in groups
    call.handle(GroupLost(), 6.0)
    effects = []
    while not effects and call.next_tick_s < DEADLINE_S:
        effects = call.handle(Tick(), call.next_tick_s)
    kinds = [type(effect) for effect in effects]
    assert kinds == [CancelAttempt, CancelAttempt, ChooseGroup]
    assert [effect.group_id for effect in effects[:2]] == ["g2", "g1"]
    assert effects[2].allowed == {"g1"}


def test_call_returns_to_a_silent_group_if_the_next_one_is_unreachable(call):
    # The group that was left may go on, and the call was sent to no other endpoint.
    leave_silent_group(call)
    attempt_id = choose(call, "g2")
    refusal = AttemptRefused(attempt_id, REFUSAL_UNREACHABLE, "refused")
    (effect,) = call.handle(refusal, 3.1)
    assert isinstance(effect, ChooseGroup)
    assert not effect.may_wait
    assert call.handle(NoGroupAvailable(1.0), 3.1) == [ResumeAttempt("r.1", "g1")]


def test_silent_group_that_broke_after_a_return_is_no_fallback_any_more(call):
    leave_silent_group(call)
    attempt_id = choose(call, "g1")
    (_, choice) = call.handle(AttemptBroken(attempt_id, "reset"), 4.0)
    assert choice.fallback == frozenset()


def test_call_returns_to_a_silent_group_if_the_other_one_is_gone(call):
    # The other group can disappear while the call probes the one that it leaves.
    (_, choice) = leave_silent_group(call)
    assert not choice.may_wait
    assert call.handle(NoGroupAvailable(1.0), 3.1) == [ResumeAttempt("r.1", "g1")]


FULL = (REFUSAL_OVERLOADED, "full")


def run_after_leaving(call, outcomes, now_s):
    """Give the next attempts of a call their outcomes; return its last effects."""
    effects = []
    for number, outcome in enumerate(outcomes, 2):
        if isinstance(outcome, NoGroupAvailable | CallBanned):
            effects = call.handle(outcome, now_s)
            continue
        attempt_id = choose(call, f"g{number}")
        if outcome == "broken":
            effects = call.handle(AttemptBroken(attempt_id, "reset"), now_s)
        else:
            effects = call.handle(AttemptRefused(attempt_id, *outcome), now_s)
    return effects


@pytest.mark.parametrize("report", [GroupStalled(), Tick()])
@pytest.mark.parametrize("reserve", [1.0, 500.0])
@pytest.mark.parametrize(
    "outcomes",
    [
        [FULL, FULL],
        [FULL, NoGroupAvailable(1.0)],
        [(REFUSAL_UNREACHABLE, "refused"), NoGroupAvailable(1.0)],
        [NoGroupAvailable(1.0)],
        [CallBanned(1.0)],
        [CallBanned(1.0, (7,))],
        [("resume_mismatch", "not resumable")],
        ["broken"],
    ],
)
def test_stream_is_not_ended_by_what_follows_a_silence(report, reserve, outcomes):
    budgets = AttemptBudgets(*[RetryBudget(0.0, reserve)] * 2)
    call = ModelCall("r", DEADLINE_S, budgets, CallLimits(max_attempts=2))
    attempt_id = start(call)
    call.handle(EventsArrived(attempt_id, [token(attempt_id, 0)]), 0.0)
    now_s = STREAM_IDLE_TIMEOUT_S
    held, _ = call.handle(report, now_s)
    assert held.attempt_id == attempt_id
    if reserve == 1.0:
        outcomes = outcomes[:1] if outcomes[0] == FULL else outcomes
    effects = run_after_leaving(call, outcomes, now_s)
    assert effects[-1:] == [ResumeAttempt(attempt_id, "g1")]
    following = [token(attempt_id, i) for i in range(1, TOKENS)]
    following += [end(attempt_id), DONE]
    effects = call.handle(EventsArrived(attempt_id, following), now_s)
    assert [type(effect) for effect in effects] == [Deliver, Finish]
    assert effects[-1].failure is None


def test_streams_that_fall_silent_together_are_not_cut_for_lack_of_retries():
    budgets = AttemptBudgets(*[RetryBudget(0.0, 8.6)] * 2)
    calls = []
    for number in range(10):
        call = ModelCall(str(number), DEADLINE_S, budgets, CallLimits(max_attempts=2))
        attempt_id = start(call, f"a{number}")
        call.handle(EventsArrived(attempt_id, [token(attempt_id, 0)]), 0.0)
        calls.append(call)
    is_left = [bool(call.handle(GroupStalled(), 1.0)) for call in calls]
    assert sum(is_left) == 8
    for call in calls[:8]:
        run_after_leaving(call, [FULL], 1.0)
    assert not any(call.is_finished for call in calls)


def test_refusals_while_an_attempt_is_held_end_after_one_more_group():
    call = ModelCall("r", DEADLINE_S, AttemptBudgets(), CallLimits(max_attempts=2))
    leave_silent_group(call)
    (effect,) = run_after_leaving(call, [FULL], 3.0)
    assert isinstance(effect, ChooseGroup)
    assert run_after_leaving(call, [FULL], 3.0) == [ResumeAttempt("r.1", "g1")]
    assert call.attempts == 3


def test_held_attempt_that_has_sent_bytes_goes_before_a_third_group(call):
    leave_silent_group(call)
    call.has_held_bytes = lambda: True
    assert run_after_leaving(call, [FULL], 3.0) == [ResumeAttempt("r.1", "g1")]


def test_call_leaves_a_silent_attempt_for_a_held_one_that_has_sent_bytes(call):
    leave_silent_group(call)
    choose(call, "g2")
    call.has_alternative = lambda excluded, version: False
    call.has_held_bytes = lambda: True
    effects = call.handle(GroupStalled(), 4.0)
    assert effects == [
        CancelAttempt("r.2", "g2", "the group stalled"),
        ResumeAttempt("r.1", "g1"),
    ]


def test_held_attempt_is_cancelled_once_the_next_one_delivers(call):
    leave_silent_group(call)
    attempt_id = choose(call, "g2")
    assert call.handle(EventsArrived(attempt_id, []), 3.1) == []
    events = EventsArrived(attempt_id, [token(attempt_id, 1)])
    deliver, cancel = call.handle(events, 3.2)
    assert isinstance(deliver, Deliver)
    assert cancel == CancelAttempt("r.1", "g1")


@pytest.mark.parametrize(
    ("event", "now_s"), [(CallerDisconnected(), 3.1), (Tick(), DEADLINE_S)]
)
def test_end_of_a_call_cancels_its_held_attempt_too(call, event, now_s):
    leave_silent_group(call)
    choose(call, "g2")
    effects = call.handle(event, now_s)
    assert [effect.attempt_id for effect in effects[:-1]] == ["r.2", "r.1"]
    assert isinstance(effects[-1], Finish)


def test_resumed_attempt_that_stays_silent_is_kept_until_the_deadline():
    call = ModelCall("r", DEADLINE_S, AttemptBudgets(), CallLimits(max_attempts=2))
    leave_silent_group(call)
    call.handle(NoGroupAvailable(1.0), 3.0)
    call.has_alternative = lambda excluded, version: False
    while call.next_tick_s < DEADLINE_S:
        assert call.handle(Tick(), call.next_tick_s) == []
    effects = call.handle(Tick(), DEADLINE_S)
    assert [type(effect) for effect in effects] == [CancelAttempt, Finish]


def test_attempt_without_an_answer_is_held_as_well(call):
    attempt_id = start(call)
    held, _ = call.handle(GroupStalled(), 1.0)
    assert held == HoldAttempt(attempt_id, "g1", "the group stalled")
    call.handle(GroupChosen("g2", 1, "v2"), 1.0)
    refusal = AttemptRefused("r.2", "resume_mismatch")
    assert call.handle(refusal, 1.0) == [ResumeAttempt(attempt_id, "g1")]
    effects = call.handle(AttemptBroken(attempt_id, "reset"), 1.0)
    assert effects[-1].version == "v1"


def test_attempt_that_can_not_be_held_is_cancelled(call):
    start(call)
    call.can_hold = lambda: False
    effects = call.handle(GroupStalled(), 1.0)
    assert [type(effect) for effect in effects] == [CancelAttempt, ChooseGroup]
    (effect,) = call.handle(NoGroupAvailable(1.0), 1.0)
    assert effect.failure.outcome == "unknown"


def test_stream_whose_events_came_after_a_report_of_a_stall_does_not_leave(call):
    attempt_id = start(call)
    for number in range(3):
        now_s = 1.0 + 0.3 * number
        events = [token(attempt_id, number)]
        call.handle(EventsArrived(attempt_id, events), now_s)
        assert call.handle(GroupStalled(), now_s + 0.1) == []
        assert call.next_tick_s == pytest.approx(now_s + LOST_GROUP_SILENCE_S)
    hold, _ = call.handle(Tick(), call.next_tick_s)
    assert hold.reason == "the group stalled"


def test_event_ahead_of_a_gap_is_kept_while_its_attempt_is_held(call):
    # Guards against a sound attempt that is broken off as its events are missing.
    attempt_id = start(call)
    events = [token(attempt_id, 0), token(attempt_id, 2)]
    call.handle(EventsArrived(attempt_id, events), 0.0)
    call.handle(GroupLost(), 3.0)
    call.handle(Tick(), 3.0)
    assert call.handle(NoGroupAvailable(1.0), 3.0) == [ResumeAttempt(attempt_id, "g1")]
    following = [token(attempt_id, i) for i in (1, *range(3, TOKENS))]
    events = EventsArrived(attempt_id, [*following, end(attempt_id), DONE])
    effects = call.handle(events, 3.1)
    assert [type(effect) for effect in effects] == [Deliver, Finish]
