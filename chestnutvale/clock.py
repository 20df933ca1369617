"""Clocks: monotonic seconds for deadlines, wall milliseconds for records."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for tasks; decisions get the time as an argument."""

    def now_s(self) -> float:
        """Return monotonic time in seconds."""

    def unix_ms(self) -> int:
        """Return wall-clock time in milliseconds since the epoch."""


class SystemClock:
    """The clocks of the operating system."""

    def now_s(self) -> float:
        """Return monotonic time in seconds, with the time that the host slept."""
        # A lease must run out while its host is suspended, when CLOCK_MONOTONIC stands.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return wall-clock time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000
