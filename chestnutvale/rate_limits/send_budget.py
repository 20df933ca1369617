"""Requests that one entry may send to endpoints that name a limit or are cold."""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

import attrs

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.cold_bound import SlotPlan
from chestnutvale.rate_limits.const import (
    BURST_REQUESTS,
    BURST_S,
    MIN_RATE_PER_S,
)
from chestnutvale.rate_limits.statements import RateStatement, RateStatements

NO_COLD_SHARES: Final[Mapping[Incarnation, SlotPlan]] = MappingProxyType({})
NO_SLOTS: Final = SlotPlan(0, 0.0)


@attrs.frozen
class _Share:
    """Rate and size of a token bucket."""

    rate_per_s: float = 0.0
    size: float = 0.0

    @classmethod
    def of_limit(cls, rate_per_s: float) -> "_Share":
        size = BURST_REQUESTS + BURST_S * rate_per_s if rate_per_s else 0.0
        return cls(rate_per_s, size)

    def lower(self, other: "_Share") -> "_Share":
        if not (self.rate_per_s and other.rate_per_s):
            return _Share()
        return _Share(
            min(self.rate_per_s, other.rate_per_s), min(self.size, other.size)
        )


@attrs.define
class _TokenBucket:
    """Token bucket that starts empty, so that a share that moves is not spent twice."""

    share: _Share
    updated_at_s: float
    tokens: float = 0.0

    @property
    def rate_per_s(self) -> float:
        return self.share.rate_per_s

    @property
    def size(self) -> float:
        return self.share.size

    def refill(self, now_s: float) -> None:
        gained = self.rate_per_s * max(0.0, now_s - self.updated_at_s)
        self.tokens = min(self.size, self.tokens + gained)
        self.updated_at_s = max(now_s, self.updated_at_s)

    def set_share(self, share: _Share, now_s: float) -> None:
        self.refill(now_s)
        self.share = share
        self.tokens = min(self.size, self.tokens)

    def next_token_s(self) -> float:
        if self.tokens >= 1.0:
            return self.updated_at_s
        if not self.rate_per_s:
            return math.inf
        return self.updated_at_s + (1.0 - self.tokens) / self.rate_per_s


