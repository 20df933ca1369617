"""Exceptions raised by the HTTP server."""

from chestnutvale.exceptions import ChestnutError
from chestnutvale.http_server.const import (
    ENDED_BY_SERVER,
    REASON_INTERNAL_ERROR,
    STEP_RECEIVE,
)


class HttpListenError(ChestnutError):
    """The server could not listen on its address."""

    code = "http_listen_failed"


class ClientGoneError(ConnectionError):
    """The client closed its connection before the answer was complete.

    eventlet handles operating system errors at this point, so this class derives from
    `ConnectionError` and not from `ChestnutError`.
    """


class AnswerCutError(ConnectionAbortedError):
    """The server cut an answer whose unread part took too much memory."""


class AnswerNotReadError(TimeoutError):
    """The client read nothing of its answer for the timeout of the connection."""


class HttpRequestError(ChestnutError):
    """A request exceeded a server limit or was malformed; it was not executed.

    Parameters
    ----------
    status : int
        HTTP status code of the answer.
    reason : str
        One of the ``REFUSED_*`` constants.
    message : str
        Which limit was exceeded, or what is malformed.
    peer : str, optional
        Address of the client.
    """

    code = "request_refused"

    def __init__(
        self, status: int, reason: str, message: str, *, peer: str = ""
    ) -> None:
        super().__init__(message, step=STEP_RECEIVE, peer=peer)
        self.status = status
        self.reason = reason


class AnswerBrokenError(Exception):
    """Aborts a partially sent answer, so that the client sees it as incomplete.

    Parameters
    ----------
    message : str
        What happened.
    ended_by : str, optional
        One of the ``ENDED_BY_*`` constants.
    reason : str, optional
        Why the answer ended, as a code.
    """

    def __init__(
        self,
        message: str,
        ended_by: str = ENDED_BY_SERVER,
        reason: str = REASON_INTERNAL_ERROR,
    ) -> None:
        super().__init__(message)
        self.ended_by = ended_by
        self.reason = reason
