"""Limits of endpoints at the leading control, and their division among the entries."""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.cold_bound import SlotPlan
from chestnutvale.rate_limits.division import (
    UNKNOWN_PLACE,
    EndpointPlace,
    LimitedEndpoint,
    Shares,
    divide_limits,
)
from chestnutvale.rate_limits.slot_ledger import ColdEndpoint, SlotLedger
from chestnutvale.rate_limits.statements import RateStatement, RateStatements

NO_COLD_ENDPOINTS: Mapping[Incarnation, ColdEndpoint] = MappingProxyType({})
NO_ENTRIES: Mapping[str, str] = MappingProxyType({})


@attrs.define
class RateLimitCoordinator:
    """Divides among the entries what endpoints take that name a limit or are cold.

    An endpoint that names a limit and is cold gets the lower of both: its limit is
    divided among the holders of its slots, and an entry obeys both shares.

    Attributes
    ----------
    version : int
        Increases with each change of the limits or shares.
    ledger : SlotLedger
        Slots of the cold endpoints in this term.
    """

    version: int = 1
    # No slot is granted before `begin_term`.
    ledger: SlotLedger = attrs.field(factory=lambda: SlotLedger(math.inf, 0.0))
    _statements: RateStatements = attrs.field(factory=RateStatements)
    _shares: Mapping[Incarnation, Shares] = attrs.field(factory=dict)

    def begin_term(self, started_at_s: float, lease_s: float) -> None:
        """Begin a term as leader, without the slots of earlier terms.

        Parameters
        ----------
        started_at_s : float
            Monotonic time in seconds from which no earlier leader can extend a lease.
        lease_s : float
            Longest serving lease of an entry in seconds.
        """
        self.version += 1
        self.ledger = SlotLedger(started_at_s, lease_s, self.version)

    def record_slots(
        self,
        entry_id: str,
        version: int,
        held: Mapping[Incarnation, int],
        now_s: float,
    ) -> None:
        """Record the list that an entry has, and the slots that it holds.

        Parameters
        ----------
        entry_id : str
            The entry.
        version : int
            Version of this control's list that it has; 0 for the list of another one.
        held : mapping of Incarnation to int
            The slots that it holds.
        now_s : float
            Monotonic time in seconds.
        """
        next_version = self.version + 1
        if self.ledger.record_report(entry_id, version, held, next_version, now_s):
            self.version = next_version

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
        cold: Mapping[Incarnation, ColdEndpoint] = NO_COLD_ENDPOINTS,
        cold_entries: Mapping[str, str] = NO_ENTRIES,
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
        cold : mapping of Incarnation to ColdEndpoint, optional
            Endpoints among these that are cold and have a bound.
        cold_entries : mapping of str to str, optional
            Data centre of each entry among these that obeys shares of cold endpoints.
        """
        next_version = self.version + 1
        if self.ledger.divide(cold, cold_entries, next_version, now_s, places):
            self.version = next_version
        if not self._statements.all():
            return
        self._statements.keep_listed(places, now_s)
        limited = [
            LimitedEndpoint(
                endpoint,
                places.get(endpoint, UNKNOWN_PLACE),
                rate_per_s,
                frozenset(self.ledger.holders(endpoint)) if endpoint in cold else None,
            )
            for endpoint, rate_per_s in self._statements.limits().items()
        ]
        shares = divide_limits(limited, entries)
        if shares != self._shares:
            self._shares = shares
            self.version += 1

    def cold_shares(self, entry_id: str) -> dict[Incarnation, SlotPlan]:
        """Return the slots of an entry; see `SlotLedger.shares`."""
        return self.ledger.shares(entry_id)

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
