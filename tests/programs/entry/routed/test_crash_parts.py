"""Routed calls whose prompt has a part that crashes endpoints."""

import eventlet
import pytest

from chestnutvale.attempts.const import PART_EVIDENCE_SETTLE_MS, SEPARATE_CRASH_MS
from chestnutvale.attempts.prompt_parts import hash_shared_parts
from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.programs.entry.routed.const import BAN_AFTER_CRASHES
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    routed_entry,
    stream_head,
)

WHOLE_STREAM = stream_head() + chunk(event(1)) + b"0\r\n\r\n"


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture
def entry(endpoint):
    endpoint.default = WHOLE_STREAM
    other_endpoint = ScriptedEndpoint()
    other_endpoint.default = WHOLE_STREAM
    with routed_entry(endpoint, other_endpoint) as entry:
        entry.context.suspicions = SuspicionTracker(BAN_AFTER_CRASHES)
        entry.other_endpoint = other_endpoint
        yield entry


def record_crashes(entry, count, newest_age_ms=PART_EVIDENCE_SETTLE_MS):
    """Record successive crashes of requests with the part `bad` in their prompts."""
    tracker = entry.context.suspicions
    now_unix_ms = entry.context.clock.unix_ms() - newest_age_ms
    for number in range(count):
        at_unix_ms = now_unix_ms - (count - 1 - number) * SEPARATE_CRASH_MS
        parts = hash_shared_parts("gpu-m", ("first", "bad", f"{number}"))
        tracker.attempt_started(
            f"{number}.1", number, f"x{number}", 1, "", at_unix_ms - 100, parts
        )
        tracker.group_crashed(f"{number}.1", at_unix_ms)


def test_new_request_with_banned_part_is_refused_without_running(entry, endpoint):
    record_crashes(entry, BAN_AFTER_CRASHES)
    status, headers, _, _ = call(
        entry.address, "/gen/x", b"p", X_Model="m", X_Parts="first,bad,own"
    )
    assert (status, headers["x-code"]) == (503, "crashing_prompt_part")
    assert float(headers["retry-after"]) > 1.0
    assert endpoint.requests == []


def test_request_without_the_banned_part_runs(entry):
    record_crashes(entry, BAN_AFTER_CRASHES)
    for parts in ("first,own", "other,bad", ""):
        status, *_ = call(entry.address, "/gen/x", b"p", X_Model="m", X_Parts=parts)
        assert status == 200


def test_crash_of_the_first_attempt_forbids_the_second(entry, endpoint):
    record_crashes(entry, BAN_AFTER_CRASHES - 1, newest_age_ms=SEPARATE_CRASH_MS)
    entry.context.has_crashed = lambda group, is_engine: True
    endpoint.default = stream_head() + chunk(b"id: 1")
    endpoint.steps = [lambda sock, request: sock.close()]
    evidence = entry.context.suspicions.part_bans.evidence
    find, evidence.bans = (
        evidence.bans,
        lambda now, harmless: find(now + 1_000, harmless),
    )
    status, headers, _, _ = call(
        entry.address, "/gen/x", b"p", X_Model="m", X_Parts="first,bad,own"
    )
    assert (status, headers["x-code"]) == (502, "crashing_prompt_part")
    assert len(endpoint.requests) == 1
    assert entry.other_endpoint.requests == []


@pytest.mark.parametrize("path", ["/gen/x", "/safe/x"])
def test_crashes_of_another_prompt_of_the_caller_ban_no_request(entry, endpoint, path):
    entry.context.has_crashed = lambda group, is_engine: True
    endpoint.default = entry.other_endpoint.default = ScriptedEndpoint.CLOSE
    for _ in range(BAN_AFTER_CRASHES):
        call(entry.address, path, b"", X_Model="m", X_Parts="own1")
        for group in entry.context.groups.values():
            group.epoch += 1
    assert len(entry.context.suspicions.evidence.crashes()) >= BAN_AFTER_CRASHES
    endpoint.default = entry.other_endpoint.default = (
        WHOLE_STREAM if path == "/gen/x" else complete_answer(b"a")
    )
    status, *_ = call(entry.address, path, b"", X_Model="m", X_Parts="own2")
    assert status == 200


def test_harmless_answer_goes_on_at_another_group_despite_a_ban(entry, endpoint):
    def write_harmlessly_then_ban(sock, request):
        sock.sendall(stream_head() + chunk(event(1)))
        eventlet.sleep(0.3)
        sock.sendall(chunk(event(2)))
        eventlet.sleep(0.1)
        record_crashes(entry, BAN_AFTER_CRASHES, newest_age_ms=0)
        eventlet.sleep(0.2)
        sock.close()

    endpoint.steps = [write_harmlessly_then_ban]
    entry.other_endpoint.default = stream_head() + chunk(event(3)) + b"0\r\n\r\n"
    _, _, body, is_complete = call(
        entry.address, "/gen/x", b"p", X_Model="m", X_Parts="first,bad,own"
    )
    assert body == event(1) + event(2) + event(3)
    assert is_complete


@pytest.mark.parametrize("tail", [b"5\r\nid: 1", chunk(b"id: x\ndata: 1\n\n")])
def test_broken_answer_is_probed_once(entry, endpoint, tail):
    def break_off(sock, request):
        sock.sendall(stream_head() + chunk(event(1)) + tail)
        sock.close()

    probes = []
    entry.context.has_crashed = lambda group, is_engine: bool(probes.append(group))
    endpoint.steps = [break_off]
    entry.other_endpoint.default = stream_head() + chunk(event(2)) + b"0\r\n\r\n"
    call(entry.address, "/gen/x", b"p", X_Model="m", X_Parts="first,own")
    assert len(probes) == 1
