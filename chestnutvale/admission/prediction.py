"""Predicts the length of answers from what callers really used."""

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
    """Histogram with buckets of growing width in which old samples fade.

    Parameters
    ----------
    decay : float
        Factor on the weight of all samples when one is added.
    """

    decay: float = PREDICTION_DECAY
    weight: float = 0.0
    _buckets: dict[int, float] = attrs.field(factory=dict)
    _unit: float = 1.0

    def add(self, value: int) -> None:
        """Add a sample; `value` is a count of tokens."""
        # Growing the unit of new samples is the same as fading all old ones.
        self._unit /= self.decay
        bucket = _bucket_of(value)
        self._buckets[bucket] = self._buckets.get(bucket, 0.0) + self._unit
        self.weight = self.weight * self.decay + 1.0
        if self._unit > 1e12:
            self._rescale()

    def quantile(self, share: float) -> int:
        """Return the upper edge of the bucket that holds the quantile."""
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

    A caller without history is judged by its service, and a service without
    history by a constant; the caller's own `max_tokens` is only an upper bound.

    Parameters
    ----------
    quantile : float
        Quantile of the lengths seen that is predicted.
    """

    quantile: float = PREDICTION_QUANTILE
    _histograms: dict[tuple[str, str], DecayingHistogram] = attrs.field(factory=dict)
    _all: DecayingHistogram = attrs.field(factory=DecayingHistogram)

    def predict(self, workspace: str, priority: str, max_tokens: int) -> int:
        """Return the output tokens to expect, at least 1."""
        histogram = self._histograms.get((workspace, priority))
        if histogram is None or histogram.weight < PREDICTION_MIN_WEIGHT:
            histogram = self._all
        if histogram.weight < PREDICTION_MIN_WEIGHT:
            return max(1, min(max_tokens, DEFAULT_OUTPUT_TOKENS))
        return max(1, min(max_tokens, histogram.quantile(self.quantile)))

    def observe(self, workspace: str, priority: str, output_tokens: int) -> None:
        """Learn from an answer that ended after `output_tokens`."""
        key = (workspace, priority)
        self._histograms.setdefault(key, DecayingHistogram()).add(output_tokens)
        self._all.add(output_tokens)

    def forget(self, workspaces: set[str]) -> None:
        """Drop the history of all workspaces but these."""
        kept = {k: v for k, v in self._histograms.items() if k[0] in workspaces}
        self._histograms = kept


def _bucket_of(value: int) -> int:
    if value <= 1:
        return 0
    return math.ceil(math.log(value, PREDICTION_BUCKET_GROWTH))
