"""Routed calls without streaming: forwarded answers and headers, and retries."""

import struct

import eventlet
import pytest
from eventlet.green import socket

from tests.programs.entry.routed.routed_fakes import (
    API_KEY,
    ScriptedEndpoint,
    call,
    complete_answer,
    routed_entry,
)

NOT_RUN = complete_answer(b"full", status="503 Busy", extra="X-Not-Run: 1\r\n")


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture
def other_endpoint():
    return ScriptedEndpoint()


def test_answer_is_forwarded_unchanged(endpoint):
    endpoint.default = complete_answer(
        b"\x00body", status="207 Odd", extra="X-Other: yes\r\n"
    )
    with routed_entry(endpoint) as entry:
        status, headers, body, is_complete = call(
            entry.address, "/once/x?q=1", b"\x01in"
        )
    assert (status, body, is_complete) == (207, b"\x00body", True)
    assert headers["x-other"] == "yes"
    assert headers["x-made-by"] == "e1"
    assert endpoint.requests[0].endswith(b"\r\n\r\n\x01in")


def test_endpoint_gets_workspace_host_and_time_but_not_api_key(endpoint):
    endpoint.default = complete_answer(b"ok")
    with routed_entry(endpoint) as entry:
        call(entry.address, "/once/x", b"a", X_Left="900", X_Workspace="forged")
    assert endpoint.header("x-workspace") == "ws-1"
    assert b"forged" not in endpoint.requests[0]
    assert endpoint.header("x-host-id") == "app1"
    assert 0 < int(endpoint.header("x-left")) <= 900
    assert API_KEY.encode() not in endpoint.requests[0]


@pytest.mark.parametrize(
    "path, headers, expected",
    [
        ("/nowhere/x", {}, 404),
        ("/once/x", {"X_Key": "wrong"}, 401),
        ("/open/x", {"X_Key": ""}, 200),
    ],
)
def test_route_and_api_key_determine_status(endpoint, path, headers, expected):
    endpoint.default = complete_answer(b"ok")
    with routed_entry(endpoint) as entry:
        assert call(entry.address, path, **headers)[0] == expected
    assert len(endpoint.requests) == (1 if expected == 200 else 0)


