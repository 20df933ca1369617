"""Runs one admitted call to a plain service."""

import contextlib
from collections import deque
from collections.abc import Callable
from functools import partial
from types import TracebackType
from typing import Protocol

import eventlet
from eventlet.event import Event

from chestnutvale.attempts.call_limits import DEFAULT_POLICY, ServicePolicy
from chestnutvale.attempts.const import REFUSAL_UNAVAILABLE, REFUSAL_UNREACHABLE
from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallerDisconnected,
    CancelAttempt,
    ChooseGroup,
    Failure,
    Finish,
    StartAttempt,
    Started,
    Tick,
)
from chestnutvale.attempts.service_call import ServiceCall
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
from chestnutvale.groups.members import group_head
from chestnutvale.http_client.collected_body import CollectionBound
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.programs.entry.context import (
    AttemptReport,
    CallContext,
    CallRequest,
    head_address,
)
from chestnutvale.programs.entry.endpoint_exchange import EndpointExchange
from chestnutvale.programs.entry.exceptions import (
    AnswerTooLargeError,
    CommitRefusedError,
    CommitUnknownError,
    EndpointBrokenError,
    EndpointRefusedError,
    EndpointSilentError,
    EndpointUnavailableError,
    EndpointUnreachableError,
)
from chestnutvale.programs.entry.group_chooser import GroupChooser
from chestnutvale.programs.entry.ledger_writer import LedgerWriter
from chestnutvale.programs.entry.service_request import (
    ServiceRequest,
    compute_request_fingerprint,
    make_recorded_answer,
)
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.ledger_pb2 import Claim, RecordOutcome, ReleaseClaim
from chestnutvale.schema.peer_pb2 import GroupView

