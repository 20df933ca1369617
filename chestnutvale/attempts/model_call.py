"""State machine of a call to a model, with retries at other groups."""

from collections.abc import Callable
from typing import Any

import attrs

from chestnutvale.attempts.answer_stream import AnswerStream
from chestnutvale.attempts.attempt_silence import AttemptSilence
from chestnutvale.attempts.call_limits import DEFAULT_LIMITS, CallLimits
from chestnutvale.attempts.const import (
    CODE_ATTEMPTS,
    CODE_BROKEN,
    CODE_CALLER_GONE,
    CODE_CRASHING,
    CODE_CRASHING_PART,
    CODE_DEADLINE,
    CODE_NONE_AVAILABLE,
    CODE_NOT_RESUMABLE,
    CODE_REFUSED,
    CODE_RETRY_BUDGET,
    DEFAULT_RETRY_AFTER_S,
    LOST_GROUP_SILENCE_S,
    MAX_LATE_READS,
    MAX_REPLACED_REFUSALS,
    MAX_UNREACHABLE_GROUPS,
    OUTCOME_FAILED,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    REASON_LOST,
    REASON_RESTARTED,
    REASON_SILENT,
    REASON_STALLED,
    REFUSAL_OVERLOADED,
    REFUSAL_UNREACHABLE,
    RETRIED_REFUSALS,
    SILENCE_REASONS,
    UNSENT_REFUSALS,
)
from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallBanned,
    CallEffect,
    CallerDisconnected,
    CallEvent,
    CancelAttempt,
    ChooseGroup,
    Deliver,
    EventsArrived,
    Failure,
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
from chestnutvale.attempts.prompt_parts import describe_part_ban
from chestnutvale.attempts.retry_budget import AttemptBudgets, RetryBudget
from chestnutvale.attempts.sse import StreamEvent

STEP_CHOOSE = "choose"
STEP_GENERATE = "generate"

# Gets the excluded groups and the version; tells whether a healthy group is left.
AlternativeFinder = Callable[[frozenset[str], str], bool]
# Gets groups and the version; tells whether one of the groups is healthy.
ReturnFinder = Callable[[frozenset[str], str], bool]


def _assume_alternative(excluded: frozenset[str], version: str) -> bool:
    return True


def _assume_silence() -> bool:
    return False


def _assume_holdable() -> bool:
    return True


@attrs.frozen
class _HeldAttempt:
    attempt_id: str
    group_id: str
    version: str
    has_answered: bool
    buffered_events: tuple[StreamEvent, ...]


def _assume_no_return(groups: frozenset[str], version: str) -> bool:
    return False


