"""Tests of model calls over HTTP: resumed answers, refusals and cancellation."""

import contextlib
import json

import eventlet
import logbook
import pytest

from chestnutvale.http_server.server import HttpServer
from chestnutvale.programs.entry.endpoint_exchange import EndpointExchange
from chestnutvale.programs.entry.model_calls import ModelCallHandler
from chestnutvale.settings.common import default_http_limits
from tests.programs.entry.entry_fakes import (
    ANSWER,
    WORDS,
    FakeContext,
    FakeEngine,
    open_post,
    post,
    serve,
    wait_until,
)

CHAT = {"model": "llm", "messages": [{"role": "user", "content": "hello"}]}


@pytest.fixture
def context():
    return FakeContext()


@pytest.fixture
def engines(context):
    """Yield two engines, each the head of a group of its own."""
    first = FakeEngine("g1")
    second = FakeEngine("g2")
    with serve(first) as address_1, serve(second) as address_2:
        context.add_group("g1", "llm", address_1)
        context.add_group("g2", "llm", address_2)
        yield first, second


@pytest.fixture
def entry(context):
    with serve(ModelCallHandler(context, "chat")) as address:
        yield address


def read_answer(body):
    assert body.endswith(b"data: [DONE]\n\n")
    chunks = [x.removeprefix(b"data: ") for x in body.split(b"\n\n")[:-2]]
    texts = [json.loads(x)["choices"][0]["delta"]["content"] for x in chunks]
    return "".join(texts)


@pytest.mark.parametrize("break_after", range(len(WORDS) + 1))
def test_broken_stream_is_resumed_byte_for_byte(context, engines, entry, break_after):
    engines[0].break_after = break_after
    status, _, body = post(entry, "/", {**CHAT, "stream": True})
    assert status == 200
    assert read_answer(body) == ANSWER
    assert engines[1].requests[0]["resume_offset"] == break_after
    assert len(context.running) == 0


def test_answer_without_stream_is_built_from_resumed_stream(engines, entry):
    engines[0].break_after = 5
    status, _, body = post(entry, "/", CHAT)
    answer = json.loads(body)
    assert status == 200
    assert answer["choices"][0]["message"]["content"] == ANSWER
    assert answer["choices"][0]["finish_reason"] == "stop"
    assert answer["usage"] == {"completion_tokens": len(WORDS)}


def test_stream_that_ends_with_an_error_event_is_named_in_the_log(
    context, engines, free_address
):
    for engine in engines:
        engine.break_after = 3
    address = free_address()
    log = logbook.TestHandler(level="INFO")
    handler = ModelCallHandler(context, "chat")
    server = HttpServer(handler, address, default_http_limits())
    with server, log.applicationbound():
        _, headers, _ = post(address, "/", {**CHAT, "stream": True})
    (line,) = (x.extra for x in log.records if x.message == "answer_ended_early")
    assert line["request"] == headers["x-request-id"]
    assert (line["ended_by"], line["reason"]) == ("server", "no_group_available")


def test_unresumable_stream_ends_with_error_event(engines, entry):
    for engine in engines:
        engine.break_after = 3
    _, _, body = post(entry, "/", {**CHAT, "stream": True})
    event = body.split(b"\n\n")[-2]
    problem = json.loads(event.partition(b"\ndata: ")[2])
    assert event.startswith(b"event: error")
    assert problem["outcome"] == "failed"
    assert problem["retry_after_s"] >= 1
    assert b"[DONE]" not in body


@pytest.mark.parametrize(
    "refusal", [(409, "wrong_epoch"), (429, "overloaded"), (503, "member_missing")]
)
def test_refused_call_is_retried_then_reported_not_run(engines, entry, refusal):
    engines[0].refusal = refusal
    assert post(entry, "/", CHAT)[0] == 200
    engines[1].refusal = refusal
    status, headers, body = post(entry, "/", CHAT)
    assert status == 503
    assert headers["content-type"] == "application/problem+json"
    assert int(headers["retry-after"]) >= 1
    assert json.loads(body)["outcome"] == "not_run"


