"""Measure the processor time and memory of entries and controls without calls.

Starts the programs of the platform on loopback: one control, then the entries. Reports
for each role the processor time until it is ready, the share of a core while idle, and
the resident memory. Run with ``python -m benchmarks.process_cost``.
"""

import os
import shutil
import subprocess
import sys
import sysconfig
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs
import defopt
from tabulate import tabulate

from tests.platform.node_files import (
    CONTROL_PORT,
    READINESS_PORT,
    write_control_file,
    write_entry_file,
)

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "build" / "process_cost"
CONTROL_ADDRESS = "127.83.0.1"
READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_S = 0.02
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BYTES_PER_PAGE = os.sysconf("SC_PAGE_SIZE")
# Fields of /proc/PID/stat after the name of the program.
_USER_TICKS, _SYSTEM_TICKS, _RESIDENT_PAGES = 11, 12, 21


@attrs.define
class MeasuredProcess:
    """A started program and its measurements.

    Attributes
    ----------
    role : str
        ``entry`` or ``control``.
    process : subprocess.Popen
        The process.
    ready_url : str
        URL that is answered with 200 once the process is ready.
    start_cpu_s : float
        Processor time in seconds until the process was ready.
    idle_share : float
        Share of a core while idle.
    resident_bytes : int
        Resident memory at the end.
    """

    role: str
    process: subprocess.Popen
    ready_url: str
    start_cpu_s: float = 0.0
    idle_share: float = 0.0
    resident_bytes: int = 0

    def read_stat(self) -> tuple[float, int]:
        """Return the processor time in seconds and the resident bytes."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        return ticks / _TICKS_PER_S, int(fields[_RESIDENT_PAGES]) * _BYTES_PER_PAGE

    def read_switches(self) -> int:
        """Return the context switches of all threads; each is a wake-up or more."""
        total = 0
        for status in Path(f"/proc/{self.process.pid}/task").glob("*/status"):
            for line in status.read_text().splitlines():
                if "ctxt_switches" in line:
                    total += int(line.rpartition(":")[2])
        return total

    def wait_ready(self) -> None:
        """Wait until the process is ready and record the processor time."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not self._is_ready():
            if self.process.poll() is not None or time.monotonic() > deadline_s:
                raise RuntimeError(f"the {self.role} did not become ready")
            time.sleep(READY_POLL_INTERVAL_S)
        self.start_cpu_s, self.resident_bytes = self.read_stat()

    def _is_ready(self) -> bool:
        try:
            with urllib.request.urlopen(self.ready_url, timeout=1.0) as answer:
                return answer.status == 200
        except OSError as error:
            # Any answer of a control shows that it serves.
            return self.role == "control" and hasattr(error, "code")


def make_environment(cached: bool) -> dict[str, str]:
    """Return the environment, with a folder for compiled modules if `cached`."""
    environment = dict(os.environ)
    for name in ("PYTHONDONTWRITEBYTECODE", "PYTHONPYCACHEPREFIX"):
        environment.pop(name, None)
    if cached:
        environment["PYTHONPYCACHEPREFIX"] = str(FOLDER / "pycache")
    else:
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
    environment["PYTHONPATH"] = sysconfig.get_path("purelib")
    return environment


@contextmanager
def run_program(
    role: str, file: Path, ready_url: str, cached: bool
) -> Iterator[MeasuredProcess]:
    """Run a program of the platform and terminate it at the end."""
    environment = make_environment(cached)
    environment["CHESTNUTVALE_NODE_FILE"] = str(file)
    command = [sys.executable, "-S", "-W", "ignore::DeprecationWarning"]
    command.append(f"platform/{role}.py")
    with open(FOLDER / f"{file.stem}.log", "w") as log:
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
    try:
        yield MeasuredProcess(role, process, ready_url)
    finally:
        process.kill()
        process.wait()


def measure_idle(processes: list[MeasuredProcess], duration_s: float) -> None:
    """Record the share of a core and the memory of all processes over a duration."""
    before = [process.read_stat()[0] for process in processes]
    started_s = time.monotonic()
    time.sleep(duration_s)
    elapsed_s = time.monotonic() - started_s
    for process, cpu_s in zip(processes, before, strict=True):
        after_s, process.resident_bytes = process.read_stat()
        process.idle_share = (after_s - cpu_s) / elapsed_s


def main(
    *, entries: int = 6, starts: int = 5, duration_s: float = 20.0, cached: bool = True
) -> None:
    """Print the costs per role.

    Parameters
    ----------
    entries : int
        Number of entries that idle together.
    starts : int
        Number of further starts of one entry.
    duration_s : float
        Time for which the idle processes are measured.
    cached : bool
        Whether the programs find their modules compiled.
    """
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir(parents=True)
    control_file = write_control_file(FOLDER, "control", CONTROL_ADDRESS)
    control_url = f"http://{CONTROL_ADDRESS}:{CONTROL_PORT}/"

    def run_entry(number: int):  # noqa: ANN202
        name, address = f"entry-{number}", f"127.83.1.{number + 1}"
        file = write_entry_file(FOLDER, name, address, CONTROL_ADDRESS)
        url = f"http://{address}:{READINESS_PORT}/"
        return run_program("entry", file, url, cached)

    if cached:
        # The first starts compile the modules.
        with run_program("control", control_file, control_url, cached) as control:
            control.wait_ready()
            with run_entry(0) as entry:
                entry.wait_ready()
    with run_program("control", control_file, control_url, cached) as control:
        control.wait_ready()
        start_cpu_s = []
        for _ in range(starts):
            with run_entry(0) as entry:
                entry.wait_ready()
                start_cpu_s.append(entry.start_cpu_s)
        running = [run_entry(number) for number in range(entries)]
        processes = [stack.__enter__() for stack in running]
        try:
            for process in processes:
                process.wait_ready()
            time.sleep(2.0)
            measure_idle([control, *processes], duration_s)
        finally:
            for stack in running:
                stack.__exit__(None, None, None)
    rows = [
        [
            "control",
            control.start_cpu_s,
            control.idle_share,
            control.resident_bytes / 1e6,
        ],
        [
            "entry",
            sum(start_cpu_s) / len(start_cpu_s),
            sum(process.idle_share for process in processes) / entries,
            sum(process.resident_bytes for process in processes) / entries / 1e6,
        ],
    ]
    print(tabulate(rows, ["role", "start s", "idle core", "MB"], floatfmt=".3f"))


if __name__ == "__main__":
    defopt.run(main)
