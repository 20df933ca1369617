"""Calls at an entry that reaches no endpoint while other entries do."""

from eventlet.green import socket

from tests.http_client.answer_faults import cut
from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    UnreachableEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    isolated_entry,
    open_call,
    stream_head,
)

STREAM = stream_head() + chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n"


def test_an_entry_that_reaches_no_endpoint_serves_its_callers_through_a_peer():
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(b"done")
    with isolated_entry(endpoint) as entry:
        for path in ("/safe/x", "/once/x"):
            status, headers, body, is_complete = call(entry.address, path, b"a")
            assert (status, body, is_complete) == (200, b"done", True)
            assert headers["x-made-by"] == "e1"
    assert len(endpoint.requests) == 2


def test_an_entry_that_reaches_no_endpoint_streams_through_a_peer():
    endpoint = ScriptedEndpoint()
    endpoint.default = STREAM
    with isolated_entry(endpoint) as entry:
        status, _, body, is_complete = call(entry.address, "/gen/x", X_Model="m")
    assert (status, body, is_complete) == (200, event(1) + event(2), True)


def test_a_call_that_was_passed_on_is_not_passed_on_again():
    with isolated_entry(UnreachableEndpoint()) as entry:
        entry.context.peers = [entry.relay_address]
        status, headers, _, _ = call(entry.address, "/once/x", b"a")
    assert status == 503
    assert "retry-after" in headers


def test_a_peer_lost_after_the_request_was_sent_leaves_the_outcome_unknown():
    peer = ScriptedEndpoint()
    peer.default = ScriptedEndpoint.CLOSE
    with isolated_entry(ScriptedEndpoint()) as entry, peer.serve() as address:
        entry.context.peers = [address]
        status, _, _, _ = call(entry.address, "/once/x", b"a")
    assert status == 502
    assert len(peer.requests) == 1


def test_a_call_tries_another_peer_if_one_is_unreachable():
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(b"done")
    gone = UnreachableEndpoint()
    with isolated_entry(endpoint) as entry, gone.serve() as address:
        entry.context.peers = [address, *entry.context.peers]
        results = [call(entry.address, f"/once/{n}", b"a") for n in range(8)]
    assert [result[0] for result in results] == [200] * 8
    assert len(endpoint.requests) == 8


def test_an_answer_that_breaks_off_at_the_peer_looks_broken():
    endpoint = ScriptedEndpoint()

    def break_off(sock, request):
        sock.sendall(stream_head() + chunk(event(1)))
        sock.shutdown(socket.SHUT_RDWR)

    endpoint.default = break_off
    with isolated_entry(endpoint) as entry:
        status, _, body, is_complete = call(entry.address, "/fixed/x", X_Model="m")
    assert (status, body, is_complete) == (200, event(1), False)


def test_a_caller_that_leaves_ends_the_call_at_the_peer():
    endpoint = ScriptedEndpoint()
    left = []

    def wait_for_close(sock, request):
        left.append(sock.recv(1) == b"")

    endpoint.default = wait_for_close
    with isolated_entry(endpoint) as entry:
        sock = open_call(entry.address, "/gen/x", X_Model="m")
        wait_until(lambda: endpoint.requests)
        sock.close()
        wait_until(lambda: left, timeout_s=0.5)
    assert left == [True]


def test_the_peer_gets_the_time_that_is_left_and_the_key():
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(b"done")
    with isolated_entry(endpoint) as entry:
        status, _, _, _ = call(entry.address, "/once/x", b"a", X_Left="900")
    assert status == 200
    assert int(endpoint.header("x-left")) <= 900
    assert endpoint.header("x-workspace") == "ws-1"


def test_a_relayed_answer_cut_anywhere_in_its_head_is_no_success():
    answer = complete_answer(b"done")
    head_bytes = answer.index(b"done")
    peer = ScriptedEndpoint()
    with isolated_entry(ScriptedEndpoint()) as entry, peer.serve() as peer_address:
        entry.context.peers = [peer_address]
        for size in range(1, head_bytes + 1):
            peer.default = cut(answer[:size])
            status, _, body, _ = call(entry.address, "/once/x", b"a")
            assert (status, body) == (502, b""), size


def test_a_call_that_outlasts_the_stop_of_the_peer_is_refused_before_it_is_sent():
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(b"done")
    with isolated_entry(endpoint) as entry:
        peer = entry.peer.context
        peer.stop_window.ends_at_s = peer.clock.now_s() + 1.0
        status, headers, _, _ = call(entry.address, "/once/x", X_Left="2000")
        assert (status, headers["x-code"]) == (503, "entry_stopping")
        assert not endpoint.requests
        assert call(entry.address, "/once/x", X_Left="900")[2] == b"done"
