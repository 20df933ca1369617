"""Each answer or connection that ends early leaves one line that says who ended it."""

import struct
import time

import eventlet
import logbook
import pytest
from eventlet.green import socket

from chestnutvale.http_server.exceptions import AnswerBrokenError
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.http_server.server import HttpServer
from chestnutvale.schema.settings_pb2 import HttpLimits

TEST_TIMEOUT_S = 15.0
IDLE_TIMEOUT_MS = 400
# Larger than the buffers of both sockets.
LARGE_BYTES = 16 * 1024 * 1024
MEMORY_BYTES = 4 * 1024 * 1024
GET = "GET {} HTTP/1.1\r\nX-Call: c1\r\n\r\n"
END_EVENTS = (
    "answer_ended_early",
    "connection_closed",
    "connection_failed",
    "connection_refused",
    "head_refused",
    "request_refused",
    "slow_head",
)


def app(environ, start_response):
    path = environ["PATH_INFO"]
    if path == "/fail":
        raise ValueError("secret detail")
    if path == "/wait":
        eventlet.sleep(TEST_TIMEOUT_S)
    if path == "/body":
        environ["wsgi.input"].read()
    start_response("200 OK", [])
    return stream(path) if path.startswith("/stream") else [b"whole"]


def stream(path):
    yield b"first"
    if path == "/stream/wait":
        eventlet.sleep(TEST_TIMEOUT_S)
    if path == "/stream/fail":
        raise ValueError("secret detail")
    if path == "/stream/break":
        raise AnswerBrokenError("the endpoint left", "endpoint", "stream_broken")
    if path == "/stream/pause":
        eventlet.sleep(0.2)
    if path == "/stream/large":
        yield b"x" * LARGE_BYTES
    if path == "/stream/ticks":
        yield b"x" * LARGE_BYTES
        while True:
            eventlet.sleep(0.05)
            yield b"tick"
    yield b"last"


@pytest.fixture(autouse=True)
def limit_test_duration():
    with eventlet.Timeout(TEST_TIMEOUT_S):
        yield


@pytest.fixture
def log():
    handler = logbook.TestHandler(level="INFO")
    with handler.applicationbound():
        yield handler


@pytest.fixture
def start(free_address):
    """Return a function that starts a server."""
    servers = []

    def start_server(max_bytes=0, **limits):
        defaults = {
            "max_body_bytes": 1_000,
            "max_header_bytes": 2_000,
            "max_connections": 3,
            "idle_timeout_ms": IDLE_TIMEOUT_MS,
        }
        server = HttpServer(
            app,
            free_address(),
            HttpLimits(**defaults | limits),
            memory=MemoryBound(max_bytes),
            request_id_header="X-Call",
        )
        server.__enter__()
        servers.append(server)
        return server

    yield start_server
    for server in servers:
        server.__exit__(None, None, None)


def connect(server):
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)))


def send(server, text):
    client = connect(server)
    client.sendall(text.encode())
    return client


def reset(client):
    # SO_LINGER with a zero timeout makes the close reset the connection at once.
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def read_all(client):
    data = b""
    while part := client.recv(65_536):
        data += part
    return data


def find_ends(log):
    return [item for item in log.records if item.message in END_EVENTS]


def wait_for_end(log, client, event="answer_ended_early"):
    """Wait for the line that tells the end of the client, and return its fields."""
    address = "{}:{}".format(*client) if isinstance(client, tuple) else None
    address = address or "{}:{}".format(*client.getsockname())
    while not find_ends(log):
        eventlet.sleep(0.01)
    eventlet.sleep(0.1)
    (record,) = find_ends(log)
    assert record.message == event
    assert record.level >= logbook.INFO
    assert record.extra["client"] == address
    return record.extra


def check_answer_end(fields, ended_by, reason, status=200):
    found = {name: fields[name] for name in ("request", "ended_by", "reason", "status")}
    assert found == {
        "request": "c1",
        "ended_by": ended_by,
        "reason": reason,
        "status": status,
    }


def test_whole_answers_leave_no_line(start, log):
    server = start()
    for path in ("/", "/stream"):
        client = send(server, GET.format(path).replace("c1", "c1\r\nConnection: close"))
        assert read_all(client).startswith(b"HTTP/1.1 200 ")
    eventlet.sleep(0.1)
    assert find_ends(log) == []
    assert server.answer_ends == {}


def test_a_caller_that_resets_its_connection(start, log):
    server = start()
    client = send(server, GET.format("/stream/pause"))
    address = client.getsockname()
    client.recv(65_536)
    reset(client)
    fields = wait_for_end(log, address)
    check_answer_end(fields, "caller", "caller_gone")
    assert fields["sent_bytes"] > 0
    assert 100 <= fields["held_ms"] < 5_000
    assert server.answer_ends == {"caller": 1}


