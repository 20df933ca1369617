"""Detects groups that answer slower than their peers and reduces their traffic."""

from collections.abc import Mapping
from statistics import median

import attrs

from chestnutvale.routing.const import (
    LATENCY_SMOOTHING,
    PROBE_SHARE,
    STRAGGLER_FADE_S,
    STRAGGLER_MIN_S,
    STRAGGLER_RATIO,
)


@attrs.define
class Latency:
    """Smoothed time to first token of one group.

    Attributes
    ----------
    mean_s : float
        Moving average of the time to first token in seconds.
    updated_s : float
        Monotonic time of the last sample in seconds.
    """

    mean_s: float
    updated_s: float


@attrs.define
class StragglerDetector:
    """Computes the traffic share of each group from its time to first token.

    A group is compared with the median of its peers, so shares stay the same when all
    groups are slow. The share falls gradually with the ratio, but never below the probe
    share, whose requests show when the group has recovered.
    """

    smoothing: float = LATENCY_SMOOTHING
    probe_share: float = PROBE_SHARE
    _latencies: dict[str, Latency] = attrs.field(factory=dict)

    def observe(self, group_id: str, latency_s: float, now_s: float) -> None:
        """Add the time to first token of one request in seconds."""
        known = self._latencies.get(group_id)
        if known is None:
            self._latencies[group_id] = Latency(latency_s, now_s)
            return
        known.mean_s += self.smoothing * (latency_s - known.mean_s)
        known.updated_s = now_s

    def forget(self, group_id: str) -> None:
        """Drop the latency samples of a group."""
        self._latencies.pop(group_id, None)

    def shares(self, waits_s: Mapping[str, float], now_s: float) -> dict[str, float]:
        """Return the fraction of its normal traffic that each group should get.

        Parameters
        ----------
        waits_s : mapping of str to float
            Groups to compare, and how long in seconds the oldest request of each has
            waited for its first token. For a group that has stopped answering, this
            is the only sign, as it yields no latency samples.
        now_s : float
            Monotonic time in seconds.
        """
        expected = {
            group_id: max(self._mean_s(group_id), wait_s)
            for group_id, wait_s in waits_s.items()
        }
        known = [value for value in expected.values() if value]
        usual_s = median(known) if known else 0.0
        bound_s = max(usual_s * STRAGGLER_RATIO, STRAGGLER_MIN_S)
        return {
            group_id: self._share(group_id, value / bound_s, now_s)
            for group_id, value in expected.items()
        }

    def _mean_s(self, group_id: str) -> float:
        known = self._latencies.get(group_id)
        return known.mean_s if known else 0.0

    def _share(self, group_id: str, ratio: float, now_s: float) -> float:
        if ratio <= 1.0:
            return 1.0
        known = self._latencies.get(group_id)
        idle_s = max(0.0, now_s - known.updated_s) if known else 0.0
        regained = self.probe_share * idle_s / STRAGGLER_FADE_S
        return min(1.0, max(self.probe_share, 1 / ratio**2) + regained)
