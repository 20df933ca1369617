"""Timer of a call whose due time moves with each event of its stream."""

from collections.abc import Callable
from typing import Any

from eventlet import hubs

from chestnutvale.clock import Clock


class TickTimer:
    """Calls back from the hub once its due time is reached.

    A due time that moves back does not replace the timer of the hub, so that a stream
    needs no timer for each event. Data that has arrived by the due time is read first,
    and may move it back.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_due : callable
        Called without arguments; must not block.
    """

    def __init__(self, clock: Clock, on_due: Callable[[], None]) -> None:
        self._clock = clock
        self._on_due = on_due
        self._due_s = 0.0
        self._timer: Any = None
        self._timer_due_s = 0.0

    def set_due(self, due_s: float) -> None:
        """Set the due time.

        Parameters
        ----------
        due_s : float
            Monotonic time in seconds.
        """
        self._due_s = due_s
        if self._timer is not None:
            if self._timer_due_s <= due_s:
                return
            self._timer.cancel()
        self._schedule()

    def cancel(self) -> None:
        """Stop the timer; there is no call back until the due time is set again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        remaining_s = max(0.0, self._due_s - self._clock.now_s())
        self._timer_due_s = self._due_s
        self._timer = hubs.get_hub().schedule_call_global(remaining_s, self._fire)

    def _fire(self) -> None:
        if self._clock.now_s() < self._due_s:
            self._schedule()
            return
        # The hub runs its timers before it looks for data. After a delay of the
        # process, that would make every stream look silent.
        self._timer = hubs.get_hub().schedule_call_global(0, self._finish)

    def _finish(self) -> None:
        if self._clock.now_s() < self._due_s:
            self._schedule()
            return
        self._timer = None
        self._on_due()
