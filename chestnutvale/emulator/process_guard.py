"""Kills the processes of a tool that was itself killed.

A tool that ends in order kills its processes by itself; one that is killed can't. The
guard is a process that reads the ids from a pipe and acts when the pipe is closed.
"""

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType
from typing import Self

START_TIME_FIELD = 19


def read_start_time(process_id: int) -> str:
    """Return the start time of a process, which tells it from a later one.

    Parameters
    ----------
    process_id : int
        Process id.

    Returns
    -------
    str
        Start time in clock ticks since the machine started; empty if there is no
        such process.
    """
    try:
        stat = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return ""
    return stat.rpartition(")")[2].split()[START_TIME_FIELD]


def kill_processes(lines: Iterable[str]) -> None:
    """Read process ids until the input ends, then kill those that still run.

    Parameters
    ----------
    lines : iterable of str
        One process id in each line.
    """
    start_times = {int(line): read_start_time(int(line)) for line in lines}
    for process_id, start_time in start_times.items():
        if start_time and start_time == read_start_time(process_id):
            with contextlib.suppress(ProcessLookupError):
                os.kill(process_id, signal.SIGKILL)


class ProcessGuard:
    """Starts the guard; a context manager that ends it."""

    def __init__(self) -> None:
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> Self:
        """Start the guard in a session of its own, which signals of a terminal miss."""
        self._process = subprocess.Popen(
            [sys.executable, "-m", "chestnutvale.emulator.process_guard"],
            stdin=subprocess.PIPE,
            start_new_session=True,
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill what is left of the processes and wait for the guard."""
        self._process.communicate()

    def add(self, process_id: int) -> None:
        """Kill a process of this tool once the tool has ended.

        A process that is added after the guard has ended is killed at once.
        """
        if self._process is None or self._process.stdin.closed:
            os.kill(process_id, signal.SIGKILL)
            return
        # One write of a short line is not mixed with those of other threads.
        os.write(self._process.stdin.fileno(), f"{process_id}\n".encode())


if __name__ == "__main__":
    kill_processes(sys.stdin)
