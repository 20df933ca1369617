"""Callers that read slowly, and an entry without memory for further calls."""

import contextlib

import eventlet
import pytest

from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.http_server.server import HttpServer
from chestnutvale.settings.common import default_http_limits
from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    open_call,
    routed_entry,
    stream_head,
)

EVENTS = 400
EVENT_BYTES = 32_768


def stream_much(sock, request):
    """Send a stream that is larger than the buffers of the sockets."""
    sock.sendall(stream_head())
    for number in range(1, EVENTS + 1):
        sock.sendall(chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)))
    sock.sendall(b"0\r\n\r\n")
    sock.is_read = True


@contextlib.contextmanager
def bounded_entry(endpoint, address, max_bytes):
    """Serve an entry by the HTTP server of the product; yield it and its bound."""
    memory = MemoryBound(max_bytes)
    limits = default_http_limits()
    with (
        routed_entry(endpoint) as entry,
        HttpServer(entry.handler, address, limits, memory=memory),
    ):
        yield entry, memory


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


def test_a_slow_caller_does_not_hold_up_the_endpoint(endpoint, free_address):
    """The endpoint would cut the answer off, and its group would look stalled."""
    endpoint.default = stream_much
    address = free_address()
    with bounded_entry(endpoint, address, 64 * 1024 * 1024) as (entry, memory):
        slow = open_call(address, "/gen/x", X_Model="m")
        wait_until(lambda: memory.used_bytes and not len(entry.context.running))
        assert entry.context.stall_detector.stalled_groups(1e9) == frozenset()
        # Another caller is served meanwhile.
        endpoint.default = complete_answer(b"ok", "c2")
        assert call(address, "/safe/x", X_Call="c2")[0] == 200
        data = b""
        while part := slow.recv(1 << 20):
            data += part
        wait_until(lambda: not memory.used_bytes)
    assert data.count(b"x" * EVENT_BYTES) == EVENTS
    assert data.endswith(b"0\r\n\r\n")
    assert memory.cut_answers == 0


def test_the_call_of_a_cut_answer_ends_at_the_endpoint(endpoint, free_address):
    """A group would work on for a caller that can't get the rest."""
    endpoint.default = stream_much
    address = free_address()
    with bounded_entry(endpoint, address, 4 * 1024 * 1024) as (entry, memory):
        slow = open_call(address, "/gen/x", X_Model="m")
        wait_until(lambda: memory.cut_answers and not len(entry.context.running))
        assert memory.used_bytes == 0
        with contextlib.suppress(ConnectionError):
            data = slow.recv(1 << 24)
            assert not data.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_call_without_memory_is_refused_as_not_run(
    endpoint, free_address, is_chunked
):
    """A call whose body was read would take the memory that is missing."""
    endpoint.default = complete_answer(b"ok")
    address = free_address()
    body = b"b" * 1_000
    if is_chunked:
        body = chunk(body) + b"0\r\n\r\n"
    with bounded_entry(endpoint, address, 900) as (_, memory):
        status, fields, _, _ = _call(address, body, is_chunked)
        assert (status, fields["x-code"]) == (503, "overloaded")
        assert float(fields["retry-after"]) > 0
        assert endpoint.requests == []
        memory.max_bytes = 100_000
        assert _call(address, body, is_chunked)[0] == 200


def _call(address, body, is_chunked):
    if not is_chunked:
        return call(address, "/once/x", body)
    # `call` names the length of the body, which a chunked one must not have.
    host, _, port = address.partition(":")
    sock = eventlet.connect((host, int(port)))
    head = (
        "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nX-Call: c1\r\n"
        "X-Key: k-secret\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    sock.sendall(head.encode() + body)
    data = b""
    while part := sock.recv(65_536):
        data += part
    lines = data.partition(b"\r\n\r\n")[0].decode().split("\r\n")
    fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:])}
    return int(lines[0].split()[1]), fields, b"", True
