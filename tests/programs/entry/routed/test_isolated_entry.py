"""Calls at an entry that reaches no endpoint while other entries do."""

import contextlib

from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    UnreachableEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    routed_entry,
    stream_head,
)

STREAM = stream_head() + chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n"


@contextlib.contextmanager
def isolated_entry(endpoint):
    """Yield an entry without a path to its endpoints, beside one with a path."""
    with (
        routed_entry(endpoint) as peer,
        routed_entry(*(UnreachableEndpoint() for _ in range(4))) as entry,
    ):
        entry.context.peers = [peer.address]
        yield entry


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
