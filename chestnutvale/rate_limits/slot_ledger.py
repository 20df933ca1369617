"""Which entries hold the slots of cold endpoints, and which may still do."""

import math
from collections import Counter
from collections.abc import Collection, Mapping

import attrs

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.cold_bound import SlotPlan
from chestnutvale.rate_limits.const import SLOT_EXPIRY_MARGIN_S
from chestnutvale.rate_limits.division import EndpointPlace, rank_entry


@attrs.frozen
class ColdEndpoint:
    """A cold endpoint with a bound.

    Attributes
    ----------
    place : EndpointPlace
        What it serves, and where.
    plan : SlotPlan
        Its slots.
    cold_since_s : float
        Monotonic time in seconds before which no entry can have held a slot of it;
        minus infinity if unknown.
    """

    place: EndpointPlace
    plan: SlotPlan
    cold_since_s: float = -math.inf


@attrs.define
class _Holding:
    """Slots of one endpoint that one entry holds, by version of the list."""

    # Changes that the entry may still apply, oldest first.
    changes: list[tuple[int, int]] = attrs.field(factory=list)

    @property
    def granted(self) -> int:
        return self.changes[-1][1]

    @property
    def possible(self) -> int:
        return max(slots for _, slots in self.changes)

    def acknowledge(self, version: int) -> None:
        applied = [item for item in self.changes if item[0] <= version]
        if applied:
            self.changes = self.changes[len(applied) - 1 :]

    def expire(self) -> None:
        self.changes = self.changes[-1:]


