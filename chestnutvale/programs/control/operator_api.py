"""HTTP API for operators of a control, as a WSGI application.

The control creates one `OperatorApi` with the digest of the operator token and its
`OperatorBackend`, and routes to it the requests for which `handles` returns True.
"""

import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import logbook
from eventlet import tpool
from eventlet.semaphore import Semaphore
from google.protobuf import json_format
from google.protobuf.message import Message

from chestnutvale.clock import Clock
from chestnutvale.configuration.const import MAX_TEXT_BYTES, OUTCOME_CONFLICT
from chestnutvale.configuration.digest import compute_text_digest
from chestnutvale.configuration.exceptions import TextError
from chestnutvale.configuration.parser import parse_text
from chestnutvale.configuration.plan import plan_change
from chestnutvale.exceptions import ChestnutError
from chestnutvale.http_server.const import (
    OUTCOME_FAILED,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
)
from chestnutvale.http_server.exceptions import HttpRequestError
from chestnutvale.http_server.problem import Problem
from chestnutvale.observability.redaction import redact_secrets
from chestnutvale.programs.control.operator_backend import OperatorBackend
from chestnutvale.programs.control.operator_const import (
    CODE_BAD_REQUEST,
    CODE_MEMBERS_REFUSED,
    CODE_NO_LEADER,
    CODE_NOT_FOUND,
    CODE_NOT_LEADER,
    CODE_OUTCOME_UNKNOWN,
    CODE_REFUSED,
    CODE_UNAUTHORISED,
    DEFAULT_DEADLINE_MS,
    MAX_DEADLINE_MS,
    MAX_OPERATOR_LENGTH,
    MAX_REQUEST_BYTES,
    PATH_DRAIN,
    PATH_DUMP,
    PATH_EVACUATION,
    PATH_PLAN,
    PATH_PREFIX,
    PATH_STATUS,
    PATH_TEXT,
    PATH_VOTERS,
    QUERY_LOCAL,
    RETRY_AFTER_S,
    SMALL_TEXT_CHARACTERS,
    STEP_OPERATOR,
    STEP_PROPOSE,
)
from chestnutvale.programs.control.operator_problems import (
    EVACUATION_STATUSES,
    ProblemAnswer,
    make_conflict_problem,
    make_evacuation_problem,
    make_refusal,
    make_text_problem,
)
from chestnutvale.programs.native_threads import MAX_PARSING_THREADS
from chestnutvale.schema.configuration_pb2 import ApplyText, Text
from chestnutvale.schema.evacuations_pb2 import SetEvacuation
from chestnutvale.schema.operator_pb2 import (
    ApplyAnswer,
    DrainRequest,
    EvacuationRequest,
    OperatorResult,
    VoterChange,
)
from chestnutvale.schema_json import message_to_data
from chestnutvale.settings.token import has_operator_token

_LOGGER = logbook.Logger(__name__)

Environ = dict[str, Any]
Answer = dict[str, Any]
MessageT = TypeVar("MessageT", bound=Message)

# Calls that any control answers from its own state: always, and on request.
_LOCAL_CALLS = frozenset({("GET", PATH_DUMP)})
_OPTIONALLY_LOCAL_CALLS = frozenset({("GET", PATH_STATUS)})
# Calls whose backend redirects to the leader itself, as not every leader knows them.
_REDIRECTED_BY_BACKEND = frozenset({("POST", PATH_EVACUATION)})


