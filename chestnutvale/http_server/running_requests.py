"""The requests that a server is answering."""

from typing import Any

import greenlet
import logbook
from eventlet import hubs

from chestnutvale.http_server.answer_end import find_answer_end

_LOGGER = logbook.Logger(__name__)


def find_client(environ: dict[str, Any]) -> str:
    """Return the address and port of the client of a request.

    Parameters
    ----------
    environ : dict
        The WSGI environment.

    Returns
    -------
    str
        Address and port, by which the lines about one connection can be found.
    """
    return f"{environ.get('REMOTE_ADDR', '')}:{environ.get('REMOTE_PORT', '')}"


def format_address(address: tuple[Any, ...]) -> str:
    """Return the address of a client in the form of `find_client`.

    Parameters
    ----------
    address : tuple
        Address and port, as the socket gives them.

    Returns
    -------
    str
        Address and port.
    """
    return f"{address[0]}:{address[1]}"


class ServerStoppingError(BaseException):
    """Interrupts a request that has no answer when its server stops.

    Not an `Exception`, which a handler may catch.
    """


class RunningRequest:
    """A request and the task that answers it.

    Attributes
    ----------
    has_answer : bool
        Whether the answer has begun, so that no other one can be given.
    """

    def __init__(self, environ: dict[str, Any]) -> None:
        self.has_answer = False
        self._environ = environ
        self._task = greenlet.getcurrent()

    def log_fields(self) -> dict[str, Any]:
        """Return what identifies the request in the log."""
        return {
            "request": find_answer_end(self._environ).request_id,
            "client": find_client(self._environ),
            "method": self._environ.get("REQUEST_METHOD", ""),
            "path": self._environ.get("PATH_INFO", ""),
            "has_answer": self.has_answer,
        }

    def interrupt(self) -> None:
        """Raise `ServerStoppingError` in the task; only the hub may call this."""
        if not self._task.dead:
            self._task.throw(ServerStoppingError())


class RunningRequests:
    """The requests of one server whose answers are not complete."""

    def __init__(self) -> None:
        self._requests: set[RunningRequest] = set()

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._requests)

    def add(self, environ: dict[str, Any]) -> RunningRequest:
        """Add the request that the current task answers.

        Parameters
        ----------
        environ : dict
            The WSGI environment.

        Returns
        -------
        RunningRequest
            The request, to be removed with `remove`.
        """
        request = RunningRequest(environ)
        self._requests.add(request)
        return request

    def remove(self, request: RunningRequest, environ: dict[str, Any]) -> None:
        """Remove a request at its end; may be called as a hook of eventlet.

        Parameters
        ----------
        request : RunningRequest
            The request.
        environ : dict
            The WSGI environment.
        """
        self._requests.discard(request)

    def log_all(self) -> None:
        """Log each request that is about to be cut."""
        for request in self._requests:
            _LOGGER.warning("request_cut", extra=request.log_fields())

    def interrupt_unanswered(self) -> int:
        """Interrupt the requests whose answers have not begun.

        Returns
        -------
        int
            Number of these requests; they are interrupted after this returns.
        """
        unanswered = [item for item in self._requests if not item.has_answer]
        for request in unanswered:
            # A task may only be interrupted from the hub that it waits for.
            hubs.get_hub().schedule_call_global(0, self._interrupt, request)
        return len(unanswered)

    def _interrupt(self, request: RunningRequest) -> None:
        if request in self._requests and not request.has_answer:
            request.interrupt()
