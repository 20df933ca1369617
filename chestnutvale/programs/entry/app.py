"""Routes HTTP requests of callers, endpoints and operators."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from chestnutvale.http_server.problem import Problem
from chestnutvale.programs.entry.const import (
    PATH_ANNOUNCEMENTS,
    PATH_CHAT,
    PATH_COMPLETIONS,
    PREFIX_SERVICES,
)

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
METHOD_GET = "GET"
METHOD_POST = "POST"
STATUS_OK = "200 OK"
STATUS_UNAVAILABLE = "503 Service Unavailable"
STATUS_NOT_FOUND = 404
STATUS_METHOD_NOT_ALLOWED = 405


class EntryApp:
    """The entry's one WSGI application.

    Parameters
    ----------
    chat, completions, services, announcements : WSGI application
        Handlers of the paths.
    operations : dict of str to WSGI application
        Handlers of GET requests of operators and the platform, by path.
    """

    def __init__(
        self,
        *,
        chat: WsgiApp,
        completions: WsgiApp,
        services: WsgiApp,
        announcements: WsgiApp,
        operations: dict[str, WsgiApp],
    ) -> None:
        self._services = services
        self._routes = {(METHOD_GET, path): app for path, app in operations.items()}
        self._routes[METHOD_POST, PATH_CHAT] = chat
        self._routes[METHOD_POST, PATH_COMPLETIONS] = completions
        self._routes[METHOD_POST, PATH_ANNOUNCEMENTS] = announcements
        self._paths = {path for _, path in self._routes}

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Hand a request to its handler.

        Parameters
        ----------
        environ : dict
            The WSGI environment.
        start_response : callable
            Takes status and headers.

        Returns
        -------
        iterable of bytes
            The body of the answer.
        """
        path = environ["PATH_INFO"]
        if path.startswith(PREFIX_SERVICES):
            return self._services(environ, start_response)
        app = self._routes.get((environ["REQUEST_METHOD"], path))
        if app is not None:
            return app(environ, start_response)
        if path in self._paths:
            return _refuse(start_response, STATUS_METHOD_NOT_ALLOWED, "wrong_method")
        return _refuse(start_response, STATUS_NOT_FOUND, "not_found")


def make_check(is_good: Callable[[], bool]) -> WsgiApp:
    """Make the handler of a health check.

    Parameters
    ----------
    is_good : callable
        Tells whether the check passes.

    Returns
    -------
    WSGI application
        Answers 200 or 503.
    """

    def check(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        good = is_good()
        body = b"ok\n" if good else b"not ready\n"
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response(STATUS_OK if good else STATUS_UNAVAILABLE, headers)
        return [body]

    return check


def make_json_view(read: Callable[[], Any]) -> WsgiApp:
    """Make a handler that answers with a JSON document.

    Parameters
    ----------
    read : callable
        Gives the document.

    Returns
    -------
    WSGI application
        Answers 200.
    """

    def view(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = json.dumps(read(), indent=1, default=str).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(STATUS_OK, headers)
        return [body]

    return view


def _refuse(
    start_response: Callable[..., Any], status: int, code: str
) -> Iterable[bytes]:
    problem = Problem(status, code, "no such call", outcome="not_run", step="route")
    return problem.respond(start_response)
