"""Blocks the greenlets of calls until the admission controller admits them."""

from collections import Counter
from collections.abc import Collection, Iterable

import logbook
from eventlet.event import Event

from chestnutvale.admission.const import CODE_DUPLICATE, CODE_EXPIRED
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Effect,
    Refuse,
)
from chestnutvale.attempts.const import OUTCOME_UNKNOWN
from chestnutvale.clock import Clock
from chestnutvale.http_server.running_requests import ServerStoppingError
from chestnutvale.programs.entry.call_validation import (
    CODE_ENTRY_STOPPING,
    STOPPING_RETRY_AFTER_S,
)
from chestnutvale.programs.entry.context import AdmissionRefusal, CallRequest
from chestnutvale.programs.periodic import run_periodically

_LOGGER = logbook.Logger(__name__)

ADMISSION_TICK_S = 0.025
# Time after a call's deadline within which a tick refuses it.
DECISION_MARGIN_S = 4 * ADMISSION_TICK_S
# Estimated bytes of English text per token, to derive prompt tokens from its length.
BYTES_PER_TOKEN = 4


class GateTicket:
    """The pending or granted admission of one call.

    Parameters
    ----------
    gate : AdmissionGate
        The gate that issued the ticket.
    request : AdmissionRequest
        The request for admission.
    submitted_at_s : float, optional
        Monotonic time in seconds at which the call asked for admission.
    """

    def __init__(
        self,
        gate: "AdmissionGate",
        request: AdmissionRequest,
        submitted_at_s: float = 0.0,
    ) -> None:
        self.request = request
        self.submitted_at_s = submitted_at_s
        self.decision_event = Event()
        self._gate = gate
        self._is_admitted = False
        self._is_finished = False

    def wait(self) -> AdmissionRefusal | None:
        """Block the calling greenlet until the call is admitted or refused.

        Returns
        -------
        AdmissionRefusal or None
            None if the call may run.
        """
        try:
            self.decision_event.wait(timeout=self._gate.remaining_s(self.request))
        except ServerStoppingError:
            # Nothing is sent before `wait` returns, so the call has not run.
            self.release(0)
            return AdmissionRefusal(
                CODE_ENTRY_STOPPING,
                "this entry stops before the call is admitted",
                STOPPING_RETRY_AFTER_S,
            )
        if not self.decision_event.ready():
            _LOGGER.warning(
                "Admission made no decision on {} before its deadline",
                self.request.request_id,
            )
            self._refuse(CODE_EXPIRED, "the deadline passed")
        return self.decision_event.wait()

    def cancel(self) -> None:
        """Withdraw the request for admission; `wait` returns immediately."""
        if self.decision_event.ready():
            return
        self._refuse("caller_gone", "the caller closed its connection")

    def _refuse(self, code: str, message: str) -> None:
        self._is_finished = True
        self._gate.withdraw(self.request.request_id)
        self.decision_event.send(AdmissionRefusal(code, message, 0.0))

    def report_progress(self, used_tokens: int) -> None:
        """Report the current length of the answer.

        Parameters
        ----------
        used_tokens : int
            Tokens that the answer has so far.
        """
        self._gate.controller.progress(self.request.request_id, used_tokens)

    def release(self, used_tokens: int) -> None:
        """End the call and release its capacity; further calls have no effect.

        Parameters
        ----------
        used_tokens : int
            Tokens that the answer had.
        """
        if self._is_finished:
            return
        self._is_finished = True
        if self._is_admitted:
            self._gate.release(self.request.request_id, used_tokens)
            return
        self._gate.withdraw(self.request.request_id)

    def apply_decision(self, effect: Effect) -> None:
        """Wake the waiting call with the decision of the controller.

        Parameters
        ----------
        effect : Effect
            `Admit` or `Refuse`; any other effect is ignored.
        """
        if self.decision_event.ready():
            return
        if isinstance(effect, Admit):
            self._is_admitted = True
            self.decision_event.send(None)
            return
        if isinstance(effect, Refuse):
            self._is_finished = True
            self.decision_event.send(self._make_refusal(effect))

    def _make_refusal(self, effect: Refuse) -> AdmissionRefusal:
        if effect.code == CODE_DUPLICATE:
            message = "another call with this ID is running"
            return AdmissionRefusal(effect.code, message, 0.0, OUTCOME_UNKNOWN)
        message = f"service {self.request.service} can't admit this call"
        return AdmissionRefusal(effect.code, message, effect.retry_after_s)


