"""Rounds an entry's fractional share of a service's slots."""

import math
import random

import attrs

from chestnutvale.admission.const import ROUNDING_INTERVAL_S


@attrs.define
class SlotRounding:
    """Randomised rounding that keeps the sum over all entries near the capacity.

    A few groups divided between many entries leave each a share such as 1.7 slots. If
    every entry rounded down, two of five slots would stay empty while callers are
    refused. Each entry adds a random offset before rounding down, and redraws it
    periodically so that no entry keeps the larger share for long.

    Parameters
    ----------
    rng : random.Random
        Source of the offsets; seeded, and different for each entry.
    interval_s : float, optional
        Time in seconds after which the offset is redrawn.
    """

    rng: random.Random
    interval_s: float = ROUNDING_INTERVAL_S
    _offset: float = attrs.field(init=False)
    _drawn_s: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the first offset."""
        self._offset = self.rng.random()

    def redraw(self, now_s: float) -> None:
        """Redraw the offset if it is older than the interval.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        if now_s - self._drawn_s >= self.interval_s:
            self._drawn_s = now_s
            self._offset = self.rng.random()

    def whole_slots(self, part: float) -> float:
        """Return the number of slots for a fractional share.

        Parameters
        ----------
        part : float
            Share of the capacity in slots.

        Returns
        -------
        float
            Whole number of slots; at least 1 for any positive share, so that no entry
            refuses all requests.
        """
        if part <= 0.0:
            return 0.0
        return max(1.0, math.floor(part + self._offset))
