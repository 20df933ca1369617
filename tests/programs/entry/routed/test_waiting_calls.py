"""Calls that are refused while they wait for admission are told what is true."""

import contextlib
import random

import eventlet
import pytest

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import ServiceCapacity, ServiceLimits
from chestnutvale.http_server.const import STOP_ANSWER_MARGIN_S
from chestnutvale.http_server.server import HttpServer
from chestnutvale.programs.entry.admission_gate import AdmissionGate
from chestnutvale.settings.common import default_http_limits
from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    complete_answer,
    event,
    routed_entry,
)

PATHS = ["/once/x", "/fixed/x"]


@contextlib.contextmanager
def busy_entry():
    """Yield an entry whose only place is taken by the call ``c1``, and a release."""
    release = eventlet.Event()

    def answer_late(sock, request):
        release.wait()
        sock.sendall(complete_answer(event(1)))

    endpoint = ScriptedEndpoint()
    endpoint.default = answer_late
    with routed_entry(endpoint) as entry:
        controller = AdmissionController(random.Random(1))
        limits = ServiceLimits(slots_per_group=1, overcommit=1.0)
        services = ("app", "gpu-m")
        controller.configure({"ws-1": 1.0}, dict.fromkeys(services, limits))
        for service in services:
            capacity = ServiceCapacity(1, 0)
            controller.set_capacity(service, capacity, entry.context.clock.now_s())
        entry.context.admission = AdmissionGate(controller, entry.context.clock)
        entry.endpoint = endpoint
        yield entry, release


def serve(entry, address):
    return HttpServer(entry.handler, address, default_http_limits())


@pytest.mark.parametrize("path", PATHS)
def test_second_call_with_the_id_of_a_running_one_is_not_told_that_it_has_not_run(path):
    # Guards against a promise about an ID that an endpoint runs.
    with busy_entry() as (entry, release):
        first = eventlet.spawn(call, entry.address, path, X_Model="m")
        wait_until(lambda: entry.endpoint.requests)
        status, headers, _, _ = call(entry.address, path, X_Model="m")
        release.send()
        assert first.wait()[0] == 200
    assert (status, headers["x-code"]) == (502, "duplicate_request")
    assert len(entry.endpoint.requests) == 1


@pytest.mark.parametrize("path", PATHS)
def test_call_that_waits_for_admission_when_its_server_stops_has_not_run(
    path, free_address
):
    # Guards against a 502, after which callers may not send a posting again.
    with busy_entry() as (entry, release), serve(entry, free_address()) as server:
        first = eventlet.spawn(call, server.address, path, X_Model="m")
        wait_until(lambda: entry.endpoint.requests)
        waiting = eventlet.spawn(call, server.address, path, X_Call="c2", X_Model="m")
        wait_until(lambda: server.running_requests == 2)
        server.stop(entry.context.clock.now_s() + 2 * STOP_ANSWER_MARGIN_S)
        status, headers, _, _ = waiting.wait()
        assert (status, headers["x-code"]) == (503, "entry_stopping")
        assert float(headers["retry-after"]) < 0.5
        # The first one was sent to an endpoint.
        assert first.wait()[0] == 502
        release.send()
        assert len(entry.endpoint.requests) == 1


@pytest.mark.parametrize("wait", ["wait_for_first_lease", "wait_for_groups"])
def test_call_that_waits_for_a_view_when_its_server_stops_has_not_run(
    wait, free_address
):
    with busy_entry() as (entry, _), serve(entry, free_address()) as server:
        entry.context.lease = wait != "wait_for_first_lease"
        setattr(entry.context, wait, lambda *arguments: eventlet.Event().wait())
        waiting = eventlet.spawn(call, server.address, "/once/x")
        wait_until(lambda: server.running_requests == 1)
        server.stop(entry.context.clock.now_s() + 2 * STOP_ANSWER_MARGIN_S)
        status, headers, _, _ = waiting.wait()
    assert (status, headers["x-code"]) == (503, "entry_stopping")
    assert not entry.endpoint.requests
