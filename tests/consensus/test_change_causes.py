"""The log says why a leader changes."""

import re

import pytest

from chestnutvale.consensus.events import LeadershipChanged, Role, TransferLeadership
from chestnutvale.consensus.raft import Raft
from tests.consensus.driver import Cluster

SILENCE = re.compile(r"no leader was heard for (\d+\.\d\d) s, '(c\d)#0' last")


class RecordingRaft(Raft):
    """Records the changes that it reports."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.changes = []

    def handle(self, event, now_s):
        effects = super().handle(event, now_s)
        self.changes += [
            effect for effect in effects if isinstance(effect, LeadershipChanged)
        ]
        return effects


@pytest.fixture
def cluster():
    result = Cluster(raft=RecordingRaft, election_timeout_s=0.5)
    result.wait_for_leader()
    result.run(1.0)
    for node in result.nodes.values():
        node.raft.changes.clear()
    return result


def list_changes(cluster, control):
    return cluster.raft(control).changes


def test_campaign_says_how_long_the_leader_was_silent(cluster):
    old = cluster.leaders()[0]
    cluster.freeze(old)
    new = cluster.wait_for_leader()

    first = list_changes(cluster, new)[0]
    silence_s, last_leader = SILENCE.fullmatch(first.cause).groups()
    assert first.role is Role.PRE_CANDIDATE
    assert float(silence_s) >= cluster.config.election_timeout_s
    assert last_leader == old


def test_leader_that_wakes_says_whose_term_ended_its_own(cluster):
    old = cluster.leaders()[0]
    cluster.freeze(old)
    new = cluster.wait_for_leader()
    cluster.resume(old)
    cluster.run(0.2)

    causes = [change.cause for change in list_changes(cluster, old) if change.cause]
    reasons = [change.reason for change in list_changes(cluster, old) if change.reason]
    term = cluster.raft(new).term
    assert reasons or re.match(rf"c\d#0 sent a \w+ of term {term}", causes[0])


def test_hand_over_is_named_on_both_sides(cluster):
    old = cluster.leaders()[0]
    cluster._handle(cluster.nodes[old], TransferLeadership())
    cluster.run(1.0)
    new = cluster.leaders()[0]

    assert new != old
    taken = [change.cause for change in list_changes(cluster, new)]
    given = [change.cause for change in list_changes(cluster, old)]
    assert taken[0] == f"{old}#0 hands its leadership over"
    assert given[0].startswith(f"{new}#0 sent a vote_request of term ")
    assert given[0].endswith(", after the leadership was handed over to it")


def test_repeated_campaigns_are_reported_once(cluster):
    followers = [c for c in cluster.controls if c not in cluster.leaders()]
    cluster.isolate(followers[0])
    cluster.run(10.0)

    causes = [change.cause for change in list_changes(cluster, followers[0])]
    assert len([cause for cause in causes if cause]) == 1
