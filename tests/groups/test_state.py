"""Tests the replicated state of groups."""

import pytest

from chestnutvale.groups.state import GroupsState
from chestnutvale.schema.groups_pb2 import (
    DrainHost,
    EndRepair,
    FreeHost,
    Group,
    GroupMember,
    PutGroup,
    PutRepair,
    ReleaseHost,
    RemoveGroup,
    Repair,
)


def make_group(group_id="g", hosts="ab", phase="forming", **fields):
    members = [
        GroupMember(host_id=host, boot_id="b", address="10.0.0.1:1", rank=rank)
        for rank, host in enumerate(hosts)
    ]
    return Group(group_id=group_id, service="s", members=members, phase=phase, **fields)


def put(state, group, expected_epoch=0):
    return state.put_group(PutGroup(group=group, expected_epoch=expected_epoch), 5)


@pytest.mark.parametrize(
    "group",
    [
        make_group(hosts=""),
        make_group(hosts="aa"),
        make_group(phase="serving"),
        make_group(group_id=""),
        make_group(group_id="h", hosts="xb"),
        make_group(hosts="ab", plain=True),
        Group(group_id="g", service="s", phase="forming", members=[GroupMember()]),
    ],
)
def test_an_invalid_group_is_rejected(group):
    state = GroupsState()
    assert put(state, make_group("other", "bc")).outcome == "done"
    before = state.to_snapshot()
    assert put(state, group).outcome == "conflict"
    assert state.to_snapshot() == before


def test_a_second_change_in_the_same_epoch_is_rejected():
    state = GroupsState()
    first = put(state, make_group())
    assert (first.epoch, first.fence) == (1, 1)
    assert put(state, make_group()).outcome == "conflict"
    assert put(state, make_group(phase="serving"), 1).epoch == 1
    changed = put(state, make_group(hosts="ac"), 1)
    assert changed.epoch == 2
    assert put(state, make_group(hosts="ad"), 1).outcome == "conflict"


def test_a_draining_group_takes_no_earlier_phase():
    state = GroupsState()
    epoch = put(state, make_group()).epoch
    put(state, make_group(phase="draining"), epoch)
    assert put(state, make_group(phase="serving"), epoch).outcome == "conflict"
    assert put(state, make_group(phase="forming"), epoch).outcome == "conflict"


def test_a_host_is_free_only_after_its_release_ended():
    state = GroupsState()
    epoch = put(state, make_group()).epoch
    epoch = put(state, make_group(hosts="ac"), epoch).epoch
    release = state.releases["b"]
    assert release.fence > epoch
    assert put(state, make_group("h", "b")).outcome == "conflict"
    wrong = FreeHost(host_id="b", fence=release.fence - 1)
    assert state.free_host(wrong, 6).outcome == "conflict"
    state.free_host(FreeHost(host_id="b", fence=release.fence), 6)
    assert put(state, make_group("h", "b")).outcome == "done"
    state.remove_group(RemoveGroup(group_id="g", expected_epoch=epoch), 7)
    assert sorted(state.releases) == ["a", "c"]
    assert state.release_host(ReleaseHost(host_id="b"), 8).outcome == "conflict"


def test_a_group_has_one_repair_and_reserved_hosts_are_kept():
    state = GroupsState()
    epoch = put(state, make_group()).epoch
    repair = Repair(repair_id="r1", group_id="g", epoch=epoch, reserved_host_ids=["c"])
    assert state.put_repair(PutRepair(repair=repair), 5).outcome == "done"
    second = Repair(repair_id="r2", group_id="g", epoch=epoch)
    assert state.put_repair(PutRepair(repair=second), 5).outcome == "conflict"
    replace = PutRepair(repair=second, replaces_repair_id="r0")
    assert state.put_repair(replace, 5).outcome == "conflict"
    assert put(state, make_group("h", "c")).outcome == "conflict"
    assert state.end_repair(EndRepair(group_id="g", repair_id="r2"), 5).reason
    assert put(state, make_group(hosts="ac"), epoch).outcome == "done"
    assert state.repairs == {}


def test_a_snapshot_restores_the_state():
    state = GroupsState()
    epoch = put(state, make_group()).epoch
    put(state, make_group(hosts="ac"), epoch)
    state.drain_host(DrainHost(host_id="z", draining=True), 5)
    repair = Repair(repair_id="r", group_id="g", epoch=state.groups["g"].epoch)
    state.put_repair(PutRepair(repair=repair), 5)
    copy = GroupsState.from_snapshot(state.to_snapshot())
    assert copy.to_snapshot() == state.to_snapshot()
    assert copy.owners == state.owners
    state.drain_host(DrainHost(host_id="z"), 5)
    assert state.draining_hosts == set()
