"""Limits of endpoints at the leading control, and their division among the entries."""

from collections.abc import Iterable, Mapping

import attrs

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.division import (
    UNKNOWN_PLACE,
    EndpointPlace,
    LimitedEndpoint,
    Shares,
    divide_limits,
)
from chestnutvale.rate_limits.statements import RateStatement, RateStatements


@attrs.define
class RateLimitCoordinator:
    """Merges what the entries report of limits and divides these among them.

    Attributes
    ----------
    version : int
        Increases with each change of the limits or shares.
    """

    version: int = 1
    _statements: RateStatements = attrs.field(factory=RateStatements)
    _shares: Mapping[Incarnation, Shares] = attrs.field(factory=dict)

    def merge(self, statements: Iterable[RateStatement]) -> None:
        """Merge the statements in a report of an entry.

        Parameters
        ----------
        statements : iterable of RateStatement
            The statements, on the clock of this control.
        """
        for statement in statements:
            if self._statements.record(statement):
                self.version += 1

    def refresh(
        self,
        entries: Mapping[str, str],
        places: Mapping[Incarnation, EndpointPlace],
        now_s: float,
    ) -> None:
        """Divide the limits again if the entries, endpoints or limits have changed.

        Parameters
        ----------
        entries : mapping of str to str
            Data centre of each entry that takes calls.
        places : mapping of Incarnation to EndpointPlace
            Service and data centre of each endpoint that takes requests.
        now_s : float
            Monotonic time in seconds.
        """
        if not self._statements.all():
            return
        self._statements.keep_listed(places, now_s)
        limited = [
            LimitedEndpoint(endpoint, places.get(endpoint, UNKNOWN_PLACE), rate_per_s)
            for endpoint, rate_per_s in self._statements.limits().items()
        ]
        shares = divide_limits(limited, entries)
        if shares != self._shares:
            self._shares = shares
            self.version += 1

    def statements(self) -> list[RateStatement]:
        """Return the newest statement of each endpoint."""
        return self._statements.all()

    def share_per_s(self, endpoint: Incarnation, entry_id: str) -> float:
        """Return the share of an entry in the limit of an endpoint.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.
        entry_id : str
            The entry.

        Returns
        -------
        float
            Requests per second; 0 if it may send none.
        """
        return self._shares.get(endpoint, {}).get(entry_id, 0.0)
