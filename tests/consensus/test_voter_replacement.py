"""A quorum of voters outlives tolerated losses of machines."""

import pytest

from tests.consensus.loss_schedules import LossSchedule, make_cluster

FAULTS_S = 25.0
RECOVERY_S = 5.0


@pytest.mark.parametrize("seed", range(60))
def test_quorum_outlives_tolerated_losses_whoever_leads(seed):
    cluster = make_cluster(seed)
    cluster.commit(cluster.wait_for_leader(), "kept")
    schedule = LossSchedule(cluster, seed)
    schedule.run(FAULTS_S)
    schedule.lose_tolerated_disks()
    cluster.run(RECOVERY_S)
    assert cluster.leaders(), schedule.actions
    leader = cluster.wait_for_leader()
    read = cluster.start_operation(leader, "read")
    cluster.run_until(lambda: read.returned_s <= cluster.now_s)
    assert read.result == "kept"
    cluster.commit(leader, "recovered")
