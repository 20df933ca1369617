"""Random faults on all daemons and hosts under all kinds of clients at once."""

import random
import time

import pytest

from tests.processes.conftest import GROUPS
from tests.processes.history import Recorder

FAULTS = 7
PAUSE_S = (1.0, 2.5)


class Faults:
    """Draws faults and undoes each one before the next of its kind."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.undo = []

    def strike(self):
        kind = self.rng.choice(["entry", "control", "engine"])
        processes = {
            "entry": self.deployment.entries,
            "control": self.deployment.controls,
            "engine": self.deployment.engines,
        }[kind]
        name = self.rng.choice(sorted(processes))
        process = processes[name]
        if kind != "engine" and self.rng.random() < 0.5:
            process.suspend()
            self.undo.append(process.resume)
            return
        process.kill()
        if kind == "engine":
            self.undo.append(process.start)
        else:
            self.undo.append(lambda: self.deployment.restart_daemon(name))

    def mend(self):
        while self.undo:
            self.undo.pop()()


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_break_no_property(deployment, whole_deployment, tmp_path, seed):
    recorder = Recorder(deployment, tmp_path, seed)
    faults = Faults(deployment, seed)
    recorder.start()
    time.sleep(2.0)
    for _ in range(FAULTS):
        faults.strike()
        time.sleep(faults.rng.uniform(*PAUSE_S))
        if faults.rng.random() < 0.6:
            faults.mend()
    faults.mend()
    deployment.wait_until_groups_serve(GROUPS)
    recorder.finish()
    recorder.check(deployment.fetch_run_counts())
