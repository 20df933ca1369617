"""Shutdown of the task that writes to disk."""

import subprocess
import sys
from pathlib import Path

from chestnutvale.consensus.disk_writer import STOP_TIMEOUT_S


def test_process_with_a_hung_write_exits():
    run = subprocess.run(
        [sys.executable, "-m", "tests.consensus.hung_writer"],
        cwd=Path(__file__).parents[2],
        capture_output=True,
        text=True,
        timeout=3 * STOP_TIMEOUT_S,
    )
    assert (run.returncode, run.stdout) == (0, "stopped\n"), run.stderr
    assert "did not finish within" in run.stderr
