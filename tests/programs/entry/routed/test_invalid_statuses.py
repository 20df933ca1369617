"""Answers whose status is none of HTTP never reach a caller, on any path."""

import contextlib

import pytest

from chestnutvale.programs.entry.endpoint_exchange import EndpointExchange
from chestnutvale.programs.entry.exceptions import EndpointBrokenError
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    complete_answer,
    isolated_entry,
    routed_entry,
)

PATHS = ["/once/x", "/safe/x", "/fixed/x", "/gen/x"]
STATUSES = ["000 Nothing", "000", "099 Low", "600 High", "999 Odd", "0200 OK", "2x0 OK"]


def unsigned_answer(status):
    return f"HTTP/1.1 {status}\r\nX-Call: c1\r\nContent-Length: 2\r\n\r\nno".encode()


def signed_answer(status):
    return complete_answer(b"no", status=status)


@pytest.mark.parametrize("make_answer", [signed_answer, unsigned_answer])
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", PATHS)
def test_invalid_status_of_an_endpoint_is_an_unknown_outcome(path, status, make_answer):
    endpoint = ScriptedEndpoint()
    endpoint.default = make_answer(status)
    with routed_entry(endpoint) as entry:
        got, headers, _, _ = call(entry.address, path, b"pay", X_Model="m")
    assert got == 502
    assert "x-made-by" not in headers
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize("status", STATUSES)
def test_invalid_status_of_a_peer_is_an_unknown_outcome(status):
    peer = ScriptedEndpoint()
    peer.default = signed_answer(status)
    with isolated_entry(ScriptedEndpoint()) as entry, peer.serve() as address:
        entry.context.peers = [address]
        got, headers, _, _ = call(entry.address, "/once/x")
    assert got == 502
    assert "x-made-by" not in headers


@pytest.mark.parametrize("status", STATUSES)
def test_invalid_status_is_an_error_of_the_own_endpoint_protocol(status):
    endpoint = ScriptedEndpoint()
    endpoint.default = unsigned_answer(status)
    with contextlib.ExitStack() as stack:
        exchange = EndpointExchange(stack.enter_context(endpoint.serve()))
        stack.enter_context(exchange)
        exchange.connect(1.0)
        with pytest.raises(EndpointBrokenError):
            exchange.send("POST", "/x", {}, b"", 1.0)
