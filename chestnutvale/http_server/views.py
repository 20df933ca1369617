"""Small WSGI applications that every daemon mounts."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from chestnutvale.observability.secrets import remove_secrets

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
STATUS_OK = "200 OK"
STATUS_UNAVAILABLE = "503 Service Unavailable"
CONTENT_TYPE_JSON = "application/json"
CONTENT_TYPE_TEXT = "text/plain; charset=utf-8"


def respond(
    start_response: Callable[..., Any], status: str, content_type: str, body: bytes
) -> list[bytes]:
    """Answer a request with a whole body.

    Parameters
    ----------
    start_response : callable
        Takes status and headers.
    status : str
        Status line.
    content_type : str
        Type of the body.
    body : bytes
        The body.

    Returns
    -------
    list of bytes
        The body.
    """
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]


def make_health_check(is_healthy: Callable[[], bool]) -> WsgiApp:
    """Make the handler of a health check.

    Parameters
    ----------
    is_healthy : callable
        Tells whether the check passes.

    Returns
    -------
    WSGI application
        Answers 200 or 503.
    """

    def check(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        if is_healthy():
            return respond(start_response, STATUS_OK, CONTENT_TYPE_TEXT, b"ok\n")
        return respond(
            start_response, STATUS_UNAVAILABLE, CONTENT_TYPE_TEXT, b"not ready\n"
        )

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
        body = json.dumps(remove_secrets(read()), indent=1).encode()
        return respond(start_response, STATUS_OK, CONTENT_TYPE_JSON, body)

    return view