@pytest.mark.parametrize("path", ["/stream/large", "/stream/ticks"])
def test_a_caller_that_does_not_read(start, log, path):
    client = send(start(), GET.format(path))
    check_answer_end(wait_for_end(log, client), "server", "not_read")


@pytest.mark.parametrize("path", ["/stream/large", "/stream/ticks"])
def test_an_answer_that_takes_too_much_memory(start, log, path):
    client = send(start(MEMORY_BYTES, idle_timeout_ms=5_000), GET.format(path))
    check_answer_end(wait_for_end(log, client), "server", "memory")


@pytest.mark.parametrize(
    ("path", "status"), [("/stream/wait", 200), ("/wait", 502), ("/stream/large", 200)]
)
def test_an_answer_that_the_end_of_a_stop_cuts(start, log, path, status):
    server = start(idle_timeout_ms=5_000)
    client = send(server, GET.format(path))
    eventlet.sleep(0.1)
    server.stop(time.monotonic() + 0.5)
    check_answer_end(wait_for_end(log, client), "server", "stop", status)


@pytest.mark.parametrize(("path", "status"), [("/fail", 500), ("/stream/fail", 200)])
def test_an_error_of_the_application(start, log, path, status):
    client = send(start(), GET.format(path))
    assert b"secret" not in read_all(client)
    fields = wait_for_end(log, client)
    check_answer_end(fields, "server", "internal_error", status)
    assert "secret" not in str(fields)


def test_an_answer_that_the_application_breaks_off(start, log):
    client = send(start(), GET.format("/stream/break"))
    assert not read_all(client).endswith(b"0\r\n\r\n")
    fields = wait_for_end(log, client)
    check_answer_end(fields, "endpoint", "stream_broken")
    assert fields["detail"] == "the endpoint left"


@pytest.mark.parametrize(
    ("length", "code"), [(9_999, "body_too_large"), (9, "body_too_slow")]
)
def test_a_refused_body(start, log, length, code):
    request = GET.format("/body").replace("c1", f"c1\r\nContent-Length: {length}")
    client = send(start(), request)
    read_all(client)
    fields = wait_for_end(log, client, "request_refused")
    assert (fields["request"], fields["code"]) == ("c1", code)


def test_an_idle_connection(start, log):
    client = connect(start())
    read_all(client)
    fields = wait_for_end(log, client, "connection_closed")
    assert (fields["ended_by"], fields["reason"]) == ("server", "idle_timeout")


def test_an_idle_connection_at_a_stop(start, log):
    server = start(idle_timeout_ms=5_000)
    client = connect(server)
    eventlet.sleep(0.05)
    server.stop(time.monotonic() + 1.0)
    fields = wait_for_end(log, client, "connection_closed")
    assert (fields["ended_by"], fields["reason"]) == ("server", "stop")


def test_a_head_that_is_incomplete_at_the_end_of_a_stop(start, log):
    server = start(idle_timeout_ms=5_000)
    client = send(server, "GET / HTTP/1.1\r\n")
    eventlet.sleep(0.05)
    server.stop(time.monotonic() + 0.3)
    fields = wait_for_end(log, client, "connection_closed")
    assert (fields["ended_by"], fields["reason"]) == ("server", "stop")


@pytest.mark.parametrize("leave", [lambda client: client.close(), reset])
def test_a_caller_that_leaves_within_a_head(start, log, leave):
    client = send(start(), "GET / HTTP/1.1\r\nHost:")
    address = client.getsockname()
    eventlet.sleep(0.05)
    leave(client)
    fields = wait_for_end(log, address, "connection_closed")
    assert (fields["ended_by"], fields["reason"]) == ("caller", "incomplete_head")


def test_a_slow_head(start, log):
    client = send(start(), "GET / HTTP/1.1\r\nHost:")
    assert read_all(client).startswith(b"HTTP/1.1 408 ")
    wait_for_end(log, client, "slow_head")


@pytest.mark.parametrize(
    "head",
    [
        "GET / HTTP/9.9\r\n\r\n",
        f"GET /{'x' * 9_000} HTTP/1.1\r\n\r\n",
        f"GET / HTTP/1.1\r\nX-Long: {'x' * 9_000}\r\n\r\n",
        "GET / HTTP/1.1\r\n" + f"X-Long: {'x' * 8_000}\r\n" * 12 + "\r\n",
    ],
    ids=["version", "target", "line", "lines"],
)
def test_a_refused_head(start, log, head):
    client = send(start(), head)
    address = client.getsockname()
    client.recv(65_536)
    wait_for_end(log, address, "head_refused")


def test_a_connection_beyond_the_limit(start, log):
    server = start(idle_timeout_ms=5_000)
    others = [connect(server) for _ in range(3)]
    eventlet.sleep(0.05)
    client = connect(server)
    assert client.recv(65_536).startswith(b"HTTP/1.1 503 ")
    fields = wait_for_end(log, client, "connection_refused")
    assert fields["reason"] == "too_many_connections"
    assert len(others) == 3
