"""Errors of the entry's calls."""

from chestnutvale.exceptions import ChestnutError


class CommitRefusedError(ChestnutError):
    """A command that was certainly not proposed, for want of a leader."""

    code = "not_leader"


class CommitUnknownError(ChestnutError):
    """A command that may or may not be committed, now or later."""

    code = "commit_unknown"


class EndpointUnreachableError(ChestnutError):
    """An endpoint that took no connection, so that no byte was sent."""

    code = "unreachable"


class EndpointRefusedError(ChestnutError):
    """An endpoint that says that it did not run the call.

    Parameters
    ----------
    message : str
        What it said.
    step : str, optional
        The step at which it said so.
    peer : str, optional
        Address of the endpoint.
    retry_after_s : float or None, optional
        When it says to come back, in seconds.
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
    """A connection to an endpoint that broke after bytes may have been sent."""

    code = "endpoint_broken"


class EndpointSilentError(ChestnutError):
    """An endpoint that sent nothing before the time given to it."""

    code = "endpoint_silent"


class AnswerTooLargeError(ChestnutError):
    """An endpoint's answer that is larger than may be held."""

    code = "answer_too_large"


class UnreadableAnswerError(ChestnutError):
    """An answer whose events are not the chunks that the protocol asks for."""

    code = "unreadable_answer"


class BadCallError(ChestnutError):
    """A call that is wrong in itself.

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
