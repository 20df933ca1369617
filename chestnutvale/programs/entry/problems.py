"""Failures as callers see them: problem documents of RFC 9457."""

import json
import math
import random
from typing import Any

import attrs

from chestnutvale.attempts.events import Failure

CONTENT_TYPE_PROBLEM = "application/problem+json"
# Share of a retry time by which it is spread, so that callers don't return at once.
RETRY_SPREAD = 0.5
# Status for metrics and logs when the caller closed the connection; never sent.
STATUS_CALLER_GONE = 499

_STATUS_BY_CODE = {
    "bad_request": 400,
    "resume_mismatch": 502,
    "too_large": 413,
    "unauthorized": 401,
    "forbidden": 403,
    "not_found": 404,
    "overloaded": 429,
    "queue_full": 429,
    "rate_limited": 429,
    "call_running": 409,
    "outcome_unknown": 409,
    "key_mismatch": 422,
    "answer_not_recorded": 410,
    "crashing_request": 422,
    "deadline_exceeded": 504,
    "attempts_exhausted": 502,
    "stream_broken": 502,
    "endpoint_broken": 502,
    "unreadable_answer": 502,
    "answer_too_large": 502,
    "caller_gone": STATUS_CALLER_GONE,
}
_DEFAULT_STATUS = 503
_REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    STATUS_CALLER_GONE: "Client Closed Request",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@attrs.frozen
class Problem:
    """A failure ready to be sent.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Reason phrase of the status line.
    headers : list of tuple of str
        Header names and values.
    body : bytes
        The JSON document.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def status_line(self) -> str:
        """Status and reason as WSGI takes them."""
        return f"{self.status} {self.reason}"


def spread_retry_after_s(retry_after_s: float, rng: random.Random) -> int:
    """Spread a retry time and round it up to whole seconds.

    Parameters
    ----------
    retry_after_s : float
        Earliest time in seconds.
    rng : random.Random
        Source of random numbers.

    Returns
    -------
    int
        Seconds for ``Retry-After``; at least 1.
    """
    spread = retry_after_s * (1.0 + RETRY_SPREAD * rng.random())
    return max(1, math.ceil(spread))


def make_problem(
    failure: Failure, request_id: str, rng: random.Random, **extra: Any
) -> Problem:
    """Make the problem document of a failure.

    Parameters
    ----------
    failure : Failure
        The failure.
    request_id : str
        Identity of the call.
    rng : random.Random
        Source of random numbers, for the spread of ``Retry-After``.
    **extra : object
        Further members of the document.

    Returns
    -------
    Problem
        The problem.
    """
    status = _STATUS_BY_CODE.get(failure.code, _DEFAULT_STATUS)
    reason = _REASONS.get(status, "Error")
    document: dict[str, Any] = {
        "type": "about:blank",
        "title": reason,
        "status": status,
        "detail": failure.message,
        "code": failure.code,
        "outcome": failure.outcome,
        "step": failure.step,
        "peer": failure.peer,
        "request_id": request_id,
        **extra,
    }
    headers = [("Content-Type", CONTENT_TYPE_PROBLEM), ("X-Request-Id", request_id)]
    if failure.retry_after_s is not None:
        seconds = spread_retry_after_s(failure.retry_after_s, rng)
        headers.append(("Retry-After", str(seconds)))
        document["retry_after_s"] = seconds
    body = json.dumps(document).encode()
    headers.append(("Content-Length", str(len(body))))
    return Problem(status, reason, headers, body)