@attrs.define
class SlotLedger:
    """Grants the slots of cold endpoints to entries, each to one at a time.

    It answers a load above what cold endpoints take, at any number of entries and with
    delayed or lost messages. A slot is granted again only once its last holder has
    acknowledged a list without it, or its serving lease must have ended. A new leader
    takes over what the entries report, and grants the other slots once all leases from
    before its time must have ended; those of an endpoint that became cold in its own
    time it grants at once.

    Parameters
    ----------
    started_at_s : float
        Monotonic time in seconds from which no earlier leader can extend a lease.
    lease_s : float
        Longest serving lease of an entry in seconds.
    first_version : int
        Lowest version of the list that this leader publishes.
    """

    started_at_s: float
    lease_s: float
    first_version: int = 1
    _plans: dict[Incarnation, SlotPlan] = attrs.field(factory=dict, init=False)
    _holdings: dict[Incarnation, dict[str, _Holding]] = attrs.field(
        factory=dict, init=False
    )
    _heard_at_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _acknowledged: dict[str, int] = attrs.field(factory=dict, init=False)
    # Endpoints that served without being cold, and the version of the list since which
    # those among the cold ones are named as cold.
    _ordinary: frozenset[Incarnation] = attrs.field(default=frozenset(), init=False)
    _cold_from_version: dict[Incarnation, int] = attrs.field(factory=dict, init=False)
    _has_reserved: bool = attrs.field(default=False, init=False)

    def record_report(
        self,
        entry_id: str,
        version: int,
        held: Mapping[Incarnation, int],
        next_version: int,
        now_s: float,
    ) -> bool:
        """Record the list that an entry has.

        Parameters
        ----------
        entry_id : str
            The entry.
        version : int
            Version of this control's list that it has; 0 for the list of another one.
        held : mapping of Incarnation to int
            The slots that it holds.
        next_version : int
            Version of the next list.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether slots of an earlier leader were taken over, which the next list has.
        """
        self._heard_at_s[entry_id] = now_s
        if version >= self.first_version:
            self._acknowledged[entry_id] = version
            for holders in self._holdings.values():
                if entry_id in holders:
                    holders[entry_id].acknowledge(version)
            return False
        if now_s >= self._complete_from_s or entry_id in self._acknowledged:
            return False
        is_changed = False
        for endpoint, slots in held.items():
            holders = self._holdings.setdefault(endpoint, {})
            if slots > 0 and entry_id not in holders:
                holders[entry_id] = _Holding([(0, slots), (next_version, slots)])
                is_changed = True
        return is_changed

    def divide(
        self,
        cold: Mapping[Incarnation, ColdEndpoint],
        entries: Mapping[str, str],
        version: int,
        now_s: float,
        serving: Collection[Incarnation] = (),
    ) -> bool:
        """Grant the free slots, and withdraw those that are no longer needed.

        Parameters
        ----------
        cold : mapping of Incarnation to ColdEndpoint
            The cold endpoints that serve.
        entries : mapping of str to str
            Data centre of each live entry that obeys shares of cold endpoints.
        version : int
            Version of the list in which the changes are published.
        now_s : float
            Monotonic time in seconds.
        serving : collection of Incarnation, optional
            All endpoints that serve.

        Returns
        -------
        bool
            Whether the list has changed.
        """
        self._plans = {endpoint: item.plan for endpoint, item in cold.items()}
        self._expire(now_s)
        self._has_reserved = False
        is_changed = self._record_cold(cold, serving, version)
        for endpoint, holders in self._holdings.items():
            for entry_id, holding in holders.items():
                is_lost = endpoint not in cold or entry_id not in entries
                if is_lost and holding.granted:
                    holding.changes.append((version, 0))
                    is_changed = True
        self._forget_empty()
        sums = self._count_by_service(cold)
        for endpoint in sorted(cold, key=lambda item: (item.host_id, item.boot_id)):
            item = cold[endpoint]
            is_changed |= self._withdraw_excess(endpoint, item, version)
            is_changed |= self._grant_free(
                endpoint, item, entries, sums, version, now_s
            )
        return is_changed

    def slots(self, endpoint: Incarnation, entry_id: str) -> int:
        """Return the slots of an endpoint that an entry has in the newest list."""
        holding = self._holdings.get(endpoint, {}).get(entry_id)
        return holding.granted if holding is not None else 0

    def holders(self, endpoint: Incarnation) -> list[str]:
        """Return the entries with a slot of an endpoint in the newest list."""
        return [
            entry_id
            for entry_id, holding in self._holdings.get(endpoint, {}).items()
            if holding.granted
        ]

    def shares(self, entry_id: str) -> dict[Incarnation, SlotPlan]:
        """Return the slots of an entry in the newest list.

        Parameters
        ----------
        entry_id : str
            The entry.

        Returns
        -------
        dict of Incarnation to SlotPlan
            Number and rate of its slots, without the endpoints of which it has none.
        """
        found = {}
        for endpoint, plan in self._plans.items():
            slots = self.slots(endpoint, entry_id)
            if slots:
                found[endpoint] = SlotPlan(slots, plan.rate_per_s)
        return found

    @property
    def granted_count(self) -> int:
        """Number of slots that are granted."""
        return sum(
            holding.granted
            for holders in self._holdings.values()
            for holding in holders.values()
        )

    @property
    def has_pending(self) -> bool:
        """Whether a slot waits for its last holder, or for an entry that is silent."""
        return self._has_reserved or any(
            holding.possible > holding.granted
            for holders in self._holdings.values()
            for holding in holders.values()
        )

    def is_complete(self, now_s: float) -> bool:
        """Tell whether all slots that entries may hold are known."""
        return now_s >= self._complete_from_s

    @property
    def _complete_from_s(self) -> float:
        return self.started_at_s + self.lease_s + SLOT_EXPIRY_MARGIN_S

    def _expire(self, now_s: float) -> None:
        silent_s = self.lease_s + SLOT_EXPIRY_MARGIN_S
        for holders in self._holdings.values():
            for entry_id, holding in holders.items():
                heard_at_s = self._heard_at_s.get(entry_id, -math.inf)
                if now_s > heard_at_s + silent_s:
                    # Its lease has ended. The view that brings another one brings the
                    # newest list.
                    holding.expire()
        self._heard_at_s = {
            entry_id: heard_at_s
            for entry_id, heard_at_s in self._heard_at_s.items()
            if now_s <= heard_at_s + silent_s
        }
        if self.is_complete(now_s):
            self._acknowledged = {
                entry_id: version
                for entry_id, version in self._acknowledged.items()
                if entry_id in self._heard_at_s
            }

    def _record_cold(
        self,
        cold: Mapping[Incarnation, ColdEndpoint],
        serving: Collection[Incarnation],
        version: int,
    ) -> bool:
        """Record which endpoints have become cold while they served.

        Their change needs a version of the list, by which entries acknowledge it.
        """
        became_cold = self._ordinary.intersection(cold)
        self._ordinary = frozenset(serving).difference(cold)
        self._cold_from_version = {
            endpoint: since_version
            for endpoint, since_version in self._cold_from_version.items()
            if endpoint in cold
        } | dict.fromkeys(became_cold, version)
        return bool(became_cold)

    def _count_reserved(self, endpoint: Incarnation, plan: SlotPlan) -> int:
        """Return the slots that stand for the load of entries that are behind.

        Until an entry acknowledges that an endpoint is cold, and while its lease lasts,
        it may take it for an ordinary one and send its even part of the load.
        """
        since_version = self._cold_from_version.get(endpoint, 0)
        behind = sum(
            self._acknowledged.get(entry_id, 0) < since_version
            for entry_id in self._heard_at_s
        )
        return round(plan.count * behind / max(1, len(self._heard_at_s)))

    def _forget_empty(self) -> None:
        for endpoint, holders in list(self._holdings.items()):
            kept = {
                entry_id: holding
                for entry_id, holding in holders.items()
                if holding.possible
            }
            self._holdings[endpoint] = kept
            if not kept:
                del self._holdings[endpoint]

    def _count_by_service(
        self, cold: Mapping[Incarnation, ColdEndpoint]
    ) -> Counter[tuple[str, str]]:
        sums: Counter[tuple[str, str]] = Counter()
        for endpoint, item in cold.items():
            for entry_id, holding in self._holdings.get(endpoint, {}).items():
                sums[item.place.service, entry_id] += holding.granted
        return sums

    def _withdraw_excess(
        self, endpoint: Incarnation, item: ColdEndpoint, version: int
    ) -> bool:
        holders = self._holdings.get(endpoint, {})
        excess = sum(holding.granted for holding in holders.values()) - item.plan.count
        if excess <= 0:
            return False
        for _, holding in sorted(holders.items()):
            withdrawn = min(excess, holding.granted)
            if withdrawn:
                holding.changes.append((version, holding.granted - withdrawn))
                excess -= withdrawn
        return True

    def _grant_free(
        self,
        endpoint: Incarnation,
        item: ColdEndpoint,
        entries: Mapping[str, str],
        sums: Counter[tuple[str, str]],
        version: int,
        now_s: float,
    ) -> bool:
        is_new = item.cold_since_s > self.started_at_s
        if not entries or not (is_new or self.is_complete(now_s)):
            return False
        holders = self._holdings.setdefault(endpoint, {})
        taken = sum(holding.possible for holding in holders.values())
        reserved = self._count_reserved(endpoint, item.plan)
        free = item.plan.count - taken - reserved
        self._has_reserved |= reserved > 0
        for _ in range(free):
            entry_id = min(
                entries,
                key=lambda name: (
                    holders[name].granted if name in holders else 0,
                    sums[item.place.service, name],
                    entries[name] != item.place.data_centre,
                    rank_entry(endpoint, name),
                ),
            )
            holding = holders.setdefault(entry_id, _Holding([(0, 0)]))
            slots = holding.granted + 1
            if holding.changes[-1][0] == version:
                holding.changes[-1] = (version, slots)
            else:
                holding.changes.append((version, slots))
            sums[item.place.service, entry_id] += 1
        return free > 0
