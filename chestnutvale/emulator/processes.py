"""Start, freeze and end processes by their id; used by scripts and tests only."""

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

# Ports below the range that the kernel gives to outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 32_000
PORTS_PER_PROCESS = 97

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


def find_free_addresses(seed: int) -> Iterator[str]:
    """Yield loopback addresses on which nobody listens.

    Parameters
    ----------
    seed : int
        Where to begin, so that two callers do not race for the same ports.

    Yields
    ------
    str
        IP number and port.
    """
    span = LAST_PORT - FIRST_PORT
    start = seed * PORTS_PER_PROCESS % span
    for step in range(span):
        port = FIRST_PORT + (start + step) % span
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
    """Poll a condition until it gives something true.

    Parameters
    ----------
    condition : callable
        The condition.
    timeout_s : float
        Longest wait in seconds.
    description : str
        What is waited for, for the error.
    interval_s : float, optional
        Time between two looks in seconds.

    Returns
    -------
    object
        What the condition gave.

    Raises
    ------
    EmulatorError
        If it stayed false.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise EmulatorError(f"{description}: not within {timeout_s} s", step="wait")
        time.sleep(interval_s)


def program_path(name: str) -> str:
    """Return the path of a console script of this environment."""
    return str(Path(sys.executable).parent / name)


class ManagedProcess:
    """One process that this program started; a context manager that ends it.

    Parameters
    ----------
    name : str
        Names the process and its log file.
    command : list of str
        The command line.
    folder : Path
        Where the log goes.

    Attributes
    ----------
    description : dict
        The JSON line that an emulator program prints when it is ready.
    """

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.command = command
        self.description: dict[str, Any] = {}
        self.log_path = folder / f"{name}.log"
        self._out_path = folder / f"{name}.out"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        if self._process is None:
            raise EmulatorError("not started", step="process", peer=self.name)
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while it runs."""
        return None if self._process is None else self._process.poll()

    def __enter__(self) -> Self:
        """Start the process."""
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the process the hard way if it still runs."""
        self.kill()

    def start(self) -> None:
        """Start the process, also again after its end."""
        with self.log_path.open("ab") as log, self._out_path.open("wb") as out:
            self._process = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=out, stderr=log
            )

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> dict[str, Any]:
        """Wait for the JSON line of an emulator program.

        Returns
        -------
        dict
            What the line holds.
        """
        wait_until(self._read_description, timeout_s, f"{self.name} ready")
        return self.description

    def _read_description(self) -> bool:
        if not self.is_running:
            raise EmulatorError(
                f"ended with {self.exit_code}: {self.read_log_tail()}",
                step="start",
                peer=self.name,
            )
        line = self._out_path.read_text()
        if not line.endswith("\n"):
            return False
        self.description = json.loads(line.splitlines()[0])
        return True

    def read_log_tail(self, length: int = 2_000) -> str:
        """Return the end of the log."""
        return self.log_path.read_text(errors="replace")[-length:]

    def suspend(self) -> None:
        """Stop the process without ending it."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def kill(self) -> None:
        """End the process the hard way and wait for its end."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait(STOP_TIMEOUT_S)

    def request_stop(self) -> None:
        """Ask for a graceful shutdown."""
        if self.is_running:
            self._process.terminate()

    def wait_for_exit(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process and return its exit code."""
        wait_until(lambda: not self.is_running, timeout_s, f"{self.name} ended")
        return self._process.returncode

    def read_cpu_time_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def read_resident_bytes(self) -> int:
        """Return the resident memory of the process in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
