"""Exchanges over the endpoint protocol end in time, whatever the endpoint sends."""

import time

import eventlet
import pytest

from chestnutvale.attempts.events import AttemptBroken, Tick
from chestnutvale.programs.entry.crash_probe import PROBE_TIMEOUT_S, has_crashed
from chestnutvale.programs.entry.endpoint_exchange import EndpointExchange
from chestnutvale.programs.entry.exceptions import (
    AnswerTooLargeError,
    EndpointBrokenError,
    EndpointSilentError,
)
from chestnutvale.programs.entry.ledger_writer import LedgerWriter
from chestnutvale.programs.entry.model_attempt import ModelAttempt
from chestnutvale.programs.entry.model_calls import ModelCallHandler
from chestnutvale.programs.entry.service_calls import ServiceCallHandler
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.peer_pb2 import GroupView
from tests.http_client.answer_faults import cut, flood, trickle
from tests.programs.entry.entry_fakes import FakeContext, post, serve
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    complete_answer,
)

TIMEOUT_S = 0.3
TIMEOUT_MS = 300
# Time after the timeout within which the exchange must end.
MARGIN_S = 1.0
MAX_BYTES = 100_000
CHAT = {"model": "llm", "messages": [{"role": "user", "content": "hello"}]}
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HEAD_FAULTS = {
    "trickled head": trickle(OK_HEAD, b"x"),
    "trickled interim heads": trickle(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless head": flood(OK_HEAD, b"X-More: x\r\n"),
    "endless interim heads": flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "cut in the status line": cut(OK_HEAD[:-6]),
    "cut before a header": cut(OK_HEAD),
    "cut in a header": cut(OK_HEAD + b"Content-Len"),
    "cut in the blank line": cut(CHUNKED_HEAD[:-1]),
}
BODY_FAULTS = {
    "trickled body": trickle(OK_HEAD + b"\r\n", b"x"),
    "endless body": flood(OK_HEAD + b"\r\n", b"x"),
    "trickled chunk size": trickle(CHUNKED_HEAD, b"0"),
    "trickled trailers": trickle(CHUNKED_HEAD + b"0\r\n", b"X-More: x\r\n"),
    "cut in a chunk size": cut(CHUNKED_HEAD + b"1\r\na\r\n0"),
    "short body": cut(OK_HEAD + b"Content-Length: 9\r\n\r\nx"),
    "reset": cut(OK_HEAD + b"\r\nx", reset=True),
}
FAULTS = HEAD_FAULTS | BODY_FAULTS


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture(autouse=True)
def time_limit():
    """Fail a test whose exchange ends late."""
    started_s = time.monotonic()
    with eventlet.Timeout(TIMEOUT_S + 3.0):
        yield
    assert time.monotonic() - started_s < TIMEOUT_S + MARGIN_S


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("name", FAULTS)
def test_faulty_answer_ends_the_exchange_in_time(endpoint, name, is_stream):
    endpoint.default = FAULTS[name]
    with (
        endpoint.serve() as address,
        EndpointExchange(address, is_stream=is_stream) as exchange,
    ):
        exchange.connect(TIMEOUT_S)
        with pytest.raises(
            (AnswerTooLargeError, EndpointBrokenError, EndpointSilentError)
        ):
            exchange.send("POST", "/x", {}, b"body", TIMEOUT_S)
            exchange.read_all(MAX_BYTES)


@pytest.mark.parametrize("name", ["trickled chunk size", "trickled trailers"])
def test_read_of_a_stream_ends_in_time_if_no_event_arrives(endpoint, name):
    endpoint.default = FAULTS[name]
    with endpoint.serve() as address, EndpointExchange(address) as exchange:
        exchange.connect(TIMEOUT_S)
        exchange.send("POST", "/x", {}, b"body", TIMEOUT_S)
        exchange.begin_stream()
        with pytest.raises(EndpointSilentError):
            exchange.read_stream(TIMEOUT_S)


@pytest.mark.parametrize("name", FAULTS)
def test_probe_ends_in_time(endpoint, name):
    endpoint.default = FAULTS[name]
    assert PROBE_TIMEOUT_S <= TIMEOUT_S
    with endpoint.serve() as address:
        group = Group(group_id="g1", epoch=1)
        group.members.append(GroupMember(host_id="h1", boot_id="b", address=address))
        assert has_crashed(group, is_engine=True)


def test_refusal_without_end_breaks_the_attempt_in_time(endpoint):
    endpoint.default = trickle(b"HTTP/1.1 429 Busy\r\n\r\n", b" ")
    with (
        endpoint.serve() as address,
        ModelAttempt("a1", GroupView(), address, {}) as attempt,
    ):
        assert isinstance(attempt.start(TIMEOUT_S), AttemptBroken)


def test_attempt_whose_answer_did_not_come_is_not_sent_again(endpoint):
    # Guards against an engine that runs one attempt twice.
    endpoint.default = b""
    with (
        endpoint.serve() as address,
        ModelAttempt("a1", GroupView(), address, {}) as attempt,
    ):
        assert attempt.start(TIMEOUT_S) == Tick()
        assert isinstance(attempt.start(TIMEOUT_S), AttemptBroken)
    assert len(endpoint.requests) == 1


def test_request_is_sent_with_the_headers_of_the_protocol(endpoint):
    endpoint.default = complete_answer(b"ok")
    with (
        endpoint.serve() as address,
        EndpointExchange(address, is_stream=True) as exchange,
    ):
        exchange.connect(TIMEOUT_S)
        exchange.send("POST", "/x?y=1", {"accept-encoding": "gzip"}, b"in", TIMEOUT_S)
        assert exchange.read_all(MAX_BYTES) == b"ok"
    assert endpoint.requests[0].startswith(b"POST /x?y=1 HTTP/1.0\r\n")
    assert endpoint.requests[0].endswith(b"\r\n\r\nin")
    assert endpoint.header("host") == address
    assert endpoint.requests[0].lower().count(b"accept-encoding") == 1


@pytest.mark.parametrize("path", ["/postings", "/notes"])
@pytest.mark.parametrize("name", FAULTS)
def test_faulty_answer_of_a_service_never_outlives_the_deadline(endpoint, name, path):
    endpoint.default = FAULTS[name]
    context = FakeContext()
    with endpoint.serve() as address, LedgerWriter(context) as writer:
        context.add_group("s1", "ledger-app", address)
        handler = ServiceCallHandler(context, writer)
        with serve(handler) as entry:
            target = f"/services/ledger-app{path}"
            status, _, _ = post(entry, target, {}, X_Deadline_Ms=TIMEOUT_MS)
    assert status in (502, 503, 504)


@pytest.mark.parametrize("name", FAULTS)
def test_faulty_answer_of_an_engine_never_outlives_the_deadline(endpoint, name):
    endpoint.default = FAULTS[name]
    context = FakeContext()
    context.has_crashed = lambda group, is_engine: False
    with endpoint.serve() as address:
        context.add_group("g1", "llm", address)
        with serve(ModelCallHandler(context, "chat")) as entry:
            status, _, _ = post(entry, "/", CHAT, X_Deadline_Ms=TIMEOUT_MS)
    assert status in (502, 503, 504)
