"""Timeouts of idle connections and of request heads, and connections at a stop."""

import os
import resource
import time

import eventlet
import pytest
from eventlet.green import socket

from chestnutvale.http_server.server import HttpServer
from chestnutvale.http_server.timeouts import ConnectionTimeouts
from chestnutvale.schema.settings_pb2 import HttpLimits

TEST_TIMEOUT_S = 10.0
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
STREAM_REQUEST = REQUEST.replace(b"/ ", b"/stream ", 1)
LIMITS = HttpLimits(
    max_body_bytes=1_000,
    max_header_bytes=2_000,
    max_connections=10,
    idle_timeout_ms=5_000,
)


class Server:
    """A server whose timeouts change while it runs."""

    def __init__(self, address):
        self.timeouts = ConnectionTimeouts(idle_s=0.3, head_s=0.3)
        self.calls = 0
        self.resume = eventlet.Event()
        self.http = HttpServer(
            self.answer, address, LIMITS, read_timeouts=lambda: self.timeouts
        )

    def answer(self, environ, start_response):
        self.calls += 1
        if environ["PATH_INFO"] == "/wait":
            self.resume.wait()
        start_response("200 OK", [])
        if environ["PATH_INFO"] == "/stream":
            return self.stream()
        return [b"ok"]

    def stream(self):
        yield b"begin"
        self.resume.wait()
        yield b"end"

    def connect(self):
        host, _, port = self.http.address.rpartition(":")
        return socket.create_connection((host, int(port)))


@pytest.fixture(autouse=True)
def limit_test_duration():
    with eventlet.Timeout(TEST_TIMEOUT_S):
        yield


@pytest.fixture
def server(free_address):
    server = Server(free_address())
    with server.http:
        yield server


def read_all(client):
    data = b""
    while part := client.recv(4_096):
        data += part
    return data


def exchange(client, request=REQUEST):
    client.sendall(request)
    return client.recv(4_096)


def test_raised_idle_timeout_applies_to_a_connection_that_is_idle_already(server):
    client = server.connect()
    exchange(client)
    server.timeouts = ConnectionTimeouts(idle_s=5.0, head_s=0.3)
    eventlet.sleep(0.6)
    assert b"200 OK" in exchange(client)


def test_lowered_idle_timeout_applies_to_the_next_wait(server):
    server.timeouts = ConnectionTimeouts(idle_s=5.0, head_s=0.3)
    client = server.connect()
    exchange(client)
    server.timeouts = ConnectionTimeouts(idle_s=0.1, head_s=0.3)
    eventlet.sleep(0.3)
    assert b"200 OK" in exchange(client)
    assert client.recv(1) == b""


def test_lowered_timeouts_do_not_cut_a_head_that_has_begun(server):
    server.timeouts = ConnectionTimeouts(idle_s=5.0, head_s=5.0)
    client = server.connect()
    client.sendall(REQUEST[:10])
    eventlet.sleep(0.1)
    server.timeouts = ConnectionTimeouts(idle_s=0.1, head_s=0.1)
    eventlet.sleep(0.3)
    assert b"200 OK" in exchange(client, REQUEST[10:])


def test_head_that_begins_at_the_end_of_the_idle_time_is_answered(server):
    client = server.connect()
    exchange(client)
    eventlet.sleep(0.2)
    client.sendall(REQUEST[:10])
    eventlet.sleep(0.2)
    assert b"200 OK" in exchange(client, REQUEST[10:])


def test_request_that_arrives_before_the_idle_close_is_answered(server):
    client = server.connect()
    exchange(client)
    # Blocks the server, so that the idle time ends and the request arrives together.
    client.sendall(REQUEST)
    time.sleep(0.4)
    assert b"200 OK" in client.recv(4_096)


def test_head_that_is_not_complete_in_time_is_answered_with_408(server):
    client = server.connect()
    client.sendall(REQUEST[:10])
    answer = read_all(client)
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert b"connection: close" in answer.lower()
    assert server.calls == 0
    assert server.http.refused["head_too_slow"] == 1


def test_head_that_arrived_in_time_is_answered_though_it_is_read_late(server):
    client = server.connect()
    client.sendall(REQUEST[:10])
    # The hub is left in its I/O phase, after which it looks at its timers first.
    exchange(server.connect())
    client.sendall(REQUEST[10:])
    time.sleep(0.4)
    assert b"200 OK" in client.recv(4_096)


def test_empty_line_before_a_request_does_not_end_the_connection(server):
    client = server.connect()
    assert b"200 OK" in exchange(client, REQUEST + b"\r\n")
    eventlet.sleep(0.1)
    assert b"200 OK" in exchange(client)
    assert b"200 OK" in exchange(client, b"\r\n" + REQUEST)


def test_endless_empty_lines_end_the_connection(server):
    client = server.connect()
    with pytest.raises(OSError):
        while True:
            client.sendall(b"\r\n")
            eventlet.sleep(0.02)
    assert server.calls == 0


def test_pipelined_requests_are_all_answered(server):
    client = server.connect()
    client.sendall(REQUEST * 3)
    eventlet.sleep(0.1)
    assert client.recv(4_096).count(b"200 OK") == 3


