"""Gives processes a share of the time, as a quota of their processor would.

A program of its own, so that the callers of a run don't delay it. Each process stands
still for the rest of each period; periods are drawn, so that the processes do so at
different times.
"""

import contextlib
import heapq
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Final

import defopt

READ_INTERVAL_S: Final = 0.05
MIN_PERIOD_S: Final = 0.02
MAX_PERIOD_S: Final = 0.1


class QuotaEnforcer:
    """Stops and continues the processes that a file names, each by its own periods.

    Parameters
    ----------
    targets : Path
        JSON file with process ids by name; may be replaced at any time.
    share : float
        Part of each period in which a process may run.
    rng : random.Random
        Source of the periods.
    """

    def __init__(self, targets: Path, share: float, rng: random.Random) -> None:
        self._targets = targets
        self._share = share
        self._rng = rng
        self._descriptors: dict[int, int] = {}
        # Time of the next signal, process id, whether the process stands still, and
        # time of the end of the period.
        self._due: list[tuple[float, int, bool, float]] = []

    def run(self) -> None:
        """Run until interrupted; then all processes go on."""
        try:
            while True:
                self._read_targets()
                self._send_due_signals(time.monotonic() + READ_INTERVAL_S)
        finally:
            for process_id in tuple(self._descriptors):
                self._forget(process_id)

    def _read_targets(self) -> None:
        wanted = set(json.loads(self._targets.read_text()).values())
        for process_id in self._descriptors.keys() - wanted:
            self._forget(process_id)
        for process_id in wanted - self._descriptors.keys():
            # A descriptor never stands for another process that got the same id.
            with contextlib.suppress(ProcessLookupError):
                self._descriptors[process_id] = os.pidfd_open(process_id)
                self._begin_period(process_id)

    def _begin_period(self, process_id: int) -> None:
        now_s = time.monotonic()
        period_s = self._rng.uniform(MIN_PERIOD_S, MAX_PERIOD_S)
        stop_s = now_s + period_s * self._share
        heapq.heappush(self._due, (stop_s, process_id, False, now_s + period_s))

    def _send_due_signals(self, until_s: float) -> None:
        while self._due and self._due[0][0] <= until_s:
            at_s, process_id, is_stopped, end_s = heapq.heappop(self._due)
            time.sleep(max(0.0, at_s - time.monotonic()))
            if process_id not in self._descriptors:
                continue
            if is_stopped:
                self._send(process_id, signal.SIGCONT)
                self._begin_period(process_id)
            else:
                self._send(process_id, signal.SIGSTOP)
                heapq.heappush(self._due, (end_s, process_id, True, end_s))
        time.sleep(max(0.0, until_s - time.monotonic()))

    def _send(self, process_id: int, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._descriptors[process_id], number)

    def _forget(self, process_id: int) -> None:
        self._send(process_id, signal.SIGCONT)
        os.close(self._descriptors.pop(process_id))


def run(targets: Path, *, share: float = 0.73, seed: int = 1) -> None:
    """Give the processes of a file a share of the time until interrupted.

    Parameters
    ----------
    targets : Path
        JSON file with process ids by name.
    share : float
        Part of the time in which each may run.
    seed : int
        Seed of the periods.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    print(json.dumps({"share": share}), flush=True)
    QuotaEnforcer(targets, share, random.Random(seed)).run()


if __name__ == "__main__":
    defopt.run(run)
