"""A network that loses, delays and duplicates messages in simulated time."""

import heapq
import itertools
from collections.abc import Callable

import attrs


@attrs.define
class SimulatedNetwork:
    """Loses, delays and duplicates messages between processes.

    Parameters
    ----------
    random : Random
        Seeded random source.
    loss, duplication : float
        Probability that a message is lost, and that it is duplicated.
    max_delay_s : float
        Upper bound of the uniform delay of a message, in seconds.
    cuts : set of tuple of (str, str)
        Source and target of the links that drop all messages.
    """

    random: object
    loss: float = 0.0
    duplication: float = 0.0
    max_delay_s: float = 0.0
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    _queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _counter: itertools.count = attrs.field(factory=itertools.count)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the link from one process to another drops all messages."""
        return (source, target) in self.cuts

    def send(
        self, source: str, target: str, now_s: float, deliver: Callable[[], None]
    ) -> None:
        """Send a message; it may be delayed, duplicated or lost."""
        if self.is_cut(source, target) or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            due_s = now_s + self.random.random() * self.max_delay_s
            heapq.heappush(self._queue, (due_s, next(self._counter), deliver))

    def deliver_due(self, now_s: float) -> None:
        """Deliver all messages that are due."""
        while self._queue and self._queue[0][0] <= now_s:
            heapq.heappop(self._queue)[2]()
