"""Predicts how long an admitted call takes to its first event."""

import attrs

from chestnutvale.admission.const import FIRST_EVENT_SMOOTHING


@attrs.define
class FirstEventPredictor:
    """Smoothed time from the send of a call to the first event of its answer.

    The mean deviation is added to the mean, so that about four of five calls are faster
    than predicted. Designed for one service at one entry; until a call was observed it
    predicts 0, which never keeps a call out.

    Parameters
    ----------
    smoothing : float, optional
        Weight of a new sample.
    """

    smoothing: float = FIRST_EVENT_SMOOTHING
    _mean_s: float | None = None
    _deviation_s: float = 0.0

    def observe(self, first_event_s: float) -> None:
        """Add the time of a call in seconds."""
        if self._mean_s is None:
            self._mean_s = first_event_s
            return
        error_s = first_event_s - self._mean_s
        self._mean_s += self.smoothing * error_s
        self._deviation_s += self.smoothing * (abs(error_s) - self._deviation_s)

    def predict_s(self) -> float:
        """Return the predicted time in seconds."""
        return 0.0 if self._mean_s is None else self._mean_s + self._deviation_s
