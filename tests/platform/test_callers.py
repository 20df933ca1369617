"""Caller protocol of the platform: requests, forwarded headers and failures."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.attempts.events import Failure
from chestnutvale.http_server.const import ENVIRON_REQUEST_TARGET
from chestnutvale.membership.endpoint_notices import MISDIRECTED, EndpointNotice
from chestnutvale.programs.entry.exceptions import BadCallError
from chestnutvale.programs.entry.routed.caller_protocol import ForwardingInfo

from adapter.callers import PlatformCallerProtocol  # isort: skip

HEADERS = {
    "Host": "shop.example",
    "Accept": "text/event-stream",
    "Connection": "keep-alive, X-Hop",
    "X-Hop": "1",
    "Content-Length": "3",
    "Authorization": "Token key-1",
    "Chestnutvale-Attempt-Id": "9c41",
    "Chestnutvale-Deadline-Ms": "8002",
    "Chestnutvale-Model": "big",
    "Chestnutvale-Token-Usage": "1460,80",
    "Chestnutvale-Prompt-Prefix": "5c1e:800",
    "Chestnutvale-Tenant": "forged",
    "Chestnutvale-Expected-Instance": "forged",
    "Last-Event-Id": "12",
}

NO_NOTICE = EndpointNotice()


def environ(**header_values):
    headers = HEADERS | {name.replace("_", "-"): v for name, v in header_values.items()}
    found = {"HTTP_" + k.upper().replace("-", "_"): v for k, v in headers.items()}
    found |= {
        "RAW_PATH_INFO": "/gen/%2F",
        ENVIRON_REQUEST_TARGET: "/gen/%2F?a=1",
        "QUERY_STRING": "a=1",
        "REQUEST_METHOD": "POST",
        "headers_raw": tuple(headers.items()),
    }
    return found


def test_request_is_parsed():
    request = PlatformCallerProtocol().read_request(environ())
    assert request.request_id == "9c41"
    assert request.key == "key-1"
    assert (request.target, request.path) == ("/gen/%2F?a=1", "/gen/%2F")
    assert (request.deadline_ms, request.last_event) == (8002, 12)
    assert (request.model, request.max_tokens) == ("big", 80)


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        ("5C1e:800, 91bd:410,e440:250", ("5c1e", "91bd", "e440")),
        ("", ()),
        ("5c1e:800,xyz:1", ()),
        ("5c1e", ()),
        (
            ",".join(f"{number:x}:1" for number in range(100)),
            (*(f"{number:x}" for number in range(63)), "63"),
        ),
    ],
)
def test_prompt_parts_are_parsed_and_malformed_ones_ignored(value, parts):
    fields = environ(Chestnutvale_Prompt_Prefix=value)
    request = PlatformCallerProtocol().read_request(fields)
    assert request.prompt_parts == parts
    assert ("Chestnutvale-Prompt-Prefix", value) in request.headers


def test_endpoint_gets_caller_headers_except_replaced_and_hop_by_hop():
    protocol = PlatformCallerProtocol()
    request = protocol.read_request(environ())
    headers = protocol.make_endpoint_headers(
        request, ForwardingInfo("i-1", "t1", 700, 14)
    )
    names = [name for name, _ in headers]
    found = dict(headers)
    assert len(names) == len(set(names))
    assert found["Host"] == "shop.example"
    assert found["Chestnutvale-Attempt-Id"] == "9c41"
    assert found["Chestnutvale-Prompt-Prefix"] == "5c1e:800"
    assert found["Chestnutvale-Tenant"] == "t1"
    assert found["Chestnutvale-Expected-Instance"] == "i-1"
    assert found["Chestnutvale-Deadline-Ms"] == "700"
    assert found["Last-Event-Id"] == "14"
    for dropped in ("Authorization", "Connection", "X-Hop", "Content-Length"):
        assert dropped not in found


def test_no_tenant_header_without_workspace():
    protocol = PlatformCallerProtocol()
    request = protocol.read_request(environ())
    headers = protocol.make_endpoint_headers(request, ForwardingInfo("i-1", "", 700))
    assert "Chestnutvale-Tenant" not in dict(headers)
    assert "Last-Event-Id" not in dict(headers)


@pytest.mark.parametrize(
    "status, headers, expected",
    [
        (503, [("chestnutvale-not-executed", "1")], True),
        (421, [], True),
        (503, [], False),
        (500, [("Chestnutvale-Server-Signature", "x")], False),
    ],
)
def test_refusal_needs_not_executed_header_or_misdirected_status(
    status, headers, expected
):
    assert PlatformCallerProtocol().is_refusal(status, headers) == expected


def test_statuses_that_promise_that_a_request_has_not_run():
    protocol = PlatformCallerProtocol()
    promises = [s for s in range(100, 600) if protocol.promises_not_run(s)]
    assert promises == [408, 421, 429, 503]


@given(st.sampled_from(["unknown", "failed"]), st.text(max_size=20))
def test_failure_of_a_call_that_may_have_run_promises_nothing(outcome, code):
    protocol = PlatformCallerProtocol()
    line, headers, _ = protocol.make_failure_answer(Failure(code, outcome, ""), "", 1.0)
    assert not protocol.promises_not_run(int(line[:3]))
    assert "Retry-After" not in dict(headers)


@pytest.mark.parametrize(
    "status, headers, notice",
    [
        (200, [("Server-Leaving", "1")], EndpointNotice(is_leaving=True)),
        (500, [("server-leaving", "1")], EndpointNotice(is_leaving=True)),
        (200, [("Server-Leaving", "0")], NO_NOTICE),
        (503, [("Retry-After", "1.5")], EndpointNotice(pause_s=1.5)),
        (
            503,
            [("Retry-After", "2"), ("Server-Leaving", "1")],
            EndpointNotice(is_leaving=True, pause_s=2.0),
        ),
        (500, [("Retry-After", "2")], NO_NOTICE),
        (503, [("Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT")], NO_NOTICE),
        (503, [("Retry-After", "-1")], NO_NOTICE),
        (503, [("Retry-After", "inf")], NO_NOTICE),
        (503, [("Retry-After", "nan")], NO_NOTICE),
        (200, [("Server-Limit", "1.6")], EndpointNotice(rate_limit_per_s=1.6)),
        (503, [("server-limit", "0")], EndpointNotice(rate_limit_per_s=0.0)),
        (
            200,
            [("Chestnutvale-Cold-Start-Ms", "1250")],
            EndpointNotice(cold_remaining_s=1.25),
        ),
        (200, [("chestnutvale-cold-start-ms", "0")], NO_NOTICE),
        (200, [("Chestnutvale-Cold-Start-Ms", "-5")], NO_NOTICE),
        (421, [("Chestnutvale-Cold-Start-Ms", "900")], MISDIRECTED),
        (200, [("Server-Limit", "-1")], NO_NOTICE),
        (200, [("Server-Limit", "nan")], NO_NOTICE),
        (200, [("Server-Limit", "many")], NO_NOTICE),
        # Another worker has the address now.
        (421, [("Server-Leaving", "1"), ("Server-Limit", "2")], MISDIRECTED),
    ],
)
def test_notice_of_a_worker_is_read(status, headers, notice):
    assert PlatformCallerProtocol().read_notice(status, headers) == notice


@pytest.mark.parametrize(
    "code, outcome, status",
    [
        ("no_capacity", "not_run", "503"),
        ("deadline_exceeded", "not_run", "503"),
        ("deadline_exceeded", "unknown", "504"),
        ("endpoint_broken", "unknown", "502"),
        ("attempts_exhausted", "failed", "502"),
        ("not_found", "not_run", "404"),
        ("unauthorized", "not_run", "401"),
        ("too_large", "not_run", "413"),
        ("bad_request", "not_run", "400"),
        ("overloaded", "unknown", "502"),
        ("unproven_refusal", "unknown", "502"),
        ("crashing_request", "not_run", "502"),
        ("bad_request", "unknown", "502"),
        ("not_found", "failed", "502"),
        ("too_large", "unknown", "502"),
    ],
)
def test_status_matches_outcome(code, outcome, status):
    failure = Failure(code, outcome, "why")
    line, headers, _ = PlatformCallerProtocol().make_failure_answer(
        failure, "9c41", 0.25
    )
    assert line.startswith(status)
    assert ("Retry-After" in dict(headers)) == (status == "503")


@given(st.text(max_size=20), st.sampled_from(sorted(HEADERS)))
def test_any_header_value_is_parsed_or_rejected(value, name):
    try:
        PlatformCallerProtocol().read_request(
            environ(**{name.replace("-", "_"): value})
        )
    except BadCallError as error:
        assert error.status == 400
