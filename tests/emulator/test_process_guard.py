"""Processes end with the tool that started them, also if it is killed."""

import subprocess
import sys

from chestnutvale.emulator.process_guard import ProcessGuard, read_start_time
from chestnutvale.emulator.processes import ManagedProcess, wait_until

SLEEP = [sys.executable, "-c", "import time; time.sleep(600)"]
TOOL = """
import sys, time
from pathlib import Path
from chestnutvale.emulator.process_guard import ProcessGuard
from chestnutvale.emulator.processes import ManagedProcess

with ProcessGuard() as guard:
    command = [sys.executable, "-c", "import time; time.sleep(600)"]
    process = ManagedProcess("child", command, Path(sys.argv[1]), guard)
    process.start()
    print(process.pid, flush=True)
    time.sleep(600)
"""


# Guards against a killed run that leaves its deployment behind.
def test_processes_of_a_killed_tool_are_killed(tmp_path):
    command = [sys.executable, "-c", TOOL, str(tmp_path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as tool:
        process_id = int(tool.stdout.readline())
        assert read_start_time(process_id)
        tool.kill()
    wait_until(lambda: not read_start_time(process_id), 20, "the process to end")


# Guards against a restart in a thread that outlives the deployment.
def test_process_that_starts_after_the_guard_ended_is_killed(tmp_path):
    guard = ProcessGuard()
    with guard:
        pass
    with ManagedProcess("child", SLEEP, tmp_path, guard) as process:
        wait_until(lambda: not process.is_running, 5, "the process to end")


def test_guard_of_an_orderly_end_leaves_nothing_to_do(tmp_path):
    with ProcessGuard() as guard:
        process = ManagedProcess("child", SLEEP, tmp_path, guard)
        with process:
            assert process.is_running
        assert not process.is_running


def test_guard_kills_what_is_left_at_its_end(tmp_path):
    process = ManagedProcess("child", SLEEP, tmp_path)
    with process:
        with ProcessGuard() as guard:
            guard.add(process.pid)
        wait_until(lambda: not process.is_running, 20, "the process to end")
