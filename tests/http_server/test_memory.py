"""Slow readers, and the bound on the memory of requests and answers."""

import eventlet
import pytest
from eventlet.green import socket

from chestnutvale.clock import SystemClock
from chestnutvale.http_client.timed_socket import TimedSocket
from chestnutvale.http_server.const import ENVIRON_RESERVE_MEMORY
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.http_server.server import HttpServer
from chestnutvale.schema.settings_pb2 import HttpLimits

TEST_TIMEOUT_S = 15.0
PIECE = b"x" * 65_536
PIECES = 160
ANSWER_BYTES = len(PIECE) * PIECES


class App:
    """Streams an answer and records how many of its pieces were taken.

    ``/sized`` gives the length of the answer in its head, ``/small`` answers at once.
    """

    def __init__(self):
        self.taken = 0

    def __call__(self, environ, start_response):
        if environ["PATH_INFO"] == "/small":
            reserve = environ[ENVIRON_RESERVE_MEMORY]
            start_response("200 OK" if reserve(1_000) else "503 Full", [])
            return [b"ok"]
        is_sized = environ["PATH_INFO"] == "/sized"
        length = [("Content-Length", str(ANSWER_BYTES))] if is_sized else []
        start_response("200 OK", length)
        return self.stream()

    def stream(self):
        for _ in range(PIECES):
            yield PIECE
            self.taken += 1
            eventlet.sleep(0)


@pytest.fixture(autouse=True)
def limit_test_duration():
    with eventlet.Timeout(TEST_TIMEOUT_S):
        yield


@pytest.fixture
def serve(free_address):
    """Return a function that starts a server with a bound on its memory."""
    servers = []

    def start(max_bytes, idle_timeout_ms=5_000):
        limits = HttpLimits(
            max_body_bytes=1_000,
            max_header_bytes=2_000,
            max_connections=10,
            idle_timeout_ms=idle_timeout_ms,
        )
        memory, app = MemoryBound(max_bytes), App()
        server = HttpServer(app, free_address(), limits, memory=memory)
        server.__enter__()
        servers.append(server)
        return server, app, memory

    yield start
    for server in servers:
        server.__exit__(None, None, None)


def open_request(server, path, version="1.1"):
    """Send a request with a small receive buffer, and read nothing."""
    host, _, port = server.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    sock.connect((host, int(port)))
    head = f"GET {path} HTTP/{version}\r\nHost: h\r\nConnection: close\r\n\r\n"
    sock.sendall(head.encode())
    return sock


def read_all(sock):
    """Return what can be read, and whether the connection ended without a reset."""
    data = bytearray()
    clock = SystemClock()
    # eventlet's own receive reports a reset as a normal end.
    timed = TimedSocket(sock, clock)
    try:
        while part := timed.receive(clock.now_s() + TEST_TIMEOUT_S):
            data += part
    except ConnectionResetError:
        return bytes(data), False
    return bytes(data), True


def wait_until(condition):
    while not condition():
        eventlet.sleep(0.005)


@pytest.mark.parametrize("path", ["/", "/sized"])
def test_a_slow_reader_does_not_stall_the_answer_and_gets_all_of_it(serve, path):
    """An endpoint cuts off an answer that its entry does not read."""
    server, app, memory = serve(0)
    sock = open_request(server, path)
    wait_until(lambda: app.taken == PIECES)
    assert memory.used_bytes > 0
    data, is_whole = read_all(sock)
    assert is_whole and data.count(b"x") == ANSWER_BYTES
    wait_until(lambda: not server.open_connections)
    assert memory.used_bytes == 0


@pytest.mark.parametrize(
    ("path", "version"), [("/", "1.1"), ("/sized", "1.1"), ("/", "1.0")]
)
def test_the_answer_of_a_slow_reader_is_cut_and_looks_broken(serve, path, version):
    """A caller must not take a part of an answer for the whole."""
    server, app, memory = serve(4 * 1024 * 1024)
    sock = open_request(server, path, version)
    wait_until(lambda: memory.cut_answers)
    data, ended_normally = read_all(sock)
    assert data.count(b"x") < ANSWER_BYTES
    is_broken = b"\r\n0\r\n\r\n" not in data if version == "1.1" else not ended_normally
    assert is_broken
    wait_until(lambda: not server.open_connections)
    assert memory.used_bytes == 0
    assert app.taken < PIECES


def test_other_clients_are_served_beside_a_slow_reader(serve):
    server, app, memory = serve(64 * 1024 * 1024)
    slow = open_request(server, "/")
    wait_until(lambda: app.taken == PIECES)
    data, is_whole = read_all(open_request(server, "/sized"))
    assert is_whole and data.count(b"x") == ANSWER_BYTES
    assert memory.cut_answers == 0
    slow.close()
    wait_until(lambda: not server.open_connections)
    assert memory.used_bytes == 0


