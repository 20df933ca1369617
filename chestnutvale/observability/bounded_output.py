"""Log lines to a pipe that never make the process wait."""

import os
from collections import Counter
from collections.abc import Callable

import logbook

# Lines of one event that a process writes in a second, and bytes that it holds for a
# reader that is slow; beyond both, lines are left out and counted.
MAX_LINES_PER_S = 200
MAX_HELD_BYTES = 256 * 1024
WINDOW_S = 1.0


class LineQuota:
    """Bounds the lines of each event in a window.

    Parameters
    ----------
    most : int, optional
        Lines of one event in a window.
    window_s : float, optional
        Length of the window in seconds.

    Attributes
    ----------
    dropped : Counter
        Lines that were left out, by event.
    """

    def __init__(self, most: int = MAX_LINES_PER_S, window_s: float = WINDOW_S) -> None:
        self.dropped: Counter[str] = Counter()
        self._most = most
        self._window_s = window_s
        self._begun_s = float("-inf")
        self._counts: Counter[str] = Counter()
        self._dropped_now: Counter[str] = Counter()

    def take(self, event: str, now_s: float) -> tuple[bool, dict[str, int]]:
        """Ask whether a line may be written.

        Parameters
        ----------
        event : str
            Its event.
        now_s : float
            Monotonic time.

        Returns
        -------
        may_write : bool
            Whether it may.
        left_out : dict of str to int
            What was left out in the window that has just ended; empty within one.
        """
        left_out: dict[str, int] = {}
        if now_s - self._begun_s >= self._window_s:
            left_out = dict(self._dropped_now)
            self._begun_s = now_s
            self._counts.clear()
            self._dropped_now.clear()
        self._counts[event] += 1
        if self._counts[event] <= self._most:
            return True, left_out
        self.dropped[event] += 1
        self._dropped_now[event] += 1
        return False, left_out


class BoundedHandler(logbook.Handler):
    """Writes records to a descriptor without ever waiting for its reader.

    Parameters
    ----------
    descriptor : int
        A pipe or a file; it is made non-blocking.
    now_s : callable
        Gives monotonic time in seconds.
    level : str, optional
        Lowest level that is written.
    quota : LineQuota, optional
        Bounds the lines of each event.

    Attributes
    ----------
    dropped_full : int
        Lines that were left out because the reader was too slow.
    """

    def __init__(
        self,
        descriptor: int,
        now_s: Callable[[], float],
        level: str = "INFO",
        quota: LineQuota | None = None,
    ) -> None:
        super().__init__(level=level)
        os.set_blocking(descriptor, False)
        self.dropped_full = 0
        self.quota = quota or LineQuota()
        self._descriptor = descriptor
        self._now_s = now_s
        self._held = bytearray()
        self._full_unreported = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or leave it out.

        Parameters
        ----------
        record : LogRecord
            The record.
        """
        may_write, left_out = self.quota.take(record.msg, self._now_s())
        if left_out or self._full_unreported:
            self._report(record, left_out)
        if may_write:
            self._write(self.format(record))

    def flush(self) -> None:
        """Write what is held, as far as the reader takes it."""
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # Nobody reads any more; a log must not end the process.
                self._held.clear()
                return
            del self._held[:written]

    def _report(self, record: logbook.LogRecord, left_out: dict[str, int]) -> None:
        fields = dict(left_out)
        if self._full_unreported:
            fields["slow_reader"] = self._full_unreported
        report = logbook.LogRecord(
            record.channel, record.level, "lines_left_out", extra=fields
        )
        report.heavy_init()
        if self._write(self.format(report)):
            self._full_unreported = 0

    def _write(self, line: str) -> bool:
        data = line.encode(errors="replace") + b"\n"
        if len(self._held) + len(data) > MAX_HELD_BYTES:
            self.flush()
        if len(self._held) + len(data) > MAX_HELD_BYTES:
            self.dropped_full += 1
            self._full_unreported += 1
            return False
        self._held += data
        self.flush()
        return True
