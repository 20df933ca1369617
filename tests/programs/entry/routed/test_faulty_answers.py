"""Answers without end, trickles and broken answers never keep a caller waiting."""

import itertools
import time

import eventlet
import pytest

from tests.http_client.answer_faults import cut, flood, trickle
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    routed_entry,
    stream_head,
)

DEADLINE_S = 1.0
# Time after the deadline within which the caller must have its answer.
MARGIN_S = 1.0
PLAIN_PATHS = ("/once/x", "/safe/x")
STREAM_PATHS = ("/fixed/x", "/gen/x")
SIGNED_HEAD = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n"
UNSIZED_HEAD = SIGNED_HEAD + b"\r\n"
REFUSAL_HEAD = b"HTTP/1.1 503 Busy\r\nX-Call: c1\r\nX-Not-Run: 1\r\n"
FOREIGN_HEAD = b"HTTP/1.1 200 OK\r\nX-Call: c0\r\nX-Made-By: e1\r\n"


def send_events_without_end(sock, request):
    sock.sendall(UNSIZED_HEAD)
    for number in itertools.count(1):
        sock.sendall(event(number))
        if number % 100 == 0:
            eventlet.sleep(0)


ANSWER_FAULTS = {
    "trickled status line": trickle(b"HTTP/1.1 200 ", b"x"),
    "trickled header": trickle(SIGNED_HEAD, b"x"),
    "trickled interim heads": trickle(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless status line": flood(b"", b"x"),
    "endless header": flood(SIGNED_HEAD + b"X-Long: ", b"x"),
    "endless headers": flood(SIGNED_HEAD, b"X-More: x\r\n"),
    "endless interim heads": flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless early hints": flood(b"", b"HTTP/1.1 103 Early\r\n\r\n"),
    "endless other answer": flood(FOREIGN_HEAD + b"\r\n", b"x"),
    "large other answer": flood(
        FOREIGN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", chunk(b"x" * 4_000)
    ),
    "trickled other answer": trickle(
        FOREIGN_HEAD + b"Content-Length: 9999\r\n\r\n", b"x"
    ),
    "endless other answers": flood(b"", FOREIGN_HEAD + b"Content-Length: 1\r\n\r\nx"),
    "trickled chunk size": trickle(stream_head(), b"0"),
    "trickled chunk extension": trickle(stream_head() + b"5;", b"x"),
    "trickled trailers": trickle(stream_head() + b"0\r\n", b"X-More: x\r\n"),
    "endless chunk size": flood(stream_head(), b"0"),
    "endless chunk extension": flood(stream_head() + b"5;", b"x"),
    "endless trailers": flood(stream_head() + b"0\r\n", b"X-More: x\r\n"),
    "endless trailer": flood(stream_head() + b"0\r\nX-Long: ", b"x"),
    "endless body": flood(UNSIZED_HEAD, b"x"),
    "trickled body": trickle(UNSIZED_HEAD, b"x"),
    "endless chunks": flood(stream_head(), chunk(b"x")),
    "short body": cut(SIGNED_HEAD + b"Content-Length: 99\r\n\r\n" + event(1)),
    "invalid length": cut(SIGNED_HEAD + b"Content-Length: 5x\r\n\r\n" + event(1)),
    "unknown coding": cut(
        SIGNED_HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + event(1)
    ),
    "no last chunk": cut(stream_head() + chunk(event(1))),
    "cut in a chunk size": cut(stream_head() + chunk(event(1)) + b"0"),
    "cut before the trailers end": cut(stream_head() + chunk(event(1)) + b"0\r\n"),
    "reset": cut(UNSIZED_HEAD + event(1), reset=True),
}
STREAM_FAULTS = {
    "endless events": send_events_without_end,
    "endless comments": flood(UNSIZED_HEAD, b":\n"),
    "endless comment events": flood(UNSIZED_HEAD, b":\n\n"),
    "trickled comments": trickle(UNSIZED_HEAD + event(1), b":\n"),
    "endless event": flood(UNSIZED_HEAD + event(1) + b"id: 2\ndata: ", b"x"),
    "endless lines": flood(UNSIZED_HEAD + event(1), b"data: x\n"),
    "cut in an event": cut(UNSIZED_HEAD + event(1) + event(2)[:-3]),
    "cut in a blank line": cut(UNSIZED_HEAD + event(1) + event(2)[:-1]),
}


PLAIN_CASES = [(path, name) for path in PLAIN_PATHS for name in ANSWER_FAULTS]
STREAM_CASES = [
    (path, name) for path in STREAM_PATHS for name in ANSWER_FAULTS | STREAM_FAULTS
]


@pytest.mark.parametrize(("path", "name"), PLAIN_CASES + STREAM_CASES)
def test_every_fault_of_an_answer_ends_the_call_by_its_deadline(path, name):
    endpoint = ScriptedEndpoint()
    endpoint.default = (ANSWER_FAULTS | STREAM_FAULTS)[name]
    fields = {"X_Left": str(round(DEADLINE_S * 1000))}
    if path in STREAM_PATHS:
        fields["X_Model"] = "m"
    with routed_entry(endpoint) as entry:
        started_s = time.monotonic()
        with eventlet.Timeout(DEADLINE_S + 3.0):
            status, _, _, is_complete = call(entry.address, path, **fields)
        took_s = time.monotonic() - started_s
    assert status in (502, 503, 504) or not is_complete
    assert took_s < DEADLINE_S + MARGIN_S


@pytest.mark.parametrize("tail", [b"\r\n", b"Content-Length: 10\r\n\r\n"])
def test_refusal_is_passed_on_without_the_rest_of_its_body(tail):
    endpoint, other = ScriptedEndpoint(), ScriptedEndpoint()
    endpoint.default = trickle(REFUSAL_HEAD + tail, b"x")
    other.default = complete_answer(b"ran")
    with routed_entry(endpoint, other) as entry:
        started_s = time.monotonic()
        assert call(entry.address, "/once/x", X_Left="2000")[2] == b"ran"
        assert time.monotonic() - started_s < 0.5


@pytest.mark.parametrize(
    "step",
    [flood(UNSIZED_HEAD, b"x"), flood(stream_head(), chunk(b"x" * 4_000))],
    ids=["no length", "chunks"],
)
def test_repeatable_call_is_retried_after_a_body_without_end(step):
    endpoint, other = ScriptedEndpoint(), ScriptedEndpoint()
    endpoint.default = step
    other.default = complete_answer(b"ran")
    with routed_entry(endpoint, other) as entry:
        assert call(entry.address, "/safe/x")[2] == b"ran"
        assert ("app1", "broken") in entry.context.reports


def test_large_answer_is_refused_before_its_body_arrives():
    endpoint = ScriptedEndpoint()
    head = SIGNED_HEAD + b"Content-Length: 99999999\r\n\r\n"
    endpoint.default = trickle(head, b"x")
    with routed_entry(endpoint) as entry:
        started_s = time.monotonic()
        assert call(entry.address, "/safe/x", X_Left="3000")[0] == 502
        assert time.monotonic() - started_s < 1.0
