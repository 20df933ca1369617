"""Converts failures of calls to problem documents (RFC 9457)."""

import math
import random

from chestnutvale.attempts.const import OUTCOME_NOT_RUN
from chestnutvale.attempts.events import Failure
from chestnutvale.http_server.problem import STATUS_CALLER_GONE, Problem

# Largest random share that is added to a retry time, so that the callers that were
# refused together don't retry together.
RETRY_JITTER_SHARE = 0.5

_STATUS_BY_CODE = {
    "bad_request": 400,
    "resume_mismatch": 502,
    "too_large": 413,
    "unauthorized": 401,
    "forbidden": 403,
    "not_found": 404,
    "overloaded": 429,
    "queue_full": 429,
    "deadline_unreachable": 429,
    "request_too_large": 413,
    "duplicate_request": 409,
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
# Statuses that say that the call has not run.
_NOT_RUN_STATUSES = frozenset({429, 503})
_STATUS_MAY_HAVE_RUN = 502


def add_retry_jitter(retry_after_s: float, rng: random.Random) -> float:
    """Add jitter to a retry time, so that callers don't retry together.

    Parameters
    ----------
    retry_after_s : float
        Shortest retry time in seconds.
    rng : random.Random
        Source of random numbers.

    Returns
    -------
    float
        Retry time in seconds; never shorter than `retry_after_s`.
    """
    return retry_after_s * (1.0 + RETRY_JITTER_SHARE * rng.random())


def make_retry_after_s(retry_after_s: float, rng: random.Random) -> int:
    """Add jitter to a retry time and round it up to whole seconds.

    Parameters
    ----------
    retry_after_s : float
        Shortest retry time in seconds.
    rng : random.Random
        Source of random numbers.

    Returns
    -------
    int
        Value of ``Retry-After`` in seconds; at least 1.
    """
    return max(1, math.ceil(add_retry_jitter(retry_after_s, rng)))


def make_problem(failure: Failure, request_id: str, rng: random.Random) -> Problem:
    """Make the problem document of a failure.

    Parameters
    ----------
    failure : Failure
        Why the call failed.
    request_id : str
        Identity of the call.
    rng : random.Random
        Source of random numbers, for the jitter of ``Retry-After``.

    Returns
    -------
    Problem
        The problem document. For a code without a status of its own, its status is 503
        if the call has certainly not run, else 502.
    """
    retry_after_s = failure.retry_after_s
    if retry_after_s is not None:
        retry_after_s = make_retry_after_s(retry_after_s, rng)
    return Problem(
        status=_find_status(failure),
        code=failure.code,
        detail=failure.message,
        outcome=failure.outcome,
        step=failure.step,
        peer=failure.peer,
        retry_after_s=retry_after_s,
        request_id=request_id,
    )


def _find_status(failure: Failure) -> int:
    status = _STATUS_BY_CODE.get(failure.code, _DEFAULT_STATUS)
    if status in _NOT_RUN_STATUSES and failure.outcome != OUTCOME_NOT_RUN:
        return _STATUS_MAY_HAVE_RUN
    return status
