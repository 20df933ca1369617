"""Task that logs when the process ran late, and why."""

import resource
import time
from pathlib import Path
from typing import Final

import logbook

from chestnutvale.observability import catalog
from chestnutvale.observability.catalog import LABEL_REASON
from chestnutvale.observability.metrics import Metrics, make_labelled_reader
from chestnutvale.observability.process_delay import (
    ProcessDelayDetector,
    ProcessUsage,
)
from chestnutvale.programs.periodic import run_periodically

_LOGGER = logbook.Logger(__name__)

# Each wake-up of an idle process costs processor time.
WATCH_INTERVAL_S: Final = 1.0
NANOSECONDS_PER_S: Final = 1_000_000_000
# Linux's scheduler statistics of the calling thread: nanoseconds on a processor,
# nanoseconds queued for one, and number of time slices.
SCHEDULER_STATISTICS: Final = Path("/proc/thread-self/schedstat")


def read_usage() -> ProcessUsage:
    """Read what the process has used; must run in the main thread.

    Returns
    -------
    ProcessUsage
        Usage since the start of the process.
    """
    usage = resource.getrusage(resource.RUSAGE_THREAD)
    return ProcessUsage(
        at_s=time.monotonic(),
        process_cpu_s=time.process_time(),
        main_cpu_s=time.thread_time(),
        main_queued_s=_read_queued_s(),
        voluntary_switches=usage.ru_nvcsw,
        involuntary_switches=usage.ru_nivcsw,
        major_faults=usage.ru_majflt,
    )


def _read_queued_s() -> float:
    try:
        fields = SCHEDULER_STATISTICS.read_text().split()
        return int(fields[1]) / NANOSECONDS_PER_S
    except (OSError, ValueError, IndexError):
        # Not all kernels keep these statistics; the cause of a delay is less certain
        # without them.
        return 0.0


class DelayWatch:
    """Logs late wake-ups of the process and sums them for a metric.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process; nothing may have been scraped yet.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._detector = ProcessDelayDetector(read_usage())
        # The first check tells how long the start took after this.
        self._wait_s = 0.0
        metrics.register_counter(
            catalog.PROCESS_DELAY,
            make_labelled_reader(LABEL_REASON, lambda: self._detector.delayed_s),
        )

    def run(self) -> None:
        """Watch until the task is killed."""
        run_periodically("watching delays", self._check, WATCH_INTERVAL_S)

    def _check(self) -> None:
        delay = self._detector.record_wakeup(read_usage(), self._wait_s)
        self._wait_s = WATCH_INTERVAL_S
        if delay is not None:
            _LOGGER.warning("process_delayed", extra=delay.log_fields())