@attrs.define
class SendBudget:
    """Decides whether this entry may send a request to an endpoint now.

    It answers a load beyond the limits: an entry spends its share only. Between the
    first answer with a limit and the first share from the leader, it spends an equal
    part of the limit. Of a cold endpoint with a bound it spends nothing but slots from
    the leader's list. If an endpoint has both, the lower share counts.

    Attributes
    ----------
    statements : RateStatements
        Limits that this entry knows, from answers and from views.
    """

    statements: RateStatements = attrs.field(factory=RateStatements)
    _buckets: dict[Incarnation, _TokenBucket] = attrs.field(factory=dict)
    # Limits in the leader's newest list, with the shares of this entry.
    _listed_rates: dict[Incarnation, float | None] = attrs.field(factory=dict)
    _shares: dict[Incarnation, float] = attrs.field(factory=dict)
    # Cold endpoints with a bound: those of the view, those of answers with the end of
    # their time, and all of them.
    _listed_cold: frozenset[Incarnation] = frozenset()
    _stated_cold_until_s: dict[Incarnation, float] = attrs.field(factory=dict)
    _cold: frozenset[Incarnation] = frozenset()
    _cold_shares: dict[Incarnation, SlotPlan] = attrs.field(factory=dict)
    _entry_count: int = 1

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries."""
        self._entry_count = max(1, count)

    def record(self, statement: RateStatement, now_s: float) -> bool:
        """Record what an answer to this entry says.

        Parameters
        ----------
        statement : RateStatement
            The statement.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the limit of the endpoint has changed.
        """
        is_changed = self.statements.record(statement)
        if is_changed:
            self._update_buckets(now_s)
        return is_changed

    def install(
        self,
        statements: Iterable[RateStatement],
        shares: Mapping[Incarnation, float],
        now_s: float,
        cold_shares: Mapping[Incarnation, SlotPlan] = NO_COLD_SHARES,
    ) -> None:
        """Install the leader's list of limits.

        Parameters
        ----------
        statements : iterable of RateStatement
            Newest statement of each endpoint that the leader knows.
        shares : mapping of Incarnation to float
            Shares of this entry in requests per second; an endpoint that is missing
            gets none.
        now_s : float
            Monotonic time in seconds.
        cold_shares : mapping of Incarnation to SlotPlan, optional
            Slots of this entry at cold endpoints.
        """
        self._cold_shares = dict(cold_shares)
        self._listed_rates = {}
        self._shares = dict(shares)
        for statement in statements:
            self.statements.record(statement)
            self._listed_rates[statement.endpoint] = statement.rate_per_s
        self._update_buckets(now_s)

    def set_cold(self, endpoints: Iterable[Incarnation], now_s: float) -> None:
        """Set the cold endpoints with a bound, to which only holders of slots send.

        Parameters
        ----------
        endpoints : iterable of Incarnation
            Those of the newest view.
        now_s : float
            Monotonic time in seconds.
        """
        listed = frozenset(endpoints)
        if listed != self._listed_cold:
            self._listed_cold = listed
            self._update_buckets(now_s)

    def record_cold(self, endpoint: Incarnation, until_s: float, now_s: float) -> None:
        """Record that an endpoint with a bound said that it is cold.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.
        until_s : float
            Monotonic time in seconds at which it no longer is.
        now_s : float
            Monotonic time in seconds.
        """
        self._stated_cold_until_s[endpoint] = until_s
        self._update_buckets(now_s)

    def is_cold(self, endpoint: Incarnation) -> bool:
        """Tell whether an endpoint is cold and has a bound."""
        return endpoint in self._cold

    def held_slots(self) -> dict[Incarnation, SlotPlan]:
        """Return the slots of this entry at cold endpoints, for reports."""
        return dict(self._cold_shares)

    def unreported(self) -> list[RateStatement]:
        """Return the statements in which the leader's list differs or lacks a limit."""
        return [
            statement
            for statement in self.statements.all()
            if self._listed_rates.get(statement.endpoint) != statement.rate_per_s
        ]

    def keep_listed(self, listed: Iterable[Incarnation], now_s: float) -> None:
        """Forget the limits of endpoints that are gone; see `RateStatements`."""
        self.statements.keep_listed(listed, now_s)
        self._update_buckets(now_s)

    def is_limited(self, endpoint: Incarnation) -> bool:
        """Tell whether an endpoint names a limit, or is cold and has a bound."""
        return endpoint in self._buckets

    def share_per_s(self, endpoint: Incarnation) -> float:
        """Return the share of this entry in the limit of an endpoint."""
        bucket = self._buckets.get(endpoint)
        return bucket.rate_per_s if bucket is not None else math.inf

    def may_send(self, endpoint: Incarnation, now_s: float) -> bool:
        """Tell whether a request may be sent to an endpoint now."""
        return self.next_send_s(endpoint, now_s) <= now_s

    def next_send_s(self, endpoint: Incarnation, now_s: float) -> float:
        """Return when a request may be sent to an endpoint.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds; infinite if this entry has no share.
        """
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            return now_s
        bucket.refill(now_s)
        return bucket.next_token_s()

    def has_unused_share(self, endpoint: Incarnation, now_s: float) -> bool:
        """Tell whether the share in the limit of an endpoint was not spent lately.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether its bucket is full, so that what comes next would be lost.
        """
        bucket = self._buckets.get(endpoint)
        if bucket is None or not bucket.rate_per_s:
            return False
        bucket.refill(now_s)
        return bucket.tokens >= bucket.size

    def record_sent(self, endpoint: Incarnation, now_s: float) -> None:
        """Count a request that is about to be sent to an endpoint."""
        bucket = self._buckets.get(endpoint)
        if bucket is not None:
            bucket.refill(now_s)
            bucket.tokens -= 1.0

    def describe(self, now_s: float) -> list[dict[str, object]]:
        """Return the limits and shares for the state dump."""
        limits = self.statements.limits()
        return [
            {
                "host": endpoint.host_id,
                "boot": endpoint.boot_id,
                "limit_per_s": limits.get(endpoint),
                "cold": endpoint in self._cold,
                "share_per_s": round(self.share_per_s(endpoint), 3),
                "wait_s": _describe_wait(self.next_send_s(endpoint, now_s) - now_s),
            }
            for endpoint in self._buckets
        ]

    def _update_buckets(self, now_s: float) -> None:
        self._stated_cold_until_s = {
            endpoint: until_s
            for endpoint, until_s in self._stated_cold_until_s.items()
            if until_s > now_s
        }
        self._cold = self._listed_cold.union(self._stated_cold_until_s)
        limits = self.statements.limits()
        limited = limits.keys() | self._cold
        for endpoint in self._buckets.keys() - limited:
            del self._buckets[endpoint]
        for endpoint in limited:
            share = self._find_share(endpoint, limits.get(endpoint))
            bucket = self._buckets.get(endpoint)
            if bucket is None:
                self._buckets[endpoint] = _TokenBucket(share, now_s)
            elif bucket.share != share:
                bucket.set_share(share, now_s)

    def _find_share(self, endpoint: Incarnation, limit_per_s: float | None) -> _Share:
        if endpoint not in self._cold:
            return _Share.of_limit(self._find_share_per_s(endpoint, limit_per_s))
        plan = self._cold_shares.get(endpoint, NO_SLOTS)
        share = _Share(plan.count * plan.rate_per_s, float(plan.count))
        if limit_per_s is None:
            return share
        stated_per_s = self._find_share_per_s(endpoint, limit_per_s)
        return share.lower(_Share.of_limit(stated_per_s))

    def _find_share_per_s(self, endpoint: Incarnation, limit_per_s: float) -> float:
        if self._listed_rates.get(endpoint) is not None:
            # The leader divided the limit that it knew, which may have changed since.
            share = self._shares.get(endpoint, 0.0) / max(
                self._listed_rates[endpoint], MIN_RATE_PER_S
            )
            return share * max(limit_per_s, MIN_RATE_PER_S)
        bucket = self._buckets.get(endpoint)
        if bucket is not None and endpoint not in self._cold:
            # A new leader has not learned the limit yet; the last share stays valid.
            return bucket.rate_per_s
        return max(limit_per_s, MIN_RATE_PER_S) / self._entry_count


def _describe_wait(wait_s: float) -> float | None:
    """Return a time for the state dump, which has no infinite numbers."""
    return round(wait_s, 3) if math.isfinite(wait_s) else None