def test_a_request_without_room_for_its_body_is_refused(serve):
    server, _, memory = serve(900)
    assert read_all(open_request(server, "/small"))[0].startswith(b"HTTP/1.1 503")
    assert memory.refused_requests == 1
    memory.max_bytes = 1_000
    for _ in range(2):
        # The memory of a request is free again after its answer.
        answer = read_all(open_request(server, "/small"))[0]
        assert answer.startswith(b"HTTP/1.1 200")


def test_a_reader_that_stops_is_disconnected_after_the_idle_timeout(serve):
    """Its unread answer would take memory for ever."""
    server, app, memory = serve(0, idle_timeout_ms=200)
    sock = open_request(server, "/")
    wait_until(lambda: app.taken == PIECES)
    wait_until(lambda: not server.open_connections)
    assert memory.used_bytes == 0
    assert read_all(sock)[0].count(b"x") < ANSWER_BYTES


def test_a_stop_waits_for_a_reader_that_goes_on(serve):
    """A rolling restart would break off answers that are complete at the entry."""
    server, app, _ = serve(0)
    sock = open_request(server, "/")
    wait_until(lambda: app.taken == PIECES)
    reader = eventlet.spawn(read_all, sock)
    assert server.stop(server._clock.now_s() + 5.0) == 0
    data, is_whole = reader.wait()
    assert is_whole and data.count(b"x") == ANSWER_BYTES


class Answer:
    """An unread answer of the pure bound."""

    is_cut = False

    def cut(self):
        self.is_cut = True


def test_the_answer_with_the_most_unread_bytes_is_cut_first():
    bound = MemoryBound(1_000)
    answers = [Answer() for _ in range(5)]
    for answer, size in zip(answers, (200, 240, 220, 230, 210), strict=True):
        bound.set_unread(answer, size)
    assert [answer.is_cut for answer in answers] == [False, True, False, False, False]
    assert bound.used_bytes == 860


def test_one_answer_can_take_only_a_quarter_of_the_bound():
    """A single slow reader would have all new calls refused."""
    bound = MemoryBound(1_000)
    answer = Answer()
    bound.set_unread(answer, 250)
    assert not answer.is_cut
    bound.set_unread(answer, 251)
    assert answer.is_cut
    assert bound.used_bytes == 0


def test_a_body_does_not_displace_answers():
    bound = MemoryBound(1_000)
    answer = Answer()
    bound.set_unread(answer, 200)
    assert not bound.reserve_body(801)
    assert bound.reserve_body(800)
    assert not answer.is_cut
    bound.release_body(800)
    bound.set_unread(answer, 0)
    assert bound.used_bytes == 0


class FakeBody:
    """A body from an endpoint that grows until it is cut."""

    def __init__(self, bound):
        self.is_cut = False
        self.size_bytes = 0
        self._bound = bound

    def grow(self, size_bytes):
        self.size_bytes += size_bytes
        self._bound.set_collected(self, self.size_bytes)

    def cut(self):
        self.is_cut = True


def test_bodies_from_endpoints_are_bounded_and_the_largest_is_cut_first():
    # Guards against answers without end that take all memory of a process.
    bound = MemoryBound(1_000)
    sound = [FakeBody(bound) for _ in range(4)]
    endless = [FakeBody(bound) for _ in range(40)]
    for body in sound:
        body.grow(10)
    for _ in range(100):
        for body in endless:
            if not body.is_cut:
                body.grow(20)
        assert bound.used_bytes <= 500
    assert not any(body.is_cut for body in sound)
    assert bound.cut_bodies == sum(body.is_cut for body in endless) > 30


def test_small_bodies_are_received_although_the_rest_of_the_bound_is_taken():
    # Guards against sound answers that are given up for want of memory elsewhere.
    bound = MemoryBound(1_000)
    assert bound.reserve_body(1_000)
    body, larger = FakeBody(bound), FakeBody(bound)
    body.grow(20)
    assert not body.is_cut
    larger.grow(200)
    assert (body.is_cut, larger.is_cut) == (False, True)


def test_complete_body_takes_no_memory_any_more():
    bound = MemoryBound(1_000)
    body = FakeBody(bound)
    body.grow(400)
    bound.set_collected(body, 0)
    assert bound.used_bytes == 0


def test_without_a_bound_no_body_is_cut():
    bound = MemoryBound()
    body = FakeBody(bound)
    body.grow(10**9)
    assert not body.is_cut
