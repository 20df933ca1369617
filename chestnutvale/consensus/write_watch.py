"""Detection of a disk that does not complete a write."""

import math

# Write id while no write is pending.
NO_WRITE = 0


class WriteWatch:
    """Measures for how long the oldest pending write has made no progress.

    Parameters
    ----------
    timeout_s : float
        Time in seconds after which a write counts as stalled.
    interval_s : float
        Time in seconds between two checks while a write is pending.
    max_step_s : float
        Time in seconds that counts at most between two checks. While this process did
        not run, it could not be told that a write was finished.

    Attributes
    ----------
    waited_s : float
        For how long the oldest pending write has been watched, in seconds.
    next_check_s : float
        Monotonic time in seconds of the next check; infinite if no write is pending.
    """

    def __init__(self, timeout_s: float, interval_s: float, max_step_s: float) -> None:
        self.waited_s = 0.0
        self.next_check_s = math.inf
        self._timeout_s = timeout_s
        self._interval_s = interval_s
        self._max_step_s = max_step_s
        self._write_id = NO_WRITE
        self._checked_s = -math.inf

    @property
    def is_stalled(self) -> bool:
        """Whether the oldest pending write has taken longer than the timeout."""
        return self.waited_s > self._timeout_s

    def check(self, oldest_write_id: int, now_s: float) -> None:
        """Measure the time since the last check.

        Parameters
        ----------
        oldest_write_id : int
            Id of the oldest pending write; `NO_WRITE` if there is none.
        now_s : float
            Monotonic time in seconds.
        """
        if oldest_write_id != self._write_id:
            self._write_id = oldest_write_id
            self.waited_s = 0.0
        elif oldest_write_id != NO_WRITE:
            self.waited_s += min(now_s - self._checked_s, self._max_step_s)
        self._checked_s = now_s
        is_pending = oldest_write_id != NO_WRITE
        self.next_check_s = now_s + self._interval_s if is_pending else math.inf
