"""Handles model calls of callers over HTTP: admission, attempts and streams."""

import contextlib
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any, Protocol

import attrs
import greenlet
import logbook
from eventlet import hubs

from chestnutvale.attempts.answer_stream import AnswerStream
from chestnutvale.attempts.const import (
    HARMLESS_WRITING_MS,
    OUTCOME_FAILED,
    SILENCE_REASONS,
)
from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallEffect,
    CallerDisconnected,
    CallEvent,
    CancelAttempt,
    ChooseGroup,
    Deliver,
    EventsArrived,
    Failure,
    Finish,
    GroupStalled,
    HoldAttempt,
    ResumeAttempt,
    StartAttempt,
    Started,
    Tick,
)
from chestnutvale.attempts.model_call import ModelCall
from chestnutvale.groups.members import group_head
from chestnutvale.http_server.answer_end import find_answer_end
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.observability.log_context import bind_log_context
from chestnutvale.programs.entry.answer_failures import (
    record_caller_gone,
    record_failure,
)
from chestnutvale.programs.entry.call_validation import (
    DEFAULT_MAX_BODY_BYTES,
    CallRefusedError,
    check_dependencies,
    check_lease,
    check_stop,
    find_service,
    make_bad_call_refusal,
    read_body,
    read_call_headers,
)
from chestnutvale.programs.entry.caller_watch import CallerWatch
from chestnutvale.programs.entry.context import (
    AdmissionTicket,
    AttemptReport,
    CallContext,
    CallRequest,
    head_address,
)
from chestnutvale.programs.entry.exceptions import (
    BadCallError,
    UnreadableAnswerError,
)
from chestnutvale.programs.entry.group_chooser import GroupChooser
from chestnutvale.programs.entry.model_attempt import ModelAttempt
from chestnutvale.programs.entry.openai_api import (
    GenerationRequest,
    build_answer,
    parse_generation,
    read_text,
)
from chestnutvale.programs.entry.problems import make_problem
from chestnutvale.programs.entry.running_attempts import GroupReport
from chestnutvale.programs.entry.tick_timer import TickTimer
from chestnutvale.schema.peer_pb2 import GroupView

_LOGGER = logbook.Logger(__name__)

StartResponse = Callable[..., Any]
KIND_MODEL = "model"
RESULT_WHOLE = "whole"
RESULT_REFUSED = "refused"
RESULT_BROKEN = "broken"
RESULT_CANCELLED = "cancelled"
REQUEST_ID_BITS = 96
# Added to the time that an exchange may wait. A read that timed out can't be repeated,
# so `TickTimer` ends it, but only if the call leaves the attempt.
READ_TIMEOUT_MARGIN_S = 0.25


