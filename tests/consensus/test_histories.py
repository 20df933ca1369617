"""Linearizability of client histories under random fault schedules."""

import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.consensus import leader, log
from chestnutvale.consensus.bootstrap import Bootstrap
from chestnutvale.schema.raft_pb2 import Members
from tests.consensus.driver import Cluster
from tests.consensus.schedules import ACTIONS, Step, check_schedule, draw_steps
from tests.history import is_linearizable

WORKLOAD_WRITES = 40

steps = st.lists(
    st.builds(
        Step,
        gap_s=st.sampled_from([0.05, 0.3, 1.5]),
        action=st.sampled_from(ACTIONS),
        choice=st.integers(0, 999),
    ),
    min_size=3,
    max_size=20,
)


@pytest.mark.parametrize("number", range(40))
def test_random_schedule(number):
    rng = random.Random(number)
    drawn = draw_steps(rng, 25)
    cluster = check_schedule(drawn, number, size=rng.choice([3, 3, 5]))
    assert cluster.history


def test_schedules_with_snapshots_in_many_chunks(monkeypatch):
    monkeypatch.setattr(leader, "MAX_REPLAY_ENTRIES", 8)
    monkeypatch.setattr(log, "MAX_REPLAY_ENTRIES", 8)
    monkeypatch.setattr(leader, "SNAPSHOT_CHUNK_BYTES", 1)
    installs = 0
    for number in range(20):
        drawn = draw_steps(random.Random(number), 25)
        installs += check_schedule(drawn, number).installs
    assert installs > 20


@seed(4)
@settings(database=None, deadline=None, max_examples=60)
@given(steps=steps, number=st.integers(0, 999))
def test_schedule_by_hypothesis(steps, number):
    check_schedule(steps, number)


@pytest.mark.parametrize("moment", ["before", "after"])
@pytest.mark.parametrize("sync_delay_s", [0.001, 0.02])
def test_crash_at_every_write(moment, sync_delay_s):
    for write in range(1, WORKLOAD_WRITES):
        cluster = Cluster(seed=write, snapshot_entries=8)
        cluster.sync_delay_s = sync_delay_s
        cluster.crash_at_write = (write, moment)
        cluster.run_clients(2, until_s=7.0)
        cluster.run(8.0)
        cluster.clear_faults()
        cluster.start_operation(cluster.wait_for_leader(), "read")
        cluster.run(1.0)
        assert cluster.writes > WORKLOAD_WRITES
        assert is_linearizable(cluster.history)


def bootstrap_under_faults(number):
    """Bootstrap a cluster while controls crash and the first loses its disk."""
    rng = random.Random(number)
    cluster = Cluster(seed=number, is_bootstrapped=False, replaces_members=True)
    cluster.loss = cluster.duplication = cluster.reordering = 0.2
    loss_at = rng.randrange(8)
    for step in range(8):
        cluster.run(rng.choice([0.003, 0.1, 1.0, 2.0]))
        if step == loss_at:
            cluster.lose_disk("c0")
            continue
        control = rng.choice(list(cluster.nodes))
        cluster.crash(control)
        cluster.run(rng.choice([0.01, 1.0]))
        cluster.start(control)
    cluster.clear_faults()
    cluster.run(20.0)
    for control in cluster.leaders():
        cluster.commit(control, 1)
    return len(cluster.leaders())


def test_lost_disk_never_bootstraps_a_second_cluster(monkeypatch):
    leaders = [bootstrap_under_faults(number) for number in range(40)]
    assert max(leaders) == 1
    assert sum(leaders) > 30
    monkeypatch.setattr(Bootstrap, "decide", decide_at_once)
    with pytest.raises(AssertionError):
        assert max(bootstrap_under_faults(number) for number in range(40)) == 1


def decide_at_once(bootstrap, now_s):
    """Bootstrap unconditionally, like a first-start flag left in a unit file."""
    if not bootstrap.own_id.startswith("c0"):
        return None
    return Members(voters=[bootstrap.own_id], wanted_voters=3)
