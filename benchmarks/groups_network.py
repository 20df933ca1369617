"""A network that loses, delays and doubles messages in simulated time."""

import heapq
import itertools
from collections.abc import Callable

import attrs


@attrs.define
class SimulatedNetwork:
    """Loses, delays and doubles messages between processes.

    Parameters
    ----------
    random : Random
        Seeded source.
    """

    random: object
    loss: float = 0.0
    duplication: float = 0.0
    max_delay_s: float = 0.0
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    _queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _counter: itertools.count = attrs.field(factory=itertools.count)

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether nothing gets from one process to another."""
        return (source, target) in self.cuts

    def send(
        self, source: str, target: str, now_s: float, deliver: Callable[[], None]
    ) -> None:
        """Send a message; it may arrive late, twice or never."""
        if self.is_cut(source, target) or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            due_s = now_s + self.random.random() * self.max_delay_s
            heapq.heappush(self._queue, (due_s, next(self._counter), deliver))

    def deliver_due(self, now_s: float) -> None:
        """Deliver all that is due."""
        while self._queue and self._queue[0][0] <= now_s:
            heapq.heappop(self._queue)[2]()