class Attempt(Protocol):
    """One attempt of a call at a group, reported as events."""

    attempt_id: str
    view: GroupView

    def start(self, timeout_s: float) -> CallEvent | None:
        """Send the request; return None if the stream has begun.

        Goes on where an interrupted one stopped if the attempt can be held.
        """

    def can_hold(self) -> bool:
        """Return whether a wait can be interrupted now without a loss."""

    def read(self, timeout_s: float) -> CallEvent:
        """Wait for the next events of the stream."""

    def is_readable(self) -> bool:
        """Return whether events or the end have arrived and were not read."""

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the stream have arrived that were not read yet."""

    def abort(self) -> None:
        """Interrupt the greenlet that waits for the endpoint."""

    def close(self) -> None:
        """Close the connection; the engine then cancels an unfinished request."""


class _ReadInterrupted(greenlet.GreenletExit):
    """Ends a read of an attempt that is held; nothing is lost."""


@attrs.define
class _HeldAttempt:
    """An attempt that was left while it was silent, and is still open.

    Attributes
    ----------
    attempt : Attempt
        The attempt.
    sent_at_s : float
        Monotonic time in seconds at which it was sent.
    first_byte_s : float or None
        Monotonic time in seconds of its first byte.
    is_harmless : bool
        Whether it has written its answer for `HARMLESS_WRITING_MS`.
    has_started : bool
        Whether its stream has begun.
    event : CallEvent or None
        What it reported while the call left it.
    """

    attempt: Attempt
    sent_at_s: float
    first_byte_s: float | None
    is_harmless: bool
    has_started: bool
    event: CallEvent | None = None

    def has_bytes(self) -> bool:
        """Return whether it has sent bytes that were not read."""
        return isinstance(self.event, EventsArrived) or self.attempt.has_unread_bytes()


AttemptFactory = Callable[[StartAttempt, GroupView, AnswerStream], Attempt]


def make_request_id(context: CallContext) -> str:
    """Return a new request id.

    Parameters
    ----------
    context : CallContext
        Has the id of the entry and the random numbers.

    Returns
    -------
    str
        The id of the entry and 96 random bits in hexadecimal.
    """
    return f"{context.entry_id}-{context.rng.getrandbits(REQUEST_ID_BITS):024x}"


class ModelCallHandler:
    """WSGI application for one form of model calls.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    form : str
        ``chat`` or ``completion``.
    max_body_bytes : int, optional
        Maximum size of a call's body.
    """

    def __init__(
        self,
        context: CallContext,
        form: str,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        self._context = context
        self._form = form
        self._max_body_bytes = max_body_bytes

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Run a call and answer it.

        Parameters
        ----------
        environ : dict
            The WSGI environment.
        start_response : callable
            Takes status and headers.

        Returns
        -------
        iterable of bytes
            The body of the answer. A stream that fails after its first byte ends with
            an ``error`` event.
        """
        request_id = make_request_id(self._context)
        find_answer_end(environ).request_id = request_id
        try:
            generation, request = self._parse_call(environ, request_id)
        except CallRefusedError as error:
            return _respond_with_problem(
                self._context, error.failure, request_id, start_response
            )
        call = ModelCall(request_id, request.deadline_s, self._context.budgets)
        attempts = _GenerationAttempts(self._context, generation, request)
        run = ModelCallRun(
            self._context,
            request,
            generation.fingerprint,
            call,
            attempts.make,
            environ,
        )
        if generation.stream:
            answer = _respond_with_stream(self._context, run, start_response)
        else:
            form = generation.form
            answer = _respond_with_body(self._context, run, form, start_response)
        record_caller_gone(environ, run.failure)
        return answer

    def _parse_call(
        self, environ: dict[str, Any], request_id: str
    ) -> tuple[GenerationRequest, CallRequest]:
        call_headers = read_call_headers(self._context, environ, request_id)
        check_lease(self._context)
        body = read_body(environ, self._max_body_bytes)
        try:
            generation = parse_generation(self._form, body)
        except BadCallError as error:
            raise make_bad_call_refusal(error) from error
        service = find_service(
            self._context, call_headers, generation.service, KIND_MODEL
        )
        check_dependencies(self._context, generation.service)
        deadline_s = call_headers.deadline_s(service)
        check_stop(self._context, generation.service, deadline_s)
        request = CallRequest(
            request_id=request_id,
            workspace=call_headers.workspace,
            service=generation.service,
            priority=call_headers.priority,
            prompt=generation.prompt_bytes(),
            max_tokens=generation.max_tokens,
            adapter=generation.adapter,
            deadline_s=deadline_s,
        )
        return generation, request


