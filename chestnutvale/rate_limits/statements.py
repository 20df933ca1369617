"""The newest statement of each endpoint about the request rate that it takes."""

import math
from collections.abc import Iterable

import attrs

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.const import ENDED_RETENTION_S, UNLISTED_RETENTION_S


@attrs.frozen
class RateStatement:
    """What an answer of an endpoint says about the request rate that it takes.

    Attributes
    ----------
    endpoint : Incarnation
        The endpoint.
    rate_per_s : float or None
        Requests per second from all entries together; None if it names no limit.
    stated_at_s : float
        Monotonic time of the answer in seconds, on the clock of this process.
    """

    endpoint: Incarnation
    rate_per_s: float | None
    stated_at_s: float


@attrs.define
class RateStatements:
    """Newest statement of each endpoint that names a limit or did so recently."""

    _newest: dict[Incarnation, RateStatement] = attrs.field(factory=dict)
    _listed_at_s: dict[Incarnation, float] = attrs.field(factory=dict)

    def record(self, statement: RateStatement) -> bool:
        """Record a statement unless a newer one is known.

        Parameters
        ----------
        statement : RateStatement
            The statement. One without a limit is ignored if the endpoint has named
            none before.

        Returns
        -------
        bool
            Whether the limit of the endpoint has changed.
        """
        known = self._newest.get(statement.endpoint)
        if known is None and statement.rate_per_s is None:
            return False
        if known is not None and known.stated_at_s > statement.stated_at_s:
            return False
        self._newest[statement.endpoint] = statement
        return known is None or known.rate_per_s != statement.rate_per_s

    def rate_per_s(self, endpoint: Incarnation) -> float | None:
        """Return the limit of an endpoint; None if it has none."""
        known = self._newest.get(endpoint)
        return known.rate_per_s if known is not None else None

    def limits(self) -> dict[Incarnation, float]:
        """Return the limits in force, in requests per second by endpoint."""
        return {
            endpoint: known.rate_per_s
            for endpoint, known in self._newest.items()
            if known.rate_per_s is not None
        }

    def all(self) -> list[RateStatement]:
        """Return all statements, those that ended a limit included."""
        return list(self._newest.values())

    def keep_listed(self, listed: Iterable[Incarnation], now_s: float) -> None:
        """Forget limits that ended, and those of endpoints that are gone.

        Parameters
        ----------
        listed : iterable of Incarnation
            Endpoints of the newest view.
        now_s : float
            Monotonic time in seconds.
        """
        for endpoint in listed:
            if endpoint in self._newest:
                self._listed_at_s[endpoint] = now_s
        self._newest = {
            endpoint: known
            for endpoint, known in self._newest.items()
            if now_s <= self._kept_until_s(known)
        }
        self._listed_at_s = {
            endpoint: listed_at_s
            for endpoint, listed_at_s in self._listed_at_s.items()
            if endpoint in self._newest
        }

    def _kept_until_s(self, known: RateStatement) -> float:
        if known.rate_per_s is None:
            return known.stated_at_s + ENDED_RETENTION_S
        listed_at_s = self._listed_at_s.get(known.endpoint, -math.inf)
        return max(known.stated_at_s, listed_at_s) + UNLISTED_RETENTION_S