def test_no_request_is_sent_without_lease(endpoint):
    with routed_entry(endpoint) as entry:
        entry.context.lease = False
        status, headers, _, _ = call(entry.address, "/once/x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert not endpoint.requests


def test_connection_is_reused(endpoint):
    endpoint.default = complete_answer(b"ok")
    with routed_entry(endpoint) as entry:
        for _ in range(3):
            assert call(entry.address, "/safe/x")[0] == 200
        assert entry.pool.reused_requests == 2
    assert endpoint.connections == 1


def test_connection_with_unexpected_data_is_not_reused(endpoint):
    endpoint.steps = [
        complete_answer(b"ok") + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
    ]
    endpoint.default = complete_answer(b"fine")
    with routed_entry(endpoint) as entry:
        assert call(entry.address, "/safe/x")[2] == b"ok"
        assert call(entry.address, "/safe/x")[2] == b"fine"
    assert endpoint.connections == 2


def test_late_answer_to_another_request_is_skipped(endpoint):
    endpoint.steps = [complete_answer(b"stale", call="c0") + complete_answer(b"mine")]
    with routed_entry(endpoint) as entry:
        assert call(entry.address, "/once/x")[2] == b"mine"


def test_refusal_without_id_on_a_kept_connection_is_no_proof(endpoint, other_endpoint):
    refusal = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    endpoint.steps = [complete_answer(b"ok"), refusal + complete_answer(b"ran")]
    other_endpoint.default = complete_answer(b"second run")
    with routed_entry(endpoint, other_endpoint) as entry:
        assert call(entry.address, "/once/x", b"pay")[2] == b"ok"
        assert call(entry.address, "/once/x", b"pay", X_Call="c2")[0] == 502
    assert not other_endpoint.requests


def test_refusal_without_id_on_a_new_connection_says_not_run(endpoint):
    endpoint.default = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    with routed_entry(endpoint) as entry:
        assert call(entry.address, "/once/x", b"pay")[0] == 503


def test_repeated_refusal_is_not_taken_for_the_answer_to_the_next_attempt(endpoint):
    refusing = []

    def refuse(sock, request):
        refusing.append(sock)
        sock.sendall(NOT_RUN)

    def answer(sock, request):
        repeated = NOT_RUN if sock in refusing else b""
        sock.sendall(repeated + complete_answer(b"ran"))

    endpoint.steps = [refuse]
    endpoint.default = answer
    with routed_entry(endpoint) as entry:
        assert call(entry.address, "/once/x", b"pay")[0] == 503
        # The caller sends the same attempt again.
        assert call(entry.address, "/once/x", b"pay")[2] == b"ran"


@pytest.mark.parametrize(
    "step",
    [
        ScriptedEndpoint.CLOSE,
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 10\r\n\r\nhalf",
        b"\xff\xfe nonsense\r\n\r\n",
        complete_answer(b"stale", call="c0"),
    ],
    ids=["reset", "cut", "no answer", "only another's answer"],
)
def test_non_repeatable_call_is_never_retried_after_a_failure(
    endpoint, other_endpoint, step
):
    if step != ScriptedEndpoint.CLOSE:
        data = step

        def step(sock, request):
            sock.sendall(data)
            sock.close()

    endpoint.steps = [step]
    other_endpoint.default = complete_answer(b"second run")
    with routed_entry(endpoint, other_endpoint) as entry:
        status, _, body, _ = call(entry.address, "/once/x", b"pay")
    assert status == 502
    assert len(endpoint.requests) == 1
    assert not other_endpoint.requests


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
def test_truncated_head_is_an_error(endpoint, head):
    def step(sock, request):
        sock.sendall(head)
        sock.close()

    endpoint.default = step
    with routed_entry(endpoint) as entry:
        status, _, body, _ = call(entry.address, "/once/x", b"pay")
    assert status == 502
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize("call_id", ["X-Call: c1\r\n", ""], ids=["named", "unnamed"])
def test_unsigned_success_is_an_error(endpoint, call_id):
    head = f"HTTP/1.1 200 OK\r\n{call_id}Content-Length: 2\r\n\r\nok"
    endpoint.default = head.encode()
    with routed_entry(endpoint) as entry:
        status, _, _, _ = call(entry.address, "/once/x", b"pay")
    assert status == 502
    assert len(endpoint.requests) == 1


def send_without_length(body, *, reset):
    def step(sock, request):
        sock.sendall(b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n\r\n" + body)
        if reset:
            eventlet.sleep(0.05)
            option = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        sock.close()

    return step


def test_answer_without_length_ends_at_connection_close(endpoint):
    endpoint.default = send_without_length(b"all of it", reset=False)
    with routed_entry(endpoint) as entry:
        status, _, body, is_complete = call(entry.address, "/once/x", b"pay")
    assert (status, body, is_complete) == (200, b"all of it", True)


def test_answer_without_length_is_incomplete_after_reset(endpoint):
    endpoint.default = send_without_length(b"half of", reset=True)
    with routed_entry(endpoint) as entry:
        assert call(entry.address, "/once/x", b"pay")[0] == 502


def test_call_is_retried_elsewhere_after_not_run_refusal(endpoint, other_endpoint):
    endpoint.default = NOT_RUN
    other_endpoint.default = complete_answer(b"ran")
    with routed_entry(endpoint, other_endpoint) as entry:
        assert call(entry.address, "/once/x", b"pay")[2] == b"ran"


def test_call_refused_by_all_endpoints_gets_503(endpoint, other_endpoint):
    endpoint.default = other_endpoint.default = NOT_RUN
    with routed_entry(endpoint, other_endpoint) as entry:
        status, headers, _, _ = call(entry.address, "/once/x", b"pay")
    assert status == 503
    assert "retry-after" in headers


def test_repeatable_call_is_retried_elsewhere_after_a_failure(endpoint, other_endpoint):
    endpoint.default = ScriptedEndpoint.CLOSE
    other_endpoint.default = complete_answer(b"ok")
    with routed_entry(endpoint, other_endpoint) as entry:
        assert call(entry.address, "/safe/x")[2] == b"ok"


def test_error_answer_is_forwarded_if_retries_fail_too(endpoint, other_endpoint):
    endpoint.default = complete_answer(b"first", status="500 Bad")
    other_endpoint.default = complete_answer(b"second", status="500 Bad")
    with routed_entry(endpoint, other_endpoint) as entry:
        status, _, body, _ = call(entry.address, "/safe/x")
    assert (status, body) == (500, b"second")
    with routed_entry(endpoint) as entry:
        status, _, body, _ = call(entry.address, "/safe/x")
    assert (status, body) == (500, b"first")


def test_route_limits_attempts(endpoint, other_endpoint):
    third = ScriptedEndpoint()
    endpoint.default = other_endpoint.default = ScriptedEndpoint.CLOSE
    third.default = complete_answer(b"third")
    with routed_entry(endpoint, other_endpoint, third) as entry:
        assert call(entry.address, "/safe/x")[0] == 502
    assert not third.requests


@pytest.mark.parametrize(
    ("answer", "method", "connections"),
    [
        (b"HTTP/1.1 204 No\r\nX-Call: c1\r\nX-Made-By: e1\r\n\r\n", "POST", 1),
        (complete_answer(b"ok"), "HEAD", 1),
        (complete_answer(b"ok").replace(b"HTTP/1.1", b"HTTP/1.0"), "POST", 2),
        (
            complete_answer(b"ok", extra="Connection: keep-alive\r\n").replace(
                b"HTTP/1.1", b"HTTP/1.0"
            ),
            "POST",
            1,
        ),
        (complete_answer(b"ok", extra="Connection: Close\r\n"), "POST", 2),
    ],
    ids=["no content", "HEAD", "HTTP/1.0", "HTTP/1.0 kept", "close"],
)
def test_connection_is_reused_only_if_the_answer_allows_it(
    endpoint, answer, method, connections
):
    if method == "HEAD":
        answer = answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
    endpoint.default = answer
    with routed_entry(endpoint) as entry:
        for _ in range(2):
            assert call(entry.address, "/once/x", method=method)[0] in (200, 204)
    assert endpoint.connections == connections


def test_unsized_answer_ends_with_a_connection_that_is_said_to_be_kept(endpoint):
    def step(sock, request):
        head = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n"
        sock.sendall(head + b"Connection: keep-alive\r\n\r\nall")
        sock.close()

    endpoint.default = step
    with routed_entry(endpoint) as entry:
        for _ in range(2):
            assert call(entry.address, "/once/x")[2] == b"all"
    assert endpoint.connections == 2
