"""Answers to callers of routed calls, and when they may promise that nothing ran."""

from collections.abc import Iterable
from http import HTTPStatus

import attrs

from chestnutvale.attempts.const import CODE_UNPROVEN_REFUSAL, OUTCOME_UNKNOWN
from chestnutvale.attempts.events import Failure
from chestnutvale.http_server.bodyless import discard_body
from chestnutvale.programs.entry.const import STEP_RECEIVE
from chestnutvale.programs.entry.routed.caller_protocol import Headers

BODYLESS_STATUSES = frozenset({204, 304})


@attrs.frozen
class CallAnswer:
    """An answer that is ready to be sent to the caller.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase; empty for the usual one of the status.
    headers : list of tuple of (str, str)
        Headers, without those that concern a single connection.
    body : iterable of bytes
        Body; closed by whoever does not send the answer, if it can be closed.
    is_known_not_run : bool
        Whether the request certainly has not run and never will.
    peer : str
        Address of the endpoint or entry that gave the answer; empty for this entry.
    failure : Failure or None
        The failure that this entry answers with.
    """

    status: int
    reason: str
    headers: Headers
    body: Iterable[bytes]
    is_known_not_run: bool = False
    peer: str = ""
    failure: Failure | None = None

    @property
    def status_line(self) -> str:
        """Status and reason phrase, as ``start_response`` expects them."""
        return f"{self.status} {self.reason or _find_phrase(self.status)}"

    def close(self) -> None:
        """Release the body of an answer that is not sent."""
        discard_body(self.body)


def make_forwarded_answer(
    status: int, reason: str, headers: Headers, body: bytes, peer: str
) -> CallAnswer:
    """Make the answer that forwards a complete answer of an endpoint.

    Parameters
    ----------
    status : int
        HTTP status of the endpoint's answer.
    reason : str
        Reason phrase; empty for the usual one of the status.
    headers : list of tuple of (str, str)
        Headers, without those that concern a single connection.
    body : bytes
        Body.
    peer : str
        Address of the endpoint.

    Returns
    -------
    CallAnswer
        The answer; an endpoint that answers may have run the request.
    """
    kept = list(headers)
    if status not in BODYLESS_STATUSES:
        kept.append(("Content-Length", str(len(body))))
    return CallAnswer(status, reason, kept, [body], peer=peer)


def find_unproven_refusal(
    answer: CallAnswer, *, promises_not_run: bool, is_repeatable: bool
) -> Failure | None:
    """Check that an answer makes no promise that this entry can't keep.

    Invariant "not-run promise": a status that tells the caller that its request has
    not run, and never will, is sent only if that is known. Callers send such a request
    again, so a false promise runs it twice. Calls that may run more than once are
    exempt: their callers may repeat them after any failure.

    Parameters
    ----------
    answer : CallAnswer
        The answer that is about to be sent.
    promises_not_run : bool
        Whether its status makes the promise.
    is_repeatable : bool
        Whether the call may run more than once.

    Returns
    -------
    Failure or None
        The failure to report instead; None if the answer may be sent.
    """
    if is_repeatable or answer.is_known_not_run or not promises_not_run:
        return None
    return Failure(
        CODE_UNPROVEN_REFUSAL,
        OUTCOME_UNKNOWN,
        f"an answer with status {answer.status} does not prove that the request has "
        "not run",
        STEP_RECEIVE,
        answer.peer,
    )


def _find_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
