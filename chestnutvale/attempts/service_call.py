"""State machine of a call to a service without token streams."""

from collections.abc import Callable
from typing import Any

from chestnutvale.attempts.call_limits import DEFAULT_POLICY, ServicePolicy
from chestnutvale.attempts.const import (
    CODE_ATTEMPTS,
    CODE_CALLER_GONE,
    CODE_CRASHING,
    CODE_CRASHING_PART,
    CODE_DEADLINE,
    CODE_NONE_AVAILABLE,
    CODE_REFUSED,
    CODE_RETRY_BUDGET,
    DEFAULT_RETRY_AFTER_S,
    LEDGER_FULL_RETRY_AFTER_S,
    MAX_UNREACHABLE_GROUPS,
    OUTCOME_FAILED,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    RUNNING_RETRY_AFTER_S,
    SERVICE_LINGER_S,
)
from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallBanned,
    CallerDisconnected,
    CancelAttempt,
    ChooseGroup,
    Failure,
    Finish,
    GroupChosen,
    NoGroupAvailable,
    StartAttempt,
    Started,
    Tick,
)
from chestnutvale.attempts.prompt_parts import describe_part_ban
from chestnutvale.attempts.retry_budget import AttemptBudgets, RetryBudget
from chestnutvale.attempts.service_events import (
    AnswerTooLarge,
    ClaimAnswered,
    ClaimNotProposed,
    ClaimUnknown,
    Connected,
    EndpointAnswered,
    Reply,
    SendRequest,
    ServiceEffect,
    ServiceEvent,
    SubmitClaim,
    SubmitOutcome,
    SubmitRelease,
)
from chestnutvale.ledger.const import (
    CLAIM_CLAIMED,
    CLAIM_FULL,
    CLAIM_MISMATCH,
    CLAIM_RECORDED,
    CLAIM_RUNNING,
)
from chestnutvale.schema.ledger_pb2 import RecordedAnswer

FIRST_ERROR_STATUS = 500
STEP_CLAIM = "claim"
STEP_CHOOSE = "choose"
STEP_CALL = "call"

Effects = list[ServiceEffect]