class AdmissionGate:
    """Runs the admission controller and passes its decisions to waiting calls.

    Parameters
    ----------
    controller : AdmissionController
        Decides who may run.
    clock : Clock
        Source of time.
    data_centre : str, optional
        Data centre of this entry, for logs and metrics.

    Attributes
    ----------
    decisions : Counter
        Number of admitted requests, and of refused requests by code.
    refusals : Counter
        Number of refused requests by workspace, rank and code.
    """

    def __init__(
        self, controller: AdmissionController, clock: Clock, data_centre: str = ""
    ) -> None:
        self.controller = controller
        self.data_centre = data_centre
        self.decisions: Counter[str] = Counter()
        self.refusals: Counter[tuple[str, int, str]] = Counter()
        self._clock = clock
        self._tickets: dict[str, GateTicket] = {}
        self._predicted_tokens: dict[str, int] = {}
        self._waiting_event = Event()

    def offer(self, request: CallRequest) -> GateTicket:
        """Ask for admission; does not block.

        Parameters
        ----------
        request : CallRequest
            The call.

        Returns
        -------
        GateTicket
            The ticket to wait on.
        """
        admission_request = AdmissionRequest(
            request_id=request.request_id,
            service=request.service,
            workspace=request.workspace,
            priority=request.priority,
            prompt_tokens=len(request.prompt) // BYTES_PER_TOKEN,
            max_tokens=request.max_tokens,
            deadline_s=request.deadline_s,
            start_by_s=request.start_by_s,
            target_s=request.target_s,
            rank=request.rank,
        )
        ticket = GateTicket(self, admission_request, self._clock.now_s())
        if request.request_id in self._tickets:
            # The decisions for this ID belong to the ticket of the first call.
            refusal = Refuse(request.request_id, CODE_DUPLICATE, 0.0)
            self._log_decision(refusal, ticket)
            ticket.apply_decision(refusal)
            return ticket
        self._tickets[request.request_id] = ticket
        self._apply_effects(
            self.controller.offer(admission_request, self._clock.now_s())
        )
        if self._is_any_waiting() and not self._waiting_event.ready():
            self._waiting_event.send()
        return ticket

    def keep_workspaces(self, names: Collection[str]) -> None:
        """Forget the refusals of workspaces that the text no longer has.

        Parameters
        ----------
        names : collection of str
            The workspaces of the text in force; calls without one are always kept.
        """
        for key in [key for key in self.refusals if key[0] and key[0] not in names]:
            del self.refusals[key]

    def remaining_s(self, request: AdmissionRequest) -> float:
        """Return how long a call may wait for its decision.

        Parameters
        ----------
        request : AdmissionRequest
            The request for admission.

        Returns
        -------
        float
            Time in seconds until the first tick after its deadline.
        """
        until_s = request.deadline_s + DECISION_MARGIN_S
        return max(0.0, until_s - self._clock.now_s())

    def predicted_tokens(self, request_id: str) -> int:
        """Return the tokens reserved for an admitted call.

        Parameters
        ----------
        request_id : str
            The call.

        Returns
        -------
        int
            Prompt and predicted answer; 0 for a call that is not admitted.
        """
        return self._predicted_tokens.get(request_id, 0)

    def release(self, request_id: str, used_tokens: int) -> None:
        """End an admitted call.

        Parameters
        ----------
        request_id : str
            The call.
        used_tokens : int
            Tokens that the answer had.
        """
        self._forget_call(request_id)
        now_s = self._clock.now_s()
        self._apply_effects(self.controller.release(request_id, used_tokens, now_s))

    def withdraw(self, request_id: str) -> None:
        """Remove a call that was not admitted.

        Parameters
        ----------
        request_id : str
            The call.
        """
        self._forget_call(request_id)
        self._apply_effects(self.controller.withdraw(request_id, self._clock.now_s()))

    def run(self) -> None:
        """Tick the controller while calls wait, until the task is killed."""
        run_periodically("admission", self._run_round, ADMISSION_TICK_S)

    def _run_round(self) -> None:
        if not self._is_any_waiting():
            self._waiting_event = Event()
            self._waiting_event.wait()
        self.reevaluate_waiting()

    def _is_any_waiting(self) -> bool:
        return self.controller.next_deadline_s is not None

    def reevaluate_waiting(self) -> None:
        """Decide on waiting calls again, after time passed or capacity changed."""
        self._apply_effects(self.controller.tick(self._clock.now_s()))

    def _forget_call(self, request_id: str) -> None:
        self._tickets.pop(request_id, None)
        self._predicted_tokens.pop(request_id, None)

    def _apply_effects(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            ticket = self._tickets.get(effect.request_id)
            if ticket is None:
                continue
            self._log_decision(effect, ticket)
            if isinstance(effect, Admit):
                self._predicted_tokens[effect.request_id] = effect.predicted_tokens
            if isinstance(effect, Refuse):
                self._forget_call(effect.request_id)
            ticket.apply_decision(effect)

    def _log_decision(self, effect: Effect, ticket: GateTicket) -> None:
        if not isinstance(effect, Admit | Refuse):
            return
        self.decisions[getattr(effect, "code", "admitted")] += 1
        request = ticket.request
        if isinstance(effect, Refuse):
            self.refusals[request.workspace, request.rank, effect.code] += 1
        waited_s = self._clock.now_s() - ticket.submitted_at_s
        state = self.controller.describe(request.service)
        _LOGGER.info(
            "admitted" if isinstance(effect, Admit) else "refused",
            extra={
                "request": effect.request_id,
                "workspace": request.workspace,
                "rank": request.rank,
                "data_centre": self.data_centre,
                "waited_ms": round(1_000 * waited_s),
                "code": getattr(effect, "code", ""),
                "retry_after_s": getattr(effect, "retry_after_s", None),
                **state,
            },
        )
