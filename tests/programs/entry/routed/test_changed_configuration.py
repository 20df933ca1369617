"""A new configuration cuts nothing that runs or that is being read."""

import eventlet
import pytest
from eventlet.green import socket

from chestnutvale.schema.configuration_pb2 import Text
from tests.programs.entry.routed.routed_fakes import (
    API_KEY,
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    routed_entry,
    stream_head,
)

COMPLETE_STREAM = b"".join(event(n) for n in range(1, 5))


def drop_routes(text):
    del text.routes[:]


def drop_workspaces(text):
    text.workspaces.clear()
    text.workspaces["another"].weight = 1


def drop_services(text):
    text.services.clear()


def forbid_resuming(text):
    for route in text.routes:
        route.is_resumable = False
        route.max_attempts = 1


def shorten_time_limits(text):
    for route in text.routes:
        route.timeout_ms = 1


def shorten_limits_of_callers(text):
    text.caller_limits.idle_timeout_ms = 1
    text.caller_limits.header_timeout_ms = 1
    text.caller_limits.max_body_bytes = 1


CHANGES = [
    drop_routes,
    drop_workspaces,
    drop_services,
    forbid_resuming,
    shorten_time_limits,
    shorten_limits_of_callers,
]


def put_in_force(entry, change):
    text = Text()
    text.CopyFrom(entry.context.text)
    text.number += 1
    change(text)
    entry.context.text = text


@pytest.mark.parametrize("change", CHANGES)
def test_stream_that_runs_is_whole_after_a_change(change):
    endpoint, other_endpoint = ScriptedEndpoint(), ScriptedEndpoint()
    with routed_entry(endpoint, other_endpoint) as entry:

        def break_off_after_the_change(sock, request):
            sock.sendall(stream_head() + chunk(event(1)))
            put_in_force(entry, change)
            eventlet.sleep(0.1)
            sock.sendall(chunk(event(2)))
            sock.close()

        def resume(sock, request):
            events = b"".join(chunk(event(number)) for number in (3, 4))
            sock.sendall(stream_head() + events + b"0\r\n\r\n")

        endpoint.default = break_off_after_the_change
        other_endpoint.default = resume
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert (body, is_complete) == (COMPLETE_STREAM, True)


@pytest.mark.parametrize("change", CHANGES)
def test_request_whose_body_is_being_read_is_answered_after_a_change(change):
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(b"done")
    head = (
        "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nX-Call: c1\r\n"
        f"X-Key: {API_KEY}\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
    )
    with routed_entry(endpoint) as entry:
        host, _, port = entry.address.partition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(head.encode() + b"ab")
            eventlet.sleep(0.1)
            put_in_force(entry, change)
            sock.sendall(b"cd")
            assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    assert endpoint.requests[0].endswith(b"\r\n\r\nabcd")


def test_call_that_waits_for_a_group_keeps_the_limit_of_its_body():
    # Guards against terms of a call that come from two texts.
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(b"done")
    with routed_entry(endpoint) as entry:

        def change_meanwhile(service, deadline_s):
            put_in_force(entry, shorten_limits_of_callers)

        entry.context.wait_for_groups = change_meanwhile
        assert call(entry.address, "/safe/x", b"body")[0] == 200
    assert endpoint.requests[0].endswith(b"\r\n\r\nbody")
