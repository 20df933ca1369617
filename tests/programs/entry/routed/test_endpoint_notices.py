"""Endpoints that say in an answer that they leave, or want no request for a time."""

import eventlet
import pytest

from chestnutvale.membership.endpoint_notices import EndpointNotice, Incarnation
from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    routed_entry,
    stream_head,
)

LEAVING = complete_answer(b"last", extra="X-Leaving: 1\r\n")
PAUSING = complete_answer(
    b"full", status="503 Busy", extra="X-Not-Run: 1\r\nX-Pause: 30\r\n"
)


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture
def other_endpoint():
    made = ScriptedEndpoint()
    made.default = complete_answer(b"other")
    return made


def test_an_endpoint_that_leaves_gets_no_further_request(endpoint, other_endpoint):
    endpoint.default = LEAVING
    with routed_entry(endpoint, other_endpoint) as entry:
        assert call(entry.address, "/safe/x")[2] == b"last"
        assert call(entry.address, "/safe/x")[2] == b"other"
    assert len(endpoint.requests) == 1


def test_an_endpoint_that_pauses_gets_no_further_request(endpoint, other_endpoint):
    endpoint.default = PAUSING
    with routed_entry(endpoint, other_endpoint) as entry:
        for _ in range(3):
            assert call(entry.address, "/safe/x")[2] == b"other"
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/fixed/x", "/gen/x"])
def test_failure_of_an_endpoint_that_ran_the_request_is_no_wish_for_a_pause(
    endpoint, path
):
    # Guards against one caller's failures taking an endpoint from all callers.
    endpoint.default = complete_answer(
        b"failed", status="503 Bad", extra="X-Pause: 30\r\n"
    )
    with routed_entry(endpoint) as entry:
        for _ in range(2):
            call(entry.address, path, b"a", X_Model="m")
    assert len(endpoint.requests) == 2


def test_refusal_of_an_endpoint_is_no_failure_of_it(endpoint, other_endpoint):
    endpoint.default = PAUSING
    with routed_entry(endpoint, other_endpoint) as entry:
        assert call(entry.address, "/once/x", b"a")[2] == b"other"
        assert entry.context.reports[0] == ("app1", "refused")


def test_many_callers_at_once_send_a_paused_endpoint_nothing(endpoint, other_endpoint):
    endpoint.default = PAUSING
    with routed_entry(endpoint, other_endpoint) as entry:
        call(entry.address, "/safe/first")
        pool = eventlet.GreenPool()
        statuses = list(
            pool.imap(lambda n: call(entry.address, f"/safe/{n}")[0], range(40))
        )
    assert statuses == [200] * 40
    assert len(endpoint.requests) == 1


def test_the_head_of_a_stream_is_enough_for_a_departure(endpoint):
    head = stream_head()[:-2] + b"X-Leaving: 1\r\n\r\n"

    def answer_slowly(sock, request):
        sock.sendall(head)
        eventlet.sleep(0.2)
        sock.sendall(chunk(event(1)) + b"0\r\n\r\n")

    endpoint.default = answer_slowly
    with routed_entry(endpoint) as entry:
        task = eventlet.spawn(call, entry.address, "/gen/x", X_Model="m")
        wait_until(lambda: entry.context.notices.departures())
        status, _, _, _ = call(entry.address, "/gen/x", X_Model="m")
        task.wait()
    assert status == 503
    assert len(endpoint.requests) == 1


def test_a_notice_while_connecting_stops_the_request(endpoint, other_endpoint):
    endpoint.default = complete_answer(b"late")
    with routed_entry(endpoint, other_endpoint) as entry:
        acquire = entry.pool.acquire

        def learn_while_connecting(address, timeout_s, boot_id):
            connection = acquire(address, timeout_s, boot_id)
            if not entry.context.notices.departures():
                entry.context.record_notice(
                    Incarnation("app1", "boot"), EndpointNotice(is_leaving=True)
                )
            return connection

        entry.pool.acquire = learn_while_connecting
        status, _, body, _ = call(entry.address, "/once/x", b"a")
    assert (status, body) == (200, b"other")
    assert endpoint.requests == []


def test_a_refusal_because_all_pause_says_not_run(endpoint):
    endpoint.default = PAUSING
    with routed_entry(endpoint) as entry:
        call(entry.address, "/once/x", b"a")
        status, headers, _, _ = call(entry.address, "/once/x", b"a")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize("path", ["/once/x", "/gen/x"])
def test_an_evacuation_while_connecting_stops_the_request(
    endpoint, other_endpoint, path
):
    # Guards against calls that waited for a connection when the order came.
    endpoint.default = other_endpoint.default = complete_answer(b"other")
    with routed_entry(endpoint, other_endpoint) as entry:
        acquire = entry.pool.acquire

        def evacuate_while_connecting(address, timeout_s, boot_id):
            connection = acquire(address, timeout_s, boot_id)
            entry.context.evacuated_hosts.add("app1" if path == "/once/x" else "gpu1")
            return connection

        entry.pool.acquire = evacuate_while_connecting
        call(entry.address, path, b"a", X_Model="m")
    assert endpoint.requests == []
    assert len(other_endpoint.requests) == 1
