"""Measures how many calls of each workspace and priority ask for a place."""

from collections import Counter, deque

import attrs

from chestnutvale.admission.const import ARRIVAL_WINDOW_S, PRIORITIES

RankRates = tuple[float, ...]


@attrs.define
class ArrivalRates:
    """Counts the calls that asked for a place within a sliding window.

    Designed for the calls of one entry, up to some hundred per second.

    Parameters
    ----------
    window_s : float, optional
        Length of the window in seconds.
    """

    window_s: float = ARRIVAL_WINDOW_S
    _arrivals: deque[tuple[float, str, str]] = attrs.field(factory=deque)

    def record_arrival(self, workspace: str, priority: str, now_s: float) -> None:
        """Count a call that asks for a place at a monotonic time in seconds."""
        self._forget_old(now_s)
        self._arrivals.append((now_s, workspace, priority))

    def rates(self, now_s: float) -> dict[str, RankRates]:
        """Return the calls per second of each workspace, most urgent class first."""
        self._forget_old(now_s)
        counts = Counter((name, priority) for _, name, priority in self._arrivals)
        names = {name for name, _ in counts}
        return {
            name: tuple(
                counts[name, priority] / self.window_s for priority in PRIORITIES
            )
            for name in names
        }

    def _forget_old(self, now_s: float) -> None:
        while self._arrivals and self._arrivals[0][0] <= now_s - self.window_s:
            self._arrivals.popleft()
