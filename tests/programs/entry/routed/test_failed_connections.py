"""An answer whose connection has failed is never passed on as a whole one."""

import contextlib

import eventlet
import pytest
from eventlet.green import socket

from chestnutvale.programs.entry.routed import connections
from tests.http_client.answer_faults import cut, reset_connection
from tests.programs.entry.routed.routed_fakes import (
    API_KEY,
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    isolated_entry,
    routed_entry,
    stream_head,
)

# The answer has no length and ends with its connection.
UNDELIMITED_HEAD = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n\r\n"


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture
def other_endpoint():
    return ScriptedEndpoint()


@pytest.mark.parametrize("sent_by_second", [b"", b"id: 3\nda"], ids=["none", "a part"])
def test_reset_of_a_held_attempt_breaks_its_stream(
    endpoint, other_endpoint, sent_by_second
):
    # Guards against a stream without a length that ends as complete: its connection
    # is reset while the call waits for another group, which breaks off too.
    def send_two_events_and_reset(sock, request):
        sock.sendall(UNDELIMITED_HEAD + event(1) + event(2))
        eventlet.sleep(0.9)
        reset_connection(sock)

    def break_off(sock, request):
        eventlet.sleep(0.6)
        sock.sendall(UNDELIMITED_HEAD + sent_by_second)
        eventlet.sleep(0.2)
        reset_connection(sock)

    endpoint.default = send_two_events_and_reset
    other_endpoint.default = break_off
    with routed_entry(endpoint, other_endpoint) as entry:
        status, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert len(other_endpoint.requests) == 1
    assert (status, body) == (200, event(1) + event(2))
    assert not is_complete


def test_resumed_stream_that_ends_before_its_first_event_does_not_end_as_whole(
    endpoint, other_endpoint
):
    # Guards against a stream without a length that ends as complete: a host that
    # crashes may close its connection like one that has no further events.
    def send_two_events_and_reset(sock, request):
        sock.sendall(UNDELIMITED_HEAD + event(1) + event(2))
        eventlet.sleep(0.1)
        reset_connection(sock)

    endpoint.default = send_two_events_and_reset
    other_endpoint.default = cut(UNDELIMITED_HEAD)
    with routed_entry(endpoint, other_endpoint) as entry:
        status, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert len(other_endpoint.requests) == 1
    assert (status, body) == (200, event(1) + event(2))
    assert not is_complete


class LateReader:
    """Endpoint that answers after the head of a request and never reads its body."""

    def __init__(self, answer):
        self._answer = answer
        self.heads = []

    @contextlib.contextmanager
    def serve(self):
        with contextlib.closing(socket.socket()) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            task = eventlet.spawn(self._accept, listener)
            yield f"127.0.0.1:{listener.getsockname()[1]}"
            task.kill()

    def _accept(self, listener):
        while True:
            sock, _ = listener.accept()
            eventlet.spawn(self._answer_early, sock)

    def _answer_early(self, sock):
        with contextlib.closing(sock):
            head = b""
            while b"\r\n\r\n" not in head:
                head += sock.recv(1)
            self.heads.append(head)
            sock.sendall(self._answer)
            eventlet.sleep(10.0)


@pytest.fixture
def short_user_timeout(monkeypatch):
    """Have the kernel give connections up soon whose peer reads nothing."""
    monkeypatch.setattr(connections, "TCP_USER_TIMEOUT_MS", 300)


# More than the buffers of both sockets hold.
LONG_BODY = bytes(4_000_000)
# More than the buffer of the endpoint holds, and less than that of the entry.
BUFFERED_BODY = bytes(256_000)


def test_request_whose_connection_the_kernel_gives_up_is_not_sent_again(
    short_user_timeout,
):
    # Guards against a stream that may run once and runs twice: its endpoint answers
    # early and reads so late that the kernel gives the connection up.
    endpoint = LateReader(stream_head() + chunk(event(1)))
    with routed_entry(endpoint) as entry:
        status, _, _, _ = call(entry.address, "/fixed/x", LONG_BODY, X_Model="m")
    assert len(endpoint.heads) == 1
    assert status == 502


def test_stream_whose_connection_the_kernel_gives_up_does_not_end_as_whole(
    short_user_timeout,
):
    # Guards against a stream without a length that ends as complete: its endpoint
    # reads the request so late that the kernel gives the connection up.
    endpoint = LateReader(UNDELIMITED_HEAD + event(1) + event(2))
    with routed_entry(endpoint) as entry:
        status, _, body, is_complete = call(
            entry.address, "/fixed/x", BUFFERED_BODY, X_Model="m"
        )
    assert len(endpoint.heads) == 1
    assert (status, body) == (200, event(1) + event(2))
    assert not is_complete


BODY = b"a body of the caller"
FRAMED_BODIES = {
    "length": (f"Content-Length: {len(BODY)}", BODY),
    "chunks": (
        "Transfer-Encoding: chunked",
        chunk(BODY[:9]) + chunk(BODY[9:]) + b"0\r\n\r\n",
    ),
}


@pytest.mark.parametrize("ends_with", ["close", "half close", "reset"])
@pytest.mark.parametrize("framing", FRAMED_BODIES)
def test_request_whose_connection_ends_within_its_body_is_not_passed_on(
    endpoint, framing, ends_with
):
    # Guards against a part of a request that an endpoint gets as a whole one.
    header, body = FRAMED_BODIES[framing]
    head = f"POST /once/x HTTP/1.1\r\nHost: shop.example\r\nX-Call: c1\r\n{header}\r\n"
    head += f"X-Key: {API_KEY}\r\n\r\n"
    endpoint.default = complete_answer(b"done")
    with routed_entry(endpoint) as entry:
        host, _, port = entry.address.rpartition(":")
        for size in range(len(body)):
            sock = socket.create_connection((host, int(port)))
            sock.sendall(head.encode() + body[:size])
            eventlet.sleep(0.005)
            if ends_with == "half close":
                sock.shutdown(socket.SHUT_WR)
                assert not sock.recv(65_536).startswith(b"HTTP/1.1 2")
                sock.close()
            elif ends_with == "reset":
                reset_connection(sock)
            else:
                sock.close()
        eventlet.sleep(0.1)
        assert endpoint.requests == []
        sock = socket.create_connection((host, int(port)))
        sock.sendall(head.encode() + body)
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200")
        sock.close()


def test_reset_at_a_peer_breaks_the_answer_that_it_passes_on(endpoint):
    # Guards against a broken stream that two entries in a row turn into a whole one.
    def send_two_events_and_reset(sock, request):
        sock.sendall(UNDELIMITED_HEAD + event(1) + event(2))
        eventlet.sleep(0.1)
        reset_connection(sock)

    endpoint.default = send_two_events_and_reset
    with isolated_entry(endpoint) as entry:
        status, _, body, is_complete = call(entry.address, "/fixed/x", X_Model="m")
    assert (status, body) == (200, event(1) + event(2))
    assert not is_complete
