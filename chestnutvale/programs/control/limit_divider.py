"""Divides what limited and cold endpoints take among the entries."""

import math
from collections.abc import Mapping

import logbook

from chestnutvale.clock import Clock
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.groups.members import group_head
from chestnutvale.membership.cold_state import ColdRule
from chestnutvale.membership.const import COLD_DEADLINE_JITTER_S, DEFAULT_LEASE_S
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.programs.control.state import ControlState
from chestnutvale.rate_limits.cold_bound import ColdBound
from chestnutvale.rate_limits.coordinator import RateLimitCoordinator
from chestnutvale.rate_limits.division import EndpointPlace, division_interval_s
from chestnutvale.rate_limits.slot_ledger import ColdEndpoint
from chestnutvale.rate_limits.wire import (
    from_cold_messages,
    from_message,
    to_cold_messages,
    to_message,
)
from chestnutvale.schema.configuration_pb2 import Service
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport, GroupView

_LOGGER = logbook.Logger(__name__)


class LimitDivider:
    """Keeps the list of limits and shares that the views carry.

    Parameters
    ----------
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    table : MembershipTable
        The host table.
    publisher : ViewPublisher
        Names the groups that serve.
    clock : Clock
        Source of time.
    bound : ColdBound, optional
        Bound on the requests of a cold endpoint.
    lease_s : float, optional
        Longest serving lease of an entry in seconds.
    """

    def __init__(
        self,
        log: ConsensusTask,
        state: ControlState,
        table: MembershipTable,
        publisher: ViewPublisher,
        clock: Clock,
        bound: ColdBound | None = None,
        lease_s: float = DEFAULT_LEASE_S,
    ) -> None:
        self._log = log
        self._state = state
        self._table = table
        self._publisher = publisher
        self._clock = clock
        self._bound = bound or ColdBound()
        self._lease_s = lease_s
        self._coordinator = RateLimitCoordinator()
        self._term = 0
        # Monotonic time of each end of an evacuation, by data centre and wall time.
        self._ends_s: dict[tuple[str, int], float] = {}
        self._inputs: tuple[object, ...] = ()
        self._pushed_version = self._coordinator.version
        self._due_s = -math.inf
        # Version of the list that each entry is known to have.
        self._versions: dict[str, int] = {}

    @property
    def slot_count(self) -> int:
        """Number of slots of cold endpoints that entries hold by the newest list."""
        return self._coordinator.ledger.granted_count

    def describe(self) -> dict[str, object]:
        """Return the slots of cold endpoints, for the state dump."""
        ledger = self._coordinator.ledger
        return {
            "version": self._coordinator.version,
            "limits": len(self._coordinator.statements()),
            "slots": self.slot_count,
            "has_pending_slots": ledger.has_pending,
            "knows_all_slots": ledger.is_complete(self._clock.now_s()),
        }

    def make_cold_rule(self, now_s: float) -> ColdRule:
        """Return the rule by which views name groups as cold.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        ColdRule
            The rule, by the text in force.
        """
        ends = set(self._state.evacuations.ended_unix_ms().items())
        # The time at which this control learned of an end: wall clocks may step, and an
        # end that seems to be long past would let a cold host pass for a warm one.
        self._ends_s = {key: self._ends_s.get(key, now_s) for key in ends}
        services = self._services().items()
        return ColdRule(
            frozenset(name for name, item in services if self._is_bounded(item)),
            frozenset(name for name, item in services if item.cold_start_ms),
            {data_centre: end_s for (data_centre, _), end_s in self._ends_s.items()},
        )

    def merge_report(
        self, entry_id: str, report: EntryReport, now_s: float, is_leading: bool
    ) -> None:
        """Merge what an entry reports of limits and of the list that it has.

        Parameters
        ----------
        entry_id : str
            The entry.
        report : EntryReport
            Its report.
        now_s : float
            Monotonic time in seconds.
        is_leading : bool
            Whether this control leads and holds its lease.
        """
        self._coordinator.merge(from_message(item, now_s) for item in report.limits)
        is_same_source = report.view_source == self._publisher.source
        version = report.limits_version if is_same_source else 0
        self._versions[entry_id] = version
        if not is_leading:
            return
        if self._log.term != self._term:
            self._term = self._log.term
            self._coordinator.begin_term(now_s, self._lease_s)
            # Entries get the list of the new term with the answers to their reports.
            self._pushed_version = self._coordinator.version
        held = from_cold_messages(report.cold_shares)
        slots = {endpoint: plan.count for endpoint, plan in held.items()}
        self._coordinator.record_slots(entry_id, version, slots, now_s)

    def divide(
        self, entries: Mapping[str, str], cold_entries: Mapping[str, str], now_s: float
    ) -> bool:
        """Divide the limits again if something changed; call it only as leader.

        Parameters
        ----------
        entries : mapping of str to str
            Data centre of each live entry that takes calls.
        cold_entries : mapping of str to str
            The same for those that obey shares of cold endpoints.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the list has changed.
        """
        if now_s < self._due_s:
            return False
        coordinator = self._coordinator
        views = [view for view in self._publisher.group_views() if view.serving]
        cold = self._find_cold(views, now_s)
        ledger = coordinator.ledger
        waits = ledger.has_pending or (cold and not ledger.is_complete(now_s))
        inputs = (coordinator.version, self._publisher.version, entries, cold)
        if inputs == self._inputs and not waits:
            return False
        limit_count = len(coordinator.statements()) + len(cold)
        if limit_count:
            self._due_s = now_s + division_interval_s(limit_count, len(entries))
        places = {
            Incarnation.of_member(group_head(view.group)): _place_of(view)
            for view in views
        }
        slots_before = ledger.granted_count
        coordinator.refresh(entries, places, now_s, cold, cold_entries)
        version, version_before = coordinator.version, self._pushed_version
        self._inputs = (version, self._publisher.version, entries, cold)
        self._pushed_version = version
        if ledger.granted_count != slots_before:
            _LOGGER.info(
                "cold_shares",
                extra={
                    "version": version,
                    "endpoints": len(cold),
                    "slots": ledger.granted_count,
                    "knows_all_slots": ledger.is_complete(now_s),
                },
            )
        return version != version_before

    def add_limits(self, entry_id: str, view: ControlView, now_s: float) -> None:
        """Add the list to a view if the entry lacks it.

        Parameters
        ----------
        entry_id : str
            The entry.
        view : ControlView
            The view that is sent to it.
        now_s : float
            Monotonic time in seconds.
        """
        coordinator = self._coordinator
        if self._versions.get(entry_id) == coordinator.version:
            return
        view.limits_version = coordinator.version
        view.limits.extend(
            to_message(
                statement,
                now_s,
                coordinator.share_per_s(statement.endpoint, entry_id),
            )
            for statement in coordinator.statements()
        )
        shares = coordinator.cold_shares(entry_id)
        view.cold_shares.extend(to_cold_messages(shares))

    def _services(self) -> Mapping[str, Service]:
        text = self._state.configuration.text
        return text.services if text is not None else {}

    def _is_bounded(self, service: Service) -> bool:
        rate_per_s = service.cold_requests_per_s
        return rate_per_s > 0.0 and self._bound.requests(rate_per_s) > 0.0

    def _find_cold(
        self, views: list[GroupView], now_s: float
    ) -> dict[Incarnation, ColdEndpoint]:
        services = self._services()
        found = {}
        for view in views:
            service = services.get(view.group.service)
            if not view.needs_cold_share or service is None:
                continue
            head = group_head(view.group)
            found[Incarnation.of_member(head)] = ColdEndpoint(
                _place_of(view),
                self._bound.plan_slots(service.cold_requests_per_s),
                self._find_cold_since_s(
                    self._table.host(head.host_id), service.cold_start_ms / 1_000
                ),
            )
        return found

    def _find_cold_since_s(
        self, record: HostRecord | None, cold_start_s: float
    ) -> float:
        """Return the time before which no entry can have held a slot of a host."""
        if record is None or not cold_start_s:
            return -math.inf
        leases_from_s = self._coordinator.ledger.started_at_s - self._lease_s
        if record.cold_before_s > leases_from_s:
            return -math.inf
        since_s = record.cold_until_s - cold_start_s - COLD_DEADLINE_JITTER_S
        return since_s if record.cold_until_s > leases_from_s else -math.inf


def _place_of(view: GroupView) -> EndpointPlace:
    return EndpointPlace(view.group.service, view.group.data_centre)
