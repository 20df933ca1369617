"""What was acknowledged is read back after a final fault of all machines."""

import pytest

from tests.consensus.loss_schedules import TOLERATED_LOSSES, make_cluster
from tests.consensus.zone_schedules import ZoneSchedule

FAULTS_S = 12.0
# Time after the machines are back within which the configuration must be read.
RECOVERY_S = 12.0


@pytest.mark.parametrize("compacts", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_last_acknowledged_value_is_read_after_disks_and_power_are_lost(seed, compacts):
    limits = {"snapshot_entries": 20} if compacts else {}
    cluster = make_cluster(seed, **limits)
    cluster.wait_for_leader()
    cluster.run_clients(1, until_s=FAULTS_S)
    schedule = ZoneSchedule(cluster, seed)
    schedule.run(FAULTS_S)
    cluster.run_until(lambda: schedule.sound_controls(TOLERATED_LOSSES))
    cluster.commit(cluster.wait_for_leader(), "kept")
    schedule.lose_disks_and_power()
    cluster.run(RECOVERY_S)
    assert cluster.leaders(), schedule.actions
    read = cluster.start_operation(cluster.wait_for_leader(), "read")
    cluster.run_until(lambda: read.returned_s <= cluster.now_s)
    assert read.result == "kept", schedule.actions
