"""A member that does not vote asks to join again once its leader is gone."""

import pytest

from chestnutvale.consensus.events import ChangeKind, MembersChange
from chestnutvale.consensus.members import control_of
from tests.consensus.driver import Cluster


def member_controls(cluster):
    members = cluster.raft(cluster.wait_for_leader()).log.members
    return {control_of(member) for member in (*members.voters, *members.learners)}


@pytest.mark.parametrize("seed", range(5))
def test_learner_whose_leader_was_lost_before_the_commit_becomes_a_member(seed):
    cluster = Cluster(3, seed, spares=1)
    leader = cluster.wait_for_leader()
    # The learner hears of its own admission, and no voter does.
    for other in cluster.controls[:3]:
        cluster.block_link(leader, other)
    learner_id = cluster.nodes["c3"].member_id
    cluster.change(leader, MembersChange(ChangeKind.ADD_LEARNER, learner_id, "c3:1"))
    cluster.run(0.1)
    assert cluster.raft("c3").leader_id
    cluster.crash(leader)
    cluster.start_maintenance()
    cluster.run(5.0)
    assert "c3" in member_controls(cluster)
