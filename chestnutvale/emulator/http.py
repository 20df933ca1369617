"""Small HTTP server for emulated endpoints, based on eventlet's WSGI server."""

import json
import socket
from collections.abc import Callable, Iterable, Iterator
from types import TracebackType
from typing import Any, Self

import attrs
import eventlet
import logbook
from eventlet import wsgi
from google.protobuf import json_format
from google.protobuf.message import Message

from chestnutvale.emulator.const import (
    CODE_BAD_REQUEST,
    CODE_NOT_FOUND,
    CODE_TOO_LARGE,
    MAX_BODY_BYTES,
)
from chestnutvale.emulator.exceptions import EmulatorError, RefusedError

_LOGGER = logbook.Logger(__name__)

CONTENT_TYPE_JSON = "application/json"
CONTENT_TYPE_EVENT_STREAM = "text/event-stream"
LISTEN_BACKLOG_CONNECTIONS = 512
MAX_CONNECTIONS = 4_096
REASON_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


@attrs.frozen
class Request:
    """An HTTP request as handlers receive it.

    Attributes
    ----------
    method, path, query : str
        Method, path and query string of the request line.
    headers : dict of str to str
        Headers with lower-case names.
    body : bytes
        The complete body.
    socket : object
        Connection of the caller, to notice when it disconnects.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    socket: Any

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises
        ------
        RefusedError
            With ``bad_request``, if the body is not a JSON object.
        """
        try:
            data = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise RefusedError(
                400, CODE_BAD_REQUEST, f"body is not JSON: {error}"
            ) from error
        if not isinstance(data, dict):
            raise RefusedError(400, CODE_BAD_REQUEST, "body must be a JSON object")
        return data


@attrs.frozen
class Response:
    """An HTTP response; an iterator as ``body`` is sent chunk by chunk."""

    body: bytes | Iterator[bytes]
    status: int = 200
    content_type: str = CONTENT_TYPE_JSON
    headers: list[tuple[str, str]] = attrs.field(factory=list)


Handler = Callable[[Request], Response]


def message_to_dict(message: Message) -> dict[str, Any]:
    """Return a protobuf message as a JSON object with the field names of its schema."""
    return json_format.MessageToDict(message, preserving_proto_field_name=True)


def json_response(data: Any, status: int = 200) -> Response:
    """Return a response whose body is a value serialised as JSON."""
    return Response(json.dumps(data).encode(), status)


def make_refusal_response(error: RefusedError) -> Response:
    """Return the response to a refused call, with ``Retry-After`` for 429 and 503."""
    data: dict[str, Any] = {"code": error.code, "message": error.message}
    if error.fence:
        data["fence"] = error.fence
    response = json_response(data, error.status)
    if error.status in (429, 503):
        response.headers.append(("Retry-After", "1"))
    return response


class HttpServer:
    """HTTP server that passes every request to one handler; a context manager.

    Parameters
    ----------
    address : str
        IP address and port to listen on; port 0 selects a free port.
    handler : callable
        Called with each request; returns its response or raises `RefusedError`.

    Attributes
    ----------
    address : str
        IP address and port; once listening, the port that is in use.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._listener: Any = None
        self._task: eventlet.greenthread.GreenThread | None = None
        self._pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self._connections: set[Any] = set()

    def __enter__(self) -> Self:
        """Start listening and serving.

        Raises
        ------
        EmulatorError
            If the address is invalid or cannot be bound.
        """
        host, _, port = self.address.rpartition(":")
        try:
            self._listener = eventlet.listen(
                (host, int(port)), backlog=LISTEN_BACKLOG_CONNECTIONS
            )
        except (OSError, ValueError) as error:
            raise EmulatorError(
                f"cannot listen: {error}", step="listen", peer=self.address
            ) from error
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._task = eventlet.spawn(self._serve)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and abort all running requests, as a killed process would."""
        if self._task is not None:
            self._task.kill()
        for worker in list(self._pool.coroutines_running):
            worker.kill()
        if self._listener is not None:
            self._listener.close()

    def _serve(self) -> None:
        wsgi.server(
            self._listener,
            self._application,
            custom_pool=self._pool,
            max_size=MAX_CONNECTIONS,
            minimum_chunk_size=1,
            log_output=False,
            debug=False,
        )

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        try:
            response = self._handler(_read_request(environ))
        except RefusedError as error:
            response = make_refusal_response(error)
        headers = [("Content-Type", response.content_type), *response.headers]
        status = f"{response.status} {REASON_PHRASES.get(response.status, 'Other')}"
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
            start_response(status, headers)
            return [response.body]
        start_response(status, headers)
        return response.body


def _read_request(environ: dict[str, Any]) -> Request:
    length_bytes = int(environ.get("CONTENT_LENGTH") or 0)
    if length_bytes > MAX_BODY_BYTES:
        raise RefusedError(
            413,
            CODE_TOO_LARGE,
            f"body of {length_bytes} bytes exceeds the limit of {MAX_BODY_BYTES} bytes",
        )
    stream = environ["wsgi.input"]
    # Nagle's algorithm would delay small events of a stream.
    stream.get_socket().setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
        headers,
        stream.read(length_bytes) if length_bytes else b"",
        stream.get_socket(),
    )


class Router:
    """Handler that dispatches requests by method and path.

    Parameters
    ----------
    routes : dict
        Handler of each pair of method and path.
    """

    def __init__(self, routes: dict[tuple[str, str], Handler]) -> None:
        self._routes = routes

    def __call__(self, request: Request) -> Response:
        """Call the handler of a request.

        Raises
        ------
        RefusedError
            With ``not_found``, if no handler is registered.
        """
        handler = self._routes.get((request.method, request.path))
        if handler is None:
            raise RefusedError(
                404,
                CODE_NOT_FOUND,
                f"no handler for {request.method} {request.path}",
            )
        return handler(request)
