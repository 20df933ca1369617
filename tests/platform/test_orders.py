"""Order protocol of the platform."""

import json

import pytest

from chestnutvale.groups.orders import OrderOutcome, SendOrder
from chestnutvale.schema.groups_pb2 import GroupMember, Order

from adapter.orders import PlatformOrderProtocol, make_order_body  # isort: skip
from adapter.wire import EXPECTED_INSTANCE  # isort: skip

MEMBERS = [
    GroupMember(host_id="i-2", rank=1),
    GroupMember(host_id="i-1", rank=0),
]


def make(kind, **fields):
    return Order(order_id="1-0", kind=kind, group_id="g", epoch=3, fence=4, **fields)


def test_join_lists_members_by_rank():
    body = make_order_body(make("assign", model="big", members=MEMBERS))
    assert body == {
        "operation": "join",
        "group": "g",
        "epoch": 3,
        "model": "big",
        "members": ["i-1", "i-2"],
        "fencingToken": 4,
    }


@pytest.mark.parametrize("kind, operation", [("open", "open"), ("release", "leave")])
def test_open_and_leave_orders_name_the_group(kind, operation):
    assert make_order_body(make(kind)) == {
        "operation": operation,
        "group": "g",
        "epoch": 3,
        "fencingToken": 4,
    }


def test_stage_order_names_no_group():
    body = make_order_body(Order(kind="stage", model="big", fence=4))
    assert body == {"operation": "stage", "model": "big", "fencingToken": 4}


@pytest.mark.parametrize(
    "kind, status, outcome",
    [
        ("assign", 202, OrderOutcome.ACCEPTED),
        ("assign", 200, OrderOutcome.ACCEPTED),
        ("assign", 412, OrderOutcome.STALE_FENCE),
        ("assign", 409, OrderOutcome.UNREACHABLE),
        ("open", 409, OrderOutcome.UNREACHABLE),
        ("release", 409, OrderOutcome.ACCEPTED),
        ("stage", 409, OrderOutcome.CONFLICT),
        ("release", 421, OrderOutcome.UNREACHABLE),
        ("release", 503, OrderOutcome.UNREACHABLE),
    ],
)
def test_status_of_answer_is_translated_to_outcome(kind, status, outcome):
    send = SendOrder("i-1", "10.0.0.1:80", make(kind), 1.0)
    assert PlatformOrderProtocol().parse_response(send, status, b"") is outcome


def test_order_has_expected_instance_header():
    effect = SendOrder("h1", "10.0.0.1:80", Order(kind="release", fence=7), 9.0)
    message = PlatformOrderProtocol().encode(effect)
    assert message.headers[EXPECTED_INSTANCE] == "h1"
    assert json.loads(message.body)["fencingToken"] == 7
