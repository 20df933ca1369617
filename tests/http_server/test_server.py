"""Request limits of the HTTP server and its graceful shutdown."""

import json
import struct
import time

import eventlet
import logbook
import pytest
from eventlet.green import socket

from chestnutvale.http_server.exceptions import HttpListenError
from chestnutvale.http_server.server import HttpServer
from chestnutvale.schema.settings_pb2 import HttpLimits

TEST_TIMEOUT_S = 15.0


class App:
    """Reports the size of each request body, with special paths for the tests.

    ``/stream`` waits for the test between its two chunks, ``/wait`` before its answer,
    ``/unread`` leaves the body unread and ``/fail`` raises an error.
    """

    def __init__(self):
        self.calls = []
        self.resume_stream = eventlet.Event()
        self.nodelay_option = 0

    def __call__(self, environ, start_response):
        self.calls.append(environ["PATH_INFO"])
        connection = environ["eventlet.input"].get_socket()
        self.nodelay_option = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY
        )
        if environ["PATH_INFO"] == "/stream":
            start_response("200 OK", [])
            return self.stream()
        body = (
            b"" if environ["PATH_INFO"] == "/unread" else environ["wsgi.input"].read()
        )
        if environ["PATH_INFO"] == "/wait":
            self.resume_stream.wait()
        if environ["PATH_INFO"] == "/fail":
            raise ValueError("secret detail")
        start_response("200 OK", [])
        return [b"%d bytes" % len(body)]

    def stream(self):
        yield b"first"
        self.resume_stream.wait()
        yield b"last"


@pytest.fixture(autouse=True)
def limit_test_duration():
    with eventlet.Timeout(TEST_TIMEOUT_S):
        yield


@pytest.fixture
def app():
    return App()


@pytest.fixture
def serve(app, free_address):
    """Return a function that starts a server with the given limits."""
    servers = []

    def start(**limits):
        defaults = {
            "max_body_bytes": 1_000,
            "max_header_bytes": 2_000,
            "max_connections": 10,
            "idle_timeout_ms": 5_000,
        }
        server = HttpServer(app, free_address(), HttpLimits(**defaults | limits))
        server.__enter__()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.__exit__(None, None, None)


def connect(server):
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)))


def read_all(client):
    data = b""
    while part := client.recv(4_096):
        data += part
    return data


def send_request(server, head, body=b""):
    client = connect(server)
    client.sendall(head.replace("\n", "\r\n").encode() + b"\r\n\r\n" + body)
    return read_all(client)


