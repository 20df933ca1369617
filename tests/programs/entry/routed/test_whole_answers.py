"""Routed calls with one answer: what is passed on, and how often a call is sent."""

import struct

import eventlet
import pytest
from eventlet.green import socket

from tests.programs.entry.routed.routed_fakes import (
    SECRET,
    ScriptedEndpoint,
    call,
    routed_entry,
    whole,
)

NOT_RUN = whole(b"full", status="503 Busy", extra="X-Not-Run: 1\r\n")


@pytest.fixture
def one():
    return ScriptedEndpoint()


@pytest.fixture
def two():
    return ScriptedEndpoint()


def test_an_answer_is_passed_on_as_it_is(one):
    one.default = whole(b"\x00body", status="207 Odd", extra="X-Other: yes\r\n")
    with routed_entry(one) as entry:
        status, headers, body, is_whole = call(entry.address, "/once/x?q=1", b"\x01in")
    assert (status, body, is_whole) == (207, b"\x00body", True)
    assert headers["x-other"] == "yes"
    assert headers["x-made-by"] == "e1"
    assert one.requests[0].endswith(b"\r\n\r\n\x01in")


def test_an_endpoint_learns_workspace_host_and_time_but_not_the_key(one):
    one.default = whole(b"ok")
    with routed_entry(one) as entry:
        call(entry.address, "/once/x", b"a", X_Left="900", X_Workspace="forged")
    assert one.header("x-workspace") == "ws-1"
    assert b"forged" not in one.requests[0]
    assert one.header("x-host-id") == "app1"
    assert 0 < int(one.header("x-left")) <= 900
    assert SECRET.encode() not in one.requests[0]


@pytest.mark.parametrize(
    "path, headers, expected",
    [
        ("/nowhere/x", {}, 404),
        ("/once/x", {"X_Key": "wrong"}, 401),
        ("/open/x", {"X_Key": ""}, 200),
    ],
)
def test_routes_and_keys_decide_who_is_served(one, path, headers, expected):
    one.default = whole(b"ok")
    with routed_entry(one) as entry:
        assert call(entry.address, path, **headers)[0] == expected
    assert len(one.requests) == (1 if expected == 200 else 0)


def test_without_a_lease_nothing_is_sent(one):
    with routed_entry(one) as entry:
        entry.context.lease = False
        status, headers, _, _ = call(entry.address, "/once/x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert not one.requests


def test_a_connection_is_used_again(one):
    one.default = whole(b"ok")
    with routed_entry(one) as entry:
        for _ in range(3):
            assert call(entry.address, "/safe/x")[0] == 200
        assert entry.pool.reused == 2
    assert one.connections == 1


def test_bytes_after_an_answer_spoil_the_connection(one):
    one.steps = [whole(b"ok") + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"]
    one.default = whole(b"fine")
    with routed_entry(one) as entry:
        assert call(entry.address, "/safe/x")[2] == b"ok"
        assert call(entry.address, "/safe/x")[2] == b"fine"
    assert one.connections == 2


def test_a_late_answer_to_another_request_is_skipped(one):
    one.steps = [whole(b"stale", call="c0") + whole(b"mine")]
    with routed_entry(one) as entry:
        assert call(entry.address, "/once/x")[2] == b"mine"


@pytest.mark.parametrize(
    "step",
    [
        ScriptedEndpoint.CLOSE,
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 10\r\n\r\nhalf",
        b"\xff\xfe nonsense\r\n\r\n",
        whole(b"stale", call="c0"),
    ],
    ids=["reset", "cut", "no answer", "only another's answer"],
)
def test_a_call_that_may_run_once_is_never_sent_again(one, two, step):
    if step != ScriptedEndpoint.CLOSE:
        data = step

        def step(sock, request):
            sock.sendall(data)
            sock.close()

    one.steps = [step]
    two.default = whole(b"second run")
    with routed_entry(one, two) as entry:
        status, _, body, _ = call(entry.address, "/once/x", b"pay")
    assert status == 502
    assert len(one.requests) == 1
    assert not two.requests


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\n",
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Len",
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 0\r\n",
    ],
    ids=["status only", "before the length", "within a name", "before the blank line"],
)
def test_a_head_that_is_cut_is_no_answer(one, head):
    def step(sock, request):
        sock.sendall(head)
        sock.close()

    one.default = step
    with routed_entry(one) as entry:
        status, _, body, _ = call(entry.address, "/once/x", b"pay")
    assert status == 502
    assert len(one.requests) == 1


@pytest.mark.parametrize("call_id", ["X-Call: c1\r\n", ""], ids=["named", "unnamed"])
def test_a_success_that_no_endpoint_signed_is_no_answer(one, call_id):
    head = f"HTTP/1.1 200 OK\r\n{call_id}Content-Length: 2\r\n\r\nok"
    one.default = head.encode()
    with routed_entry(one) as entry:
        status, _, _, _ = call(entry.address, "/once/x", b"pay")
    assert status == 502
    assert len(one.requests) == 1


def send_without_length(body, *, reset):
    def step(sock, request):
        sock.sendall(b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n\r\n" + body)
        if reset:
            eventlet.sleep(0.05)
            option = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        sock.close()

    return step


def test_an_answer_without_a_length_ends_with_its_connection(one):
    one.default = send_without_length(b"all of it", reset=False)
    with routed_entry(one) as entry:
        status, _, body, is_whole = call(entry.address, "/once/x", b"pay")
    assert (status, body, is_whole) == (200, b"all of it", True)


def test_an_answer_without_a_length_that_is_reset_is_not_whole(one):
    one.default = send_without_length(b"half of", reset=True)
    with routed_entry(one) as entry:
        assert call(entry.address, "/once/x", b"pay")[0] == 502


def test_a_refusal_that_says_not_run_lets_the_call_go_elsewhere(one, two):
    one.default = NOT_RUN
    two.default = whole(b"ran")
    with routed_entry(one, two) as entry:
        assert call(entry.address, "/once/x", b"pay")[2] == b"ran"


def test_refused_everywhere_is_not_run(one, two):
    one.default = two.default = NOT_RUN
    with routed_entry(one, two) as entry:
        status, headers, _, _ = call(entry.address, "/once/x", b"pay")
    assert status == 503
    assert "retry-after" in headers


def test_a_repeatable_call_goes_elsewhere_after_a_break(one, two):
    one.default = ScriptedEndpoint.CLOSE
    two.default = whole(b"ok")
    with routed_entry(one, two) as entry:
        assert call(entry.address, "/safe/x")[2] == b"ok"


def test_an_error_of_an_endpoint_is_kept_if_no_other_one_does_better(one, two):
    one.default = whole(b"first", status="500 Bad")
    two.default = whole(b"second", status="500 Bad")
    with routed_entry(one, two) as entry:
        status, _, body, _ = call(entry.address, "/safe/x")
    assert (status, body) == (500, b"second")
    with routed_entry(one) as entry:
        status, _, body, _ = call(entry.address, "/safe/x")
    assert (status, body) == (500, b"first")


def test_no_more_endpoints_than_the_route_allows(one, two):
    third = ScriptedEndpoint()
    one.default = two.default = ScriptedEndpoint.CLOSE
    third.default = whole(b"third")
    with routed_entry(one, two, third) as entry:
        assert call(entry.address, "/safe/x")[0] == 502
    assert not third.requests
