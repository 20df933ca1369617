"""Tests of which orders an emulated engine accepts and of its state afterwards."""

import pytest

from chestnutvale.emulator.exceptions import RefusedError
from chestnutvale.emulator.orders import (
    AcceptAllOrders,
    FencingTokenCheck,
    HostState,
    StopGroup,
)
from chestnutvale.schema.groups_pb2 import GroupMember, Order


def make_order(kind="assign", fence=1, epoch=1, boot="b1", **changes):
    members = [GroupMember(host_id="h1", boot_id=boot, address="127.0.0.1:1")]
    fields = {"group_id": "g1", "model": "m", "version": "1", "members": members}
    fields.update(changes)
    return Order(kind=kind, fence=fence, epoch=epoch, **fields)


@pytest.mark.parametrize(
    ("order", "code"),
    [
        (make_order(fence=4), "stale_fence"),
        (make_order(fence=6, expires_at_unix_ms=9), "order_expired"),
        (make_order(fence=6, boot="b0"), "wrong_boot"),
        (make_order(kind="dance", fence=6), "bad_request"),
        (make_order(fence=6, group_id=""), "bad_request"),
    ],
)
def test_refused_order_changes_nothing(order, code):
    state = HostState(FencingTokenCheck("h1", "b1"))
    state.apply_order(make_order(fence=5), 10)
    before = state.holding.SerializeToString()
    with pytest.raises(RefusedError) as caught:
        state.apply_order(order, 10)
    assert caught.value.code == code
    assert state.holding.SerializeToString() == before


def test_highest_fencing_token_is_kept_after_a_release():
    state = HostState(FencingTokenCheck("h1", "b1"))
    state.apply_order(make_order(fence=5), 10)
    state.apply_order(make_order("release", fence=6), 10)
    assert state.complete_release("g1")
    assert state.order_check.highest_fence == 6


def test_engine_without_fencing_accepts_an_old_order():
    state = HostState(AcceptAllOrders())
    state.apply_order(make_order(fence=5, group_id="new"), 10)
    state.apply_order(make_order(fence=4, group_id="old", boot="b0"), 10)
    assert state.holding.group_id == "old"


def test_new_epoch_with_the_same_weights_is_ready_at_once():
    state = HostState(FencingTokenCheck("h1", "b1"))
    order = make_order()
    state.apply_order(order, 10)
    assert state.holding.phase == "loading"
    assert state.apply_order(order, 10) is None
    assert state.record_loaded_weights(order)
    state.apply_order(make_order(fence=2, epoch=2), 10)
    assert (state.holding.phase, state.holding.epoch) == ("ready", 2)
    state.apply_order(make_order(fence=3, epoch=3, version="2"), 10)
    assert state.holding.phase == "loading"
    assert not state.record_loaded_weights(order)


def test_release_of_the_held_group_only():
    state = HostState(FencingTokenCheck("h1", "b1"))
    state.apply_order(make_order(), 10)
    assert state.apply_order(make_order("release", fence=2, group_id="g2"), 10) is None
    assert state.apply_order(make_order("release", fence=3), 10) == StopGroup("g1")
    assert state.holding.phase == "releasing"
    assert state.complete_release("g1")
    assert state.holding is None
