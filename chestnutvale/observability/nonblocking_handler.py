"""Rate-limited, non-blocking log output to a pipe."""

import os
import time
from collections import Counter
from collections.abc import Callable

import logbook
from eventlet import patcher

# The patched function waits until the pipe can be written to.
_write_now = patcher.original("os").write
# The patched function lets other tasks run.
_select_now = patcher.original("select").select

# Most lines of one event that are written in a window, and most bytes that are buffered
# for a slow reader; lines beyond either limit are dropped and counted.
MAX_LINES_PER_WINDOW = 200
MAX_BUFFER_BYTES = 256 * 1024
RATE_WINDOW_S = 1.0
# Bytes that are buffered beyond that for lines of `PRIORITY_EVENTS` only.
PRIORITY_RESERVE_BYTES = 256 * 1024
# Time for which the end of the process waits for a slow reader.
CLOSE_TIMEOUT_S = 0.5
# Events that tell how an answer or a connection ended for a caller. Each request and
# each connection has few, so that their number is bounded by that of the callers.
PRIORITY_EVENTS = frozenset(
    {
        "answer_ended_early",
        "connection_closed",
        "connection_failed",
        "connection_refused",
        "head_refused",
        "request_cut",
        "request_refused",
        "slow_head",
        "stream_broken_off",
    }
)


class LogRateLimiter:
    """Limits the log lines of each event in a fixed time window.

    Lines of `PRIORITY_EVENTS` are always allowed.

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
        if event in PRIORITY_EVENTS:
            return True, dropped_in_window
        self._line_counts[event] += 1
        if self._line_counts[event] <= self._max_lines:
            return True, dropped_in_window
        self.dropped_lines[event] += 1
        self._dropped_in_window[event] += 1
        return False, dropped_in_window


class NonBlockingHandler(logbook.Handler):
    """Log handler that writes to a file descriptor without blocking on its reader.

    The buffer for a slow reader keeps a reserve for lines of `PRIORITY_EVENTS`; those
    beyond it are dropped and counted, too.

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
    dropped_priority_lines : int
        Those of them that were lines of `PRIORITY_EVENTS`.
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
        self.dropped_priority_lines = 0
        self.rate_limiter = rate_limiter or LogRateLimiter()
        self._file_descriptor = file_descriptor
        self._now_s = now_s
        self._buffer = bytearray()
        self._unreported_drops: Counter[str] = Counter()

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
        self._unreported_drops.update(dropped_in_window)
        if self._unreported_drops:
            self._report_dropped_lines(record)
        if is_allowed:
            self._write_or_count(record)

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

    def close(self) -> None:
        """Write the rest of the buffer, waiting a limited time for a slow reader."""
        give_up_at_s = time.monotonic() + CLOSE_TIMEOUT_S
        self.flush()
        while self._buffer:
            remaining_s = give_up_at_s - time.monotonic()
            if remaining_s <= 0:
                return
            _select_now([], [self._file_descriptor], [], remaining_s)
            self.flush()

    def _report_dropped_lines(self, record: logbook.LogRecord) -> None:
        fields = dict(self._unreported_drops)
        report = logbook.LogRecord(
            record.channel, record.level, "lines_left_out", extra=fields
        )
        report.heavy_init()
        if self._write(self.format(report), MAX_BUFFER_BYTES):
            self._unreported_drops.clear()

    def _write_or_count(self, record: logbook.LogRecord) -> None:
        is_priority = record.msg in PRIORITY_EVENTS
        reserve_bytes = PRIORITY_RESERVE_BYTES if is_priority else 0
        if self._write(self.format(record), MAX_BUFFER_BYTES + reserve_bytes):
            return
        self.dropped_by_slow_reader += 1
        self._unreported_drops["slow_reader"] += 1
        if is_priority:
            self.dropped_priority_lines += 1
            self._unreported_drops["slow_reader_priority"] += 1

    def _write(self, line: str, max_bytes: int) -> bool:
        """Write or buffer a line; False if the buffer has no room for it."""
        data = line.encode(errors="replace") + b"\n"
        if len(self._buffer) + len(data) > max_bytes:
            self.flush()
        if len(self._buffer) + len(data) > max_bytes:
            return False
        self._buffer += data
        self.flush()
        return True
