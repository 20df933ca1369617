"""A status that promises "not run" reaches a caller only if the request has not run.

Guards against postings that run twice because their callers believed such a status.
"""

import pytest

from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    isolated_entry,
    routed_entry,
    stream_head,
)

PROMISES = ("408 Slow", "421 Other", "429 Many", "503 Busy")
ONCE_PATHS = ("/once/x", "/fixed/x")
REPEATABLE_PATHS = ("/safe/x", "/gen/x")


def unsigned_answer(status):
    return f"HTTP/1.1 {status}\r\nX-Call: c1\r\nContent-Length: 2\r\n\r\nno".encode()


def signed_answer(status):
    return complete_answer(b"no", status=status, extra="Retry-After: 1\r\n")


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture
def other_endpoint():
    other = ScriptedEndpoint()
    other.default = complete_answer(b"second run")
    return other


@pytest.mark.parametrize("make_answer", [signed_answer, unsigned_answer])
@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("path", ONCE_PATHS)
def test_promise_of_an_endpoint_that_may_have_run_the_request_is_replaced(
    endpoint, other_endpoint, path, status, make_answer
):
    endpoint.default = make_answer(status)
    with routed_entry(endpoint, other_endpoint) as entry:
        got, headers, body, _ = call(entry.address, path, b"pay", X_Model="m")
        assert entry.context.replaced_refusals == {status[:3]: 1}
    assert (got, headers["x-code"]) == (502, "unproven_refusal")
    assert not {"x-made-by", "retry-after"} & set(headers)
    assert len(endpoint.requests) == 1
    assert not other_endpoint.requests


@pytest.mark.parametrize("path", REPEATABLE_PATHS)
def test_promise_of_an_endpoint_is_forwarded_for_a_repeatable_call(endpoint, path):
    endpoint.default = signed_answer("503 Busy")
    with routed_entry(endpoint) as entry:
        status, headers, body, _ = call(entry.address, path, X_Model="m")
        assert not entry.context.replaced_refusals
    assert (status, headers["x-made-by"], body) == (503, "e1", b"no")


@pytest.mark.parametrize("status", ["304 Same", "404 None", "409 Twice", "500 Bad"])
@pytest.mark.parametrize("path", ONCE_PATHS + REPEATABLE_PATHS)
def test_other_statuses_of_an_endpoint_are_forwarded(endpoint, path, status):
    endpoint.default = signed_answer(status)
    if status == "304 Same":
        endpoint.default = b"HTTP/1.1 304 Same\r\nX-Call: c1\r\nX-Made-By: e1\r\n\r\n"
    with routed_entry(endpoint) as entry:
        got, headers, _, _ = call(entry.address, path, X_Model="m")
    assert (got, headers["x-made-by"]) == (int(status[:3]), "e1")


@pytest.mark.parametrize("path", ONCE_PATHS + REPEATABLE_PATHS)
def test_proven_refusal_stays_a_promise(endpoint, path):
    endpoint.default = complete_answer(
        b"no", status="503 Busy", extra="X-Not-Run: 1\r\n"
    )
    with routed_entry(endpoint) as entry:
        status, headers, _, _ = call(entry.address, path, X_Model="m")
        assert not entry.context.replaced_refusals
    assert status == 503
    assert "retry-after" in headers


@pytest.mark.parametrize("path", REPEATABLE_PATHS)
def test_proven_refusal_after_a_run_that_broke_is_no_promise(endpoint, path):
    other = ScriptedEndpoint()
    endpoint.default = ScriptedEndpoint.CLOSE
    if path == "/gen/x":
        endpoint.default = stream_head() + chunk(event(1)[:3]) + b"0\r\n\r\n"
    other.default = complete_answer(b"no", status="503 Busy", extra="X-Not-Run: 1\r\n")
    with routed_entry(endpoint, other) as entry:
        assert call(entry.address, path, X_Model="m")[0] == 502
    assert (len(endpoint.requests), len(other.requests)) == (1, 1)


@pytest.mark.parametrize("path", ONCE_PATHS)
def test_promise_that_a_peer_forwards_from_an_endpoint_is_replaced(path):
    """Entries of earlier builds forward it."""
    peer = ScriptedEndpoint()
    peer.default = signed_answer("503 Busy")
    with isolated_entry(ScriptedEndpoint()) as entry, peer.serve() as address:
        entry.context.peers = [address]
        status, headers, _, _ = call(entry.address, path, X_Model="m")
    assert (status, headers["x-code"]) == (502, "unproven_refusal")


def test_promise_of_a_peer_is_forwarded():
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(
        b"no", status="503 Busy", extra="X-Not-Run: 1\r\n"
    )
    with isolated_entry(endpoint) as entry:
        status, headers, _, _ = call(entry.address, "/once/x")
    assert status == 503
    assert "retry-after" in headers


@pytest.mark.parametrize("path", ONCE_PATHS)
def test_promise_of_an_endpoint_is_replaced_by_the_peer(path):
    endpoint = ScriptedEndpoint()
    endpoint.default = unsigned_answer("503 Busy")
    with isolated_entry(endpoint) as entry:
        status, headers, _, _ = call(entry.address, path, X_Model="m")
    assert (status, headers["x-code"]) == (502, "unproven_refusal")
