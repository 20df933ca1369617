"""Orders to hosts whose answers never end, are cut or come late."""

import time

import eventlet
import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.groups.orders import OrderOutcome, SendOrder
from chestnutvale.programs.control.const import ORDER_READ_TIMEOUT_S
from chestnutvale.programs.control.order_sender import OrderSender
from chestnutvale.schema.groups_pb2 import Order
from tests.http_client.answer_faults import cut, flood, trickle
from tests.programs.entry.routed.routed_fakes import ScriptedEndpoint

OK_HEAD = b"HTTP/1.1 200 OK\r\n"
SIZED_OK = OK_HEAD + b"Content-Length: 2\r\n\r\n{}"
FAULTS = {
    "trickled head": trickle(OK_HEAD, b"x"),
    "endless head": flood(OK_HEAD, b"X-More: x\r\n"),
    "trickled interim heads": trickle(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "trickled body": trickle(OK_HEAD + b"\r\n", b"x"),
    "endless body": flood(OK_HEAD + b"\r\n", b"x"),
    "no answer": cut(b"\xff\xfe nonsense\r\n\r\n"),
    "short body": cut(OK_HEAD + b"Content-Length: 99\r\n\r\nx"),
}


def send(endpoint, send_before_s=None):
    clock = SystemClock()
    with endpoint.serve() as address:
        order = Order(order_id="o1", kind="stage")
        send_before_s = clock.now_s() + 5.0 if send_before_s is None else send_before_s
        return OrderSender(clock).send(SendOrder("h1", address, order, send_before_s))


@pytest.mark.parametrize("name", FAULTS)
def test_endless_or_cut_answer_does_not_hold_up_the_control(name):
    endpoint = ScriptedEndpoint()
    endpoint.default = FAULTS[name]
    started_s = time.monotonic()
    with eventlet.Timeout(ORDER_READ_TIMEOUT_S + 3.0):
        assert send(endpoint) == OrderOutcome.UNREACHABLE
    assert time.monotonic() - started_s < ORDER_READ_TIMEOUT_S + 1.0


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (SIZED_OK, OrderOutcome.ACCEPTED),
        (OK_HEAD + b"Connection: close\r\n\r\n{}", OrderOutcome.ACCEPTED),
        (
            b'HTTP/1.1 409 No\r\nContent-Length: 22\r\n\r\n{"code":"stale_fence"}',
            OrderOutcome.STALE_FENCE,
        ),
        (b"HTTP/1.1 307 No\r\nContent-Length: 0\r\n\r\n", OrderOutcome.UNREACHABLE),
        (
            b"HTTP/1.1 409 No\r\nContent-Length: 20000\r\n\r\n" + b"[" * 20_000,
            OrderOutcome.UNREACHABLE,
        ),
    ],
)
def test_answer_decides_the_outcome_of_an_order(answer, outcome):
    endpoint = ScriptedEndpoint()
    endpoint.default = cut(answer)
    assert send(endpoint) == outcome
    assert endpoint.requests[0].startswith(b"POST /v1/orders HTTP/1.1\r\n")
    assert endpoint.header("connection") == "close"
    assert b'"order_id"' in endpoint.requests[0].partition(b"\r\n\r\n")[2]


def test_order_is_not_sent_after_the_leader_may_send():
    endpoint = ScriptedEndpoint()
    assert send(endpoint, send_before_s=0.0) == OrderOutcome.UNREACHABLE
    assert not endpoint.requests


def test_unreachable_host_is_reported():
    order = SendOrder("h1", "127.0.0.1:1", Order(order_id="o1"), 1e12)
    assert OrderSender(SystemClock()).send(order) == OrderOutcome.UNREACHABLE


def test_answer_cut_anywhere_in_its_head_leaves_the_outcome_open():
    endpoint = ScriptedEndpoint()
    for size in range(len(SIZED_OK)):
        endpoint.default = cut(SIZED_OK[:size])
        assert send(endpoint) == OrderOutcome.UNREACHABLE, size