class ModelCallRun:
    """Submits one call to admission and runs its attempts.

    The call runs in the greenlet that iterates over it. The iterator yields the bytes
    to deliver; afterwards `failure` is None if the answer is complete. Closing the
    iterator cancels the call.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    request : CallRequest
        The call as admission and routing see it.
    fingerprint : int
        64-bit fingerprint of the request, for the detection of crashing requests.
    call : ModelCall
        State machine that decides about the attempts.
    make_attempt : callable
        Makes the attempt of a `StartAttempt` at a group; may raise
        `UnreadableAnswerError` if the delivered part of the answer can't be resumed.
    environ : dict
        The WSGI environment.
    part_hashes : tuple of int, optional
        Hashes of the parts of its prompt that other requests may share.

    Attributes
    ----------
    failure : Failure or None
        Why the answer is not complete.
    attempt : Attempt or None
        The running attempt.
    """

    def __init__(
        self,
        context: CallContext,
        request: CallRequest,
        fingerprint: int,
        call: ModelCall,
        make_attempt: AttemptFactory,
        environ: dict[str, Any],
        part_hashes: tuple[int, ...] = (),
    ) -> None:
        self.failure: Failure | None = None
        self.request = request
        self._context = context
        self._watch = CallerWatch(environ)
        self._answer_end = find_answer_end(environ)
        self._call = call
        self._make_attempt = make_attempt
        self.attempt: Attempt | None = None
        self._chooser = GroupChooser(
            context, request, fingerprint, self._watch.wait, part_hashes
        )
        call.has_alternative = self._chooser.has_alternative
        call.can_return = self._chooser.can_return
        call.can_hold = self._can_hold
        call.has_held_bytes = self._has_held_bytes
        call.is_readable = self._is_readable
        self._tick_timer = TickTimer(context.clock, self._tick)
        self._held: _HeldAttempt | None = None
        # The greenlet that waits for the endpoint.
        self._waiter: greenlet.greenlet | None = None
        self._interrupt_effects: list[CallEffect] = []
        # What an attempt reported while it was interrupted.
        self._unhandled_event: CallEvent | None = None
        self._sent_at_s = 0.0
        self._first_byte_s: float | None = None
        # Whether the attempt has written its answer for `HARMLESS_WRITING_MS`.
        self._is_harmless = False
        # Whether the stream of the attempt has begun.
        self._has_started = False
        self._first_offset = 0

    def iterate(self) -> Iterator[bytes]:
        """Run the call.

        Yields
        ------
        bytes
            Complete events, to be sent to the caller at once.
        """
        ticket = self._context.admission.offer(self.request)
        try:
            with self._watch:
                self._watch.set_disconnect_callback(ticket.cancel)
                refusal = ticket.wait()
                if refusal is not None:
                    self.failure = Failure(
                        refusal.code,
                        refusal.outcome,
                        refusal.message,
                        "admission",
                        "",
                        refusal.retry_after_s,
                    )
                    return
                yield from self._run_effects(ticket)
        finally:
            self._tick_timer.cancel()
            self._close_attempt(RESULT_CANCELLED)
            self._close_held()
            ticket.release(self._call.answer.next_offset)

    def record_failure(self) -> None:
        """Record for the log that the answer ends early, for `failure`."""
        record_failure(self._answer_end, self.failure)

    def _run_effects(self, ticket: AdmissionTicket) -> Iterator[bytes]:
        effects: deque[CallEffect] = deque(self._handle(Started()))
        while effects:
            effect = effects.popleft()
            if isinstance(effect, Deliver):
                ticket.report_progress(self._call.answer.next_offset)
                yield effect.data
            elif isinstance(effect, Finish):
                self._finish_call(effect)
            elif isinstance(effect, HoldAttempt):
                self._hold_attempt(effect)
            elif isinstance(effect, ResumeAttempt):
                self._resume_attempt()
            elif isinstance(effect, CancelAttempt) and self._is_held(effect.attempt_id):
                self._close_held()
            elif isinstance(effect, CancelAttempt):
                result = RESULT_BROKEN if effect.fault else RESULT_CANCELLED
                is_fault = effect.fault and effect.fault not in SILENCE_REASONS
                if self.attempt is not None and is_fault:
                    self._chooser.check_for_crash(effect.attempt_id)
                self._close_attempt(result, effect.fault)
            elif isinstance(effect, ChooseGroup):
                effects.extend(self._handle(self._chooser.choose(effect)))
            elif isinstance(effect, StartAttempt):
                event = self._start_attempt(effect)
                effects.extend(
                    self._take_interrupt_effects(event) or self._handle(event)
                )
            while not effects and not self._call.is_finished:
                event = self._take_unhandled_event() or self._read_events()
                effects.extend(
                    self._take_interrupt_effects(event) or self._handle(event)
                )

    def _take_interrupt_effects(self, event: CallEvent) -> list[CallEffect]:
        """Return the effects of an interruption, if there was one.

        Parameters
        ----------
        event : CallEvent
            What the attempt reported, which is handled if the attempt is resumed.
        """
        effects, self._interrupt_effects = self._interrupt_effects, []
        if effects and not isinstance(event, Tick):
            self._unhandled_event = event
        return effects

    def _take_unhandled_event(self) -> CallEvent | None:
        event, self._unhandled_event = self._unhandled_event, None
        return event

    def _interrupt(self, event: CallEvent) -> bool:
        """Handle an event between two steps of the hub, which calls this.

        Parameters
        ----------
        event : CallEvent
            The event.

        Returns
        -------
        bool
            Whether it had effects, and so ended the wait for the endpoint.
        """
        if self._waiter is None or self._interrupt_effects:
            return False
        now_s = self._context.clock.now_s()
        self._interrupt_effects = self._call.handle(event, now_s)
        if not self._interrupt_effects:
            return False
        if isinstance(self._interrupt_effects[0], HoldAttempt):
            self._waiter.throw(_ReadInterrupted)
        else:
            self.attempt.abort()
        return True

    def _report_stall(self, report: GroupStalled, attempt: Attempt) -> None:
        if self.attempt is not attempt or self._interrupt(report):
            return
        if self._waiter is not None and not self._interrupt_effects:
            self._tick_timer.set_due(self._call.next_tick_s)

    def _is_held(self, attempt_id: str) -> bool:
        return self._held is not None and self._held.attempt.attempt_id == attempt_id

    def _can_hold(self) -> bool:
        return self.attempt is not None and self.attempt.can_hold()

    def _is_readable(self) -> bool:
        return self.attempt is not None and self.attempt.is_readable()

    def _has_held_bytes(self) -> bool:
        return self._held is not None and self._held.has_bytes()

    def _hold_attempt(self, effect: HoldAttempt) -> None:
        attempt, self.attempt = self.attempt, None
        self._held = _HeldAttempt(
            attempt,
            self._sent_at_s,
            self._first_byte_s,
            self._is_harmless,
            self._has_started,
            self._take_unhandled_event(),
        )
        self._watch.set_disconnect_callback(self._abort_attempts)
        # It still runs, but reports about its group are none about the next one. The
        # silence of its group counts on, as nothing else tells of it.
        group = attempt.view.group
        self._context.running.add(group.group_id, group.epoch, attempt)
        self._report_attempt(attempt, RESULT_BROKEN, effect.reason)

    def _resume_attempt(self) -> None:
        held, self._held = self._held, None
        self.attempt = held.attempt
        self._chooser.view = held.attempt.view
        self._sent_at_s = held.sent_at_s
        self._first_byte_s = held.first_byte_s
        self._is_harmless = held.is_harmless
        self._has_started = held.has_started
        self._first_offset = self._call.answer.next_offset
        self._unhandled_event = held.event
        _LOGGER.info(
            "attempt_resumed",
            extra={
                "request": self.request.request_id,
                "group": held.attempt.view.group.group_id,
                "tokens": self._first_offset,
            },
        )
        self._add_running(held.attempt)

    def _close_held(self) -> None:
        held, self._held = self._held, None
        if held is not None:
            self._forget_attempt(held.attempt)

    def _handle_group_report(self, report: GroupReport) -> None:
        if isinstance(report, GroupStalled):
            # Only the hub may switch to a greenlet that waits for it.
            hubs.get_hub().schedule_call_global(
                0, self._report_stall, report, self.attempt
            )
            return
        # Has no effects, so it is recorded also while the call does not wait.
        self._call.handle(report, self._context.clock.now_s())
        if self._waiter is not None:
            self._tick_timer.set_due(self._call.next_tick_s)

    def _tick(self) -> None:
        was_kept = bool(self._call.kept_because)
        if self._interrupt(Tick()) or self._waiter is None or self._interrupt_effects:
            return
        now_s = self._context.clock.now_s()
        self._tick_timer.set_due(self._call.next_tick_s)
        if self._call.kept_because and not was_kept:
            self._context.report_kept_attempt(
                self.request,
                self._call.group_id,
                self._call.kept_because,
                self._call.silence_s(now_s),
            )

    def _wait_for_endpoint(
        self, wait: Callable[[float], CallEvent | None]
    ) -> CallEvent | None:
        now_s = self._context.clock.now_s()
        self._tick_timer.set_due(self._call.next_tick_s)
        self._waiter = greenlet.getcurrent()
        try:
            return wait(self._call.deadline_s - now_s + READ_TIMEOUT_MARGIN_S)
        except _ReadInterrupted:
            return Tick()
        finally:
            self._waiter = None

    def _handle(self, event: CallEvent) -> list[CallEffect]:
        if self._watch.is_disconnected:
            event = CallerDisconnected()
        elif isinstance(event, AttemptBroken):
            self._handle_break(event.reason)
        elif isinstance(event, AttemptRefused):
            self._close_attempt(RESULT_REFUSED, event.code)
        return self._call.handle(event, self._context.clock.now_s())

    def _finish_call(self, effect: Finish) -> None:
        self.failure = effect.failure
        if effect.failure is None:
            self._context.suspicions.answer_completed(
                self.attempt.attempt_id, self._context.clock.unix_ms()
            )
            self._close_attempt(RESULT_WHOLE)

    def _start_attempt(self, effect: StartAttempt) -> CallEvent:
        self._unhandled_event = None
        view = self._chooser.view
        self._sent_at_s = self._context.clock.now_s()
        try:
            attempt = self._make_attempt(effect, view, self._call.answer)
        except UnreadableAnswerError as error:
            # Another group needs the delivered text to resume the answer.
            return AttemptRefused(effect.attempt_id, error.code, error.message)
        self.attempt = attempt
        self._watch.set_disconnect_callback(self._abort_attempts)
        self._add_running(attempt)
        self._context.stall_detector.record_sent(
            attempt.attempt_id, attempt.view.group.group_id, self._sent_at_s
        )
        self._chooser.attempt_started(attempt.attempt_id)
        self._first_byte_s = None
        self._is_harmless = False
        self._first_offset = effect.resume_offset
        self._has_started = False
        return self._wait_for_start()

    def _wait_for_start(self) -> CallEvent:
        event = self._wait_for_endpoint(self.attempt.start)
        if event is not None:
            return event
        self._has_started = True
        return EventsArrived(self.attempt.attempt_id, [])

    def _add_running(self, attempt: Attempt) -> None:
        group = attempt.view.group
        self._context.running.add(
            group.group_id, group.epoch, attempt, self._handle_group_report
        )

    def _abort_attempts(self) -> None:
        """End the work of all endpoints for a caller that has left."""
        if self._held is not None:
            self._held.attempt.abort()
        if self.attempt is not None:
            self.attempt.abort()
        # A connect does not notice an abort. Only the hub may switch to a greenlet
        # that waits for it.
        hubs.get_hub().schedule_call_global(0, self._end_wait)

    def _end_wait(self) -> None:
        if self._waiter is not None:
            self._waiter.throw(_ReadInterrupted)

    def _read_events(self) -> CallEvent:
        if not self._has_started:
            return self._wait_for_start()
        event = self._wait_for_endpoint(self.attempt.read)
        if isinstance(event, EventsArrived) and event.events:
            now_s = self._context.clock.now_s()
            self._context.stall_detector.record_events(event.attempt_id, now_s)
        if isinstance(event, EventsArrived):
            self._record_writing(event.attempt_id)
        return event

    def _record_writing(self, attempt_id: str) -> None:
        now_s = self._context.clock.now_s()
        if self._first_byte_s is None:
            self._first_byte_s = now_s
        if (
            self._is_harmless
            or now_s - self._first_byte_s < HARMLESS_WRITING_MS / 1_000
        ):
            return
        self._is_harmless = True
        self._chooser.answer_progressed(attempt_id)

    def _handle_break(self, reason: str) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        group_id = attempt.view.group.group_id
        with bind_log_context(request_id=self.request.request_id, group_id=group_id):
            _LOGGER.warning("Attempt {} failed: {}", attempt.attempt_id, reason)
        self._chooser.check_for_crash(attempt.attempt_id)
        self._close_attempt(RESULT_BROKEN, reason)

    def _close_attempt(self, result: str, code: str = "") -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        if self._held is None:
            self._watch.set_disconnect_callback(None)
        self._forget_attempt(attempt)
        self._report_attempt(attempt, result, code)

    def _forget_attempt(self, attempt: Attempt) -> None:
        self._context.running.remove(attempt)
        self._context.stall_detector.forget_attempt(attempt.attempt_id)
        self._context.suspicions.attempt_ended(attempt.attempt_id)
        attempt.close()

    def _report_attempt(self, attempt: Attempt, result: str, code: str) -> None:
        first_byte_ms = None
        if self._first_byte_s is not None:
            first_byte_ms = (self._first_byte_s - self._sent_at_s) * 1_000
        self._context.report_attempt(
            AttemptReport(
                request=self.request,
                group_id=attempt.view.group.group_id,
                epoch=attempt.view.group.epoch,
                result=result,
                code=code,
                first_byte_ms=first_byte_ms,
                tokens=self._call.answer.next_offset - self._first_offset,
            )
        )


