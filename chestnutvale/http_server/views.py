"""Health check and JSON handlers shared by all daemons."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from chestnutvale.observability.redaction import redact_secrets

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
STATUS_OK = "200 OK"
STATUS_UNAVAILABLE = "503 Service Unavailable"
CONTENT_TYPE_JSON = "application/json"
CONTENT_TYPE_TEXT = "text/plain; charset=utf-8"


def respond(
    start_response: Callable[..., Any], status: str, content_type: str, body: bytes
) -> list[bytes]:
    """Answer a request with a complete body.

    Parameters
    ----------
    start_response : callable
        The WSGI ``start_response`` callable.
    status : str
        Status code and reason phrase, for example ``"200 OK"``.
    content_type : str
        Media type of the body.
    body : bytes
        The response body.

    Returns
    -------
    list of bytes
        The response body.
    """
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]


def make_health_check(is_healthy: Callable[[], bool]) -> WsgiApp:
    """Make the handler of a health or readiness check.

    Parameters
    ----------
    is_healthy : callable
        Returns whether the check passes.

    Returns
    -------
    WSGI application
        Answers 200 if it passes, otherwise 503.
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
    """Make a handler that answers with a JSON document, with secrets removed.

    Parameters
    ----------
    read : callable
        Returns the document; called for each request.

    Returns
    -------
    WSGI application
        Always answers 200.
    """

    def view(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = json.dumps(redact_secrets(read()), indent=1).encode()
        return respond(start_response, STATUS_OK, CONTENT_TYPE_JSON, body)

    return view