def test_unreachable_group_is_skipped(context, engines, entry, free_address):
    context.groups["g1"].members[0].address = free_address()
    assert post(entry, "/", CHAT)[0] == 200
    assert context.reports == [("g1", "refused"), ("g2", "whole")]


def test_unexpected_engine_status_has_unknown_outcome(engines, entry):
    for engine in engines:
        engine.refusal = (500, "internal")
    _, _, body = post(entry, "/", CHAT)
    assert json.loads(body)["outcome"] == "unknown"


@pytest.mark.parametrize("stream", [True, False])
def test_caller_disconnect_cancels_attempt(context, engines, entry, stream):
    engines[0].pause_s = 0.05
    sock = open_post(entry, "/", {**CHAT, "stream": stream})
    wait_until(lambda: engines[0].requests)
    sock.close()
    wait_until(lambda: engines[0].cancelled)
    assert context.reports == [("g1", "cancelled")]
    assert not engines[1].requests


def test_caller_disconnect_before_next_byte_cancels_attempt(context, engines, entry):
    engines[0].pause_s = 1.0
    engines[0].break_after = None
    sock = open_post(entry, "/", CHAT)
    wait_until(lambda: engines[0].requests)
    sock.close()
    wait_until(lambda: context.reports, timeout_s=0.9)
    assert context.reports == [("g1", "cancelled")]


def test_deadline_ends_call_at_once(engines, entry):
    engines[0].pause_s = 0.2
    status, headers, body = post(entry, "/", CHAT, X_Deadline_Ms=100)
    assert status == 504
    assert json.loads(body)["code"] == "deadline_exceeded"
    assert "retry-after" in headers
    assert not engines[1].requests


def test_call_resumes_at_once_when_its_group_is_lost(context, engines, entry):
    engines[0].pause_s = 3.0
    call_task = eventlet.spawn(post, entry, "/", CHAT)
    wait_until(lambda: len(context.running) == 1 and engines[0].requests)
    eventlet.sleep(0.05)
    assert context.running.report_loss("g1", 1) == 1
    status, _, body = call_task.wait()
    assert json.loads(body)["choices"][0]["message"]["content"] == ANSWER
    assert engines[1].requests[0]["resume_offset"] == 1


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"{", {}, 400, "bad_request"),
        (b"[" * 100_000, {}, 400, "bad_request"),
        ({**CHAT, "n": 2}, {}, 400, "bad_request"),
        ({**CHAT, "max_tokens": -1}, {}, 400, "bad_request"),
        ({**CHAT, "messages": [{"role": 1}]}, {}, 400, "bad_request"),
        (
            {**CHAT, "messages": [{"role": "user", "content": "\ud800"}]},
            {},
            400,
            "bad_request",
        ),
        ({**CHAT, "model": "\udc00"}, {}, 400, "bad_request"),
        ({**CHAT, "model": "other"}, {}, 404, "not_found"),
        (CHAT, {"Authorization": "Bearer x"}, 401, "unauthorized"),
        (CHAT, {"X_Priority": "x"}, 400, "bad_request"),
        (CHAT, {"X_Deadline_Ms": "-1"}, 400, "bad_request"),
        (CHAT, {"X_Deadline_Ms": "\xb2"}, 400, "bad_request"),
    ],
)
def test_invalid_call_is_refused(engines, entry, body, headers, status, code):
    answer_status, _, answer = post(entry, "/", body, **headers)
    problem = json.loads(answer)
    assert (answer_status, problem["code"]) == (status, code)
    assert problem["outcome"] == "not_run"
    assert not engines[0].requests


def test_call_without_lease_is_not_sent(context, engines, entry):
    context.lease = False
    status, headers, body = post(entry, "/", CHAT)
    assert (status, json.loads(body)["outcome"]) == (503, "not_run")
    assert "retry-after" in headers
    assert not engines[0].requests


