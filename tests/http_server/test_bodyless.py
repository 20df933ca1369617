"""Answers have a body only where HTTP allows one, at each interface driven here.

Guards against bytes of one answer that are read as the next answer.
"""

import contextlib
import itertools

import eventlet
import h11
import pytest
from eventlet.green import socket

from chestnutvale.http_server.bodyless import has_body, select_headers
from chestnutvale.http_server.problem import Problem
from chestnutvale.http_server.server import HttpServer
from chestnutvale.programs.entry.routed.handler import RoutedHandler
from chestnutvale.programs.entry.service_calls import ServiceCallHandler
from chestnutvale.settings.common import default_http_limits
from tests.programs.entry.entry_fakes import FakeContext
from tests.programs.entry.routed.routed_fakes import (
    PlainProtocol,
    ScriptedEndpoint,
    complete_answer,
    routed_entry,
)

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
PROBE = b"GET /probe HTTP/1.1\r\nHost: a\r\n\r\n"
BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def read_answer(sock, method):
    """Read one answer as a strict client does; return its status and body."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method=method, target="/", headers=[("Host", "a")]))
    connection.send(h11.EndOfMessage())
    status, body = 0, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(sock.recv(65_536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            assert connection.trailing_data[0] == b""
            return status, body


@contextlib.contextmanager
def connect(address):
    host, _, port = address.rpartition(":")
    with (
        contextlib.closing(socket.create_connection((host, int(port)))) as sock,
        eventlet.Timeout(10),
    ):
        yield sock


def check_answers(address, method, paths, headers=""):
    """Send requests over one kept connection, each followed by a probe."""
    with connect(address) as sock:
        for path in paths:
            lines = f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{headers}"
            sock.sendall(lines.encode() + b"Content-Length: 0\r\n\r\n")
            status, body = read_answer(sock, method)
            assert status
            assert not (method == "HEAD" and body)
            sock.sendall(PROBE)
            assert read_answer(sock, "GET")[0]


class App:
    """Answers `/STATUS` with this status and a body."""

    def __init__(self):
        self.streams = []

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"].strip("/")
        if path == "problem":
            return Problem(status=503, code="c", detail="d").respond(start_response)
        if path == "stream":
            start_response("200 OK", [])
            self.streams.append(Stream())
            return self.streams[-1]
        status = int(path) if path.isdigit() else 200
        start_response(f"{status} X", [("Content-Length", str(len(BODY)))])
        return [BODY]


class Stream:
    """Body of several parts, which knows whether it was closed."""

    def __init__(self):
        self.is_closed = False
        self.sent_parts = 0

    def __iter__(self):
        for _ in range(2):
            self.sent_parts += 1
            yield BODY

    def close(self):
        self.is_closed = True


@pytest.mark.parametrize("method", METHODS)
def test_next_answer_is_whole_after_any_answer(free_address, method):
    address = free_address()
    with HttpServer(App(), address, default_http_limits()):
        paths = ["/200", "/204", "/304", "/404", "/503", "/problem", "/stream"]
        check_answers(address, method, paths)


def test_stream_that_answers_a_head_request_is_closed(free_address):
    app, address = App(), free_address()
    with HttpServer(app, address, default_http_limits()):
        check_answers(address, "HEAD", ["/stream"])
    (stream,) = app.streams
    assert stream.is_closed
    assert stream.sent_parts == 0


@pytest.mark.parametrize("method", METHODS)
def test_next_answer_is_whole_after_answers_of_an_entry(free_address, method):
    endpoint = ScriptedEndpoint()
    answer = complete_answer(BODY)
    if method == "HEAD":
        answer = answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
    endpoint.default = answer
    paths = ["/once/x", "/safe/x", "/nowhere/x", "/fixed/x"]
    with routed_entry(endpoint) as entry:
        address = free_address()
        with HttpServer(entry.handler, address, default_http_limits()):
            check_answers(address, method, paths, "X-Call: c1\r\nX-Key: k-secret\r\n")
            check_answers(address, method, paths, "X-Call: c1\r\nX-Key: wrong\r\n")
    with routed_entry() as entry:
        address = free_address()
        with HttpServer(entry.handler, address, default_http_limits()):
            check_answers(address, method, paths, "X-Call: c1\r\nX-Key: k-secret\r\n")


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("make_app", [ServiceCallHandler, RoutedHandler])
def test_next_answer_is_whole_after_refusals_of_the_own_interface(
    free_address, make_app, method
):
    context = FakeContext()
    arguments = (PlainProtocol(), None, None) if make_app is RoutedHandler else (None,)
    address = free_address()
    with HttpServer(make_app(context, *arguments), address, default_http_limits()):
        check_answers(address, method, ["/services/none/x", "/x"])


@pytest.mark.parametrize("path", ["/200", "/503"])
def test_malformed_head_request_gets_no_body(free_address, path):
    address = free_address()
    with HttpServer(App(), address, default_http_limits()), connect(address) as sock:
        sock.sendall(f"HEAD {path} HTTP/1.1\r\nHost : a\r\n\r\n".encode())
        received = b""
        while part := sock.recv(65_536):
            received += part
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.endswith(b"\r\n\r\n")


@pytest.mark.parametrize(
    ("method", "status"),
    list(itertools.product(METHODS, [100, 200, 204, 304, 404, 503])),
)
def test_body_depends_on_method_and_status(method, status):
    expected = method != "HEAD" and status not in (100, 204, 304)
    assert has_body(method, status) == expected


@pytest.mark.parametrize(
    ("status", "names"),
    [(100, "A"), (204, "A"), (304, "A Content-Length"), (200, "A Content-Length")],
)
def test_headers_of_an_answer_without_a_body(status, names):
    headers = [("A", "1"), ("Content-Length", "2"), ("Transfer-Encoding", "chunked")]
    assert [name for name, _ in select_headers(status, headers)] == names.split()
