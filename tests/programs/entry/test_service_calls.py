"""Tests that a plain call runs at most once per key and reports its true outcome."""

import contextlib
import json

import eventlet
import pytest

from chestnutvale.attempts.const import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from chestnutvale.clock import SystemClock
from chestnutvale.programs.entry.endpoint_exchange import EndpointExchange
from chestnutvale.programs.entry.exceptions import (
    CommitRefusedError,
    CommitUnknownError,
)
from chestnutvale.programs.entry.ledger_writer import LedgerWriter
from chestnutvale.programs.entry.service_calls import ServiceCallHandler
from chestnutvale.schema.ledger_pb2 import AbandonClaims
from tests.programs.entry.entry_fakes import (
    FakeContext,
    FakeLog,
    FakeService,
    open_post,
    post,
    serve,
    wait_until,
)

POSTINGS = "/services/ledger-app/postings"
NOTES = "/services/ledger-app/notes"
KEY = {"Idempotency_Key": "key-1"}


class Entry:
    """The components of one entry and its address."""

    def __init__(self, context, writer, handler, address):
        self.context = context
        self.writer = writer
        self.handler = handler
        self.address = address


@pytest.fixture
def service():
    return FakeService()


@pytest.fixture
def entries(service):
    """Yield two entries that share one log and one service."""
    log = FakeLog()
    contexts = [FakeContext(log, "entry-1"), FakeContext(log, "entry-2")]
    with serve(service) as endpoint:
        for context in contexts:
            context.add_group("s1", "ledger-app", endpoint)
        with (
            LedgerWriter(contexts[0]) as writer_1,
            LedgerWriter(contexts[1]) as writer_2,
        ):
            handlers = [
                ServiceCallHandler(contexts[0], writer_1),
                ServiceCallHandler(contexts[1], writer_2),
            ]
            with serve(handlers[0]) as address_1, serve(handlers[1]) as address_2:
                yield [
                    Entry(contexts[0], writer_1, handlers[0], address_1),
                    Entry(contexts[1], writer_2, handlers[1], address_2),
                ]


def commit_but_lose_result(log, command):
    log.apply(command)
    raise CommitUnknownError("lost")


def lose_command(log, command):
    raise CommitUnknownError("lost")


def refuse_command(log, command):
    raise CommitRefusedError("no leader")


def test_recorded_answer_is_replayed_by_another_entry(entries, service):
    first = post(entries[0].address, POSTINGS, b"10", **KEY)
    second = post(entries[1].address, POSTINGS, b"10", **KEY)
    assert first[0] == second[0] == 201
    assert first[2] == second[2] == b"done10"
    assert second[1]["idempotent-replayed"] == "true"
    assert service.runs == {"key-1": 1}


def test_same_key_with_another_body_or_path_is_refused(entries, service):
    post(entries[0].address, POSTINGS, b"10", **KEY)
    for path, body in ((POSTINGS, b"11"), (POSTINGS + "/x", b"10")):
        status, _, answer = post(entries[1].address, path, body, **KEY)
        problem = json.loads(answer)
        assert (status, problem["code"]) == (422, "key_mismatch")
        assert problem["outcome"] == OUTCOME_NOT_RUN
    assert service.runs == {"key-1": 1}


def test_workspaces_do_not_share_keys(entries, service):
    post(entries[0].address, POSTINGS, b"10", **KEY)
    headers = {**KEY, "Authorization": "Bearer ws-2"}
    status, _, answer = post(entries[0].address, POSTINGS, b"11", **headers)
    assert (status, answer) == (201, b"done11")


def test_second_call_while_first_runs_is_told_to_retry(entries, service):
    service.pause_s = 0.3
    first = eventlet.spawn(post, entries[0].address, POSTINGS, b"10", **KEY)
    wait_until(lambda: service.runs)
    status, headers, answer = post(entries[1].address, POSTINGS, b"10", **KEY)
    assert (status, json.loads(answer)["outcome"]) == (409, OUTCOME_UNKNOWN)
    assert int(headers["retry-after"]) >= 1
    assert first.wait()[0] == 201
    assert service.runs == {"key-1": 1}


class BoundedClock(SystemClock):
    """A clock that fails in a loop that never yields."""

    reads_left = 10_000

    def now_s(self):
        self.reads_left -= 1
        assert self.reads_left > 0
        return super().now_s()