# Timeout of one try to commit a claim; shorter than a leader change.
CLAIM_TIMEOUT_S = 1.0
# Delay before a claim is sent again whose result is unknown.
CLAIM_RETRY_DELAY_S = 0.05
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class Exchange(Protocol):
    """One request to an endpoint and its answer; see `EndpointExchange`."""

    status: int
    headers: list[tuple[str, str]]

    def connect(self, timeout_s: float) -> None:
        """Open the connection."""

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> None:
        """Send the request and wait for the head of the answer."""

    def read_all(self, max_bytes: int) -> bytes:
        """Read the rest of the body."""

    def abort(self) -> None:
        """Shut down the connection from another greenlet."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""


ExchangeFactory = Callable[[GroupView], Exchange]


def make_endpoint_exchange(
    view: GroupView, bound: CollectionBound | None = None
) -> Exchange:
    """Make an exchange with the head of a group over the endpoint protocol.

    Parameters
    ----------
    view : GroupView
        The group.
    bound : CollectionBound, optional
        Bound on the memory of all bodies that are received as a whole.

    Returns
    -------
    Exchange
        The exchange, not connected yet.
    """
    return EndpointExchange(head_address(view), bound=bound)


class ServiceRun:
    """Performs the effects of a `ServiceCall`.

    `run` runs in a greenlet of its own. The caller's greenlet waits in
    `wait_for_answer` until the deadline at the latest. A call that was sent and must
    not be repeated goes on after it, so that its outcome is recorded.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    writer : LedgerWriter
        Commits the outcomes and releases of claims.
    call_request : CallRequest
        The call as admission and routing see it.
    request : ServiceRequest
        The parsed request of the caller.
    headers : dict of str to str
        Headers to send to the endpoint.
    body : bytes
        Body to send to the endpoint.
    repeatable : bool
        Whether the call may run more than once.
    claim : Claim or None
        Claim to commit before the call is sent; None for a call that needs none.
    policy : ServicePolicy, optional
        Limits of the attempts.
    make_exchange : callable, optional
        Makes the exchange with the endpoint of a chosen group; by default over the
        endpoint protocol.
    fingerprint : int or None, optional
        64-bit fingerprint of the request, for the detection of crashing requests; by
        default that of `request` and `body`.
    part_hashes : tuple of int, optional
        Hashes of the parts of its prompt that other requests may share.

    Attributes
    ----------
    answer_event : Event
        Receives the answer for the caller.
    """

    def __init__(
        self,
        context: CallContext,
        writer: LedgerWriter,
        call_request: CallRequest,
        request: ServiceRequest,
        headers: dict[str, str],
        body: bytes,
        *,
        repeatable: bool,
        claim: Claim | None,
        policy: ServicePolicy = DEFAULT_POLICY,
        make_exchange: ExchangeFactory | None = None,
        fingerprint: int | None = None,
        part_hashes: tuple[int, ...] = (),
    ) -> None:
        self._make_exchange = make_exchange or partial(
            make_endpoint_exchange, bound=context.memory
        )
        self.answer_event: Event = Event()
        self._context = context
        self._writer = writer
        self._call_request = call_request
        self._request = request
        self._headers = headers
        self._body = body
        self._claim = claim
        self._call = ServiceCall(
            call_request.request_id,
            call_request.deadline_s,
            context.budgets,
            repeatable=repeatable,
            has_key=claim is not None,
            policy=policy,
        )
        if claim is not None:
            remaining_s = call_request.deadline_s - context.clock.now_s()
            claim.deadline_unix_ms = context.clock.unix_ms() + int(remaining_s * 1_000)
        self._exchange: Exchange | None = None
        if fingerprint is None:
            fingerprint = compute_request_fingerprint(request, body)
        # No part of the answer has been delivered, so a failure cuts none off.
        self._chooser = GroupChooser(
            context,
            call_request,
            fingerprint,
            self._sleep,
            part_hashes,
            resume_wait_s=0.0,
        )

    @property
    def endpoint_address(self) -> str:
        """Address of the endpoint that was chosen last; empty for none."""
        view = self._chooser.view
        return head_address(view) if view is not None else ""

    def wait_for_answer(self) -> Reply | Failure:
        """Wait until the call is answered or its deadline has passed.

        An outcome that is being recorded then is awaited.

        Returns
        -------
        Reply or Failure
            The answer for the caller.
        """
        while not self.answer_event.ready():
            remaining_s = self._call_request.deadline_s - self._context.clock.now_s()
            if remaining_s <= 0.0:
                self._handle_without_blocking(Tick())
                break
            self.answer_event.wait(timeout=remaining_s)
        # If the outcome is being recorded at the deadline, `run` delivers the answer.
        return self.answer_event.wait()

    def handle_caller_disconnected(self) -> None:
        """Record that the caller closed its connection."""
        self._handle_without_blocking(CallerDisconnected())

    def run(self) -> None:
        """Run the call until no effect is left; always delivers an answer."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._close_exchange)
            stack.callback(self._deliver_internal_error)
            effects = deque(self._handle(Started()))
            while effects:
                effects.extend(self._perform(effects.popleft()))

    def _handle(self, event: ServiceEvent) -> list[ServiceEffect]:
        return self._call.handle(event, self._context.clock.now_s())

    def _handle_without_blocking(self, event: ServiceEvent) -> None:
        # A timeout and a disconnect only cause effects that end the call or its
        # attempt, which do not block.
        for effect in self._handle(event):
            self._perform_without_blocking(effect)

    def _perform(self, effect: ServiceEffect) -> list[ServiceEffect]:
        if isinstance(effect, SubmitClaim):
            return self._handle(self._submit_claim())
        if isinstance(effect, ChooseGroup):
            return self._handle(self._chooser.choose(effect))
        if isinstance(effect, StartAttempt):
            return self._handle(self._connect(effect))
        if isinstance(effect, SendRequest):
            return self._handle(self._send_request(effect))
        if isinstance(effect, SubmitOutcome):
            self._writer.write_command(self._make_outcome_command(effect))
        else:
            self._perform_without_blocking(effect)
        return []

    def _perform_without_blocking(self, effect: ServiceEffect) -> None:
        if isinstance(effect, CancelAttempt) and self._exchange is not None:
            self._exchange.abort()
        elif isinstance(effect, SubmitRelease):
            release = ReleaseClaim(claim_id=self._claim.claim_id)
            self._writer.write_command_later(Command(release_claim=release))
        elif isinstance(effect, SubmitOutcome):
            self._writer.write_command_later(self._make_outcome_command(effect))
        elif isinstance(effect, Reply):
            self._deliver_answer(effect)
        elif isinstance(effect, Finish):
            self._deliver_answer(effect.failure)

    def _deliver_answer(self, answer: Reply | Failure | None) -> None:
        if not self.answer_event.ready():
            self.answer_event.send(answer)

    def _deliver_internal_error(self) -> None:
        # `run` ends with this, so that an exception in it does not leave the caller
        # waiting. It has no effect on a call that is answered.
        self._deliver_answer(
            Failure(
                "internal", "unknown", "the entry failed with an internal error", "call"
            )
        )

    def _submit_claim(self) -> ServiceEvent:
        now_s = self._context.clock.now_s()
        deadline_s = min(self._call_request.deadline_s, now_s + CLAIM_TIMEOUT_S)
        try:
            result = self._context.commit(Command(claim=self._claim), deadline_s)
        except CommitRefusedError:
            return ClaimNotProposed()
        except CommitUnknownError:
            eventlet.sleep(CLAIM_RETRY_DELAY_S)
            return ClaimUnknown()
        return ClaimAnswered(result.claim.outcome, result.claim.answer)

    def _sleep(self, timeout_s: float) -> bool:
        eventlet.sleep(timeout_s)
        return self._call.is_answered

    def _connect(self, effect: StartAttempt) -> ServiceEvent:
        self._close_exchange()
        self._exchange = self._make_exchange(self._chooser.view)
        now_s = self._context.clock.now_s()
        try:
            self._exchange.connect(self._call.next_tick_s - now_s)
        except EndpointUnreachableError as error:
            self._report_attempt("refused", error.code)
            return AttemptRefused(effect.attempt_id, REFUSAL_UNREACHABLE, error.message)
        except EndpointUnavailableError as error:
            self._report_attempt("refused", error.code)
            return AttemptRefused(effect.attempt_id, REFUSAL_UNAVAILABLE, error.message)
        # The call may have waited for the connection since the endpoint was chosen.
        head = Incarnation.of_member(group_head(self._chooser.view.group))
        if self._context.is_evacuated(head):
            self._report_attempt("refused", REFUSAL_UNAVAILABLE)
            return AttemptRefused(
                effect.attempt_id, REFUSAL_UNAVAILABLE, "the data centre is evacuated"
            )
        has_lease = self._context.has_lease(self._context.clock.now_s())
        return Connected(effect.attempt_id, has_lease)

    def _send_request(self, effect: SendRequest) -> ServiceEvent:
        request = self._request
        exchange = self._exchange
        self._chooser.attempt_started(effect.attempt_id)
        # `wait_for_answer` enforces the deadline; this greenlet may go on after it.
        give_up_at_s = self._call_request.deadline_s + self._call.linger_s
        timeout_s = give_up_at_s - self._context.clock.now_s()
        try:
            exchange.send(
                request.method, request.target, self._headers, self._body, timeout_s
            )
            body = exchange.read_all(MAX_ANSWER_BYTES)
        except AnswerTooLargeError:
            self._record_whole_answer(effect.attempt_id)
            return AnswerTooLarge(effect.attempt_id, exchange.status)
        except EndpointRefusedError as error:
            self._context.suspicions.attempt_ended(effect.attempt_id)
            self._report_attempt("refused", error.code)
            return AttemptRefused(
                effect.attempt_id,
                error.code,
                error.message,
                error.retry_after_s,
                is_proven=True,
            )
        except (EndpointBrokenError, EndpointSilentError) as error:
            self._chooser.check_for_crash(effect.attempt_id)
            self._report_attempt("broken", error.code)
            return AttemptBroken(effect.attempt_id, error.message)
        self._record_whole_answer(effect.attempt_id)
        answer = make_recorded_answer(exchange.status, exchange.headers, body)
        return EndpointAnswered(effect.attempt_id, answer)

    def _record_whole_answer(self, attempt_id: str) -> None:
        self._context.suspicions.answer_completed(
            attempt_id, self._context.clock.unix_ms()
        )
        self._report_attempt("whole", "")

    def _report_attempt(self, result: str, code: str) -> None:
        group = self._chooser.view.group
        self._context.report_attempt(
            AttemptReport(
                request=self._call_request,
                group_id=group.group_id,
                epoch=group.epoch,
                result=result,
                code=code,
                first_byte_ms=None,
                tokens=0,
            )
        )

    def _make_outcome_command(self, effect: SubmitOutcome) -> Command:
        outcome = RecordOutcome(claim_id=self._claim.claim_id)
        if effect.answer is not None:
            outcome.answer.CopyFrom(effect.answer)
        return Command(record_outcome=outcome)

    def _close_exchange(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.__exit__(None, None, None)
