"""Dispatches the HTTP requests of callers, endpoints and operators."""

from collections.abc import Callable, Iterable
from typing import Any

from chestnutvale.http_server.problem import Problem
from chestnutvale.http_server.views import WsgiApp
from chestnutvale.programs.entry.const import (
    PATH_ANNOUNCEMENTS,
    PATH_CHAT,
    PATH_COMPLETIONS,
    PREFIX_SERVICES,
)

METHOD_GET = "GET"
METHOD_POST = "POST"
STATUS_NOT_FOUND = 404
STATUS_METHOD_NOT_ALLOWED = 405


class EntryApp:
    """WSGI application that dispatches requests by method and path.

    Parameters
    ----------
    chat, completions, services, announcements : WSGI application
        Handlers of the respective paths.
    operations : dict of str to WSGI application
        Handlers of the operators' and the platform's GET requests, by path.
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
        """Pass a request to its handler.

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


def _refuse(
    start_response: Callable[..., Any], status: int, code: str
) -> Iterable[bytes]:
    problem = Problem(
        status,
        code,
        "there is no handler for this method and path",
        outcome="not_run",
        step="route",
    )
    return problem.respond(start_response)
