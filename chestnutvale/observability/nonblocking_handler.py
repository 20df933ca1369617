"""Rate-limited, non-blocking log output to a pipe."""

import os
from collections import Counter
from collections.abc import Callable

import logbook
from eventlet import patcher

# The patched function waits until the pipe can be written to.
_write_now = patcher.original("os").write

# Most lines of one event that are written in a window, and most bytes that are buffered
# for a slow reader; lines beyond either limit are dropped and counted.
MAX_LINES_PER_WINDOW = 200
MAX_BUFFER_BYTES = 256 * 1024
RATE_WINDOW_S = 1.0


class LogRateLimiter:
    """Limits the log lines of each event in a fixed time window.

    Parameters
    ----------
    max_lines : int, optional
        Most lines of one event in a window.
    window_s : float, optional
        Length of the window in seconds.

    Attributes
    ----------
    dropped_lines : Counter
        Lines dropped since the start, by event.
    """

    def __init__(
        self, max_lines: int = MAX_LINES_PER_WINDOW, window_s: float = RATE_WINDOW_S
    ) -> None:
        self.dropped_lines: Counter[str] = Counter()
        self._max_lines = max_lines
        self._window_s = window_s
        self._window_start_s = float("-inf")
        self._line_counts: Counter[str] = Counter()
        self._dropped_in_window: Counter[str] = Counter()

    def allow_line(self, event: str, now_s: float) -> tuple[bool, dict[str, int]]:
        """Count a line and decide whether it may be written.

        Parameters
        ----------
        event : str
            Event name of the line.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        is_allowed : bool
            Whether the line may be written.
        dropped_in_window : dict of str to int
            Lines dropped in the previous window, by event, if this line opens a new
            window; empty otherwise.
        """
        dropped_in_window: dict[str, int] = {}
        if now_s - self._window_start_s >= self._window_s:
            dropped_in_window = dict(self._dropped_in_window)
            self._window_start_s = now_s
            self._line_counts.clear()
            self._dropped_in_window.clear()
        self._line_counts[event] += 1
        if self._line_counts[event] <= self._max_lines:
            return True, dropped_in_window
        self.dropped_lines[event] += 1
        self._dropped_in_window[event] += 1
        return False, dropped_in_window


class NonBlockingHandler(logbook.Handler):
    """Log handler that writes to a file descriptor without blocking on its reader.

    Parameters
    ----------
    file_descriptor : int
        A pipe or a file; it is switched to non-blocking mode.
    now_s : callable
        Returns monotonic time in seconds.
    level : str, optional
        Lowest log level that is written.
    rate_limiter : LogRateLimiter, optional
        Limits the lines of each event; the default limits apply without it.

    Attributes
    ----------
    dropped_by_slow_reader : int
        Lines dropped because the buffer for a slow reader was full.
    """

    def __init__(
        self,
        file_descriptor: int,
        now_s: Callable[[], float],
        level: str = "INFO",
        rate_limiter: LogRateLimiter | None = None,
    ) -> None:
        super().__init__(level=level)
        os.set_blocking(file_descriptor, False)
        self.dropped_by_slow_reader = 0
        self.rate_limiter = rate_limiter or LogRateLimiter()
        self._file_descriptor = file_descriptor
        self._now_s = now_s
        self._buffer = bytearray()
        self._unreported_drops = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or drop it if a limit is reached.

        Parameters
        ----------
        record : LogRecord
            The record; its message template is the event name.
        """
        is_allowed, dropped_in_window = self.rate_limiter.allow_line(
            record.msg, self._now_s()
        )
        if dropped_in_window or self._unreported_drops:
            self._report_dropped_lines(record, dropped_in_window)
        if is_allowed:
            self._write(self.format(record))

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        while self._buffer:
            try:
                written = _write_now(self._file_descriptor, self._buffer)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # The reader has closed the pipe; a log error must not end the process.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _report_dropped_lines(
        self, record: logbook.LogRecord, dropped_in_window: dict[str, int]
    ) -> None:
        fields = dict(dropped_in_window)
        if self._unreported_drops:
            fields["slow_reader"] = self._unreported_drops
        report = logbook.LogRecord(
            record.channel, record.level, "lines_left_out", extra=fields
        )
        report.heavy_init()
        if self._write(self.format(report)):
            self._unreported_drops = 0

    def _write(self, line: str) -> bool:
        data = line.encode(errors="replace") + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self.flush()
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self.dropped_by_slow_reader += 1
            self._unreported_drops += 1
            return False
        self._buffer += data
        self.flush()
        return True