class ServiceCall:
    """State machine of one call to a service without token streams.

    A non-repeatable call is sent at most once. If it has an idempotency key, it is sent
    only while it holds the claim on the key, and it continues after the caller
    disconnects or the deadline passes, so that its answer can still be recorded.

    Parameters
    ----------
    request_id : str
        Identity of the call; attempt ids are derived from it.
    deadline_s : float
        Monotonic time in seconds at which the call ends for the caller.
    budgets : AttemptBudgets
        Retry budgets that the entry's calls share.
    repeatable : bool
        Whether the call may run more than once.
    has_key : bool
        Whether the call has an idempotency key; only non-repeatable calls need a
        claim on it.
    policy : ServicePolicy, optional
        Limits on its attempts.

    Attributes
    ----------
    is_answered : bool
        Whether `Reply` or `Finish` was returned.
    is_over : bool
        Whether the call ignores all further events.
    """

    def __init__(
        self,
        request_id: str,
        deadline_s: float,
        budgets: AttemptBudgets,
        *,
        repeatable: bool,
        has_key: bool,
        policy: ServicePolicy = DEFAULT_POLICY,
    ) -> None:
        self._policy = policy
        self._fallback_answer: RecordedAnswer | None = None
        self.is_answered = False
        self.is_over = False
        self._request_id = request_id
        self._deadline_s = deadline_s
        self._budgets = budgets
        self._repeatable = repeatable
        self._needs_claim = has_key and not repeatable
        self._holds_claim = False
        self._may_hold_claim = False
        self._is_sent = False
        # Outcome to report with a failure. Until the ledger has answered, it is
        # unknown, because an earlier call with the same key may have run.
        self._outcome = OUTCOME_UNKNOWN if self._needs_claim else OUTCOME_NOT_RUN
        # Outcome before the current attempt was sent, restored if it is refused.
        self._outcome_before = self._outcome
        self._attempts = 0
        self._unreachable = 0
        self._attempt_id = ""
        self._group_id = ""
        self._excluded: set[str] = set()
        self._handlers: dict[type, Callable[[Any, float], Effects]] = {
            Started: self._on_started,
            ClaimAnswered: self._on_claim_answered,
            ClaimNotProposed: self._on_claim_not_proposed,
            ClaimUnknown: self._on_claim_unknown,
            GroupChosen: self._on_group_chosen,
            NoGroupAvailable: self._on_no_group_available,
            CallBanned: self._on_banned,
            Connected: self._on_connected,
            AttemptRefused: self._on_refused,
            EndpointAnswered: self._on_answered,
            AnswerTooLarge: self._on_too_large,
            AttemptBroken: self._on_broken,
            CallerDisconnected: self._on_caller_disconnected,
            Tick: self._on_tick,
        }

    @property
    def lingers(self) -> bool:
        """Whether the call continues after its caller got a reply or an error."""
        is_running = self._is_sent and not self._repeatable
        return is_running and self._policy.lingers

    @property
    def linger_s(self) -> float:
        """Time in seconds for which the call continues after its deadline."""
        return SERVICE_LINGER_S if self.lingers else 0.0

    @property
    def next_tick_s(self) -> float:
        """Monotonic time in seconds at which `Tick` is due."""
        return self._deadline_s + (self.linger_s if self.is_answered else 0.0)

    def handle(self, event: ServiceEvent, now_s: float) -> Effects:
        """Process an event.

        Parameters
        ----------
        event : ServiceEvent
            The event; ignored once the call is over.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of ServiceEffect
            Effects to perform in this order.
        """
        if self.is_over:
            return []
        return self._handlers[type(event)](event, now_s)

    def _on_started(self, event: Started, now_s: float) -> Effects:
        self._budgets.count_call()
        if self._needs_claim:
            return self._submit_claim(now_s)
        return self._choose(now_s)

    def _submit_claim(self, now_s: float) -> Effects:
        if now_s >= self._deadline_s:
            return self._fail_deadline()
        return [SubmitClaim()]

    def _on_claim_answered(self, event: ClaimAnswered, now_s: float) -> Effects:
        if self._holds_claim:
            return []
        if event.outcome == CLAIM_CLAIMED:
            self._holds_claim = True
            self._may_hold_claim = True
            self._outcome = OUTCOME_NOT_RUN
            return self._choose(now_s)
        if event.outcome == CLAIM_RECORDED:
            return self._reply_recorded(event.answer)
        return self._refuse_claim(event.outcome)

    def _reply_recorded(self, answer: RecordedAnswer) -> Effects:
        if not answer.body_dropped:
            return self._reply(answer, replayed=True)
        return self._fail(
            "answer_not_recorded",
            f"the call ran and was answered with {answer.status}, "
            "but its answer was too large to record",
            step=STEP_CLAIM,
        )

    def _refuse_claim(self, outcome: str) -> Effects:
        if outcome == CLAIM_RUNNING:
            return self._fail(
                "call_running",
                "a call with this key is running",
                step=STEP_CLAIM,
                retry_after_s=RUNNING_RETRY_AFTER_S,
            )
        if outcome == CLAIM_MISMATCH:
            self._outcome = OUTCOME_NOT_RUN
            return self._fail(
                "key_mismatch", "the key was used with another body", step=STEP_CLAIM
            )
        if outcome == CLAIM_FULL:
            self._outcome = OUTCOME_NOT_RUN
            return self._fail(
                "ledger_full",
                "no further key can be recorded now",
                step=STEP_CLAIM,
                retry_after_s=LEDGER_FULL_RETRY_AFTER_S,
            )
        return self._fail(
            "outcome_unknown",
            "a call with this key was made, but its outcome is unknown",
            step=STEP_CLAIM,
        )

    def _on_claim_not_proposed(self, event: ClaimNotProposed, now_s: float) -> Effects:
        return self._fail(
            "no_leader",
            "the ledger is unreachable",
            step=STEP_CLAIM,
            retry_after_s=DEFAULT_RETRY_AFTER_S,
        )

    def _on_claim_unknown(self, event: ClaimUnknown, now_s: float) -> Effects:
        # The claim may already be committed or commit later; submitting it again is
        # idempotent.
        self._may_hold_claim = True
        return self._submit_claim(now_s)

    def _choose(self, now_s: float) -> Effects:
        if now_s >= self._deadline_s:
            return self._fail_deadline()
        is_unsent = self._outcome == OUTCOME_NOT_RUN
        return [ChooseGroup(frozenset(self._excluded), "", is_unsent=is_unsent)]

    def _on_group_chosen(self, event: GroupChosen, now_s: float) -> Effects:
        if now_s >= self._deadline_s:
            return self._fail_deadline()
        self._attempts += 1
        self._attempt_id = f"{self._request_id}.{self._attempts}"
        self._group_id = event.group_id
        return [StartAttempt(self._attempt_id, event.group_id, event.epoch, 0)]

    def _on_no_group_available(self, event: NoGroupAvailable, now_s: float) -> Effects:
        return self._fail(
            CODE_NONE_AVAILABLE,
            "no endpoint of the service can take the call",
            step=STEP_CHOOSE,
            retry_after_s=event.retry_after_s,
        )

    def _on_banned(self, event: CallBanned, now_s: float) -> Effects:
        if event.part_hashes:
            return self._fail(
                CODE_CRASHING_PART,
                describe_part_ban(event.part_hashes),
                step=STEP_CHOOSE,
                retry_after_s=event.retry_after_s,
            )
        if self._outcome == OUTCOME_UNKNOWN:
            self._outcome = OUTCOME_FAILED
        return self._fail(
            CODE_CRASHING,
            "the endpoints that ran this request crashed",
            step=STEP_CHOOSE,
            retry_after_s=event.retry_after_s,
        )

    def _on_connected(self, event: Connected, now_s: float) -> Effects:
        if event.attempt_id != self._attempt_id or self._is_sent:
            return []
        # If the process was suspended past the deadline, it must not send any more.
        if now_s >= self._deadline_s:
            return self._fail_deadline()
        if not event.has_lease:
            return self._cancel() + self._fail(
                "no_lease",
                "this entry has lost touch with the controls",
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        self._is_sent = True
        self._outcome_before = self._outcome
        self._outcome = OUTCOME_UNKNOWN
        return [SendRequest(self._attempt_id)]

    def _on_refused(self, event: AttemptRefused, now_s: float) -> Effects:
        if event.attempt_id != self._attempt_id:
            return []
        if self._is_sent and not event.is_proven:
            return []
        retry_after_s = event.retry_after_s or DEFAULT_RETRY_AFTER_S
        if not self._is_sent:
            return self._skip_unreachable(event.code, now_s, retry_after_s)
        self._is_sent = False
        self._outcome = self._outcome_before
        return self._retry_elsewhere(
            self._budgets.retries, CODE_REFUSED, event.code, now_s, retry_after_s
        )

    def _skip_unreachable(
        self, code: str, now_s: float, retry_after_s: float
    ) -> Effects:
        """Choose another endpoint without using the retry budget: nothing was sent."""
        self._unreachable += 1
        self._exclude_group()
        if self._unreachable > MAX_UNREACHABLE_GROUPS:
            return self._fail(CODE_ATTEMPTS, code, retry_after_s=retry_after_s)
        return self._choose(now_s)

    def _on_answered(self, event: EndpointAnswered, now_s: float) -> Effects:
        if event.attempt_id != self._attempt_id:
            return []
        if self._should_retry_error(event.answer):
            self._is_sent = False
            self._outcome = OUTCOME_FAILED
            self._fallback_answer = event.answer
            self._exclude_group()
            return self._choose(now_s)
        effects = self._submit_outcome(event.answer)
        if not self.is_answered:
            effects += self._reply(event.answer)
        self.is_over = True
        return effects

    def _should_retry_error(self, answer: RecordedAnswer) -> bool:
        """Return whether to retry a server error at another endpoint."""
        if not (self._repeatable and self._policy.retries_errors):
            return False
        if answer.status < FIRST_ERROR_STATUS or self.is_answered:
            return False
        if not self._has_attempts_left():
            return False
        return self._budgets.retries.try_retry()

    def _on_too_large(self, event: AnswerTooLarge, now_s: float) -> Effects:
        if event.attempt_id != self._attempt_id:
            return []
        dropped = RecordedAnswer(status=event.status, body_dropped=True)
        effects = self._submit_outcome(dropped)
        self._outcome = OUTCOME_FAILED
        self._is_sent = False
        self._may_hold_claim = False
        return effects + self._fail(
            "answer_too_large", "the endpoint's answer is too large to pass on"
        )

    def _on_broken(self, event: AttemptBroken, now_s: float) -> Effects:
        if event.attempt_id != self._attempt_id:
            return []
        if self._repeatable:
            self._is_sent = False
            budget = self._budgets.retries
            return self._retry_elsewhere(budget, "endpoint_broken", event.reason, now_s)
        effects = self._submit_outcome(None)
        if not self.is_answered:
            effects += self._fail("endpoint_broken", event.reason)
        self.is_over = True
        return effects

    def _on_caller_disconnected(
        self, event: CallerDisconnected, now_s: float
    ) -> Effects:
        if self.lingers or self.is_answered:
            return []
        return self._cancel() + self._fail(
            CODE_CALLER_GONE, "the caller closed the connection"
        )

    def _on_tick(self, event: Tick, now_s: float) -> Effects:
        if now_s < self.next_tick_s:
            return []
        if not self.is_answered:
            return self._fail_deadline()
        self.is_over = True
        return self._submit_outcome(None) + self._cancel()

    def _fail_deadline(self) -> Effects:
        effects = [] if self.lingers else self._cancel()
        return effects + self._fail(
            CODE_DEADLINE, "the deadline passed", retry_after_s=DEFAULT_RETRY_AFTER_S
        )

    def _retry_elsewhere(
        self,
        budget: RetryBudget,
        code: str,
        reason: str,
        now_s: float,
        retry_after_s: float = DEFAULT_RETRY_AFTER_S,
    ) -> Effects:
        self._exclude_group()
        if not self._has_attempts_left():
            code = CODE_ATTEMPTS
        elif budget.try_retry():
            return self._choose(now_s)
        else:
            code = CODE_RETRY_BUDGET
        return self._fail(code, reason, retry_after_s=retry_after_s)

    def _exclude_group(self) -> None:
        self._excluded.add(self._group_id)
        self._attempt_id = ""

    def _has_attempts_left(self) -> bool:
        return self._attempts - self._unreachable < self._policy.max_attempts

    def _cancel(self) -> Effects:
        if not self._attempt_id:
            return []
        cancel = CancelAttempt(self._attempt_id, self._group_id)
        self._attempt_id = ""
        return [cancel]

    def _submit_outcome(self, answer: RecordedAnswer | None) -> Effects:
        return [SubmitOutcome(answer)] if self._holds_claim else []

    def _reply(self, answer: RecordedAnswer, replayed: bool = False) -> Effects:
        self.is_answered = True
        self.is_over = True
        return [Reply(answer, replayed)]

    def _fail(
        self,
        code: str,
        message: str,
        *,
        step: str = STEP_CALL,
        retry_after_s: float | None = None,
    ) -> Effects:
        if self._fallback_answer is not None:
            # The error of an endpoint is more specific than the failure to retry it.
            return self._cancel() + self._reply(self._fallback_answer)
        self.is_answered = True
        self.is_over = not self.lingers
        effects: Effects = []
        if self.is_over and self._may_hold_claim:
            effects.append(SubmitRelease())
        failure = Failure(
            code, self._outcome, message, step, self._group_id, retry_after_s
        )
        return [*effects, Finish(failure)]
