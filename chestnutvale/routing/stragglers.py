"""Finds groups that answer slower than their peers and eases them out."""

from collections.abc import Iterable
from statistics import median

import attrs

from chestnutvale.routing.const import (
    LATENCY_GAIN,
    PROBE_SHARE,
    STRAGGLER_FADE_S,
    STRAGGLER_RATIO,
)


@attrs.define
class Latency:
    """Smoothed time to the first token of one group.

    Attributes
    ----------
    mean_s : float
        Smoothed seconds to the first token.
    updated_s : float
        Monotonic time of the last sample.
    """

    mean_s: float
    updated_s: float


@attrs.define
class StragglerWatch:
    """Gives each group a share of its normal traffic, by its latency.

    A group is judged against the median of its peers, so nothing changes when
    all are slow. The share falls gradually with the ratio, and never below the
    probe share, by which a recovered group is found again.
    """

    gain: float = LATENCY_GAIN
    probe_share: float = PROBE_SHARE
    _latencies: dict[str, Latency] = attrs.field(factory=dict)

    def observe(self, group_id: str, latency_s: float, now_s: float) -> None:
        """Learn the time to the first token of one request."""
        known = self._latencies.get(group_id)
        if known is None:
            self._latencies[group_id] = Latency(latency_s, now_s)
            return
        known.mean_s += self.gain * (latency_s - known.mean_s)
        known.updated_s = now_s

    def forget(self, group_id: str) -> None:
        """Forget a group."""
        self._latencies.pop(group_id, None)

    def median_s(self, group_ids: Iterable[str]) -> float:
        """Return the median latency of the groups, 0 if none is known."""
        known = [self._latencies[g].mean_s for g in group_ids if g in self._latencies]
        return median(known) if known else 0.0

    def share(self, group_id: str, median_s: float, now_s: float) -> float:
        """Return the share of its normal traffic that a group should get."""
        known = self._latencies.get(group_id)
        if known is None or not median_s:
            return 1.0
        ratio = known.mean_s / (median_s * STRAGGLER_RATIO)
        if ratio <= 1.0:
            return 1.0
        fade = max(0.0, now_s - known.updated_s) / STRAGGLER_FADE_S
        return min(1.0, max(self.probe_share, 1 / ratio**2) + fade * self.probe_share)
