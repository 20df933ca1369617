"""A small HTTP door for emulated endpoints, on eventlet's WSGI server."""

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

CONTENT_JSON = "application/json"
CONTENT_EVENTS = "text/event-stream"
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
    """A request as a handler sees it.

    Attributes
    ----------
    method, path, query : str
        Of the request line.
    headers : dict of str to str
        Lower-case names.
    body : bytes
        The whole body.
    socket : object
        The connection, to notice that the caller has gone.
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
            If it is none.
        """
        try:
            data = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise RefusedError(400, CODE_BAD_REQUEST, f"not JSON: {error}") from error
        if not isinstance(data, dict):
            raise RefusedError(400, CODE_BAD_REQUEST, "the body must be an object")
        return data


@attrs.frozen
class Response:
    """An answer; ``body`` may be an iterator of chunks."""

    body: bytes | Iterator[bytes]
    status: int = 200
    content_type: str = CONTENT_JSON
    headers: list[tuple[str, str]] = attrs.field(factory=list)


Handler = Callable[[Request], Response]


def to_dict(message: Message) -> dict[str, Any]:
    """Return a schema message as a JSON object with its own field names."""
    return json_format.MessageToDict(message, preserving_proto_field_name=True)


def json_response(data: Any, status: int = 200) -> Response:
    """Return an answer that holds a JSON value."""
    return Response(json.dumps(data).encode(), status)


def make_refusal_response(error: RefusedError) -> Response:
    """Return the answer that tells of a refusal."""
    data: dict[str, Any] = {"code": error.code, "message": error.message}
    if error.fence:
        data["fence"] = error.fence
    response = json_response(data, error.status)
    if error.status in (429, 503):
        response.headers.append(("Retry-After", "1"))
    return response


class HttpServer:
    """Serves one handler at one address; a context manager.

    Parameters
    ----------
    address : str
        IP number and port; port 0 takes a free one.
    handler : callable
        Gets each request and returns its response.

    Attributes
    ----------
    address : str
        IP number and port that are in use.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self._handler = handler
        self._listener: Any = None
        self._task: eventlet.greenthread.GreenThread | None = None
        self._pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self._connections: set[Any] = set()

    def __enter__(self) -> Self:
        """Listen and serve."""
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
        """Stop listening and break all connections, as a killed process would."""
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
        raise RefusedError(413, CODE_TOO_LARGE, f"more than {MAX_BODY_BYTES} bytes")
    stream = environ["wsgi.input"]
    # Nagle's algorithm would hold small events back.
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
    """Finds the handler of a method and path.

    Parameters
    ----------
    routes : dict
        Handlers by method and path.
    """

    def __init__(self, routes: dict[tuple[str, str], Handler]) -> None:
        self._routes = routes

    def __call__(self, request: Request) -> Response:
        """Call the handler of a request.

        Raises
        ------
        RefusedError
            If there is none.
        """
        handler = self._routes.get((request.method, request.path))
        if handler is None:
            raise RefusedError(404, CODE_NOT_FOUND, f"no {request.path} here")
        return handler(request)
