"""First starts that lose disks form one cluster and keep what was acknowledged.

More seeds: ``FIRST_STARTS=200 pytest tests/consensus/test_first_starts.py``.
"""

import os

import pytest

from chestnutvale.consensus.events import ChangeKind, MembersChange
from chestnutvale.consensus.members import change_members, recoverable_copies
from chestnutvale.schema.raft_pb2 import Members
from tests.consensus.driver import Cluster
from tests.consensus.first_starts import TOLERATED_LOSSES, FirstStart

HISTORIES = int(os.environ.get("FIRST_STARTS", "24"))


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_first_start_serves_and_keeps_what_it_acknowledged(seed):
    # Guards against acknowledged configurations that are gone, and clusters that never
    # form, after the loss of disks in the first seconds.
    start = FirstStart(seed)
    start.run()
    if not start.acknowledged:
        # Two disks that are lost before anything was acknowledged may be a quorum of
        # the voters so far; then an operator has to start the controls anew.
        assert start.wiped == TOLERATED_LOSSES, start.actions
        return
    assert start.read_value() is not None, start.actions
    assert start.read_value() >= start.acknowledged[-1], start.actions
    # A later write would hide that earlier ones are gone.
    assert start.count_applied() >= len(start.acknowledged), start.actions


@pytest.mark.parametrize(
    ("voters", "wanted", "target", "copies"),
    [
        # Two of four voters may be lost only if a quorum of three is left.
        (4, 3, 5, 2),
        (5, 3, 5, 3),
        (3, 3, 5, 2),
        (1, 1, 5, 1),
        # A lost voter is being replaced.
        (4, 5, 5, 3),
        # The set is as large as it gets.
        (3, 3, 3, 2),
        (2, 2, 0, 2),
        (5, 5, 3, 3),
    ],
)
def test_copies_count_as_far_as_a_quorum_is_left(voters, wanted, target, copies):
    members = Members(voters=[f"c{n}#1" for n in range(voters)], wanted_voters=wanted)
    assert recoverable_copies(members, target) == copies


def test_set_remembers_how_large_it_was():
    members = Members(voters=["a#1", "b#1"], learners=["c#1"], wanted_voters=2)
    members = change_members(members, MembersChange(ChangeKind.PROMOTE, "c#1"))
    members = change_members(members, MembersChange(ChangeKind.REMOVE, "a#1"))
    assert (len(members.voters), members.wanted_voters) == (2, 3)


def make_first_start():
    return Cluster(
        5,
        1,
        is_bootstrapped=False,
        replaces_members=True,
        seeds=3,
        wanted_voters=5,
        maintenance_interval_s=0.25,
    )


@pytest.mark.parametrize("lost", ["c0", "c1", "c2"])
def test_seed_that_loses_its_disk_before_the_bootstrap_does_not_prevent_it(lost):
    cluster = make_first_start()
    cluster.crash(lost)
    cluster.run(0.4)
    cluster.start_new(lost, is_spare=True)
    cluster.wait_for_leader()
    cluster.run(5.0)
    (leader,) = cluster.leaders()
    assert len(cluster.raft(leader).log.members.voters) == 5


def test_next_seed_waits_while_the_first_may_bootstrap():
    cluster = make_first_start()
    cluster.crash("c0")
    cluster.run(5.0)
    assert cluster.leaders() == []
    cluster.start("c0")
    cluster.wait_for_leader()
