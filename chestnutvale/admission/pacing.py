"""Estimates waits and tells refused callers when to come back."""

import random

import attrs

from chestnutvale.admission.const import (
    DEFAULT_HOLD_S,
    HOLD_GAIN,
    RETRY_AFTER_JITTER,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
)


@attrs.define
class HoldTime:
    """Mean seconds that a reserved token is held; gives the drain rate.

    By Little's law the tokens released a second are the tokens reserved divided
    by the time that each is held, so the estimate follows a changed limit at
    once.
    """

    hold_s: float = DEFAULT_HOLD_S
    gain: float = HOLD_GAIN
    _samples: int = 0

    def observe(self, held_s: float) -> None:
        """Learn from a request that was released after `held_s` seconds."""
        self._samples += 1
        gain = max(self.gain, 1 / self._samples)
        self.hold_s += gain * (held_s - self.hold_s)

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
        return self.jitter(start_s - now_s)

    def jitter(self, estimate_s: float) -> float:
        """Return the estimate within its bounds, spread at random."""
        spread = self.rng.uniform(1.0, RETRY_AFTER_JITTER)
        bounded = min(max(estimate_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return bounded * spread