@pytest.fixture
def crashing_engines(context):
    """Yield four engines that crash on a prompt with the word poison."""
    engines = [FakeEngine(f"c{i}") for i in range(4)]
    with contextlib.ExitStack() as stack:
        for engine in engines:
            engine.crashes_on = "poison"
            address = stack.enter_context(serve(engine))
            context.add_group(engine.group_id, "llm", address)
        yield engines


def count_crashes(engines):
    return sum(engine.boot_id != "boot" for engine in engines)


def test_crashing_request_is_refused_after_two_groups(context, crashing_engines, entry):
    poison = {"model": "llm", "messages": [{"role": "user", "content": "poison"}]}
    for _ in range(3):
        status, headers, body = post(entry, "/", poison)
        problem = json.loads(body)
        assert (status, problem["code"]) == (422, "crashing_request")
        assert problem["outcome"] == "failed"
        assert int(headers["retry-after"]) > 500
        assert count_crashes(crashing_engines) == 2
    assert post(entry, "/", CHAT)[0] == 200


def test_broken_stream_without_restart_is_no_crash_evidence(context, engines, entry):
    engines[0].break_after = 3
    for _ in range(3):
        assert post(entry, "/", CHAT)[0] == 200
    assert context.suspicions.evidence.crashes() == []


def test_group_that_released_its_members_is_no_crash_evidence(context, engines, entry):
    # Guards against a ban of requests whose groups were dissolved under them.
    for engine in engines:
        engine.break_after = 3
        engine.group_id = "another"
    for _ in range(3):
        post(entry, "/", CHAT)
    assert context.suspicions.evidence.crashes() == []


@pytest.mark.parametrize("corrupt_event", [b"{", b"[]", b"{}", b"[" * 5_000])
@pytest.mark.parametrize("break_after", [None, 3])
def test_unreadable_answer_is_a_failure(engines, entry, corrupt_event, break_after):
    engines[0].corrupt_data = corrupt_event
    engines[0].break_after = break_after
    status, _, body = post(entry, "/", CHAT)
    assert (status, json.loads(body)["code"]) == (502, "unreadable_answer")
    assert json.loads(body)["outcome"] == "failed"


def test_stream_that_waits_for_a_connection_moves_after_an_evacuation(
    context, engines, entry, monkeypatch
):
    # Guards against requests in an evacuated data centre by calls chosen before.
    connect = EndpointExchange.connect

    def evacuate_while_connecting(exchange, timeout_s):
        connect(exchange, timeout_s)
        context.evacuated_hosts.add("g1")

    monkeypatch.setattr(EndpointExchange, "connect", evacuate_while_connecting)
    status, _, body = post(entry, "/", {**CHAT, "stream": True})
    assert (status, read_answer(body)) == (200, ANSWER)
    assert (len(engines[0].requests), len(engines[1].requests)) == (0, 1)


def test_broken_stream_of_an_evacuated_group_is_probed_without_a_request(
    context, engines, entry
):
    # Guards against a probe that asks an engine of an evacuated data centre.
    asked = []
    context.has_crashed = lambda group, is_engine: asked.append(is_engine)
    engines[0].break_after = 1
    start = context.choose_group

    def evacuate_after_choice(request, excluded, version):
        view = start(request, excluded, version)
        eventlet.spawn_after(0.05, context.evacuated_hosts.add, "g1")
        return view

    context.choose_group = evacuate_after_choice
    engines[0].pause_s = 0.2
    assert post(entry, "/", {**CHAT, "stream": True})[0] == 200
    assert asked == [False]


def make_late(engine, delay_s):
    """Delay the answers of an engine, as if it stood still."""
    answer_membership, stream = engine._membership, engine._stream

    def answer_late(start_response):
        eventlet.sleep(delay_s)
        return answer_membership(start_response)

    def stream_late(body):
        eventlet.sleep(delay_s)
        yield from stream(body)

    engine._membership, engine._stream = answer_late, stream_late


