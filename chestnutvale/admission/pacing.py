"""Estimates waits and tells refused callers when to come back."""

import random

import attrs

from chestnutvale.admission.const import (
    DEFAULT_HOLD_S,
    DEFAULT_OUTPUT_TOKEN_S,
    HOLD_TIME_SMOOTHING,
    RETRY_AFTER_JITTER,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
)


@attrs.define
class HoldTimeEstimator:
    """How long reserved tokens are held and answers take.

    By Little's law the tokens released a second are the tokens reserved divided
    by the time that each is held, so the drain rate follows a changed limit at
    once.

    Attributes
    ----------
    hold_s : float
        Mean seconds that a reserved token is held.
    token_s : float
        Mean seconds of an output token, with its part of prefill.
    """

    hold_s: float = DEFAULT_HOLD_S
    output_token_s: float = DEFAULT_OUTPUT_TOKEN_S
    smoothing: float = HOLD_TIME_SMOOTHING
    _cost: float = 0.0
    _cost_seconds: float = 0.0
    _output: float = 0.0
    _seconds: float = 0.0

    def observe(self, cost: int, output_tokens: int, held_s: float) -> None:
        """Learn from a request of `cost` that was held for `held_s` seconds."""
        keep = 1 - self.smoothing
        self._cost = self._cost * keep + cost
        self._cost_seconds = self._cost_seconds * keep + cost * held_s
        self._output = self._output * keep + output_tokens
        self._seconds = self._seconds * keep + held_s
        if self._cost:
            self.hold_s = self._cost_seconds / self._cost
        if self._output:
            self.output_token_s = self._seconds / self._output

    def drain_rate(self, limit_tokens: float) -> float:
        """Return tokens released a second while the limit is fully used."""
        return max(1e-6, limit_tokens / max(0.01, self.hold_s))


@attrs.define
class RetryPacer:
    """Spreads the return of refused callers over time.

    Each refusal books the capacity that its caller will want on return, so the
    next refused caller is told to come later.

    Parameters
    ----------
    rng : random.Random
        Seeded source of the jitter.
    """

    rng: random.Random
    _booked_until_s: float = 0.0

    def retry_after_s(
        self, now_s: float, backlog_tokens: float, cost: int, drain_rate: float
    ) -> float:
        """Return the seconds after which a refused caller should come back.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        backlog_tokens : float
            Tokens that wait before the caller.
        cost : int
            Tokens that the caller will want.
        drain_rate : float
            Tokens released a second.
        """
        drained_s = now_s + backlog_tokens / drain_rate
        latest_s = now_s + RETRY_AFTER_MAX_S
        start_s = max(drained_s, self._booked_until_s)
        self._booked_until_s = min(latest_s, start_s + cost / drain_rate)
        return self.add_jitter(start_s - now_s)

    def add_jitter(self, estimate_s: float) -> float:
        """Return the estimate within its bounds, spread at random."""
        spread = self.rng.uniform(1.0, RETRY_AFTER_JITTER)
        bounded = min(max(estimate_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return bounded * spread
