"""Every control votes again after the disks of all were full, one after another."""

import itertools
import random

import pytest

from tests.consensus.loss_schedules import (
    CONTROLS,
    MAX_FULL_DISK_S,
    TOLERATED_LOSSES,
    make_cluster,
)

MIN_FULL_DISK_S = 0.3
MAX_PAUSE_S = 1.0
# Time after the last disk has space again.
RECOVERY_S = 10.0
CLIENTS = 2


def fill_disks_in_turn(cluster, rng):
    """Fill all disks in random order, the leader's more often than not."""
    remaining = sorted(cluster.nodes)
    while remaining:
        leaders = [control for control in cluster.leaders() if control in remaining]
        control = rng.choice(leaders or remaining)
        remaining.remove(control)
        cluster.hung_disks.add(control)
        cluster.run(rng.uniform(MIN_FULL_DISK_S, MAX_FULL_DISK_S))
        cluster.hung_disks.discard(control)
        cluster.run(rng.uniform(0.0, MAX_PAUSE_S))


def check_that_every_quorum_commits(cluster):
    for number, lost in enumerate(
        itertools.combinations(sorted(cluster.nodes), TOLERATED_LOSSES)
    ):
        for control in lost:
            cluster.isolate(control)
        cluster.commit(cluster.wait_for_leader(lost), f"without {number}")
        for control in lost:
            cluster.reconnect(control)
        cluster.run(0.5)


@pytest.mark.parametrize("compacts", [False, True])
@pytest.mark.parametrize("seed", range(30))
def test_every_control_votes_again_after_all_disks_were_full_in_turn(seed, compacts):
    limits = {"snapshot_entries": 20} if compacts else {}
    cluster = make_cluster(seed, **limits)
    cluster.wait_for_leader()
    cluster.run_clients(CLIENTS, until_s=1_000.0)
    fill_disks_in_turn(cluster, random.Random(seed))
    cluster.run(RECOVERY_S)
    members = cluster.raft(cluster.wait_for_leader()).log.members
    assert len(members.voters) == CONTROLS
    check_that_every_quorum_commits(cluster)
