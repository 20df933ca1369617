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
        """Return monotonic time in seconds."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return wall-clock time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000
