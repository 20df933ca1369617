"""Answers that end within their head, or right after it, are no successes."""

import eventlet
import pytest

from tests.http_client.answer_faults import cut
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    routed_entry,
    stream_head,
)

SIGNED = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n"
HEADS = {
    "length": SIGNED + b"Content-Length: 4\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Call: c1\r\n"
    b"X-Made-By: e1\r\n\r\n",
    "chunks": stream_head(),
    "no length": SIGNED + b"\r\n",
}
WHOLE_ANSWERS = {
    "/safe/x": complete_answer(b"ran"),
    "/gen/x": stream_head() + chunk(event(1)) + b"0\r\n\r\n",
}
BODIES = {"/safe/x": b"ran", "/gen/x": event(1)}
FIELDS = {"X_Left": "3000", "X_Model": "m"}
TEST_TIMEOUT_S = 20


def cut_heads(name, path):
    head = HEADS[name]
    # After a whole head without a length, an empty body is complete, but no stream is.
    is_sound = name == "no length" and path in ("/once/x", "/safe/x")
    return [head[:size] for size in range(1, len(head) + (0 if is_sound else 1))]


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/fixed/x"])
@pytest.mark.parametrize("name", HEADS)
def test_answer_cut_anywhere_in_its_head_is_no_success(name, path):
    endpoint = ScriptedEndpoint()
    with routed_entry(endpoint) as entry, eventlet.Timeout(TEST_TIMEOUT_S):
        for head in cut_heads(name, path):
            endpoint.default = cut(head)
            status, _, body, _ = call(entry.address, path, **FIELDS)
            assert (status, body) == (502, b""), head


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("path", WHOLE_ANSWERS)
@pytest.mark.parametrize("name", HEADS)
def test_repeatable_call_goes_on_at_another_endpoint(name, path, is_reset):
    for head in cut_heads(name, path)[-1::-9]:
        endpoint, other = ScriptedEndpoint(), ScriptedEndpoint()
        endpoint.default = cut(head, reset=is_reset)
        other.default = WHOLE_ANSWERS[path]
        with (
            routed_entry(endpoint, other) as entry,
            eventlet.Timeout(TEST_TIMEOUT_S),
        ):
            status, _, body, _ = call(entry.address, path, **FIELDS)
        assert (status, body) == (200, BODIES[path]), head
        assert len(endpoint.requests) == len(other.requests) == 1