def test_request_that_arrived_before_the_stop_is_answered(server):
    server.timeouts = ConnectionTimeouts(idle_s=5.0, head_s=0.3)
    client = server.connect()
    exchange(client)
    client.sendall(REQUEST)
    # The server has not read the request yet.
    server.http.stop(time.monotonic() + 1.0)
    answer = read_all(client)
    assert b"200 OK" in answer
    assert b"connection: close" in answer.lower()


def test_request_that_arrived_before_a_long_stop_does_not_run_unanswered(server):
    server.timeouts = ConnectionTimeouts(idle_s=5.0, head_s=0.3)
    other = server.connect()
    other.sendall(REQUEST.replace(b"/ ", b"/wait "))
    client = server.connect()
    exchange(client)
    client.sendall(REQUEST)
    stopping = eventlet.spawn(server.http.stop, time.monotonic() + 5.0)
    assert b"200 OK" in read_all(client)
    assert server.calls == 3
    server.resume.send()
    assert b"200 OK" in read_all(other)
    assert stopping.wait() == 0


def test_answer_that_starts_after_the_drain_began_tells_to_close(server):
    client = server.connect()
    client.sendall(REQUEST.replace(b"/ ", b"/wait "))
    eventlet.sleep(0.05)
    server.http.begin_drain()
    server.resume.send()
    assert b"connection: close" in read_all(client).lower()


def test_request_on_a_connection_that_is_not_accepted_at_the_stop_is_answered(server):
    eventlet.sleep(0.05)
    host, _, port = server.http.address.rpartition(":")
    # A socket that blocks the process leaves the server no chance to accept it.
    client = eventlet.patcher.original("socket").create_connection((host, int(port)))
    client.sendall(REQUEST)
    server.http.stop(time.monotonic() + 1.0)
    assert b"200 OK" in client.recv(4_096)


def test_first_request_on_a_connection_that_is_new_at_the_stop_is_answered(server):
    server.timeouts = ConnectionTimeouts(idle_s=5.0, head_s=2.0)
    client = server.connect()
    eventlet.sleep(0.02)
    stopping = eventlet.spawn(server.http.stop, time.monotonic() + 2.0)
    eventlet.sleep(0.02)
    client.sendall(REQUEST)
    assert b"200 OK" in read_all(client)
    assert stopping.wait() == 0


def test_request_whose_head_is_arriving_at_the_stop_is_answered(server):
    server.timeouts = ConnectionTimeouts(idle_s=5.0, head_s=2.0)
    client = server.connect()
    client.sendall(REQUEST[:10])
    eventlet.sleep(0.05)
    stopping = eventlet.spawn(server.http.stop, time.monotonic() + 2.0)
    eventlet.sleep(0.1)
    client.sendall(REQUEST[10:])
    assert b"200 OK" in read_all(client)
    assert stopping.wait() == 0


def test_connection_closes_with_the_end_of_a_stream_that_ends_during_the_stop(server):
    client = server.connect()
    assert b"begin" in exchange(client, STREAM_REQUEST)
    stopping = eventlet.spawn(server.http.stop, time.monotonic() + 2.0)
    eventlet.sleep(0.05)
    ended_s = time.monotonic()
    server.resume.send()
    assert read_all(client).endswith(b"0\r\n\r\n")
    assert time.monotonic() - ended_s < 0.05
    assert stopping.wait() == 0


def test_request_that_arrives_with_the_end_of_a_stream_at_the_stop_is_answered(server):
    client = server.connect()
    assert b"begin" in exchange(client, STREAM_REQUEST)
    stopping = eventlet.spawn(server.http.stop, time.monotonic() + 2.0)
    eventlet.sleep(0.05)
    client.sendall(REQUEST)
    server.resume.send()
    answer = read_all(client)
    assert answer.endswith(b"ok")
    assert b"connection: close" in answer.lower()
    assert stopping.wait() == 0


def test_request_that_waits_behind_a_stream_at_the_stop_is_answered(server):
    client = server.connect()
    assert b"begin" in exchange(client, STREAM_REQUEST + REQUEST)
    stopping = eventlet.spawn(server.http.stop, time.monotonic() + 2.0)
    eventlet.sleep(0.05)
    server.resume.send()
    assert read_all(client).endswith(b"ok")
    assert server.calls == 2
    assert stopping.wait() == 0


def test_stop_does_not_wait_for_idle_connections(server):
    server.timeouts = ConnectionTimeouts(idle_s=5.0, head_s=0.3)
    client = server.connect()
    exchange(client)
    started_s = time.monotonic()
    server.http.stop(started_s + 2.0)
    assert client.recv(1) == b""
    assert time.monotonic() < started_s + 1.0


def test_server_accepts_again_after_it_had_no_descriptors(server):
    client = socket.socket()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    free = os.dup(0)
    os.close(free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
    try:
        host, _, port = server.http.address.rpartition(":")
        client.connect((host, int(port)))
        eventlet.sleep(0.05)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert b"200 OK" in exchange(client)
    assert b"200 OK" in exchange(server.connect())
