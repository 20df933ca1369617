"""Errors of the HTTP server."""

from chestnutvale.exceptions import ChestnutError
from chestnutvale.http_server.const import STEP_RECEIVE


class HttpListenError(ChestnutError):
    """An address that can't be listened on."""

    code = "http_listen_failed"


class ClientGoneError(ConnectionError):
    """A client that closed its connection before its answer ended.

    The server library expects errors of the operating system here, so this one is
    not a `ChestnutError`.
    """


class HttpRequestError(ChestnutError):
    """A request that breaks a limit of the server; it was not run.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    reason : str
        One of the ``REFUSED_*`` constants.
    message : str
        What the limit is.
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
    """Ends an answer that has begun, so that its client does not take it for whole."""
