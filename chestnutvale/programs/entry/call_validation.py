"""Validates calls before admission."""

from typing import Any

import attrs

from chestnutvale.attempts.const import (
    DEFAULT_RETRY_AFTER_S,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    REFUSAL_OVERLOADED,
)
from chestnutvale.attempts.events import Failure
from chestnutvale.http_server.const import ENVIRON_RESERVE_MEMORY
from chestnutvale.programs.entry.context import (
    PRIORITIES,
    PRIORITY_NORMAL,
    CallContext,
)
from chestnutvale.programs.entry.exceptions import BadCallError
from chestnutvale.schema.configuration_pb2 import Service

STEP_INTAKE = "intake"
DEFAULT_DEADLINE_MS = 60_000
MAX_DEADLINE_MS = 3_600_000
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
# Bytes of a body of unknown size that are reserved and read at once.
CHUNKED_READ_BYTES = 64 * 1024
# Retry-After of a call for whose body there is no memory; others end within that time.
NO_MEMORY_RETRY_AFTER_S = 1.0
CODE_ENTRY_STOPPING = "entry_stopping"
# Retry-After of a call at an entry that stops; another entry can take it at once.
STOPPING_RETRY_AFTER_S = 0.05


class CallRefusedError(Exception):
    """A call is refused before admission.

    Parameters
    ----------
    failure : Failure
        The failure to report to the caller.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


@attrs.frozen
class CallHeaders:
    """The values of a call's headers.

    Attributes
    ----------
    request_id : str
        Identity of the call, assigned by this entry.
    workspace : str
        The caller's workspace.
    priority : str
        ``urgent``, ``normal`` or ``batch``.
    received_s : float
        Monotonic time in seconds at which the call arrived.
    deadline_ms : int or None
        Time limit in milliseconds from the caller's header; None without the header.
    """

    request_id: str
    workspace: str
    priority: str
    received_s: float
    deadline_ms: int | None

    def deadline_s(self, service: Service) -> float:
        """Return the deadline of the call.

        Parameters
        ----------
        service : Service
            The service that is called, whose default is used.

        Returns
        -------
        float
            Monotonic time in seconds.
        """
        default_ms = service.limits.default_deadline_ms or DEFAULT_DEADLINE_MS
        chosen_ms = default_ms if self.deadline_ms is None else self.deadline_ms
        return self.received_s + min(chosen_ms, MAX_DEADLINE_MS) / 1_000


def make_refusal(
    code: str,
    message: str,
    *,
    outcome: str = OUTCOME_NOT_RUN,
    retry_after_s: float | None = None,
) -> CallRefusedError:
    """Make the error of a refused call.

    Parameters
    ----------
    code : str
        Stable code.
    message : str
        Reason for the caller.
    outcome : str, optional
        Outcome of the call.
    retry_after_s : float or None, optional
        Time in seconds after which a retry makes sense.

    Returns
    -------
    CallRefusedError
        The error, to be raised.
    """
    failure = Failure(code, outcome, message, STEP_INTAKE, "", retry_after_s)
    return CallRefusedError(failure)


def make_stop_refusal(outcome: str = OUTCOME_NOT_RUN) -> CallRefusedError:
    """Make the error of a call that is refused because the entry stops.

    Parameters
    ----------
    outcome : str, optional
        Outcome of the call.

    Returns
    -------
    CallRefusedError
        The error, to be raised.
    """
    return make_refusal(
        CODE_ENTRY_STOPPING,
        "this entry stops before the answer is likely to be complete",
        outcome=outcome,
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )


def make_bad_call_refusal(error: BadCallError) -> CallRefusedError:
    """Make the error of an invalid call.

    Parameters
    ----------
    error : BadCallError
        What is wrong.

    Returns
    -------
    CallRefusedError
        The error, to be raised.
    """
    return make_refusal(error.problem_code, error.message)


def read_call_headers(
    context: CallContext, environ: dict[str, Any], request_id: str
) -> CallHeaders:
    """Authenticate the caller and read the headers of the call.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    environ : dict
        The WSGI environment.
    request_id : str
        Identity of the call.

    Returns
    -------
    CallHeaders
        The headers.

    Raises
    ------
    CallRefusedError
        If the key is missing or unknown, or a header is invalid.
    """
    workspace = context.authenticate(environ)
    if workspace is None:
        # Without a lease the entry may not have received the keys yet, so that a valid
        # key must not be reported as unknown.
        check_lease(context, outcome_without_ledger(environ))
        raise make_refusal("unauthorized", "the API key is missing or unknown")
    priority = environ.get("HTTP_X_PRIORITY", PRIORITY_NORMAL).strip().lower()
    if priority not in PRIORITIES:
        raise make_refusal("bad_request", "X-Priority must be urgent, normal or batch")
    return CallHeaders(
        request_id=request_id,
        workspace=workspace,
        priority=priority,
        received_s=context.clock.now_s(),
        deadline_ms=_read_deadline_ms(environ),
    )


def find_service(
    context: CallContext, call_headers: CallHeaders, name: str, kind: str
) -> Service:
    """Find the service that a call names.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    call_headers : CallHeaders
        The call.
    name : str
        Name of the service.
    kind : str
        ``model`` or ``plain``.

    Returns
    -------
    Service
        The service.

    Raises
    ------
    CallRefusedError
        If there is no such service or the workspace may not call it.
    """
    text = context.text
    workspace = text.workspaces.get(call_headers.workspace)
    allowed = workspace is not None and (
        not workspace.services or name in workspace.services
    )
    if not allowed:
        raise make_refusal("forbidden", f"the workspace may not call {name!r}")
    service = text.services.get(name)
    if service is None or service.kind != kind:
        raise make_refusal("not_found", f"there is no {kind} service {name!r}")
    return service


def read_body(environ: dict[str, Any], max_bytes: int) -> bytes:
    """Read the body of a call.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    max_bytes : int
        Maximum size of the body in bytes.

    Returns
    -------
    bytes
        The body.

    Raises
    ------
    CallRefusedError
        If the body is too large or shorter than its Content-Length, or if there is no
        memory for it.
    """
    length_text = environ.get("CONTENT_LENGTH") or ""
    length = int(length_text) if length_text.isdecimal() else None
    if length is not None and length > max_bytes:
        raise make_refusal("too_large", f"the body is larger than {max_bytes} bytes")
    if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    if length is None:
        body = _read_chunked(environ, max_bytes)
    else:
        _reserve_memory(environ, length)
        body = environ["wsgi.input"].read(length)
    if len(body) > max_bytes:
        raise make_refusal("too_large", f"the body is larger than {max_bytes} bytes")
    if length is not None and len(body) < length:
        raise make_refusal("bad_request", "the body is shorter than its Content-Length")
    return body


def _read_chunked(environ: dict[str, Any], max_bytes: int) -> bytes:
    body = bytearray()
    reserved_bytes = 0
    while len(body) <= max_bytes:
        part_bytes = min(max_bytes + 1 - len(body), CHUNKED_READ_BYTES)
        missing_bytes = len(body) + part_bytes - reserved_bytes
        _reserve_memory(environ, missing_bytes)
        reserved_bytes += missing_bytes
        part = environ["wsgi.input"].read(part_bytes)
        if not part:
            break
        body += part
    return bytes(body)


def _reserve_memory(environ: dict[str, Any], size_bytes: int) -> None:
    reserve = environ.get(ENVIRON_RESERVE_MEMORY)
    if reserve is not None and not reserve(size_bytes):
        raise make_refusal(
            REFUSAL_OVERLOADED,
            "the entry has no memory for the call",
            retry_after_s=NO_MEMORY_RETRY_AFTER_S,
        )


def outcome_without_ledger(environ: dict[str, Any]) -> str:
    """Return the outcome to report for a call before the ledger was consulted.

    Parameters
    ----------
    environ : dict
        The WSGI environment.

    Returns
    -------
    str
        ``unknown`` for a call with a key, which may have run before.
    """
    has_key = bool(environ.get("HTTP_IDEMPOTENCY_KEY", "").strip())
    return OUTCOME_UNKNOWN if has_key else OUTCOME_NOT_RUN


def check_stop(
    context: CallContext,
    service: str,
    deadline_s: float,
    outcome: str = OUTCOME_NOT_RUN,
) -> None:
    """Check that a call is likely to end before the entry stops, if it does.

    The deadline of a call that is taken stays: an endpoint would break off an answer at
    an earlier one, although it can be delivered until the stop.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    service : str
        Service that is called.
    deadline_s : float
        Deadline of the call as monotonic time in seconds.
    outcome : str, optional
        Outcome to report if the call is refused.

    Raises
    ------
    CallRefusedError
        If the entry stops before.
    """
    now_s = context.clock.now_s()
    if not context.stop_window.may_take(service, deadline_s, now_s):
        raise make_stop_refusal(outcome)


def check_lease(context: CallContext, outcome: str = OUTCOME_NOT_RUN) -> None:
    """Check that the entry may take calls.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    outcome : str, optional
        Outcome to report if it may not.

    Raises
    ------
    CallRefusedError
        If the entry holds no serving lease.
    """
    if not context.has_lease(context.clock.now_s()):
        raise make_refusal(
            "no_lease",
            "this entry holds no lease from the controls",
            outcome=outcome,
            retry_after_s=DEFAULT_RETRY_AFTER_S,
        )


class _ServingServices:
    """The services with at least one serving group, evaluated lazily."""

    def __init__(self, context: CallContext) -> None:
        self._context = context

    def __contains__(self, name: object) -> bool:
        return bool(self._context.serving_groups(str(name), ""))


def check_dependencies(
    context: CallContext, name: str, outcome: str = OUTCOME_NOT_RUN
) -> None:
    """Check that all dependencies of a service have serving groups.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    name : str
        Name of the service.
    outcome : str, optional
        Outcome to report if one does not.

    Raises
    ------
    CallRefusedError
        If a dependency has no serving group; the message names all of them.
    """
    missing = context.lookup.missing_dependencies(name, _ServingServices(context))
    if missing:
        raise make_refusal(
            "dependency_down",
            f"{name!r} needs {', '.join(missing)}, which has no serving group",
            outcome=outcome,
            retry_after_s=DEFAULT_RETRY_AFTER_S,
        )


def _read_deadline_ms(environ: dict[str, Any]) -> int | None:
    text = environ.get("HTTP_X_DEADLINE_MS", "").strip()
    if not text:
        return None
    if not text.isdecimal() or len(text) > 12 or int(text) == 0:
        raise make_refusal(
            "bad_request",
            "X-Deadline-Ms must be a positive integer of at most 12 digits",
        )
    return int(text)
