"""Decides which calls an entry that stops still takes."""

import math

import attrs

from chestnutvale.admission.const import (
    EXPECTED_DURATION_QUANTILE,
    PREDICTION_MIN_WEIGHT,
)
from chestnutvale.admission.prediction import DecayingHistogram


@attrs.define
class StopWindow:
    """Takes a call only if its answer is likely to be complete before the stop.

    This answers the load of calls that arrive while an entry drains: on connections
    that callers keep open, from a balancer that has not noticed the stop, or with a
    body that takes long. Another entry serves a call that is refused before anything
    is sent; one that is sent and cut may have run.

    Attributes
    ----------
    ends_at_s : float
        Monotonic time in seconds by which calls should have ended; infinite unless the
        entry stops.
    """

    ends_at_s: float = math.inf
    # Durations in milliseconds by service, and of all.
    _durations: dict[str, DecayingHistogram] = attrs.field(factory=dict)
    _all_durations: DecayingHistogram = attrs.field(factory=DecayingHistogram)

    def record_answer(self, service: str, duration_s: float) -> None:
        """Record a complete answer.

        Parameters
        ----------
        service : str
            Service that was called.
        duration_s : float
            Time in seconds from the acceptance of the call to the end of its answer.
        """
        duration_ms = math.ceil(duration_s * 1_000)
        self._durations.setdefault(service, DecayingHistogram()).add(duration_ms)
        self._all_durations.add(duration_ms)

    def may_take(self, service: str, deadline_s: float, now_s: float) -> bool:
        """Tell whether a call can be expected to end before the stop.

        Parameters
        ----------
        service : str
            Service that is called.
        deadline_s : float
            Deadline of the call as monotonic time in seconds.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True unless the entry stops first. A service with few answers is expected
            to take as long as all, and without answers of these until the deadline.
        """
        expected_end_s = min(deadline_s, now_s + self._expected_s(service))
        return expected_end_s <= self.ends_at_s

    def _expected_s(self, service: str) -> float:
        histogram = self._durations.get(service)
        if histogram is None or histogram.weight < PREDICTION_MIN_WEIGHT:
            histogram = self._all_durations
        if histogram.weight < PREDICTION_MIN_WEIGHT:
            return math.inf
        return histogram.quantile(EXPECTED_DURATION_QUANTILE) / 1_000