def test_call_moves_again_after_a_group_that_was_only_late(context, engines, entry):
    # Guards against a probe that takes a late engine for a crashed one.
    for engine in engines:
        make_late(engine, 4.0)
    third = FakeEngine("g3")
    with serve(third) as address:
        context.add_group("g3", "llm", address)
        eventlet.spawn_after(0.2, context.running.report_loss, "g1", 1)
        eventlet.spawn_after(1.5, context.running.report_loss, "g2", 1)
        status, _, body = post(entry, "/", {**CHAT, "stream": True})
    assert (status, read_answer(body)) == (200, ANSWER)
    assert len(third.requests) == 1


def connect_late(context, monkeypatch, delay_s):
    """Delay each connection to the second group."""
    connect = EndpointExchange.connect

    def connect_after_a_delay(exchange, timeout_s):
        if exchange.address == context.groups["g2"].members[0].address:
            eventlet.sleep(delay_s)
        connect(exchange, timeout_s)

    monkeypatch.setattr(EndpointExchange, "connect", connect_after_a_delay)


def test_held_attempt_ends_with_its_caller_while_the_next_one_connects(
    context, engines, entry, monkeypatch
):
    # Guards against an engine that works on for as long as a connect may take.
    connect_late(context, monkeypatch, 2.0)
    engines[0].pause_s = 3.0
    sock = open_post(entry, "/", {**CHAT, "stream": True})
    wait_until(lambda: engines[0].requests)
    eventlet.sleep(0.1)
    context.running.report_loss("g1", 1)
    eventlet.sleep(0.45)
    assert context.reports == [("g1", "broken")]
    sock.close()
    wait_until(lambda: not len(context.running), timeout_s=0.5)


def test_member_that_restarted_under_a_silent_stream_is_crash_evidence(
    context, engines, entry
):
    # Guards against a request that crashes members, and is never found out.
    engines[0].pause_s = 3.0
    call_task = eventlet.spawn(post, entry, "/", CHAT)
    wait_until(lambda: len(context.running) == 1 and engines[0].requests)
    eventlet.sleep(0.05)
    engines[0].boot_id = "another"
    context.running.report_loss("g1", 1, is_restarted=True)
    assert call_task.wait()[0] == 200
    assert len(context.suspicions.evidence.crashes()) == 1


def test_held_attempt_counts_as_running_until_the_next_one_delivers(
    context, engines, entry, monkeypatch
):
    # Guards against a release that ends a held attempt.
    connect_late(context, monkeypatch, 0.5)
    engines[0].pause_s = 3.0
    call_task = eventlet.spawn(post, entry, "/", {**CHAT, "stream": True})
    wait_until(lambda: engines[0].requests)
    eventlet.sleep(0.1)
    context.running.report_loss("g1", 1)
    wait_until(lambda: len(context.running) == 2)
    assert context.running.counts_by_group() == {"g1": 1, "g2": 1}
    assert call_task.wait()[0] == 200
    assert len(context.running) == 0


def test_resumed_attempt_gets_the_reports_about_its_group(context, engines, entry):
    engines[0].pause_s = 3.0
    engines[1].refusal = (429, "overloaded")
    sock = open_post(entry, "/", {**CHAT, "stream": True})
    wait_until(lambda: engines[0].requests)
    eventlet.sleep(0.1)
    context.running.report_loss("g1", 1)
    wait_until(lambda: engines[1].requests)
    eventlet.sleep(0.1)
    assert context.running.counts_by_group() == {"g1": 1}
    assert context.running.report_loss("g1", 1) == 1
    wait_until(lambda: context.kept_attempts, timeout_s=1.0)
    assert context.kept_attempts[0][0] == "g1"
    sock.close()
