"""Fakes for routed calls: a caller protocol, a scripted endpoint and an entry."""

import contextlib

import eventlet
from eventlet.green import socket

from chestnutvale.configuration.lookup import hash_key
from chestnutvale.membership.endpoint_notices import EndpointNotice
from chestnutvale.programs.entry.peers.relay import PeerRelay
from chestnutvale.programs.entry.routed.caller_protocol import RoutedRequest
from chestnutvale.programs.entry.routed.connections import ConnectionPool
from chestnutvale.programs.entry.routed.handler import RoutedHandler
from chestnutvale.routing.const import ISOLATION_CONFIRMATION_S
from chestnutvale.schema.configuration_pb2 import Route, RouteShare, Service
from tests.programs.entry.entry_fakes import FakeContext, serve

API_KEY = "k-secret"
NOT_FORWARDED_HEADERS = (
    "host",
    "x-call",
    "x-left",
    "x-key",
    "x-last",
    "x-workspace",
    "content-length",
    "connection",
)


class PlainProtocol:
    """Caller protocol with headers such as X-Call, X-Left, X-Key and X-Workspace."""

    def read_request(self, environ):
        path = environ["RAW_PATH_INFO"]
        return RoutedRequest(
            request_id=environ.get("HTTP_X_CALL", ""),
            key=environ.get("HTTP_X_KEY", ""),
            host=environ["HTTP_HOST"],
            method=environ["REQUEST_METHOD"],
            target=path,
            path=path,
            deadline_ms=int(environ.get("HTTP_X_LEFT", 5000)),
            model=environ.get("HTTP_X_MODEL", ""),
            max_tokens=10 if "HTTP_X_MODEL" in environ else 0,
            last_event=int(environ.get("HTTP_X_LAST", 0)),
            headers=[
                (name, value)
                for name, value in environ["headers_raw"]
                if name.lower() not in NOT_FORWARDED_HEADERS
            ],
            prompt_parts=tuple(
                filter(None, environ.get("HTTP_X_PARTS", "").split(","))
            ),
        )

    def make_endpoint_headers(self, request, forwarding):
        return [
            *request.headers,
            ("Host", "e"),
            ("X-Call", request.request_id),
            ("X-Left", str(forwarding.remaining_ms)),
            ("X-Last", str(forwarding.last_event)),
            ("X-Host-Id", forwarding.host_id),
            ("X-Workspace", forwarding.workspace),
        ]

    def make_relay_headers(self, request, remaining_ms):
        return [
            *request.headers,
            ("Host", request.host),
            ("X-Call", request.request_id),
            ("X-Left", str(remaining_ms)),
            ("X-Key", request.key),
            ("X-Last", str(request.last_event)),
        ]

    def is_refusal(self, status, headers):
        return any(name.lower() == "x-not-run" for name, _ in headers)

    def promises_not_run(self, status):
        return status in (408, 421, 429, 503)

    def find_request_id(self, headers):
        return next((v for name, v in headers if name.lower() == "x-call"), "")

    def read_notice(self, status, headers):
        fields = {name.lower(): value for name, value in headers}
        pause, limit = fields.get("x-pause"), fields.get("x-limit")
        return EndpointNotice(
            "x-leaving" in fields,
            float(pause) if pause else None,
            float(limit) if limit else None,
        )

    def has_endpoint_signature(self, headers):
        return any(name.lower() == "x-made-by" for name, _ in headers)

    def make_failure_answer(self, failure, request_id, retry_after_s):
        statuses = {"not_run": 503, "unknown": 502, "failed": 502}
        by_code = {"unauthorized": 401, "not_found": 404}
        status = by_code.get(failure.code, statuses[failure.outcome])
        headers = [("X-Code", failure.code)]
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:.2f}"))
        return f"{status} X", headers, b""


