"""Errors of the entry's calls."""

from chestnutvale.exceptions import ChestnutError


class CommitRefusedError(ChestnutError):
    """A command was certainly not proposed, because there is no leader."""

    code = "not_leader"


class CommitUnknownError(ChestnutError):
    """It is unknown whether a command was or will be committed."""

    code = "commit_unknown"


class EndpointUnreachableError(ChestnutError):
    """An endpoint accepted no connection, so no byte was sent."""

    code = "unreachable"


class EndpointUnavailableError(ChestnutError):
    """An endpoint said that it leaves or pauses, so no request was sent to it."""

    code = "unavailable"


class EndpointRefusedError(ChestnutError):
    """An endpoint answered that it did not run the call.

    Parameters
    ----------
    message : str
        Message of the endpoint.
    step : str, optional
        Step of the exchange.
    peer : str, optional
        Address of the endpoint.
    retry_after_s : float or None, optional
        Time in seconds after which the endpoint allows a retry.
    """

    code = "endpoint_refused"

    def __init__(
        self,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class EndpointBrokenError(ChestnutError):
    """A connection to an endpoint broke after bytes may have been sent."""

    code = "endpoint_broken"


class EndlessAnswerError(EndpointBrokenError):
    """An answer exceeds a limit that sound answers keep, and may have no end."""

    code = "endless_answer"


class EndpointSilentError(ChestnutError):
    """An endpoint sent nothing before the timeout."""

    code = "endpoint_silent"


class AnswerTooLargeError(ChestnutError):
    """An endpoint's answer exceeds the size limit."""

    code = "answer_too_large"


class UnreadableAnswerError(ChestnutError):
    """An answer contains events that are not chunks of the protocol."""

    code = "unreadable_answer"


class BadCallError(ChestnutError):
    """A call is invalid.

    Parameters
    ----------
    message : str
        What is wrong.
    status : int, optional
        HTTP status of the answer.
    code : str, optional
        Stable code of the answer.
    """

    code = "bad_request"

    def __init__(
        self, message: str, *, status: int = 400, code: str = "bad_request"
    ) -> None:
        super().__init__(message, step="parse")
        self.status = status
        self.problem_code = code
