"""Each call whose answer ends early leaves one line with its id and who ended it."""

import contextlib

import eventlet
import logbook
import pytest
from eventlet.green import socket

from chestnutvale.http_server.server import HttpServer
from chestnutvale.routing.const import ISOLATION_CONFIRMATION_S
from chestnutvale.settings.common import default_http_limits
from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    UnreachableEndpoint,
    call,
    chunk,
    event,
    open_call,
    routed_entry,
    stream_head,
)

FIRST_EVENT = stream_head("c7") + chunk(event(1))
TEST_TIMEOUT_S = 15.0


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
def endpoint():
    return ScriptedEndpoint()


@contextlib.contextmanager
def served_entry(address, *endpoints):
    """Serve an entry by the HTTP server of the product."""
    limits = default_http_limits()
    with (
        routed_entry(*endpoints) as entry,
        HttpServer(entry.handler, address, limits, request_id_header="X-Call"),
    ):
        yield entry


def break_off(sock, request):
    sock.sendall(FIRST_EVENT)
    sock.shutdown(socket.SHUT_RDWR)


def go_silent(sock, request):
    sock.sendall(FIRST_EVENT)
    sock.recv(1)


def find_ends(log):
    return [item for item in log.records if item.message == "answer_ended_early"]


def wait_for_end(log):
    wait_until(lambda: find_ends(log))
    eventlet.sleep(0.1)
    (record,) = find_ends(log)
    assert record.level >= logbook.INFO
    assert record.extra["request"] == "c7"
    return record.extra["ended_by"], record.extra["reason"]


def test_the_endpoint_broke_off(endpoint, free_address, log):
    endpoint.default = break_off
    address = free_address()
    with served_entry(address, endpoint):
        result = call(address, "/fixed/x", X_Model="m", X_Call="c7")
        assert not result[3]
        assert wait_for_end(log) == ("endpoint", "stream_broken")
        assert find_ends(log)[0].extra["sent_bytes"] > len(event(1))


def test_the_deadline_passed(endpoint, free_address, log):
    endpoint.default = go_silent
    address = free_address()
    with served_entry(address, endpoint):
        call(address, "/fixed/x", X_Model="m", X_Call="c7", X_Left="500")
        assert wait_for_end(log) == ("server", "deadline_exceeded")


def test_the_caller_left_its_stream(endpoint, free_address, log):
    endpoint.default = go_silent
    address = free_address()
    with served_entry(address, endpoint):
        client = open_call(address, "/fixed/x", X_Model="m", X_Call="c7")
        client.recv(1)
        client.close()
        assert wait_for_end(log) == ("caller", "caller_gone")


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/gen/x"])
def test_the_caller_left_before_its_answer(endpoint, free_address, log, path):
    endpoint.default = lambda sock, request: sock.recv(1)
    address = free_address()
    with served_entry(address, endpoint):
        client = open_call(address, path, X_Model="m", X_Call="c7")
        wait_until(lambda: endpoint.requests)
        client.close()
        assert wait_for_end(log) == ("caller", "caller_gone")


@pytest.mark.parametrize(
    ("step", "left_ms", "end"),
    [
        (break_off, "5000", ("peer", "endpoint_broken")),
        (go_silent, "300", ("server", "deadline_exceeded")),
    ],
)
def test_the_answer_of_a_peer_broke_off(
    endpoint, free_address, log, step, left_ms, end
):
    peer = ScriptedEndpoint()
    peer.default = step
    address = free_address()
    entry = served_entry(address, UnreachableEndpoint(), UnreachableEndpoint())
    with entry as entry, peer.serve() as peer_address:
        entry.context.peers = [peer_address]
        since_s = entry.context.clock.now_s() - ISOLATION_CONFIRMATION_S
        entry.context.reachability.record_failure("127.0.0.1:1", since_s)
        call(address, "/gen/x", X_Model="m", X_Call="c7", X_Left=left_ms)
        assert wait_for_end(log) == end


def test_a_whole_refusal_leaves_no_further_line(endpoint, free_address, log):
    address = free_address()
    with served_entry(address, endpoint):
        assert call(address, "/nowhere", X_Call="c7")[0] == 404
    failed = [item for item in log.records if item.message == "call_failed"]
    assert [item.extra["request"] for item in failed] == ["c7"]
    assert find_ends(log) == []
