"""Predicts the length of answers from the lengths of earlier answers."""

import math

import attrs

from chestnutvale.admission.const import (
    DEFAULT_OUTPUT_TOKENS,
    PREDICTION_BUCKET_GROWTH,
    PREDICTION_DECAY,
    PREDICTION_MIN_WEIGHT,
    PREDICTION_QUANTILE,
)


@attrs.define
class DecayingHistogram:
    """Histogram with exponential buckets and exponentially decaying samples.

    Parameters
    ----------
    decay : float
        Factor applied to the weight of all earlier samples when one is added.
    """

    decay: float = PREDICTION_DECAY
    weight: float = 0.0
    _buckets: dict[int, float] = attrs.field(factory=dict)
    _unit: float = 1.0

    def add(self, value: int) -> None:
        """Add a sample in tokens."""
        # Raising the weight of new samples is equivalent to decaying all old ones.
        self._unit /= self.decay
        bucket = _bucket_of(value)
        self._buckets[bucket] = self._buckets.get(bucket, 0.0) + self._unit
        self.weight = self.weight * self.decay + 1.0
        if self._unit > 1e12:
            self._rescale()

    def quantile(self, share: float) -> int:
        """Return the upper bound of the bucket that contains the quantile."""
        target = share * sum(self._buckets.values())
        seen = 0.0
        for bucket in sorted(self._buckets):
            seen += self._buckets[bucket]
            if seen >= target:
                return math.ceil(PREDICTION_BUCKET_GROWTH**bucket)
        return 0

    def _rescale(self) -> None:
        scaled = {key: part / self._unit for key, part in self._buckets.items()}
        self._buckets = {key: part for key, part in scaled.items() if part > 1e-9}
        self._unit = 1.0


@attrs.define
class TokenPredictor:
    """Predicts output tokens per workspace and priority.

    A workspace with too few samples falls back to the histogram of the service, and a
    service with too few samples to a constant. `max_tokens` of the request is only an
    upper bound, because callers often set it far above what they use.

    Parameters
    ----------
    quantile : float
        Quantile of the observed lengths that is returned as the prediction.
    """

    quantile: float = PREDICTION_QUANTILE
    _histograms: dict[tuple[str, str], DecayingHistogram] = attrs.field(factory=dict)
    _all: DecayingHistogram = attrs.field(factory=DecayingHistogram)

    def predict(self, workspace: str, priority: str, max_tokens: int) -> int:
        """Return the predicted output tokens, between 1 and `max_tokens`."""
        histogram = self._histograms.get((workspace, priority))
        if histogram is None or histogram.weight < PREDICTION_MIN_WEIGHT:
            histogram = self._all
        if histogram.weight < PREDICTION_MIN_WEIGHT:
            return max(1, min(max_tokens, DEFAULT_OUTPUT_TOKENS))
        return max(1, min(max_tokens, histogram.quantile(self.quantile)))

    def observe(self, workspace: str, priority: str, output_tokens: int) -> None:
        """Add the length of an answer that has ended."""
        key = (workspace, priority)
        self._histograms.setdefault(key, DecayingHistogram()).add(output_tokens)
        self._all.add(output_tokens)

    def forget(self, workspaces: set[str]) -> None:
        """Drop the history of all workspaces that are not in `workspaces`."""
        kept = {k: v for k, v in self._histograms.items() if k[0] in workspaces}
        self._histograms = kept


def _bucket_of(value: int) -> int:
    if value <= 1:
        return 0
    return math.ceil(math.log(value, PREDICTION_BUCKET_GROWTH))
