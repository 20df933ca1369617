"""Handles calls to plain services over HTTP."""

import contextlib
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

import eventlet

from chestnutvale.attempts.const import (
    DEFAULT_RETRY_AFTER_S,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
)
from chestnutvale.attempts.events import Failure
from chestnutvale.attempts.service_events import Reply
from chestnutvale.http_server.answer_end import find_answer_end
from chestnutvale.observability.log_context import bind_log_context
from chestnutvale.programs.entry.answer_failures import record_caller_gone
from chestnutvale.programs.entry.call_validation import (
    DEFAULT_MAX_BODY_BYTES,
    CallHeaders,
    CallRefusedError,
    check_dependencies,
    check_lease,
    check_stop,
    find_service,
    outcome_without_ledger,
    read_body,
    read_call_headers,
)
from chestnutvale.programs.entry.caller_watch import CallerWatch
from chestnutvale.programs.entry.context import CallContext, CallRequest
from chestnutvale.programs.entry.ledger_writer import LedgerWriter
from chestnutvale.programs.entry.model_calls import StartResponse, make_request_id
from chestnutvale.programs.entry.problems import make_problem
from chestnutvale.programs.entry.service_request import (
    ServiceRequest,
    compute_request_digest,
    make_forwarded_headers,
    read_service_request,
)
from chestnutvale.programs.entry.service_run import ServiceRun
from chestnutvale.schema.ledger_pb2 import Claim

KIND_PLAIN = "plain"
STEP_ADMISSION = "admission"
BODYLESS_STATUSES = frozenset({204, 304})
HEADER_REPLAYED = "Idempotent-Replayed"


class ServiceCallHandler:
    """WSGI application for calls to plain services.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    writer : LedgerWriter
        Commits the outcomes and releases of claims.
    """

    def __init__(self, context: CallContext, writer: LedgerWriter) -> None:
        self._context = context
        self._writer = writer
        self._tasks: set[eventlet.greenthread.GreenThread] = set()

    @property
    def running_calls(self) -> int:
        """Number of running calls; a shutdown waits for them.

        Calls whose callers have disconnected are included.
        """
        return len(self._tasks)

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
            The body of the answer.
        """
        request_id = make_request_id(self._context)
        find_answer_end(environ).request_id = request_id
        try:
            answer = self._handle_call(environ, request_id)
        except CallRefusedError as error:
            answer = error.failure
        if isinstance(answer, Reply):
            return _send_reply(answer, request_id, start_response)
        record_caller_gone(environ, answer)
        problem = make_problem(answer, request_id, self._context.rng)
        return problem.respond(start_response)

    def _handle_call(self, environ: dict[str, Any], request_id: str) -> Reply | Failure:
        context = self._context
        call_headers = read_call_headers(context, environ, request_id)
        request = read_service_request(environ)
        check_lease(context, outcome_without_ledger(environ))
        service = find_service(context, call_headers, request.service, KIND_PLAIN)
        # Where no rule says otherwise, the safe methods may be repeated (RFC 9110,
        # section 9.2.1).
        repeatable = context.lookup.is_repeatable(
            request.service, request.method, request.path
        )
        # Until the ledger has answered, an earlier call with the key may have run.
        has_claim = bool(request.key) and not repeatable
        outcome = OUTCOME_UNKNOWN if has_claim else OUTCOME_NOT_RUN
        check_dependencies(context, request.service, outcome)
        limits = service.limits
        body = read_body(environ, limits.max_body_bytes or DEFAULT_MAX_BODY_BYTES)
        deadline_s = call_headers.deadline_s(service)
        check_stop(context, request.service, deadline_s, outcome)
        call_request = CallRequest(
            request_id=request_id,
            workspace=call_headers.workspace,
            service=request.service,
            priority=call_headers.priority,
            prompt=b"",
            max_tokens=0,
            adapter="",
            deadline_s=deadline_s,
        )
        run = ServiceRun(
            context,
            self._writer,
            call_request,
            request,
            make_forwarded_headers(environ, request_id, call_headers.workspace),
            body,
            repeatable=repeatable,
            claim=self._make_claim(call_headers, request, body) if has_claim else None,
        )
        return self.admit_and_run(run, call_request, environ, outcome)

    def admit_and_run(
        self,
        run: ServiceRun,
        request: CallRequest,
        environ: dict[str, Any],
        outcome: str = OUTCOME_NOT_RUN,
    ) -> Reply | Failure:
        """Run a call once it is admitted.

        Parameters
        ----------
        run : ServiceRun
            The call.
        request : CallRequest
            The call as admission sees it.
        environ : dict
            The WSGI environment.
        outcome : str, optional
            Outcome to report if admission refuses the call.

        Returns
        -------
        Reply or Failure
            The answer for the caller.
        """
        with CallerWatch(environ) as watch:
            return self._admit_and_run(run, request, watch, outcome)

    def _admit_and_run(
        self,
        run: ServiceRun,
        request: CallRequest,
        watch: CallerWatch,
        outcome: str,
    ) -> Reply | Failure:
        ticket = self._context.admission.offer(request)
        watch.set_disconnect_callback(ticket.cancel)
        with contextlib.ExitStack() as stack:
            stack.callback(ticket.release, 0)
            refusal = ticket.wait()
            if refusal is None:
                # `_run_call` releases the ticket, because the call may go on after its
                # caller has disconnected.
                stack.pop_all()
        if refusal is not None:
            retry_after_s = refusal.retry_after_s or DEFAULT_RETRY_AFTER_S
            if refusal.outcome != OUTCOME_NOT_RUN:
                outcome = refusal.outcome
            return Failure(
                refusal.code,
                outcome,
                refusal.message,
                STEP_ADMISSION,
                "",
                retry_after_s,
            )
        watch.set_disconnect_callback(run.handle_caller_disconnected)
        task = eventlet.spawn(self._run_call, run, ticket, request.request_id)
        self._tasks.add(task)
        task.link(lambda done: self._tasks.discard(done))
        return run.wait_for_answer()

    def _run_call(self, run: ServiceRun, ticket: Any, request_id: str) -> None:
        try:
            with bind_log_context(request_id=request_id):
                run.run()
        finally:
            ticket.release(0)

    def _make_claim(
        self, call_headers: CallHeaders, request: ServiceRequest, body: bytes
    ) -> Claim:
        return Claim(
            workspace=call_headers.workspace,
            service=request.service,
            key=request.key,
            body_sha256=compute_request_digest(request, body),
            claim_id=call_headers.request_id,
            entry_id=self._context.entry_id,
            entry_incarnation=self._context.incarnation,
        )


def _send_reply(
    reply: Reply, request_id: str, start_response: StartResponse
) -> Iterable[bytes]:
    answer = reply.answer
    headers = list(zip(answer.header_names, answer.header_values, strict=True))
    headers.append(("X-Request-Id", request_id))
    if answer.status not in BODYLESS_STATUSES:
        headers.append(("Content-Length", str(len(answer.body))))
    if reply.replayed:
        headers.append((HEADER_REPLAYED, "true"))
    try:
        reason = HTTPStatus(answer.status).phrase
    except ValueError:
        reason = "Unknown"
    start_response(f"{answer.status} {reason}", headers)
    return [answer.body]
