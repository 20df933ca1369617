"""An answer that breaks off never looks complete, whatever ends it."""

import contextlib
import time

import eventlet
import pytest
from eventlet.green import socket

from chestnutvale.http_server.exceptions import AnswerBrokenError
from chestnutvale.http_server.server import HttpServer
from chestnutvale.schema.settings_pb2 import HttpLimits

TEST_TIMEOUT_S = 10.0
IDLE_TIMEOUT_MS = 300
# Larger than the buffers of both sockets.
LARGE_BYTES = 16 * 1024 * 1024
LAST_CHUNK = b"0\r\n\r\n"


def stream(path):
    yield b"first"
    if path == "/break":
        raise AnswerBrokenError("the endpoint left")
    if path == "/fail":
        raise ValueError("an error of the application")
    if path == "/stop":
        eventlet.sleep(TEST_TIMEOUT_S)
    if path == "/unread":
        yield b"x" * LARGE_BYTES
    yield b"last"


def app(environ, start_response):
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return stream(environ["PATH_INFO"])


def connect(address):
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


@contextlib.contextmanager
def open_call(address, path, version):
    """Send a request; yield the server and the connection of the client."""
    limits = HttpLimits(
        max_header_bytes=8192,
        max_body_bytes=8192,
        idle_timeout_ms=IDLE_TIMEOUT_MS,
        max_connections=3,
    )
    request = f"GET {path} HTTP/{version}\r\nHost: a\r\nConnection: close\r\n\r\n"
    with (
        eventlet.Timeout(TEST_TIMEOUT_S),
        HttpServer(app, address, limits) as server,
        contextlib.closing(connect(address)) as client,
    ):
        client.sendall(request.encode())
        yield server, client


def read_to_end(client):
    """Return what arrives, and whether the connection ends in an orderly way."""
    data = b""
    while True:
        try:
            part = client.fd.recv(65_536)
        except BlockingIOError:
            eventlet.sleep(0.01)
            continue
        except ConnectionResetError:
            return data, False
        if not part:
            return data, True
        data += part


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("path", ["/break", "/fail", "/stop", "/unread"])
def test_answer_that_breaks_off_does_not_look_complete(free_address, path, version):
    # Guards against a broken stream that a client of HTTP/1.0, for whom the end of the
    # connection is the end of the answer, takes for a whole one.
    with open_call(free_address(), path, version) as (server, client):
        if path == "/stop":
            eventlet.sleep(0.1)
            eventlet.spawn(server.stop, time.monotonic() + 0.1)
        if path == "/unread":
            eventlet.sleep(3 * IDLE_TIMEOUT_MS / 1_000)
        data, is_orderly = read_to_end(client)
    assert b"200 OK" in data
    assert b"last" not in data
    assert not (data.endswith(LAST_CHUNK) or (version == "1.0" and is_orderly))


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_whole_answer_ends_in_an_orderly_way(free_address, version):
    with open_call(free_address(), "/whole", version) as (_, client):
        data, is_orderly = read_to_end(client)
    assert is_orderly
    assert b"firstlast" in data if version == "1.0" else data.endswith(LAST_CHUNK)