class ModelCall:
    """State machine of one call; ends in a complete answer or exactly one failure.

    A silent attempt is abandoned only if the call can continue at another group. Else
    it is kept until its deadline, because the endpoint may only pause. The same holds
    if its group was reported as lost, because announcements of hosts may be late.

    The next attempt may be refused, so an attempt that is left is held open until the
    next one has delivered something. If that one ends before, the call goes on with the
    held one.

    Parameters
    ----------
    request_id : str
        Identity of the call; attempt ids are derived from it.
    deadline_s : float
        Monotonic time in seconds at which the call ends.
    budgets : AttemptBudgets
        Retry budgets that the entry's calls share.
    limits : CallLimits, optional
        Limits on its attempts.
    answer : AnswerStream, optional
        Assembler of the answer; by default one that starts at the first token.

    Attributes
    ----------
    answer : AnswerStream
        Assembler of the answer, with what was delivered so far.
    attempts : int
        Number of attempts started.
    deadline_s : float
        Monotonic time in seconds at which the call ends.
    has_alternative : callable
        Tells whether a group outside a set, with a version, can take the call now; by
        default there always is one.
    can_return : callable
        Tells whether one of a set of groups, which the call left while they were
        silent, can take the call again; by default none can.
    can_hold : callable
        Tells whether the running attempt can be held; by default it can.
    has_held_bytes : callable
        Tells whether the held attempt has sent bytes since it was left; by default it
        has not.
    is_readable : callable
        Tells whether a part of the running attempt's stream, or its end, has arrived
        and was not read; by default none has.
    is_finished : bool
        Whether `Finish` was returned.
    kept_because : str
        Code of why the running attempt was kept although it was silent; empty if it was
        not silent so far.
    """

    def __init__(
        self,
        request_id: str,
        deadline_s: float,
        budgets: AttemptBudgets,
        limits: CallLimits = DEFAULT_LIMITS,
        answer: AnswerStream | None = None,
    ) -> None:
        self.answer = answer or AnswerStream()
        self.attempts = 0
        self.deadline_s = deadline_s
        self.has_alternative: AlternativeFinder = _assume_alternative
        self.can_return: ReturnFinder = _assume_no_return
        self.can_hold: Callable[[], bool] = _assume_holdable
        self.has_held_bytes: Callable[[], bool] = _assume_silence
        self.is_readable: Callable[[], bool] = _assume_silence
        self.is_finished = False
        self.kept_because = ""
        self._request_id = request_id
        self._budgets = budgets
        self._limits = limits
        self._unreachable = 0
        self._replaced_refusals = 0
        self._attempt_id = ""
        self._group_id = ""
        # Whether the running attempt has sent the head of an answer.
        self._has_answered = False
        self._late_reads = 0
        self._held: _HeldAttempt | None = None
        self._version = ""
        self._excluded: set[str] = set()
        # Groups that were left while they were silent, and may have gone on since.
        self._silent_groups: set[str] = set()
        self._outcome = OUTCOME_NOT_RUN
        self._silence = AttemptSilence(limits)
        self._handlers: dict[type, Callable[[Any, float], list[CallEffect]]] = {
            EventsArrived: self._on_events,
            Started: self._on_started,
            GroupChosen: self._on_group_chosen,
            NoGroupAvailable: self._on_no_group_available,
            CallBanned: self._on_banned,
            AttemptRefused: self._on_refused,
            AttemptBroken: self._on_broken,
            CallerDisconnected: self._on_caller_disconnected,
            GroupStalled: self._on_group_stalled,
            GroupLost: self._on_group_lost,
            Tick: self._on_tick,
        }

    @property
    def group_id(self) -> str:
        """Group of the running attempt; empty between attempts."""
        return self._group_id if self._attempt_id else ""

    @property
    def next_tick_s(self) -> float:
        """Monotonic time in seconds at which `Tick` is due."""
        return min(self.deadline_s, self._silence.due_s)

    def silence_s(self, now_s: float) -> float:
        """Return the time since the attempt began or its last bytes arrived.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Time in seconds.
        """
        return self._silence.elapsed_s(now_s)

    def handle(self, event: CallEvent, now_s: float) -> list[CallEffect]:
        """Process an event.

        Parameters
        ----------
        event : CallEvent
            The event; ignored once the call has finished.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of CallEffect
            Effects to perform in this order.
        """
        if self.is_finished:
            return []
        return self._handlers[type(event)](event, now_s)

    def _on_started(self, event: Started, now_s: float) -> list[CallEffect]:
        self._budgets.count_call()
        return self._choose(now_s)

    def _choose(self, now_s: float) -> list[CallEffect]:
        if now_s >= self.deadline_s:
            return self._fail_deadline()
        is_unsent = self._outcome == OUTCOME_NOT_RUN
        held_groups = {self._held.group_id} if self._held else set()
        return [
            ChooseGroup(
                frozenset(self._excluded),
                self._version,
                is_unsent=is_unsent,
                fallback=frozenset(self._silent_groups - held_groups),
                may_wait=self._held is None,
            )
        ]

    def _on_group_chosen(self, event: GroupChosen, now_s: float) -> list[CallEffect]:
        if self._attempt_id:
            return []
        if now_s >= self.deadline_s:
            return self._fail_deadline()
        self.attempts += 1
        self._attempt_id = f"{self._request_id}.{self.attempts}"
        self._group_id = event.group_id
        self._has_answered = False
        self._silent_groups.discard(event.group_id)
        if not self.answer.has_delivered:
            self._version = event.version
        self.kept_because = ""
        self._silence.begin(now_s)
        self.answer.begin_attempt(self._attempt_id)
        return [
            StartAttempt(
                self._attempt_id,
                event.group_id,
                event.epoch,
                self.answer.next_offset,
            )
        ]

    def _on_no_group_available(
        self, event: NoGroupAvailable, now_s: float
    ) -> list[CallEffect]:
        return self._resume_or_fail(
            now_s,
            CODE_NONE_AVAILABLE,
            "no group of the service can take the call",
            step=STEP_CHOOSE,
            retry_after_s=event.retry_after_s,
        )

    def _on_banned(self, event: CallBanned, now_s: float) -> list[CallEffect]:
        if event.part_hashes:
            return self._resume_or_fail(
                now_s,
                CODE_CRASHING_PART,
                describe_part_ban(event.part_hashes),
                step=STEP_CHOOSE,
                retry_after_s=event.retry_after_s,
            )
        self._outcome = OUTCOME_FAILED
        return self._resume_or_fail(
            now_s,
            CODE_CRASHING,
            "the groups that ran this request crashed",
            step=STEP_CHOOSE,
            retry_after_s=event.retry_after_s,
        )

    def _on_events(self, event: EventsArrived, now_s: float) -> list[CallEffect]:
        if event.attempt_id != self._attempt_id:
            self.answer.dropped_events += len(event.events)
            return []
        self._outcome = OUTCOME_FAILED
        self._has_answered = True
        is_overdue = self._silence.record_arrival(bool(event.events), now_s)
        data, fault = self.answer.take(event.events)
        effects: list[CallEffect] = [Deliver(data)] if data else []
        if data:
            effects += self._release_held()
        if self.answer.is_whole:
            self.is_finished = True
            effects.append(Finish())
        else:
            effects += self._read_on(fault, is_overdue, now_s)
        return effects

    def _read_on(self, fault: str, is_overdue: bool, now_s: float) -> list[CallEffect]:
        """Return what ends the attempt after its events; nothing if it goes on."""
        if now_s >= self.deadline_s:
            may_read = not fault and self._may_read_late()
            return [] if may_read else self._fail_deadline()
        if fault or is_overdue:
            return self._break_attempt(fault or REASON_SILENT, now_s)
        return []

    def _on_refused(self, event: AttemptRefused, now_s: float) -> list[CallEffect]:
        if event.attempt_id != self._attempt_id:
            return []
        self._end_attempt()
        retry_after_s = event.retry_after_s or DEFAULT_RETRY_AFTER_S
        if event.code not in RETRIED_REFUSALS:
            return self._resume_or_fail(
                now_s, event.code, event.message, retry_after_s=None
            )
        if event.code in UNSENT_REFUSALS:
            return self._skip_unreachable(now_s, retry_after_s)
        if self._held and self._replaced_refusals < MAX_REPLACED_REFUSALS:
            self._replaced_refusals += 1
        is_overload = event.code == REFUSAL_OVERLOADED
        budget = self._budgets.retries if is_overload else self._budgets.reroutes
        return self._retry_elsewhere(
            budget, CODE_REFUSED, event.code, now_s, retry_after_s
        )

    def _skip_unreachable(self, now_s: float, retry_after_s: float) -> list[CallEffect]:
        """Choose another group without using the retry budget, as nothing was sent."""
        self._unreachable += 1
        if self._has_held_bytes or self._unreachable > MAX_UNREACHABLE_GROUPS:
            return self._resume_or_fail(
                now_s, CODE_ATTEMPTS, REFUSAL_UNREACHABLE, retry_after_s=retry_after_s
            )
        return self._choose(now_s)

    def _on_broken(self, event: AttemptBroken, now_s: float) -> list[CallEffect]:
        if event.attempt_id != self._attempt_id:
            return []
        return self._break_attempt(event.reason, now_s)

    def _break_attempt(self, reason: str, now_s: float) -> list[CallEffect]:
        effects = self._cancel(reason)
        self._record_possible_run()
        is_repeatable = self._limits.is_resumable
        if not self.answer.can_resume or not is_repeatable:
            return effects + self._fail(CODE_BROKEN, reason)
        return effects + self._retry_elsewhere(
            self._budgets.reroutes, CODE_BROKEN, reason, now_s, DEFAULT_RETRY_AFTER_S
        )

    def _retry_elsewhere(
        self,
        budget: RetryBudget,
        code: str,
        reason: str,
        now_s: float,
        retry_after_s: float,
    ) -> list[CallEffect]:
        is_used_up = not self._has_attempts_left
        if self._has_held_bytes or (
            is_used_up and (self._held is not None or not self._silent_groups)
        ):
            return self._resume_or_fail(
                now_s, CODE_ATTEMPTS, reason, retry_after_s=retry_after_s
            )
        if not budget.try_retry():
            return self._resume_or_fail(
                now_s, CODE_RETRY_BUDGET, reason, retry_after_s=retry_after_s
            )
        if not self._has_attempts_left:
            return self._return_to_silent_group(now_s)
        return self._choose(now_s)

    def _return_to_silent_group(self, now_s: float) -> list[CallEffect]:
        """Choose a group that was left; the call is sent to no further endpoint."""
        if now_s >= self.deadline_s:
            return self._fail_deadline()
        others = self._silent_groups - {self._group_id}
        groups = frozenset(others or self._silent_groups)
        self._silent_groups -= groups
        is_held = self._held is not None
        return [ChooseGroup(frozenset(), self._version, groups, may_wait=not is_held)]

    def _on_caller_disconnected(
        self, event: CallerDisconnected, now_s: float
    ) -> list[CallEffect]:
        effects = self._cancel()
        if effects:
            self._record_possible_run()
        effects += self._release_held()
        return effects + self._fail(
            CODE_CALLER_GONE, "the caller closed the connection", retry_after_s=None
        )

    def _on_group_stalled(self, event: GroupStalled, now_s: float) -> list[CallEffect]:
        if not self._attempt_id:
            return []
        # The report is as old as its way through a control.
        is_withdrawn = self._silence.elapsed_s(now_s) < LOST_GROUP_SILENCE_S
        if self._has_answered and is_withdrawn:
            self._silence.record_group_loss(REASON_STALLED, now_s)
            return []
        if self._find_obstacle():
            return []
        return self._leave_group(REASON_STALLED, now_s)

    def _on_group_lost(self, event: GroupLost, now_s: float) -> list[CallEffect]:
        # The next `Tick` decides: data that has arrived before is read first.
        if self._attempt_id:
            reason = REASON_RESTARTED if event.is_restarted else REASON_LOST
            self._silence.record_group_loss(reason, now_s)
        return []

    def _on_tick(self, event: Tick, now_s: float) -> list[CallEffect]:
        if now_s >= self.deadline_s:
            return [] if self._may_read_late() else self._fail_deadline()
        if self._attempt_id and now_s >= self._silence.due_s:
            return self._leave_silent_attempt(now_s)
        return []

    def _leave_silent_attempt(self, now_s: float) -> list[CallEffect]:
        """Continue at another group if the call can, else keep the attempt."""
        obstacle = self._find_obstacle()
        if not obstacle:
            return self._leave_group(self._silence.reason, now_s)
        self.kept_because = self.kept_because or obstacle
        self._silence.postpone(now_s)
        return []

    def _leave_group(self, reason: str, now_s: float) -> list[CallEffect]:
        """Leave the running attempt; requires that `_find_obstacle` found none."""
        self._silent_groups.add(self._group_id)
        self._record_possible_run()
        # A restarted member may have crashed under the request.
        may_hold = reason in SILENCE_REASONS and self.can_hold()
        if may_hold and self._held is None:
            effects = self._hold(reason)
        else:
            effects = self._cancel(reason)
            if self._has_held_bytes:
                return effects + self._resume_held(now_s)
        self._budgets.reroutes.try_retry()
        if self._has_attempts_left:
            return effects + self._choose(now_s)
        if self._held is not None and self._held.group_id != self._group_id:
            # It has sent nothing since, so its connection may be dead.
            effects += self._release_held()
        return effects + self._return_to_silent_group(now_s)

    def _hold(self, reason: str) -> list[CallEffect]:
        self._held = _HeldAttempt(
            self._attempt_id,
            self._group_id,
            self._version,
            self._has_answered,
            self.answer.buffered_events,
        )
        self._end_attempt()
        return [HoldAttempt(self._held.attempt_id, self._held.group_id, reason)]

    def _release_held(self) -> list[CallEffect]:
        held, self._held = self._held, None
        return [CancelAttempt(held.attempt_id, held.group_id)] if held else []

    def _resume_held(self, now_s: float) -> list[CallEffect]:
        if now_s >= self.deadline_s:
            return self._fail_deadline()
        held, self._held = self._held, None
        self._attempt_id, self._group_id = held.attempt_id, held.group_id
        self._version = held.version
        self._silent_groups.discard(held.group_id)
        self._has_answered = held.has_answered
        self.kept_because = ""
        if held.has_answered:
            self._silence.resume(now_s)
        else:
            self._silence.begin(now_s)
        self.answer.begin_attempt(held.attempt_id, held.buffered_events)
        return [ResumeAttempt(held.attempt_id, held.group_id)]

    def _resume_or_fail(
        self,
        now_s: float,
        code: str,
        message: str,
        *,
        step: str = STEP_GENERATE,
        retry_after_s: float | None = DEFAULT_RETRY_AFTER_S,
    ) -> list[CallEffect]:
        """Go on with the held attempt, or fail if there is none."""
        if self._held is not None:
            return self._resume_held(now_s)
        return self._fail(code, message, step=step, retry_after_s=retry_after_s)

    def _find_obstacle(self) -> str:
        """Return the code of why the call can't continue at another group now."""
        if not (self._limits.is_resumable and self.answer.can_resume):
            return CODE_NOT_RESUMABLE
        if self._has_held_bytes:
            return ""
        if self._unreachable > MAX_UNREACHABLE_GROUPS:
            return CODE_ATTEMPTS
        can_return = self._can_return_to_silent_group()
        if not (self._has_attempts_left or can_return):
            return CODE_ATTEMPTS
        if not self._budgets.reroutes.has_retry:
            return CODE_RETRY_BUDGET
        excluded = frozenset(self._excluded | {self._group_id})
        if can_return or self.has_alternative(excluded, self._version):
            return ""
        return CODE_NONE_AVAILABLE

    def _can_return_to_silent_group(self) -> bool:
        groups = frozenset(self._silent_groups - {self._group_id})
        return bool(groups) and self.can_return(groups, self._version)

    @property
    def _has_attempts_left(self) -> bool:
        uncounted = self._unreachable + self._replaced_refusals
        return self.attempts - uncounted < self._limits.max_attempts

    @property
    def _has_held_bytes(self) -> bool:
        return self._held is not None and self.has_held_bytes()

    def _may_read_late(self) -> bool:
        """Return whether to read on after the deadline.

        What has arrived may be the rest of the answer, whose caller still waits.
        """
        if not self._attempt_id or self._late_reads >= MAX_LATE_READS:
            return False
        self._late_reads += 1
        return self.is_readable()

    def _fail_deadline(self) -> list[CallEffect]:
        is_running = bool(self._attempt_id)
        effects = self._cancel() + self._release_held()
        if is_running:
            self._record_possible_run()
        return effects + self._fail(
            CODE_DEADLINE, "the deadline passed", retry_after_s=DEFAULT_RETRY_AFTER_S
        )

    def _record_possible_run(self) -> None:
        # The request may have reached an engine, which may have run it.
        if self._outcome == OUTCOME_NOT_RUN:
            self._outcome = OUTCOME_UNKNOWN

    def _cancel(self, fault: str = "") -> list[CallEffect]:
        if not self._attempt_id:
            return []
        cancel = CancelAttempt(self._attempt_id, self._group_id, fault)
        self._end_attempt()
        return [cancel]

    def _end_attempt(self) -> None:
        self._excluded.add(self._group_id)
        self._attempt_id = ""
        self._silence.end()

    def _fail(
        self,
        code: str,
        message: str,
        *,
        step: str = STEP_GENERATE,
        retry_after_s: float | None = DEFAULT_RETRY_AFTER_S,
    ) -> list[CallEffect]:
        self.is_finished = True
        failure = Failure(
            code, self._outcome, message, step, self._group_id, retry_after_s
        )
        return [Finish(failure)]
