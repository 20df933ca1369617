"""The requests that a server is answering."""

from typing import Any

import greenlet
from eventlet import hubs


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

    def __init__(self) -> None:
        self.has_answer = False
        self._task = greenlet.getcurrent()

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

    def add(self) -> RunningRequest:
        """Add the request that the current task answers.

        Returns
        -------
        RunningRequest
            The request, to be removed with `remove`.
        """
        request = RunningRequest()
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
