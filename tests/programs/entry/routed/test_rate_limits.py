"""Endpoints that name the request rate that they take from all entries together."""

import time

import eventlet

from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    complete_answer,
    routed_entry,
)

LIMIT_PER_S = 4.0


def limited_endpoint(limit_per_s=LIMIT_PER_S):
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(b"slow", extra=f"X-Limit: {limit_per_s}\r\n")
    return endpoint


def test_an_endpoint_gets_no_more_requests_than_the_limit_it_named():
    limited, other = limited_endpoint(), ScriptedEndpoint()
    other.default = complete_answer(b"other")
    with routed_entry(limited, other) as entry:
        started_s = time.monotonic()
        call(entry.address, "/safe/first")
        bodies = [call(entry.address, f"/safe/{n}")[2] for n in range(40)]
        elapsed_s = time.monotonic() - started_s
    assert set(bodies) <= {b"slow", b"other"}
    # The first one is sent before the limit is known.
    assert len(limited.requests) <= 1 + LIMIT_PER_S * elapsed_s


def test_a_call_beyond_all_limits_is_refused_as_not_run_with_a_time_to_retry():
    limited = limited_endpoint(limit_per_s=1.0)
    with routed_entry(limited) as entry:
        call(entry.address, "/once/first", b"a")
        status, headers, _, _ = call(entry.address, "/once/second", b"a", X_Left="300")
    assert status == 503
    assert 0.0 < float(headers["retry-after"]) <= 2.0
    assert len(limited.requests) == 1


def test_a_limit_ends_with_an_answer_that_names_none():
    limited = limited_endpoint(limit_per_s=20.0)
    with routed_entry(limited) as entry:
        call(entry.address, "/safe/first")
        limited.default = complete_answer(b"sound")
        eventlet.sleep(0.1)
        call(entry.address, "/safe/second")
        statuses = [call(entry.address, f"/safe/{n}")[0] for n in range(20)]
    assert statuses == [200] * 20
