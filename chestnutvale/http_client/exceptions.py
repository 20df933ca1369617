"""Errors of the HTTP client."""

from chestnutvale.exceptions import ChestnutError


class AnswerFormatError(ChestnutError):
    """Received bytes are no valid HTTP answer, or the answer is incomplete."""

    code = "invalid_answer"
