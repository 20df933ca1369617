"""Random faults on entries, controls and hosts under concurrent clients."""

import random
import time

import pytest

from tests.processes.conftest import GROUP_COUNT
from tests.processes.history import HistoryRecorder

FAULT_COUNT = 7
PAUSE_RANGE_S = (1.0, 2.5)


class FaultInjector:
    """Injects random faults and undoes those that are pending."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.undo_actions = []

    def inject_fault(self):
        process_kind = self.rng.choice(["entry", "control", "engine"])
        processes = {
            "entry": self.deployment.entries,
            "control": self.deployment.controls,
            "engine": self.deployment.engines,
        }[process_kind]
        name = self.rng.choice(sorted(processes))
        process = processes[name]
        if process_kind != "engine" and self.rng.random() < 0.5:
            process.suspend()
            self.undo_actions.append(process.resume)
            return
        process.kill()
        if process_kind == "engine":
            self.undo_actions.append(process.start)
        else:
            self.undo_actions.append(lambda: self.deployment.restart_daemon(name))

    def undo_faults(self):
        while self.undo_actions:
            self.undo_actions.pop()()


@pytest.mark.parametrize("seed", [1, 2])
def test_histories_stay_consistent_under_random_faults(
    deployment, restored_deployment, tmp_path, seed
):
    recorder = HistoryRecorder(deployment, tmp_path, seed)
    injector = FaultInjector(deployment, seed)
    recorder.start_clients()
    try:
        time.sleep(2.0)
        for _ in range(FAULT_COUNT):
            injector.inject_fault()
            time.sleep(injector.rng.uniform(*PAUSE_RANGE_S))
            if injector.rng.random() < 0.6:
                injector.undo_faults()
        injector.undo_faults()
        deployment.wait_until_groups_serve(GROUP_COUNT)
    finally:
        # A failure must leave neither faults nor clients to the tests that follow.
        injector.undo_faults()
        recorder.stop_clients()
    recorder.check_history(deployment.fetch_run_counts())