def test_deadline_while_the_outcome_is_recorded_does_not_block_the_entry(entries):
    def commit_slowly(log, command):
        eventlet.sleep(0.4)
        return log.apply(command)

    context = entries[0].context
    context.clock = BoundedClock()
    context.log.faults.extend([None, commit_slowly])
    status, _, answer = post(
        entries[0].address, POSTINGS, b"10", X_Deadline_Ms="200", **KEY
    )
    assert (status, answer) == (201, b"done10")


def test_answer_is_recorded_after_caller_disconnects(entries, service):
    service.pause_s = 0.2
    sock = open_post(entries[0].address, POSTINGS, b"10", **KEY)
    wait_until(lambda: service.runs)
    sock.close()
    wait_until(lambda: not entries[0].handler.running_calls)
    assert post(entries[1].address, POSTINGS, b"10", **KEY)[2] == b"done10"
    assert service.runs == {"key-1": 1}


def test_call_past_deadline_is_unknown_and_still_recorded(entries, service):
    service.pause_s = 0.3
    headers = {**KEY, "X_Deadline_Ms": 100}
    status, headers, answer = post(entries[0].address, POSTINGS, b"10", **headers)
    assert (status, json.loads(answer)["outcome"]) == (504, OUTCOME_UNKNOWN)
    assert service.runs and entries[0].handler.running_calls == 1
    wait_until(lambda: not entries[0].handler.running_calls)
    assert post(entries[1].address, POSTINGS, b"10", **KEY)[2] == b"done10"


@pytest.mark.parametrize("has_key", [True, False])
def test_broken_call_is_unknown_and_never_resent(entries, service, has_key):
    service.break_after_run = True
    headers = KEY if has_key else {}
    status, _, answer = post(entries[0].address, POSTINGS, b"10", **headers)
    assert (status, json.loads(answer)["outcome"]) == (502, OUTCOME_UNKNOWN)
    if has_key:
        status, _, answer = post(entries[1].address, POSTINGS, b"10", **headers)
        assert (status, json.loads(answer)["outcome"]) == (409, OUTCOME_UNKNOWN)
    assert sum(service.runs.values()) == 1


def test_unreachable_endpoint_releases_the_claim(entries, service, free_address):
    address = entries[0].context.groups["s1"].members[0].address
    entries[0].context.groups["s1"].members[0].address = free_address()
    status, headers, answer = post(entries[0].address, POSTINGS, b"10", **KEY)
    assert (status, json.loads(answer)["outcome"]) == (503, OUTCOME_NOT_RUN)
    assert "retry-after" in headers
    wait_until(lambda: not entries[0].writer.pending_writes)
    assert address == entries[1].context.groups["s1"].members[0].address
    assert post(entries[1].address, POSTINGS, b"10", **KEY)[0] == 201


def test_unknown_commit_results_run_call_once(entries, service):
    log = entries[0].context.log
    log.faults.extend(
        [
            commit_but_lose_result,
            lose_command,
            None,
            commit_but_lose_result,
            refuse_command,
        ]
    )
    assert post(entries[0].address, POSTINGS, b"10", **KEY)[0] == 201
    wait_until(lambda: not entries[0].writer.pending_writes)
    assert post(entries[1].address, POSTINGS, b"10", **KEY)[2] == b"done10"
    assert service.runs == {"key-1": 1}


@pytest.mark.parametrize("fault", [commit_but_lose_result, lose_command])
def test_call_is_not_sent_while_claim_is_unknown(entries, service, fault):
    log = entries[0].context.log
    log.faults.extend([fault] * 100)
    headers = {**KEY, "X_Deadline_Ms": 200}
    status, _, answer = post(entries[0].address, POSTINGS, b"10", **headers)
    assert (status, json.loads(answer)["outcome"]) == (504, OUTCOME_UNKNOWN)
    assert not service.runs
    log.faults.clear()
    wait_until(lambda: not entries[0].writer.pending_writes)
    assert post(entries[1].address, POSTINGS, b"10", **KEY)[0] == 201


@pytest.mark.parametrize("lost", ["leader", "lease"])
def test_call_with_key_is_unknown_without_ledger(entries, service, lost):
    post(entries[0].address, POSTINGS, b"10", **KEY)
    entries[1].context.lease = lost != "lease"
    entries[1].context.log.faults.append(refuse_command)
    status, headers, answer = post(entries[1].address, POSTINGS, b"10", **KEY)
    assert (status, json.loads(answer)["outcome"]) == (502, OUTCOME_UNKNOWN)
    assert "retry-after" in headers


