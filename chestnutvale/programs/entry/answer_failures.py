"""Records for the log why the answer to a call ended early."""

from typing import Any, Final

from chestnutvale.attempts.const import (
    CODE_ATTEMPTS,
    CODE_BROKEN,
    CODE_CALLER_GONE,
    CODE_REFUSED,
    CODE_RETRY_BUDGET,
    REASON_RESTARTED,
    SILENCE_REASONS,
)
from chestnutvale.attempts.events import Failure
from chestnutvale.http_server.answer_end import AnswerEnd, find_answer_end
from chestnutvale.http_server.const import (
    ENDED_BY_CALLER,
    ENDED_BY_ENDPOINT,
    ENDED_BY_SERVER,
)

# Failures after which a call had no further attempt; the message tells what ended the
# last one.
_ATTEMPT_CODES: Final = frozenset(
    {CODE_ATTEMPTS, CODE_BROKEN, CODE_REFUSED, CODE_RETRY_BUDGET}
)
# What ends an attempt whose endpoint has not ended it itself.
_LEFT_REASONS: Final = SILENCE_REASONS | {REASON_RESTARTED}


def find_ended_by(failure: Failure) -> str:
    """Tell who ended the answer to a failed call.

    Parameters
    ----------
    failure : Failure
        Why the call failed.

    Returns
    -------
    str
        One of the ``ENDED_BY_*`` constants.
    """
    if failure.code == CODE_CALLER_GONE:
        return ENDED_BY_CALLER
    if failure.code in _ATTEMPT_CODES and failure.message not in _LEFT_REASONS:
        return ENDED_BY_ENDPOINT
    return ENDED_BY_SERVER


def record_failure(end: AnswerEnd, failure: Failure) -> None:
    """Record the failure of a call whose answer has begun.

    Parameters
    ----------
    end : AnswerEnd
        The record of the answer.
    failure : Failure
        Why the call failed.
    """
    end.record(find_ended_by(failure), failure.code, failure.message)


def record_caller_gone(environ: dict[str, Any], failure: Failure | None) -> None:
    """Record that a caller left before its answer began.

    It gets no other answer, and the write of one may succeed nevertheless.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    failure : Failure or None
        Why the call failed; nothing is recorded for other failures.
    """
    if failure is not None and failure.code == CODE_CALLER_GONE:
        record_failure(find_answer_end(environ), failure)
