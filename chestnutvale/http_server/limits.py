"""WSGI middleware that refuses requests over the size and time limits."""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus
from typing import Any

import logbook

from chestnutvale.clock import Clock
from chestnutvale.http_server.answer_end import find_answer_end, observe_answer
from chestnutvale.http_server.body import LimitedInput
from chestnutvale.http_server.bodyless import discard_body, has_body, select_headers
from chestnutvale.http_server.const import (
    CODE_SERVER_STOPPING,
    ENDED_BY_SERVER,
    ENVIRON_CLOSE_CONNECTION,
    ENVIRON_RESERVE_MEMORY,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    REASON_STOP,
    REFUSED_BODY_TOO_LARGE,
    REFUSED_HEADERS_TOO_LARGE,
)
from chestnutvale.http_server.exceptions import HttpRequestError
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.http_server.problem import Problem
from chestnutvale.http_server.running_requests import (
    RunningRequests,
    ServerStoppingError,
)
from chestnutvale.schema.settings_pb2 import HttpLimits

_LOGGER = logbook.Logger(__name__)

# The handler may have passed the request on.
_STOPPING_PROBLEM = Problem(
    status=502,
    code=CODE_SERVER_STOPPING,
    detail="the server stops before the request has ended",
    outcome=OUTCOME_UNKNOWN,
)

Headers = list[tuple[str, str]]
WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]


class _BodyMemory:
    """The memory that is reserved for the body of one request."""

    def __init__(self, bound: MemoryBound) -> None:
        self._bound = bound
        self._reserved_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for the body or its next part; False if there is no room."""
        if not self._bound.reserve_body(size_bytes):
            return False
        self._reserved_bytes += size_bytes
        return True

    def release(self, environ: dict[str, Any]) -> None:
        """Release the memory at the end of the request."""
        self._bound.release_body(self._reserved_bytes)
        self._reserved_bytes = 0


class RequestLimitsMiddleware:
    """WSGI middleware that enforces limits on headers and bodies.

    It also keeps the bodies of all answers to the rules of HTTP.

    Parameters
    ----------
    app : WSGI application
        The wrapped application.
    limits : HttpLimits
        Largest headers and body in bytes, and the time for a body to arrive.
    clock : Clock
        Source of time.
    memory : MemoryBound
        Bound on the memory of requests and answers.

    Attributes
    ----------
    draining : bool
        If True, each connection is closed after its next answer.
    running : RunningRequests
        The requests whose answer is not complete.
    refused : Counter
        Number of refused requests by reason.
    """

    def __init__(
        self, app: WsgiApp, limits: HttpLimits, clock: Clock, memory: MemoryBound
    ) -> None:
        self.draining = False
        self.running = RunningRequests()
        self.refused: Counter[str] = Counter()
        self._app = app
        self._limits = limits
        self._clock = clock
        self._memory = memory

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one request, with a problem document if it exceeds a limit."""

        method = environ["REQUEST_METHOD"]
        may_have_body = True

        def start_answer(status_line: str, headers: Headers, *arguments: Any) -> Any:
            nonlocal may_have_body
            request.has_answer = True
            if self.draining:
                environ[ENVIRON_CLOSE_CONNECTION]()
            status = int(status_line.partition(" ")[0])
            end.status = status
            may_have_body = has_body(method, status)
            if not may_have_body:
                headers = select_headers(status, headers)
            return start_response(status_line, headers, *arguments)

        end = find_answer_end(environ)
        request = self.running.add(environ)
        body = _BodyMemory(self._memory)
        hooks = environ["eventlet.posthooks"]
        hooks.append((partial(self.running.remove, request), (), {}))
        hooks.append((body.release, (), {}))
        environ[ENVIRON_RESERVE_MEMORY] = body.reserve
        try:
            self._check_head(environ)
            environ["wsgi.input"] = self._limit_body(environ)
            answer = self._app(environ, start_answer)
        except HttpRequestError as error:
            answer = self._refuse(error, environ, start_answer)
        except ServerStoppingError:
            end.record(ENDED_BY_SERVER, REASON_STOP, _STOPPING_PROBLEM.detail)
            answer = _STOPPING_PROBLEM.respond(start_answer)
        except Exception as error:
            end.record_error(error)
            end.status = HTTPStatus.INTERNAL_SERVER_ERROR.value
            raise
        answer = observe_answer(answer, end)
        return answer if may_have_body else discard_body(answer)

    def _check_head(self, environ: dict[str, Any]) -> None:
        headers = environ["headers_raw"]
        size = sum(len(name) + len(value) for name, value in headers)
        if size > self._limits.max_header_bytes:
            raise HttpRequestError(
                431,
                REFUSED_HEADERS_TOO_LARGE,
                f"the headers are larger than {self._limits.max_header_bytes} bytes",
            )
        if int(environ.get("CONTENT_LENGTH") or 0) > self._limits.max_body_bytes:
            raise HttpRequestError(
                413,
                REFUSED_BODY_TOO_LARGE,
                f"the body is larger than {self._limits.max_body_bytes} bytes",
            )

    def _limit_body(self, environ: dict[str, Any]) -> LimitedInput:
        deadline_s = self._clock.now_s() + self._limits.idle_timeout_ms / 1000
        return LimitedInput(
            environ["wsgi.input"],
            self._limits.max_body_bytes,
            deadline_s,
            self._clock,
        )

    def _refuse(
        self, error: HttpRequestError, environ: dict[str, Any], start_response: Any
    ) -> list[bytes]:
        self.refused[error.reason] += 1
        end = find_answer_end(environ)
        _LOGGER.info(
            "request_refused",
            extra={
                "request": end.request_id,
                "client": end.client,
                "status": error.status,
                "code": error.reason,
                "reason": error.message,
            },
        )
        # Unread body bytes would be parsed as the next request on this connection.
        environ[ENVIRON_CLOSE_CONNECTION]()
        problem = Problem(
            status=error.status,
            code=error.reason,
            detail=error.message,
            outcome=OUTCOME_NOT_RUN,
            step=error.step,
            peer=environ.get("REMOTE_ADDR", ""),
        )
        return problem.respond(start_response)
