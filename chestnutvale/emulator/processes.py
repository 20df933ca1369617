"""Start, suspend and stop processes by their id; for scripts and tests only."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.process_guard import ProcessGuard
from chestnutvale.programs.early_signals import hold_back_early_signals

# Ports below the range that the kernel assigns to outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 32_000
PORT_STRIDE_PER_SEED = 97

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


def find_free_addresses(seed: int) -> Iterator[str]:
    """Yield loopback addresses that can be bound.

    Parameters
    ----------
    seed : int
        Determines the first port, so that callers with different seeds do not race
        for the same ports.

    Yields
    ------
    str
        IP address and port.
    """
    ports_count = LAST_PORT - FIRST_PORT
    start = seed * PORT_STRIDE_PER_SEED % ports_count
    for offset in range(ports_count):
        port = FIRST_PORT + (start + offset) % ports_count
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield f"127.0.0.1:{port}"


def wait_until(
    condition: Callable[[], Any],
    timeout_s: float,
    description: str,
    interval_s: float = 0.05,
) -> Any:
    """Poll a condition until it returns a true value.

    Parameters
    ----------
    condition : callable
        Called without arguments at each poll.
    timeout_s : float
        Maximum wait in seconds.
    description : str
        What is waited for, for the error message.
    interval_s : float, optional
        Time between two polls in seconds.

    Returns
    -------
    object
        The value that the condition returned.

    Raises
    ------
    EmulatorError
        If the condition is not met in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise EmulatorError(
                f"timed out after {timeout_s} s waiting for: {description}", step="wait"
            )
        time.sleep(interval_s)


def program_path(name: str) -> str:
    """Return the path of a console script of the running Python environment."""
    return str(Path(sys.executable).parent / name)


class ManagedProcess:
    """A child process of this program; a context manager that kills it.

    Parameters
    ----------
    name : str
        Name of the process and of its log file.
    command : list of str
        The command line.
    folder : Path
        Folder of the files for standard output and standard error.
    guard : ProcessGuard, optional
        Kills the process if this program is killed.

    Attributes
    ----------
    description : dict
        The JSON object that an emulator program prints when it is ready.
    log_path : Path
        File of the standard error of the process, appended to at each start.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        folder: Path,
        guard: ProcessGuard | None = None,
    ) -> None:
        self.name = name
        self.command = command
        self.description: dict[str, Any] = {}
        self.log_path = folder / f"{name}.log"
        self._out_path = folder / f"{name}.out"
        self._guard = guard
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the latest start.

        Raises
        ------
        EmulatorError
            If the process has not been started.
        """
        if self._process is None:
            raise EmulatorError(
                "process has not been started", step="process", peer=self.name
            )
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs or before its first start."""
        return None if self._process is None else self._process.poll()

    def __enter__(self) -> Self:
        """Start the process, without waiting until it is ready."""
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill the process if it still runs."""
        self.kill()

    def start(self) -> None:
        """Start the process, also again after it has exited."""
        with (
            self.log_path.open("ab") as log,
            self._out_path.open("wb") as out,
            hold_back_early_signals(),
        ):
            self._process = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=out, stderr=log
            )
        if self._guard is not None:
            self._guard.add(self._process.pid)

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> dict[str, Any]:
        """Wait for the line of JSON that an emulator program prints when it is ready.

        Parameters
        ----------
        timeout_s : float, optional
            Maximum wait in seconds.

        Returns
        -------
        dict
            The decoded line.

        Raises
        ------
        EmulatorError
            If the process exits first, or does not print the line in time.
        """
        wait_until(self._read_description, timeout_s, f"{self.name} to be ready")
        return self.description

    def _read_description(self) -> bool:
        if not self.is_running:
            raise EmulatorError(
                f"process exited with code {self.exit_code} before it was ready; "
                f"end of its log: {self.read_log_tail()}",
                step="start",
                peer=self.name,
            )
        line = self._out_path.read_text()
        if not line.endswith("\n"):
            return False
        self.description = json.loads(line.splitlines()[0])
        return True

    def read_log_tail(self, length: int = 2_000) -> str:
        """Return the last ``length`` characters of the log."""
        return self.log_path.read_text(errors="replace")[-length:]

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)

    def request_reload(self) -> None:
        """Tell the process with SIGHUP that its settings have changed."""
        os.kill(self.pid, signal.SIGHUP)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait(STOP_TIMEOUT_S)

    def request_stop(self) -> None:
        """Request a graceful shutdown with SIGTERM, without waiting for it."""
        if self.is_running:
            self._process.terminate()

    def wait_for_exit(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process has exited and return its exit code.

        Raises
        ------
        EmulatorError
            If the process does not exit in time.
        """
        wait_until(lambda: not self.is_running, timeout_s, f"{self.name} to exit")
        return self._process.returncode

    def read_cpu_time_s(self) -> float:
        """Return the user and system CPU time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def read_resident_bytes(self) -> int:
        """Return the resident memory of the process in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
