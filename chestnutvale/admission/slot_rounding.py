"""Whole places out of an entry's part of a service's capacity."""

import math
import random

import attrs

from chestnutvale.admission.const import ROUNDING_INTERVAL_S


@attrs.define
class SlotRounding:
    """Rounds so that the places of all entries add up to about the capacity.

    A few groups divided between many entries leave each a part such as 1.7 places. If
    all rounded down, two of five places would stay empty while callers are refused.
    Each entry adds an offset of its own before it rounds down, drawn anew now and then
    so that none has the better part for long.

    Parameters
    ----------
    rng : random.Random
        Seeded source of the offsets.
    interval_s : float, optional
        Time in seconds for which an offset is kept.
    """

    rng: random.Random
    interval_s: float = ROUNDING_INTERVAL_S
    _offset: float = attrs.field(init=False)
    _drawn_s: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the first offset."""
        self._offset = self.rng.random()

    def redraw(self, now_s: float) -> None:
        """Draw another offset if the last one is old.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        """
        if now_s - self._drawn_s >= self.interval_s:
            self._drawn_s = now_s
            self._offset = self.rng.random()

    def whole_slots(self, part: float) -> float:
        """Return the whole places of a part.

        Parameters
        ----------
        part : float
            Part of the capacity.

        Returns
        -------
        float
            At least one place of any part, so that no entry refuses everyone.
        """
        if part <= 0.0:
            return 0.0
        return max(1.0, math.floor(part + self._offset))
