"""Measures how fast each group answers, relative to the groups of its service."""

from collections.abc import Iterable
from statistics import median

import attrs

from chestnutvale.routing.const import (
    MAX_SLOWNESS,
    SPEED_PRIOR_SAMPLES,
    SPEED_SAMPLES_KEPT,
)


@attrs.define
class _Measured:
    """Exponentially weighted sums of one group's answers."""

    samples: float = 0.0
    run_s: float = 0.0
    unit_samples: float = 0.0
    unit_s: float = 0.0

    def add(self, run_s: float, unit_s: float | None) -> None:
        keep = 1.0 - 1.0 / SPEED_SAMPLES_KEPT
        self.samples = self.samples * keep + 1.0
        self.run_s = self.run_s * keep + run_s
        if unit_s is not None:
            self.unit_samples = self.unit_samples * keep + 1.0
            self.unit_s = self.unit_s * keep + unit_s

    @property
    def mean_unit_s(self) -> float | None:
        return self.unit_s / self.unit_samples if self.unit_samples else None


@attrs.define
class SpeedTracker:
    """Speed of each group, from the answers that this entry received itself.

    It is designed for entries that see one answer of each group in some seconds: the
    estimate starts at the usual speed and moves with each sample, and half of the old
    samples are forgotten after about seven new ones, so that a group that recovered is
    noticed.
    """

    _measured: dict[str, _Measured] = attrs.field(factory=dict)

    def observe(self, group_id: str, run_s: float, unit_s: float | None) -> None:
        """Record one complete answer.

        Parameters
        ----------
        group_id : str
            The group.
        run_s : float
            Time from the send to the end of the answer in seconds.
        unit_s : float or None
            Time per event after the first one in seconds; None if the answer was no
            stream or too short to measure.
        """
        self._measured.setdefault(group_id, _Measured()).add(run_s, unit_s)

    def forget(self, group_id: str) -> None:
        """Drop the samples of a group."""
        self._measured.pop(group_id, None)

    def mean_run_s(self, group_ids: Iterable[str], default_s: float) -> float:
        """Return the mean time for which the groups run a request, in seconds.

        Parameters
        ----------
        group_ids : iterable of str
            Groups of one service.
        default_s : float
            Result in seconds without any sample.
        """
        known = [self._measured[name] for name in group_ids if name in self._measured]
        samples = sum(item.samples for item in known)
        return sum(item.run_s for item in known) / samples if samples else default_s

    def slowness(self, group_ids: Iterable[str]) -> dict[str, float]:
        """Return the time per event of each group, as a multiple of the median.

        Parameters
        ----------
        group_ids : iterable of str
            Groups of one service.

        Returns
        -------
        dict of str to float
            1 for a group without samples, above 1 for a slow one.
        """
        names = list(group_ids)
        units_s = {name: self._unit_s(name) for name in names}
        known = [unit_s for unit_s in units_s.values() if unit_s]
        if not known:
            return dict.fromkeys(names, 1.0)
        usual_s = median(known)
        return {
            name: self._shrink(name, unit_s / usual_s) if unit_s else 1.0
            for name, unit_s in units_s.items()
        }

    def _unit_s(self, name: str) -> float | None:
        known = self._measured.get(name)
        return known.mean_unit_s if known else None

    def _shrink(self, name: str, ratio: float) -> float:
        """Pull the ratio of a group with few samples towards 1."""
        samples = self._measured[name].unit_samples
        ratio = min(MAX_SLOWNESS, max(1.0 / MAX_SLOWNESS, ratio))
        return (samples * ratio + SPEED_PRIOR_SAMPLES) / (samples + SPEED_PRIOR_SAMPLES)
