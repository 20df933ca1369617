"""Errors of the HTTP client."""

from chestnutvale.exceptions import ChestnutError


class AnswerFormatError(ChestnutError):
    """Received bytes are no valid HTTP answer, or the answer is incomplete."""

    code = "invalid_answer"


class BodyTooLargeError(AnswerFormatError):
    """The body of an answer is larger than its reader allows."""

    code = "answer_too_large"


class AnswerLimitError(AnswerFormatError):
    """A part of an answer exceeds a limit that sound answers keep."""

    code = "answer_limit"


class BodyCutError(AnswerFormatError):
    """The body of an answer was given up, as the process lacks memory for it."""

    code = "answer_cut"


class ConnectionTimedOutError(ConnectionError):
    """The kernel gave a connection up, as its peer acknowledged nothing for too long.

    Python raises a `TimeoutError` for this, as for a deadline that passed. But the
    connection has failed, whereas after a deadline it can still be used. It is an
    `OSError` like all failures of a connection, and no `ChestnutError`.
    """