class OperatorApi:
    """Serves the operator API; a WSGI application.

    Parameters
    ----------
    token_digest : bytes
        From `chestnutvale.settings.token.hash_token`.
    backend : OperatorBackend
        The control.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, token_digest: bytes, backend: OperatorBackend, clock: Clock
    ) -> None:
        self._token_digest = token_digest
        self._backend = backend
        self._clock = clock
        self._parsing = Semaphore(MAX_PARSING_THREADS)
        self._calls: dict[tuple[str, str], Callable[[Environ, float], Answer]] = {
            ("POST", PATH_TEXT): self._apply_text,
            ("GET", PATH_TEXT): self._get_text,
            ("POST", PATH_PLAN): self._plan,
            ("GET", PATH_STATUS): self._status,
            ("POST", PATH_DRAIN): self._drain,
            ("POST", PATH_EVACUATION): self._set_evacuation,
            ("POST", PATH_VOTERS): self._change_voter,
            ("GET", PATH_DUMP): self._dump,
        }

    @staticmethod
    def handles(path: str) -> bool:
        """Return whether a request belongs to the operator API.

        Parameters
        ----------
        path : str
            Path of the request.

        Returns
        -------
        bool
            True for paths below the prefix of the API.
        """
        return path.startswith(PATH_PREFIX)

    def __call__(self, environ: Environ, start_response: Any) -> list[bytes]:
        """Answer one request."""
        try:
            answer = self._answer(environ)
        except ProblemAnswer as problem_answer:
            return problem_answer.problem.respond(start_response)
        except TextError as error:
            return make_text_problem(error).respond(start_response)
        except HttpRequestError:
            # The HTTP server answers errors of the limits that it enforces.
            raise
        except ChestnutError as error:
            return self._error_problem(error).respond(start_response)
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(answer, default=str).encode()]

    def _answer(self, environ: Environ) -> Answer:
        call = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if not has_operator_token(
            environ.get("HTTP_AUTHORIZATION", ""), self._token_digest
        ):
            raise make_refusal(401, CODE_UNAUTHORISED, "the operator token is wrong")
        if call not in self._calls:
            raise make_refusal(
                404, CODE_NOT_FOUND, "the operator API has no such method and path"
            )
        is_local = _is_local(call, environ) or call in _REDIRECTED_BY_BACKEND
        if not is_local and not self._backend.is_leader():
            raise ProblemAnswer(self._redirect_problem())
        deadline_s = self._clock.now_s() + _parse_deadline_ms(environ) / 1000
        return self._calls[call](environ, deadline_s)

    def _apply_text(self, environ: Environ, deadline_s: float) -> Answer:
        raw = _read_text(environ)
        text = self._parse(raw)
        digest = compute_text_digest(text)
        # A resend must get its first answer, even if hosts have disappeared since.
        if not self._backend.is_accepted(text.number, digest):
            self._parse(raw, self._backend.fabric_domain_hosts())
        operator = _parse_operator_name(environ)
        command = ApplyText(text=text, digest=digest, operator=operator)
        result = self._backend.apply_text(command, deadline_s)
        _LOGGER.info(
            "Text {} from operator {!r}: outcome {}, number {} in force",
            text.number,
            operator,
            result.outcome,
            result.number_in_force,
        )
        answer = ApplyAnswer(
            outcome=result.outcome,
            number=text.number,
            number_in_force=result.number_in_force,
            digest_in_force=result.digest_in_force,
            operator_in_force=result.operator_in_force,
            accepted_at_unix_ms=result.accepted_at_unix_ms,
        )
        if result.outcome != OUTCOME_CONFLICT:
            return message_to_data(answer)
        self._add_difference(answer, text, deadline_s)
        raise ProblemAnswer(make_conflict_problem(answer))

    def _add_difference(
        self, answer: ApplyAnswer, text: Text, deadline_s: float
    ) -> None:
        try:
            in_force = self._backend.read_configuration(deadline_s)
        except ChestnutError as error:
            # The conflict is certain; the difference is optional detail.
            _LOGGER.warning(
                "Could not add the difference to a conflict response: {}", error
            )
            return
        answer.difference.CopyFrom(plan_change(in_force.text, text))

    def _get_text(self, environ: Environ, deadline_s: float) -> Answer:
        return message_to_data(self._backend.read_configuration(deadline_s).text)

    def _parse(self, raw: str, domain_hosts: Mapping[str, int] | None = None) -> Text:
        if len(raw) <= SMALL_TEXT_CHARACTERS:
            return parse_text(raw, domain_hosts)
        # Parsing a large text in a thread keeps the leader's heartbeats running; the
        # threads that write need some left.
        with self._parsing:
            return tpool.execute(parse_text, raw, domain_hosts)

    def _plan(self, environ: Environ, deadline_s: float) -> Answer:
        text = self._parse(_read_text(environ), self._backend.fabric_domain_hosts())
        in_force = self._backend.read_configuration(deadline_s)
        accepted = self._backend.is_accepted(text.number, compute_text_digest(text))
        plan = plan_change(in_force.text, text, accepted)
        plan.evacuated_data_centres.extend(self._backend.evacuated_data_centres())
        return message_to_data(plan)

    def _status(self, environ: Environ, deadline_s: float) -> Answer:
        return message_to_data(self._backend.status(deadline_s))

    def _drain(self, environ: Environ, deadline_s: float) -> Answer:
        request = _read_message(environ, DrainRequest())
        if not request.host_id:
            raise make_refusal(400, CODE_BAD_REQUEST, "host_id is missing")
        return _check_result(self._backend.drain_host(request, deadline_s))

    def _set_evacuation(self, environ: Environ, deadline_s: float) -> Answer:
        request = _read_message(environ, EvacuationRequest())
        if not request.data_centre:
            raise make_refusal(400, CODE_BAD_REQUEST, "data_centre is missing")
        command = SetEvacuation(
            data_centre=request.data_centre,
            finish=request.finish,
            operator=_parse_operator_name(environ),
        )
        return message_to_data(self._backend.set_evacuation(command, deadline_s))

    def _change_voter(self, environ: Environ, deadline_s: float) -> Answer:
        change = _read_message(environ, VoterChange())
        if change.action not in ("add", "remove") or not change.id:
            raise make_refusal(
                400,
                CODE_BAD_REQUEST,
                "action must be add or remove, and id must not be empty",
            )
        if change.action == "add" and not change.address:
            raise make_refusal(400, CODE_BAD_REQUEST, "address is missing")
        return _check_result(self._backend.change_voter(change, deadline_s))

    def _dump(self, environ: Environ, deadline_s: float) -> Answer:
        return redact_secrets(self._backend.dump())

    def _redirect_problem(self) -> Problem:
        address = self._backend.leader_http_address()
        if not address or self._backend.is_leader():
            return Problem(
                status=503,
                code=CODE_NO_LEADER,
                detail="no control leads at the moment",
                outcome=OUTCOME_NOT_RUN,
                step=STEP_OPERATOR,
                retry_after_s=RETRY_AFTER_S,
            )
        return Problem(
            status=421,
            code=CODE_NOT_LEADER,
            detail="another control leads",
            outcome=OUTCOME_NOT_RUN,
            step=STEP_OPERATOR,
            peer=address,
            extra={"leader_http_address": address},
        )

    def _error_problem(self, error: ChestnutError) -> Problem:
        if error.code == CODE_NOT_LEADER:
            return self._redirect_problem()
        if error.code == CODE_MEMBERS_REFUSED:
            return Problem(
                status=409,
                code=CODE_REFUSED,
                detail=error.message,
                outcome=OUTCOME_NOT_RUN,
                step=error.step,
                peer=error.peer,
            )
        if error.code in EVACUATION_STATUSES:
            return make_evacuation_problem(error)
        # For any other error, a command may have been proposed before it.
        return Problem(
            status=504 if error.code == CODE_OUTCOME_UNKNOWN else 503,
            code=error.code,
            detail=error.message,
            outcome=OUTCOME_UNKNOWN,
            step=error.step or STEP_PROPOSE,
            peer=error.peer,
            retry_after_s=RETRY_AFTER_S,
        )


def _is_local(call: tuple[str, str], environ: Environ) -> bool:
    is_requested = environ.get("QUERY_STRING", "") == QUERY_LOCAL
    return call in _LOCAL_CALLS or (is_requested and call in _OPTIONALLY_LOCAL_CALLS)


def _check_result(result: OperatorResult) -> Answer:
    if result.outcome == "done":
        return message_to_data(result)
    problem = Problem(
        status=409,
        code=CODE_REFUSED,
        detail=result.reason,
        outcome=OUTCOME_FAILED,
        step=STEP_OPERATOR,
    )
    raise ProblemAnswer(problem)


def _parse_deadline_ms(environ: Environ) -> int:
    raw = environ.get("HTTP_X_DEADLINE_MS", "")
    if not raw:
        return DEFAULT_DEADLINE_MS
    if not raw.isascii() or not raw.isdigit() or len(raw) > 9:
        raise make_refusal(
            400,
            CODE_BAD_REQUEST,
            "X-Deadline-Ms must be a whole number of at most 9 digits",
        )
    return min(int(raw), MAX_DEADLINE_MS)


def _parse_operator_name(environ: Environ) -> str:
    name = environ.get("HTTP_X_OPERATOR", "")[:MAX_OPERATOR_LENGTH]
    return name if name.isprintable() else ""


def _read_body(environ: Environ, max_bytes: int) -> bytes:
    body = environ["wsgi.input"].read(max_bytes + 1)
    if len(body) > max_bytes:
        reason = f"the body is larger than {max_bytes} bytes"
        raise make_refusal(413, CODE_BAD_REQUEST, reason)
    return body


def _read_text(environ: Environ) -> str:
    body = _read_body(environ, MAX_TEXT_BYTES)
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise make_refusal(400, CODE_BAD_REQUEST, "the text is not UTF-8") from error


def _read_message(environ: Environ, message: MessageT) -> MessageT:
    body = _read_body(environ, MAX_REQUEST_BYTES)
    try:
        return json_format.Parse(body, message)
    except (json_format.ParseError, UnicodeDecodeError, RecursionError) as error:
        raise make_refusal(400, CODE_BAD_REQUEST, str(error)) from error