class _GenerationAttempts:
    """Makes the attempts of a call of the OpenAI API."""

    def __init__(
        self,
        context: CallContext,
        generation: GenerationRequest,
        request: CallRequest,
    ) -> None:
        self._context = context
        self._generation = generation
        self._request = request

    def make(
        self, effect: StartAttempt, view: GroupView, answer: AnswerStream
    ) -> ModelAttempt:
        body = self._make_body(effect, answer)
        endpoint = Incarnation.of_member(group_head(view.group))
        return ModelAttempt(
            effect.attempt_id,
            view,
            head_address(view),
            body,
            partial(self._context.may_send, endpoint),
        )

    def _make_body(self, effect: StartAttempt, answer: AnswerStream) -> dict[str, Any]:
        resume_text = ""
        if effect.resume_offset:
            resume_text = read_text(self._generation.form, answer.delivered())
        return {
            "request_id": self._request.request_id,
            "attempt_id": effect.attempt_id,
            "group_id": effect.group_id,
            "epoch": effect.epoch,
            "service": self._request.service,
            "form": self._generation.form,
            "prompt": self._generation.prompt,
            "max_tokens": self._generation.max_tokens,
            "priority": self._request.priority,
            "adapter": self._generation.adapter,
            "resume_offset": effect.resume_offset,
            "resume_text": resume_text,
        }