@pytest.mark.parametrize("key", [KEY, {}])
def test_new_entry_refuses_calls_with_retry_after(entries, key):
    entries[0].context.lease = False
    entries[0].context.text.Clear()
    status, headers, answer = post(entries[0].address, POSTINGS, b"10", **key)
    expected = (502, OUTCOME_UNKNOWN) if key else (503, OUTCOME_NOT_RUN)
    assert (status, json.loads(answer)["outcome"]) == expected
    assert "retry-after" in headers


def test_abandoned_claim_is_unknown_until_answer_is_recorded(entries, service):
    service.pause_s = 0.2
    first = eventlet.spawn(post, entries[0].address, POSTINGS, b"10", **KEY)
    wait_until(lambda: service.runs)
    ledger = entries[0].context.log.ledger
    ledger.apply_abandon_claims(AbandonClaims(entry_id="entry-1"), 0)
    status, _, answer = post(entries[1].address, POSTINGS, b"10", **KEY)
    assert (status, json.loads(answer)["code"]) == (409, "outcome_unknown")
    first.wait()
    assert post(entries[1].address, POSTINGS, b"10", **KEY)[2] == b"done10"
    assert service.runs == {"key-1": 1}


def test_replay_of_answer_too_large_to_record_is_refused(entries, service):
    service.answer = b"x" * 20_000
    assert len(post(entries[0].address, POSTINGS, b"10", **KEY)[2]) == 20_002
    status, _, answer = post(entries[1].address, POSTINGS, b"10", **KEY)
    assert (status, json.loads(answer)["code"]) == (410, "answer_not_recorded")
    assert service.runs == {"key-1": 1}


def test_repeatable_call_is_retried_without_claim(entries, service):
    with serve(FakeBreakingService()) as broken_address:
        context = entries[0].context
        healthy_group = context.groups.pop("s1")
        context.add_group("s0", "ledger-app", broken_address)
        context.groups["s1"] = healthy_group
        assert post(entries[0].address, NOTES, b"10", **KEY)[0] == 201
    assert not context.log.applied
    assert context.reports == [("s0", "broken"), ("s1", "whole")]


class FakeBreakingService:
    """A plain service that closes each connection without an answer."""

    def __call__(self, environ, start_response):
        raise ConnectionError("break")


@pytest.mark.parametrize(
    "path",
    [
        "/services/ledger-app/notes/../postings",
        "/services/ledger-app/notes/%2e%2e/postings",
        "/services/ledger-app//postings",
        "/services/ledger-app/notes\\..\\postings",
    ],
)
def test_path_not_in_normal_form_is_refused(entries, service, path):
    status, _, answer = post(entries[0].address, path, b"10")
    assert (status, json.loads(answer)["outcome"]) == (400, OUTCOME_NOT_RUN)
    assert not service.runs


class FakeCrashingService:
    """A plain service that stops when a body contains the word poison."""

    def __init__(self):
        self.close = None
        self.crashes = 0

    def __call__(self, environ, start_response):
        if b"poison" not in environ["wsgi.input"].read():
            start_response("200 OK", [])
            return [b"ok"]
        self.crashes += 1
        self.close()
        raise ConnectionError("crash")


def test_call_is_refused_after_crashing_two_services(entries):
    context = entries[0].context
    context.groups.clear()
    with contextlib.ExitStack() as stack:
        services = []
        for number in range(4):
            service = FakeCrashingService()
            server = contextlib.ExitStack()
            address = server.enter_context(serve(service))
            service.close = stack.enter_context(server).close
            context.add_group(f"p{number}", "ledger-app", address)
            services.append(service)
        for _ in range(2):
            status, headers, answer = post(entries[0].address, NOTES, b"poison")
            assert (status, json.loads(answer)["code"]) == (422, "crashing_request")
            assert int(headers["retry-after"]) > 500
            assert sum(service.crashes for service in services) == 2
        assert post(entries[0].address, NOTES, b"10")[0] == 200


@pytest.mark.parametrize("path", [POSTINGS, NOTES])
def test_call_that_waits_for_a_connection_is_not_sent_after_an_evacuation(
    entries, service, monkeypatch, path
):
    # Guards against requests in an evacuated data centre by calls chosen before.
    connect = EndpointExchange.connect
    context = entries[0].context

    def evacuate_while_connecting(exchange, timeout_s):
        connect(exchange, timeout_s)
        context.evacuated_hosts.add("s1")

    monkeypatch.setattr(EndpointExchange, "connect", evacuate_while_connecting)
    status, headers, body = post(entries[0].address, path, b"x", **KEY)
    assert status == 503
    assert json.loads(body)["outcome"] == OUTCOME_NOT_RUN
    assert not service.runs
