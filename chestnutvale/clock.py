"""Clocks: monotonic seconds for deadlines, wall-clock milliseconds for records."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for tasks; decision functions take the time as an argument."""

    def now_s(self) -> float:
        """Return monotonic time in seconds."""

    def unix_ms(self) -> int:
        """Return wall-clock time in milliseconds since the epoch."""


class SystemClock:
    """Clock backed by the operating system."""

    def now_s(self) -> float:
        """Return monotonic time in seconds, including time spent suspended."""
        # A lease must expire while its host is suspended; CLOCK_MONOTONIC stops then.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return wall-clock time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000