def _respond_with_stream(
    context: CallContext, run: ModelCallRun, start_response: StartResponse
) -> Iterable[bytes]:
    chunks = run.iterate()
    first = next(chunks, None)
    if first is None:
        return _respond_with_problem(
            context, run.failure, run.request.request_id, start_response
        )
    headers = [
        ("Content-Type", "text/event-stream; charset=utf-8"),
        ("Cache-Control", "no-cache"),
        ("X-Request-Id", run.request.request_id),
    ]
    start_response("200 OK", headers)
    return _iterate_stream(context, run, first, chunks)


def _iterate_stream(
    context: CallContext, run: ModelCallRun, first: bytes, chunks: Iterator[bytes]
) -> Iterator[bytes]:
    with contextlib.closing(chunks):
        yield first
        yield from chunks
    if run.failure is not None:
        run.record_failure()
        problem = make_problem(run.failure, run.request.request_id, context.rng)
        yield b"event: error\ndata: " + problem.body() + b"\n\n"


def _respond_with_body(
    context: CallContext,
    run: ModelCallRun,
    form: str,
    start_response: StartResponse,
) -> Iterable[bytes]:
    request_id = run.request.request_id
    events = b"".join(run.iterate())
    if run.failure is not None:
        return _respond_with_problem(context, run.failure, request_id, start_response)
    try:
        body = build_answer(form, events)
    except UnreadableAnswerError as error:
        failure = Failure(error.code, OUTCOME_FAILED, error.message, error.step)
        return _respond_with_problem(context, failure, request_id, start_response)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    start_response("200 OK", headers)
    return [body]


def _respond_with_problem(
    context: CallContext,
    failure: Failure,
    request_id: str,
    start_response: StartResponse,
) -> Iterable[bytes]:
    problem = make_problem(failure, request_id, context.rng)
    return problem.respond(start_response)
