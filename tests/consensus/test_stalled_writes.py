"""A member whose disk stops completing writes gives up leadership."""

import random

import pytest

from chestnutvale.consensus.events import Role
from chestnutvale.consensus.members import control_of
from tests.consensus.driver import Cluster
from tests.history import is_linearizable

# Covers the limit of a write, a failed transfer and an election.
HANDOVER_S = 10.0


def hang_disk_of_leader(cluster):
    leader = cluster.wait_for_leader()
    cluster.hung_disks.add(leader)
    cluster.start_operation(leader, "write", 1)
    return leader


@pytest.mark.parametrize("size", [1, 3, 5])
def test_leader_with_a_hung_disk_gives_up_until_the_disk_works(size):
    cluster = Cluster(size=size)
    leader = hang_disk_of_leader(cluster)
    term = cluster.raft(leader).term
    cluster.run(HANDOVER_S)
    for _ in range(100):
        assert cluster.raft(leader).role is not Role.LEADER
        cluster.run(0.3)
    if size > 1:
        successor = cluster.wait_for_leader()
        cluster.commit(successor, 2)
        assert cluster.raft(successor).term == term + 1
    cluster.hung_disks.clear()
    cluster.commit(cluster.wait_for_leader(), 3)
    cluster.run(1.0)
    assert {node.state_machine.value for node in cluster.nodes.values()} == {3}


def test_leader_with_a_hung_disk_is_replaced_as_voter():
    cluster = Cluster(spares=1, replaces_members=True)
    lost = hang_disk_of_leader(cluster)
    cluster.run(30.0)
    members = cluster.raft(cluster.wait_for_leader()).log.members
    assert {control_of(voter) for voter in members.voters} == {
        control for control in cluster.controls if control != lost
    }


@pytest.mark.parametrize("number", range(10))
def test_history_stays_linearizable_while_disks_hang_and_recover(number):
    rng = random.Random(number)
    cluster = Cluster(seed=number, write_stall_timeout_s=0.5)
    cluster.run_clients(3, until_s=20.0)
    for _ in range(12):
        cluster.hung_disks = set(rng.sample(cluster.controls, rng.randrange(3)))
        cluster.run(rng.choice([0.3, 1.5, 3.0]))
    cluster.hung_disks.clear()
    cluster.commit(cluster.wait_for_leader(), "end")
    assert is_linearizable(cluster.history)
