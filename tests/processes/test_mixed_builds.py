"""Daemons of an earlier build and of this one run side by side in one cluster.

Guards against messages, log records, snapshots and leases that only one of the two
builds understands, while processes are replaced one after another.
"""

import subprocess
import sys

import pytest

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.deployment import (
    DEMO_TEXT,
    MODEL_SERVICE,
    ROOT,
    Deployment,
    DeploymentOptions,
)
from chestnutvale.emulator.processes import wait_until

EARLIER_COMMIT = "4c30f91ad82b1455e3df5297a53834d7e66ce48e"
GROUP_COUNT = 2
ANSWER_TOKENS = 20
MAX_LEADERS = 12
MODULES = {
    "chestnut-control": "chestnutvale.programs.control.main",
    "chestnut-entry": "chestnutvale.programs.entry.main",
}


class MixedDeployment(Deployment):
    """A deployment in which some daemons run the sources of another folder."""

    def __init__(self, options, earlier_root, earlier_names):
        super().__init__(options)
        self._earlier_root = earlier_root
        self._earlier_names = earlier_names
        self._commands = {}

    def _start_daemon(self, name, program, settings):
        process = super()._start_daemon(name, program, settings)
        self._commands[name] = process.command
        if name in self._earlier_names:
            process.kill()
            process.command = self._earlier_command(program, settings)
            process.start()
        return process

    def _earlier_command(self, program, settings):
        folder = f"--chdir={self._earlier_root}"
        code = f"from {MODULES[program]} import main; main()"
        return ["env", folder, sys.executable, "-c", code, str(settings)]

    def upgrade(self, name):
        """Stop a daemon of the earlier build and start it with this one."""
        process = (self.controls | self.entries)[name]
        process.request_stop()
        process.wait_for_exit()
        process.command = self._commands[name]
        self.restart_daemon(name)


@pytest.fixture(scope="module")
def earlier_root(tmp_path_factory):
    root = tmp_path_factory.mktemp("earlier")
    archive = subprocess.run(
        ["git", "archive", EARLIER_COMMIT, "chestnutvale"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    subprocess.run(["tar", "-x"], cwd=root, input=archive.stdout, check=True)
    return root


def start(folder, earlier_root, earlier_names):
    options = DeploymentOptions(
        folder=folder / "run", control_settings={"repair": {"member_wait_ms": 500}}
    )
    return MixedDeployment(options, earlier_root, earlier_names)


def assert_all_entries_answer(deployment, prompt):
    for name in deployment.entries:
        answer = deployment.make_caller(name).generate(
            MODEL_SERVICE, prompt, ANSWER_TOKENS
        )
        assert (answer.problem, answer.failure) == ({}, ""), name
        assert answer.text == expected_text(prompt, ANSWER_TOKENS), name


def apply_number(deployment, folder, number):
    path = folder / f"text-{number}.json"
    text = DEMO_TEXT.read_text()
    path.write_text(text.replace('"number": 1', f'"number": {number}'))
    deployment.apply_text(path)


def read_entry_numbers(deployment):
    page = deployment.get_operator_page(deployment.wait_for_leader(), "status").json()
    return {item["id"]: int(item["configuration_number"]) for item in page["entries"]}


def wait_until_in_force(deployment, number):
    wait_until(
        lambda: set(read_entry_numbers(deployment).values()) == {number},
        20,
        f"text {number} at all entries",
    )


@pytest.mark.parametrize(
    "earlier_names",
    [
        {"control-1", "entry-1"},
        {"control-2", "control-3", "entry-2", "entry-3"},
    ],
    ids=["one of each", "most"],
)
def test_cluster_of_two_builds_serves_and_upgrades(
    tmp_path, earlier_root, earlier_names
):
    with start(tmp_path, earlier_root, earlier_names) as deployment:
        apply_number(deployment, tmp_path, 1)
        deployment.wait_until_groups_serve(GROUP_COUNT)
        assert_all_entries_answer(deployment, "mixed")

        # The leader is killed until controls of both builds have led.
        is_earlier_leading = set()
        for number in range(2, 2 + MAX_LEADERS):
            leader = deployment.wait_for_leader()
            is_earlier_leading.add(leader in earlier_names)
            apply_number(deployment, tmp_path, number)
            wait_until_in_force(deployment, number)
            assert_all_entries_answer(deployment, f"leader {number}")
            if len(is_earlier_leading) == 2:
                break
            deployment.controls[leader].kill()
            deployment.wait_for_leader()
            deployment.restart_daemon(leader)
        assert is_earlier_leading == {True, False}

        for name in sorted(earlier_names):
            deployment.upgrade(name)
            deployment.wait_until_groups_serve(GROUP_COUNT)
            assert_all_entries_answer(deployment, f"upgraded {name}")
        apply_number(deployment, tmp_path, number + 1)
        wait_until_in_force(deployment, number + 1)
