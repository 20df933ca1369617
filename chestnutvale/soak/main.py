"""Command line of the soak test."""

import shutil
import signal
import sys
from pathlib import Path

import defopt
import logbook

from chestnutvale.emulator.deployment import ROOT
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.soak.const import EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN
from chestnutvale.soak.machines import MachineLimits
from chestnutvale.soak.report import format_report
from chestnutvale.soak.runner import SoakOptions, SoakRunner

LOG_FORMAT = "{record.time:%H:%M:%S.%f} {record.message}"


def run(
    *,
    seed: int = 1,
    count: int = 1,
    seconds: float = 60.0,
    entries: int = 3,
    controls: int = 3,
    engines: int = 10,
    callers: int = 24,
    busy: int = 0,
    share: float = 1.0,
    delay_ms: float = 0.0,
    faults: bool = False,
    idle: int = 0,
    logs: Path = ROOT / "build" / "soak",
) -> int:
    """Run planned work and pauses of endpoints under callers, and check all answers.

    Parameters
    ----------
    seed : int
        First seed.
    count : int
        Number of seeds that are run one after another.
    seconds : float
        Length of each run in seconds.
    entries : int
        Number of entries.
    controls : int
        Number of controls.
    engines : int
        Number of engine hosts.
    callers : int
        Number of callers.
    busy : int
        Number of processes that each keep a processor busy.
    share : float
        Part of the time in which each daemon may run, as by a quota of its processor.
    delay_ms : float
        Delay in milliseconds of each direction between callers and entries.
    faults : bool
        Kill daemons and engine hosts and, if there is a delay, reset connections of
        callers.
    idle : int
        Number of idle connections to each entry.
    logs : Path
        Folder in which each seed gets a folder of its own; kept if the seed failed.

    Returns
    -------
    int
        0 if all promises held, 1 if one was broken, 2 if a run was not possible.
    """
    exit_code = EXIT_HELD
    for number in range(seed, seed + count):
        folder = logs.resolve() / f"seed-{number}"
        options = SoakOptions(
            number,
            seconds,
            folder,
            entries,
            controls,
            engines,
            callers,
            busy,
            MachineLimits(share, delay_ms),
            faults,
            idle,
        )
        try:
            result = SoakRunner(options).run()
        except EmulatorError as error:
            print(f"seed {number}: could not run: {error}", flush=True)
            return EXIT_NOT_RUN
        print(format_report(result, folder), flush=True)
        if result.violations:
            exit_code = EXIT_BROKEN
        elif result.gaps:
            exit_code = exit_code or EXIT_NOT_RUN
        else:
            shutil.rmtree(folder, ignore_errors=True)
    return exit_code


def main() -> int:
    """Parse the command line and run the seeds.

    Returns
    -------
    int
        Exit code of the process.
    """
    # The end of this program must also end its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    handler = logbook.StreamHandler(sys.stdout, level="INFO")
    handler.format_string = LOG_FORMAT
    with handler.applicationbound():
        return defopt.run(run)


if __name__ == "__main__":
    sys.exit(main())