class ScriptedEndpoint:
    """Endpoint that answers each request with the next of its `steps`.

    A step is the bytes to send, or a callable that gets the socket and the request, or
    `CLOSE` to close the connection. `default` is used when no steps are left.
    """

    CLOSE = "close"

    def __init__(self):
        self.requests = []
        self.connections = 0
        self.steps = []
        self.default = None
        self.ended = []

    @contextlib.contextmanager
    def serve(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        task = eventlet.spawn(self._accept, listener)
        try:
            yield f"127.0.0.1:{listener.getsockname()[1]}"
        finally:
            task.kill()
            listener.close()

    def _accept(self, listener):
        while True:
            sock, _ = listener.accept()
            self.connections += 1
            # Nagle's algorithm would hold the end of an answer back until the events
            # before it are acknowledged.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            eventlet.spawn(self._converse, sock)

    def _converse(self, sock):
        with contextlib.suppress(OSError), contextlib.closing(sock):
            while request := read_request(sock):
                self.requests.append(request)
                step = self.steps.pop(0) if self.steps else self.default
                if step == self.CLOSE:
                    return
                if callable(step):
                    step(sock, request)
                else:
                    sock.sendall(step)

    def header(self, name, index=-1):
        """Return the value of a header of a received request; `name` in lower case."""
        head = self.requests[index].partition(b"\r\n\r\n")[0].decode()
        for line in head.split("\r\n")[1:]:
            key, _, value = line.partition(": ")
            if key.lower() == name:
                return value
        return None


def read_request(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.decode().split("\r\n"):
        if line.lower().startswith("content-length:"):
            length = int(line.partition(":")[2])
    while len(body) < length:
        body += sock.recv(65536)
    return head + b"\r\n\r\n" + body


def complete_answer(body, call="c1", status="200 OK", extra=""):
    head = f"HTTP/1.1 {status}\r\nX-Call: {call}\r\nX-Made-By: e1\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def event(number):
    return f"id: {number}\ndata: t{number}\n\n".encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_head(call="c1"):
    head = f"HTTP/1.1 200 OK\r\nX-Call: {call}\r\nX-Made-By: e1\r\n"
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()


class UnreachableEndpoint:
    """Endpoint at an address that refuses connections."""

    @contextlib.contextmanager
    def serve(self):
        # A bound socket that does not listen refuses, and keeps its port from others.
        with contextlib.closing(socket.socket()) as bound:
            bound.bind(("127.0.0.1", 0))
            yield f"127.0.0.1:{bound.getsockname()[1]}"


class RoutedEntry:
    """An entry that routes calls to scripted endpoints."""

    def __init__(self, endpoints):
        self.context = FakeContext()
        text = self.context.text
        text.services["app"].CopyFrom(Service(kind="plain"))
        text.services["gpu-m"].CopyFrom(Service(kind="model", model="m", pool="gpu"))
        text.workspaces["ws-1"].key_sha256.append(hash_key(API_KEY))
        self.add_route("/safe/", "repeatable", "app")
        self.add_route("/once/", "once", "app")
        self.add_route("/open/", "repeatable", "app", is_public=True)
        self.add_route("/gen/", "streaming", "gpu", is_resumable=True)
        self.add_route("/fixed/", "streaming", "gpu")
        for number, address in enumerate(endpoints, 1):
            self.context.add_group(f"app{number}", "app", address)
            self.context.add_group(f"gpu{number}", "gpu-m", address)
        self.context.has_crashed = lambda group, is_engine: False
        self.pool = ConnectionPool(self.context.clock, self.context.record_connect)
        protocol = PlainProtocol()
        self.handler = RoutedHandler(
            self.context, protocol, self.pool, None, PeerRelay(self.context, protocol)
        )
        # Serves the calls that other entries pass on.
        self.relay_handler = RoutedHandler(self.context, protocol, self.pool, None)

    def add_route(self, prefix, kind, service, **fields):
        route = Route(
            name=prefix,
            host="shop.example",
            path_prefix=prefix,
            kind=kind,
            timeout_ms=3000,
            max_attempts=2,
            target_gap_ms=200,
            target_latency_ms=300,
            shares=[RouteShare(service=service, weight=1)],
            **fields,
        )
        self.context.text.routes.append(route)


@contextlib.contextmanager
def routed_entry(*endpoints):
    with contextlib.ExitStack() as exits:
        addresses = [exits.enter_context(item.serve()) for item in endpoints]
        entry = RoutedEntry(addresses)
        entry.address = exits.enter_context(serve(entry.handler))
        entry.relay_address = exits.enter_context(serve(entry.relay_handler))
        yield entry


@contextlib.contextmanager
def isolated_entry(endpoint):
    """Yield an entry without a path to its endpoints, beside one with a path."""
    with (
        routed_entry(endpoint) as peer,
        routed_entry(*(UnreachableEndpoint() for _ in range(4))) as entry,
    ):
        entry.context.peers = [peer.relay_address]
        # The first failure lies back by the time that probes of others take.
        since_s = entry.context.clock.now_s() - ISOLATION_CONFIRMATION_S
        entry.context.reachability.record_failure("127.0.0.1:1", since_s)
        entry.peer = peer
        yield entry


def call(address, path, body=b"", method="POST", **headers):
    """Send one call; return status, headers, body, and whether the body is complete."""
    sock = open_call(address, path, body, method, **headers)
    data = b""
    with contextlib.closing(sock), contextlib.suppress(ConnectionError):
        while chunk_ := sock.recv(65536):
            data += chunk_
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in lines[1:])}
    status = int(lines[0].split(" ")[1])
    if fields.get("transfer-encoding") == "chunked":
        is_complete = rest.endswith(b"0\r\n\r\n")
        parts = []
        while rest and not rest.startswith(b"0\r\n"):
            size, _, rest = rest.partition(b"\r\n")
            parts.append(rest[: int(size, 16)])
            rest = rest[int(size, 16) + 2 :]
        return status, fields, b"".join(parts), is_complete
    return status, fields, rest, len(rest) == int(fields.get("content-length", -1))


def open_call(address, path, body=b"", method="POST", **headers):
    host, _, port = address.partition(":")
    sock = socket.create_connection((host, int(port)))
    sock.settimeout(10)
    fields = {
        "Host": "shop.example",
        "X-Call": "c1",
        "X-Key": API_KEY,
        "Connection": "close",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return sock
