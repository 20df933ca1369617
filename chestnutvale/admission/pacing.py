"""Estimates queueing times and computes Retry-After for refused callers."""

import math
import random

import attrs

from chestnutvale.admission.const import (
    DEFAULT_HOLD_S,
    DEFAULT_OUTPUT_TOKEN_S,
    HOLD_TIME_SMOOTHING,
    NO_CAPACITY_RETRY_S,
    NO_SHARE_RETRY_S,
    RETRY_AFTER_JITTER,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
)
from chestnutvale.admission.messages import ServiceCapacity


@attrs.define
class HoldTimeEstimator:
    """Smoothed estimate of how long tokens stay reserved and answers take.

    By Little's law the release rate is the number of reserved tokens divided by the
    time for which each stays reserved. Estimating that time, rather than the rate,
    lets the drain rate follow a changed limit at once.

    Attributes
    ----------
    hold_s : float
        Mean time in seconds for which a token stays reserved.
    output_token_s : float
        Mean time in seconds per output token, prefill included.
    smoothing : float
        Weight of a new sample in the moving averages.
    """

    hold_s: float = DEFAULT_HOLD_S
    output_token_s: float = DEFAULT_OUTPUT_TOKEN_S
    smoothing: float = HOLD_TIME_SMOOTHING
    _cost: float = 0.0
    _cost_seconds: float = 0.0
    _output: float = 0.0
    _seconds: float = 0.0
    _count: float = 0.0

    def observe(self, cost: int, output_tokens: int, held_s: float) -> None:
        """Add a request that kept `cost` tokens reserved for `held_s` seconds."""
        keep = 1 - self.smoothing
        self._count = self._count * keep + 1.0
        self._cost = self._cost * keep + cost
        self._cost_seconds = self._cost_seconds * keep + cost * held_s
        self._output = self._output * keep + output_tokens
        self._seconds = self._seconds * keep + held_s
        if self._cost:
            self.hold_s = self._cost_seconds / self._cost
        if self._output:
            self.output_token_s = self._seconds / self._output

    @property
    def is_measured(self) -> bool:
        """Whether any request has ended yet."""
        return self._count > 0.0

    def mean_cost(self) -> float:
        """Return the mean of the tokens reserved for a request; 1 if unknown."""
        return self._cost / self._count if self._count else 1.0

    def drain_rate(self, limit_tokens: float) -> float:
        """Return the tokens released per second while the limit is fully used."""
        return max(1e-6, limit_tokens / max(0.01, self.hold_s))


@attrs.define
class RetryPacer:
    """Spreads the retries of refused callers over time.

    Each refusal reserves the drain time that its caller will need on retry, so the
    next refused caller gets a later Retry-After. A caller whose deadline passes before
    its turn does not come back then, and reserves nothing.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter; seeded, so that decisions can be reproduced.
    """

    rng: random.Random
    _booked_until_s: float = 0.0

    def retry_after_s(
        self,
        now_s: float,
        backlog_tokens: float,
        cost: int,
        drain_rate: float,
        deadline_s: float,
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        backlog_tokens : float
            Tokens queued ahead of the caller.
        cost : int
            Tokens that the caller will reserve.
        drain_rate : float
            Tokens released per second.
        deadline_s : float
            Monotonic time in seconds at which the caller gives up.
        """
        drained_s = now_s + backlog_tokens / drain_rate
        return self._book(drained_s, now_s, cost, drain_rate, deadline_s)

    def retry_after_return_s(
        self,
        now_s: float,
        returns_at_s: float,
        cost: int,
        drain_rate: float,
        deadline_s: float,
    ) -> float:
        """Return the seconds after which a caller of a paused service should retry.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        returns_at_s : float
            Monotonic time in seconds at which the service takes requests again.
        cost : int
            Tokens that the caller will reserve.
        drain_rate : float
            Tokens released per second once it does.
        deadline_s : float
            Monotonic time in seconds at which the caller gives up.
        """
        return self._book(returns_at_s, now_s, cost, drain_rate, deadline_s)

    def retry_without_capacity_s(
        self,
        now_s: float,
        capacity: ServiceCapacity,
        cost: int,
        drain_rate: float,
        deadline_s: float,
    ) -> float:
        """Return the seconds after which a caller refused for lack of groups retries.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        capacity : ServiceCapacity
            Capacity of the service.
        cost : int
            Tokens that the caller will reserve.
        drain_rate : float
            Tokens released per second while groups take requests.
        deadline_s : float
            Monotonic time in seconds at which the caller gives up.
        """
        if capacity.limited.count:
            # Other entries have the shares.
            return self.spread(NO_SHARE_RETRY_S)
        if not math.isfinite(capacity.returns_at_s):
            return self.add_jitter(NO_CAPACITY_RETRY_S)
        return self.retry_after_return_s(
            now_s, capacity.returns_at_s, cost, drain_rate, deadline_s
        )

    def _book(
        self,
        earliest_s: float,
        now_s: float,
        cost: int,
        drain_rate: float,
        deadline_s: float,
    ) -> float:
        latest_s = now_s + RETRY_AFTER_MAX_S
        start_s = max(earliest_s, self._booked_until_s)
        if start_s < deadline_s:
            self._booked_until_s = min(latest_s, start_s + cost / drain_rate)
        return self.add_jitter(start_s - now_s)

    def add_jitter(self, estimate_s: float) -> float:
        """Return the estimate in seconds, clamped to its bounds and randomised."""
        bounded = min(max(estimate_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return self.spread(bounded)

    def spread(self, retry_s: float) -> float:
        """Return a time in seconds, made longer by a random share."""
        return retry_s * self.rng.uniform(1.0, RETRY_AFTER_JITTER)