def parse_problem(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    assert b"connection: close" in head.lower()
    return json.loads(body)


def test_answers_and_reuses_a_connection(serve, app):
    client = connect(serve())
    client.sendall(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" * 2)
    eventlet.sleep(0.1)
    assert client.recv(4_096).count(b"3 bytes") == 2
    # With Nagle's algorithm a token waits for the acknowledgement of the previous one.
    assert app.nodelay_option


def test_body_beyond_the_limit_is_refused_unread(serve, app):
    server = serve()
    answer = send_request(server, "POST / HTTP/1.1\nContent-Length: 99999999999")
    assert parse_problem(answer)["code"] == "body_too_large"
    assert parse_problem(answer)["outcome"] == "not_run"
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert app.calls == []
    assert server.refused["body_too_large"] == 1


@pytest.mark.parametrize("size", [1_001, 50_000, 3_000_000])
def test_client_that_keeps_sending_still_reads_the_refusal(serve, size):
    head = f"POST / HTTP/1.1\nContent-Length: {size}"
    assert send_request(serve(), head, b"x" * size).startswith(b"HTTP/1.1 413 ")


def test_chunked_body_beyond_the_limit(serve):
    chunks = b"64\r\n" + b"x" * 100 + b"\r\n"
    head = "POST / HTTP/1.1\nTransfer-Encoding: chunked"
    answer = send_request(serve(), head, chunks * 11)
    assert parse_problem(answer)["code"] == "body_too_large"


@pytest.mark.parametrize(
    "line",
    [
        b"5" * 100_000,
        b"what\r\n",
        b"5\r\nab",
        b"-5\r\nabcde\r\n0\r\n\r\n",
        b"0x5\r\nabcde\r\n0\r\n\r\n",
        b"+5\r\nabcde\r\n0\r\n\r\n",
        b"1_0\r\n" + b"a" * 16 + b"\r\n0\r\n\r\n",
        b" 5\r\nabcde\r\n0\r\n\r\n",
        b"5 \r\nabcde\r\n0\r\n\r\n",
        b"5 ;a=b\r\nabcde\r\n0\r\n\r\n",
        b"5\nabcde\r\n0\r\n\r\n",
        b"5\r\nabcde\n0\r\n\r\n",
        b"5\r\nabcde4\r\n0\r\n\r\n",
    ],
)
def test_malformed_chunks(serve, line):
    server = serve(idle_timeout_ms=300)
    answer = send_request(server, "POST / HTTP/1.1\nTransfer-Encoding: chunked", line)
    assert parse_problem(answer)["code"] in ("body_malformed", "body_too_slow")
    assert server.running_requests == 0


@pytest.mark.parametrize(
    "headers",
    [
        "Content-Length: 5\nContent-Length: 0",
        "Content-Length: +5",
        "Content-Length: 0_5",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunked\nTransfer-Encoding: chunked",
    ],
)
def test_ambiguous_body_length_smuggles_no_second_request(serve, app, headers):
    hidden = b"GET /hidden HTTP/1.1\r\n\r\n"
    answer = send_request(serve(), f"POST / HTTP/1.1\n{headers}", hidden)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert app.calls == []


def test_chunks_with_extensions_and_trailers(serve):
    body = b"5;a=b\r\nabcde\r\n3\r\nfgh\r\n0\r\nX-Sum: 1\r\n\r\n"
    head = "POST / HTTP/1.1\nTransfer-Encoding: chunked\nConnection: close"
    assert b"8 bytes" in send_request(serve(), head, body)


def test_an_endless_unread_body_closes_the_connection(serve):
    client = connect(serve())
    client.sendall(b"POST /unread HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    sent = 0
    try:
        while sent < 50_000_000:
            client.sendall(b"1000\r\n" + b"x" * 4_096 + b"\r\n")
            sent += 4_096
            eventlet.sleep(0)
    except OSError:
        pass
    assert sent < 50_000_000


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ("X-A: " + "a" * 3_000, b"431"),
        ("X-A: " + "a" * 20_000, b"400"),
        ("\n".join(f"X-{n}: {'a' * 900}" for n in range(90)), b"400"),
        ("\n".join(f"X-{n}: a" for n in range(200)), b"431"),
        ("Content-Length: -1", b"400"),
        ("Content-Length: 1\nTransfer-Encoding: chunked", b"400"),
    ],
)
def test_malformed_or_oversized_heads_are_refused(serve, app, headers, status):
    answer = send_request(serve(), f"GET / HTTP/1.1\n{headers}")
    assert status in answer.split(b"\r\n")[0]
    assert app.calls == []


def test_a_malformed_unread_body_leaves_no_running_request(serve, app):
    server = serve()
    head = "POST /unread HTTP/1.1\nTransfer-Encoding: chunked"
    answer = send_request(server, head, b"zz\r\n")
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert server.running_requests == 0
    started_s = time.monotonic()
    assert server.stop(started_s + 5.0) == 0
    assert time.monotonic() - started_s < 1.0


def test_overlong_request_target_is_refused(serve):
    assert b"414" in send_request(serve(), f"GET /{'a' * 9_000} HTTP/1.1")


@pytest.mark.parametrize("head", ["", "GET / HTTP/1.1\r\n"])
def test_slowly_sent_head_closes_the_connection(serve, app, head):
    # Each byte arrives within the socket timeout, but the complete head does not.
    server = serve(idle_timeout_ms=400)
    client = connect(server)
    client.sendall(head.encode())
    started_s = time.monotonic()
    with pytest.raises(OSError):
        while time.monotonic() < started_s + TEST_TIMEOUT_S:
            client.sendall(b"a")
            eventlet.sleep(0.05)
    assert app.calls == []
    assert server.open_connections == 0


def test_slowly_sent_body_is_refused(serve):
    server = serve(idle_timeout_ms=400)
    client = connect(server)
    client.sendall(b"POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n")
    reader = eventlet.spawn(read_all, client)
    for _ in range(60):
        if reader.dead:
            break
        client.sendall(b"a")
        eventlet.sleep(0.05)
    # The answer arrived while the client was still sending.
    assert reader.dead
    assert parse_problem(reader.wait())["code"] == "body_too_slow"


def test_connections_beyond_the_limit_are_refused_at_once(serve):
    server = serve(max_connections=2)
    open_clients = [connect(server) for _ in range(2)]
    eventlet.sleep(0.05)
    answer = send_request(server, "GET / HTTP/1.1")
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 1" in answer
    assert parse_problem(answer)["outcome"] == "not_run"
    open_clients[0].close()
    eventlet.sleep(0.1)
    assert b"200 OK" in send_request(server, "GET / HTTP/1.1\nConnection: close")


def test_idle_connection_is_closed(serve):
    server = serve(idle_timeout_ms=300)
    client = connect(server)
    assert client.recv(1) == b""
    eventlet.sleep(0.05)
    assert server.open_connections == 0


def test_handler_error_reveals_no_detail(serve):
    answer = send_request(serve(), "GET /fail HTTP/1.1")
    assert answer.startswith(b"HTTP/1.1 500 ")
    assert b"secret" not in answer


def start_stream(server):
    client = connect(server)
    client.sendall(b"GET /stream HTTP/1.1\r\n\r\n")
    data = b""
    while b"first" not in data:
        data += client.recv(4_096)
    return client


def test_stop_waits_for_a_running_answer(serve, app):
    server = serve()
    client = start_stream(server)
    idle = connect(server)
    stopping = eventlet.spawn(server.stop, time.monotonic() + TEST_TIMEOUT_S)
    eventlet.sleep(0.1)
    with pytest.raises(OSError):
        connect(server)
    assert idle.recv(1) == b""
    app.resume_stream.send()
    assert b"last" in read_all(client)
    assert stopping.wait() == 0


def test_stop_reports_aborted_requests(serve):
    server = serve()
    client = start_stream(server)
    assert server.stop(time.monotonic() + 0.05) == 1
    assert b"last" not in read_all(client)


def test_stop_logs_its_begin_its_end_and_each_request_that_it_cuts(serve):
    server = serve()
    client = start_stream(server)
    client_address = "{}:{}".format(*client.getsockname())
    log = logbook.TestHandler()
    with log.applicationbound():
        server.stop(time.monotonic() + 0.05)
    lines = {record.message: record.extra for record in log.records}
    assert lines["server_stopping"]["running"] == 1
    assert lines["server_stopped"]["connections"] == 1
    assert lines["request_cut"]["client"] == client_address
    assert lines["request_cut"]["has_answer"] is True


def test_request_without_an_answer_at_the_deadline_of_a_stop_gets_an_error(serve):
    server = serve()
    client = connect(server)
    client.sendall(b"GET /wait HTTP/1.1\r\n\r\n")
    reader = eventlet.spawn(read_all, client)
    eventlet.sleep(0.05)
    started_s = time.monotonic()
    assert server.stop(started_s + 0.6) == 1
    assert time.monotonic() - started_s < 0.6 + 0.1
    answer = reader.wait()
    assert answer.startswith(b"HTTP/1.1 502 ")
    assert parse_problem(answer)["outcome"] == "unknown"
    assert b"Connection: close" in answer


def test_request_whose_body_is_late_at_the_deadline_of_a_stop_has_not_run(serve, app):
    server = serve()
    client = connect(server)
    client.sendall(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
    reader = eventlet.spawn(read_all, client)
    eventlet.sleep(0.05)
    assert server.stop(time.monotonic() + 0.6) == 1
    answer = reader.wait()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert parse_problem(answer)["outcome"] == "not_run"


def test_answer_that_comes_before_the_deadline_of_a_stop_is_whole(serve, app):
    server = serve()
    client = connect(server)
    client.sendall(b"GET /wait HTTP/1.1\r\n\r\n")
    reader = eventlet.spawn(read_all, client)
    eventlet.sleep(0.05)
    eventlet.spawn_after(0.2, app.resume_stream.send)
    assert server.stop(time.monotonic() + 0.8) == 0
    assert reader.wait().startswith(b"HTTP/1.1 200 ")


def test_client_disconnect_is_not_logged_as_an_error(serve, app):
    server = serve()
    client = start_stream(server)
    log = logbook.TestHandler()
    with log.applicationbound():
        # SO_LINGER with a zero timeout makes the close reset the connection at once.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        eventlet.sleep(0.1)
        app.resume_stream.send()
        while server.running_requests:
            eventlet.sleep(0.01)
    assert not log.has_errors
    assert any("closed its connection" in line for line in log.formatted_records)


def test_handler_error_is_logged_as_an_error(serve):
    log = logbook.TestHandler()
    with log.applicationbound():
        send_request(serve(), "GET /fail HTTP/1.1")
    assert log.has_errors


def test_drain_tells_clients_to_close(serve):
    server = serve()
    server.begin_drain()
    client = connect(server)
    client.sendall(b"GET / HTTP/1.1\r\n\r\n")
    answer = read_all(client)
    assert b"connection: close" in answer.lower()
    assert b"0 bytes" in answer


def test_address_in_use_is_a_typed_error(serve, app):
    server = serve()
    with (
        pytest.raises(HttpListenError, match=server.address),
        make_server_at(server, app),
    ):
        pass


def make_server_at(server, app):
    return HttpServer(app, server.address, HttpLimits())


@pytest.mark.parametrize(
    "sent",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX-Part",
        b"GET /\r\n",
        b"GET / HTTP/1.1",
        b"GET /",
    ],
)
def test_request_whose_head_breaks_off_is_not_run(serve, app, sent):
    client = connect(serve())
    client.sendall(sent)
    client.shutdown(socket.SHUT_WR)
    read_all(client)
    assert app.calls == []
