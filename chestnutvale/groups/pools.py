"""Allocates the hosts of a pool to the models that share it."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import TypeAlias

import attrs

from chestnutvale.groups.const import (
    MIN_GROUPS_PER_SERVICE,
    PHASE_DRAINING,
    PHASE_FORMING,
    POOL_ORDER_TIMEOUT_S,
    POOL_READY_TIMEOUT_S,
    POOL_SETTLE_S,
    REBALANCE_DELAY_S,
    REBALANCE_INTERVAL_S,
    REBALANCE_MIN_PRESSURE,
    REBALANCE_PRESSURE_RATIO,
)
from chestnutvale.groups.fleet import Fleet, make_member
from chestnutvale.groups.free_hosts import (
    FreeHostSet,
    collect_free_hosts,
    count_domains,
    count_prospects,
)
from chestnutvale.groups.idle_tracker import IdleTracker
from chestnutvale.groups.member_silence import MemberSilence
from chestnutvale.groups.members import group_head
from chestnutvale.groups.placement import PoolPlacement
from chestnutvale.groups.pool_demand import PoolDemand
from chestnutvale.groups.serving import has_recent_events, holds_epoch
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.cold_state import find_cold_until_s
from chestnutvale.membership.const import HOLDING_BROKEN
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup, RemoveGroup

PoolCommand: TypeAlias = PutGroup | RemoveGroup


def select_pooled_services(text: Text) -> dict[str, Service]:
    """Return the services that run on the shared hosts of a pool.

    Parameters
    ----------
    text : Text
        Configuration in force.

    Returns
    -------
    dict of str to Service
        Services by name.
    """
    return {
        name: service
        for name, service in sorted(text.services.items())
        if service.pool and service.work_share > 0
    }


@attrs.define
class PoolPlanner:
    """Forms and dissolves the groups of models that share a pool.

    A group that loses a member is dissolved, and its hosts form new groups with the
    other free hosts of their fabric domain. One none of whose members is heard is kept,
    but doesn't count as capacity. A member never moves to another group
    while its head may accept calls; the order scheduler ensures that.

    The model with the highest pressure gets the next group. Once there is demand,
    groups are formed only of hosts with staged weights: other hosts remain spares until
    theirs are staged, and a host that loads weights for a group serves no requests.

    Groups whose model left the configuration, or has another size there, drain.

    Parameters
    ----------
    idle_tracker : IdleTracker
        Tells which groups serve and which have no requests left.
    pool_demand : PoolDemand
        Demand for each model.
    """

    idle_tracker: IdleTracker
    pool_demand: PoolDemand = attrs.field(factory=PoolDemand)
    _rebalance_due_s: float = -math.inf
    _donor_since_s: dict[str, float] = attrs.field(factory=dict)
    _unready_since_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _silence: MemberSilence = attrs.field(init=False)

    @_silence.default
    def _make_silence(self) -> MemberSilence:
        return MemberSilence(self.idle_tracker.policy.engine_stall_s)

    def plan(
        self,
        state: GroupsState,
        table: MembershipTable,
        text: Text,
        fleet: Fleet,
        now_s: float,
        *,
        may_load: bool = True,
    ) -> Iterator[PoolCommand]:
        """Plan one round.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups.
        table : MembershipTable
            Liveness and announcements of hosts.
        text : Text
            Configuration in force.
        fleet : Fleet
            Hosts available in this round; allocated hosts are removed from it.
        now_s : float
            Monotonic time in seconds.
        may_load : bool, optional
            Whether further loads of weights may start now.

        Yields
        ------
        PutGroup or RemoveGroup
            Commands, to be proposed in this order.
        """
        services = select_pooled_services(text)
        groups = [group for group in state.groups.values() if is_pooled(group)]
        self._discard_finished(groups)
        self._silence.begin_round(now_s)
        kept: list[Group] = []
        for group in groups:
            command = self._plan_group_end(group, services, table, now_s)
            if command is not None:
                yield command
            if group.phase != PHASE_DRAINING and not isinstance(command, RemoveGroup):
                kept.append(group)
        fleet.unheard_group_ids = frozenset(
            group.group_id for group in kept if self._silence.is_unheard(group)
        )
        counted = fleet.select_counted(kept)
        if services and may_load:
            # Other hosts wait for weights already; those of a group that is given up
            # would wait behind them.
            yield from self._rebalance(services, counted, fleet, table, now_s)
        if services:
            has_settled = is_settled(table, now_s)
            yield from self._form_groups(services, counted, state, fleet, has_settled)

    def _rebalance(
        self,
        services: Mapping[str, Service],
        groups: Sequence[Group],
        fleet: Fleet,
        table: MembershipTable,
        now_s: float,
    ) -> Iterator[PutGroup]:
        """Drain a group of a model whose pressure is far below that of another model.

        Its hosts are unavailable while they load the other weights, so one group is
        drained at a time, and only if the donor's pressure stays well below the other.
        """
        if not self.pool_demand.has_demand or now_s < self._rebalance_due_s:
            return
        previous_since_s = self._donor_since_s
        self._donor_since_s = {}
        counts = Counter(group.service for group in groups)
        # A cold group can't take over the load of one that is given up. For a service
        # that needs more, it counts: it is warm before another group could be ready.
        warm_counts = Counter(
            group.service
            for group in groups
            if not _is_cold(group, services, table, now_s)
        )
        prospects = count_prospects(services, groups, fleet)
        for pool in {service.pool for service in services.values()}:
            pool_services = {
                name: item for name, item in services.items() if item.pool == pool
            }
            donor = self._find_donor(pool_services, warm_counts, prospects)
            serving = [
                group
                for group in groups
                if group.service == donor and self.idle_tracker.is_serving(group)
            ]
            if not donor or len(serving) < counts[donor]:
                continue
            since_s = self._donor_since_s.setdefault(
                pool, previous_since_s.get(pool, now_s)
            )
            if now_s - since_s < REBALANCE_DELAY_S:
                continue
            chosen = min(
                serving,
                key=lambda group: (_running_requests(group, table), group.epoch),
            )
            self._rebalance_due_s = now_s + REBALANCE_INTERVAL_S
            groups = [group for group in groups if group is not chosen]
            yield _with_phase(chosen, PHASE_DRAINING)

    def _find_donor(
        self,
        services: Mapping[str, Service],
        counts: Mapping[str, int],
        prospects: Mapping[str, int],
    ) -> str:
        pressures = {
            name: self.pool_demand.pressure(name, service, prospects[name])
            for name, service in services.items()
        }
        highest = max(pressures.values())
        if highest < REBALANCE_MIN_PRESSURE:
            return ""
        pressures_after = {
            name: self.pool_demand.pressure(name, service, counts[name] - 1)
            for name, service in services.items()
            if counts[name] > MIN_GROUPS_PER_SERVICE
        }
        donor = min(
            pressures_after, key=lambda name: (pressures_after[name], name), default=""
        )
        return (
            donor
            if donor and pressures_after[donor] * REBALANCE_PRESSURE_RATIO <= highest
            else ""
        )

    def _plan_group_end(
        self,
        group: Group,
        services: Mapping[str, Service],
        table: MembershipTable,
        now_s: float,
    ) -> PoolCommand | None:
        remove = RemoveGroup(group_id=group.group_id, expected_epoch=group.epoch)
        if any(self._is_lost(group, item, table, now_s) for item in group.members):
            return remove
        is_ending = not _is_wanted(group, services) or any(
            _is_leaving(member.host_id, table) for member in group.members
        )
        if group.phase == PHASE_DRAINING:
            return remove if self.idle_tracker.is_idle(group, table, now_s) else None
        if not is_ending:
            return None
        if group.phase == PHASE_FORMING:
            return remove
        return _with_phase(group, PHASE_DRAINING)

    def _is_lost(
        self,
        group: Group,
        member: GroupMember,
        table: MembershipTable,
        now_s: float,
    ) -> bool:
        record = table.host(member.host_id)
        if record is None:
            # A control that has just started knows no host that is silent since then.
            if table.may_discover_hosts(now_s) or has_recent_events(
                group, table, now_s
            ):
                return False
            return self._is_silence_conclusive(
                group, table, table.receiving_since_s, now_s
            )
        if not table.is_fresh(member.host_id, now_s):
            # A new leader has yet to hear of events, too.
            if has_recent_events(group, table, now_s) or table.is_awaiting_report(
                member.host_id, now_s
            ):
                return False
            return record.is_superseded or self._is_silence_conclusive(
                group, table, record.heard_at_s, now_s
            )
        if table.is_silent_in_stalled_group(
            member.host_id, group.group_id, now_s
        ) and self._is_silence_conclusive(group, table, record.heard_at_s, now_s):
            return True
        if not table.is_heard_in_term(record):
            # Another control may have received a newer announcement.
            return False
        if record.boot_id != member.boot_id:
            return True
        key = (member.host_id, group.epoch)
        if holds_epoch(record, group, HOLDING_BROKEN):
            return True
        if not record.is_content_current:
            return False
        is_holding = holds_epoch(record, group)
        if group.phase != PHASE_FORMING:
            return not is_holding
        since_s = self._unready_since_s.setdefault(key, now_s)
        limit_s = POOL_READY_TIMEOUT_S if is_holding else POOL_ORDER_TIMEOUT_S
        return now_s - since_s > limit_s

    def _is_silence_conclusive(
        self, group: Group, table: MembershipTable, heard_at_s: float, now_s: float
    ) -> bool:
        if group.phase == PHASE_FORMING:
            # No call is there, and its loads would hold up those of other groups.
            return True
        attempts = table.attempts_at(group_head(group).host_id)
        return self._silence.is_conclusive(
            group, table, heard_at_s, attempts.may_run, now_s
        )

    def _discard_finished(self, groups: Iterable[Group]) -> None:
        forming = {group.epoch for group in groups if group.phase == PHASE_FORMING}
        self._unready_since_s = {
            key: since_s
            for key, since_s in self._unready_since_s.items()
            if key[1] in forming
        }

    def _form_groups(
        self,
        services: Mapping[str, Service],
        kept: Iterable[Group],
        state: GroupsState,
        fleet: Fleet,
        has_settled: bool,
    ) -> Iterator[PutGroup]:
        fleet.pool_allocated.clear()
        number = state.last_fence + 1
        for pool, host_sets in collect_free_hosts(fleet).items():
            allocation = _PoolAllocation(
                {name: item for name, item in services.items() if item.pool == pool},
                host_sets,
                kept,
                self.pool_demand,
                has_settled,
                count_domains(fleet, pool),
            )
            while (choice := allocation.choose()) is not None:
                name, host_set = choice
                hosts = allocation.allocate(name, host_set)
                fleet.pool_allocated.update(host.host_id for host in hosts)
                yield PutGroup(group=_new_group(name, number, host_set.domain, hosts))
                number += 1


class _PoolAllocation:
    """Allocates the free hosts of one pool to new groups in one round."""

    def __init__(
        self,
        services: Mapping[str, Service],
        host_sets: list[FreeHostSet],
        groups: Iterable[Group],
        pool_demand: PoolDemand,
        has_settled: bool,
        domain_count: int,
    ) -> None:
        groups = list(groups)
        self._services = services
        self._host_sets = host_sets
        self._pool_demand = pool_demand
        # Until there is demand, the hosts of a starting pool appear one by one.
        self._is_filling = not has_settled and not pool_demand.has_demand
        self._counts = Counter(group.service for group in groups)
        self._placement = PoolPlacement.collect(
            services, groups, domain_count, pool_demand
        )
        sizes = [service.hosts_per_group for service in services.values()]
        self._largest = max(sizes, default=1)

    def choose(self) -> tuple[str, FreeHostSet] | None:
        """Choose the service and the free hosts of the next group.

        While the pool fills, only the model with the highest pressure gets a group,
        even if no domain has room for one; otherwise the smallest groups would take
        all hosts.
        """
        pressures = {
            name: self._pool_demand.pressure(name, service, self._counts[name])
            for name, service in self._services.items()
        }
        options = [
            (-pressures[name], *self._placement_rank(name, host_set), name, host_set)
            for name in self._services
            for host_set in self._host_sets
            if self._may_form(name, host_set, pressures)
        ]
        if self._is_filling:
            highest = max(pressures.values(), default=0.0)
            options = [o for o in options if o[0] == -highest]
        if not options:
            return None
        *_, name, host_set = min(options, key=lambda o: (*o[:5], o[5].domain))
        return name, host_set

    def allocate(self, name: str, host_set: FreeHostSet) -> list[HostRecord]:
        """Allocate the hosts of a chosen group."""
        self._counts[name] += 1
        self._placement.add_domain(name, host_set.domain)
        return host_set.allocate(name, self._services[name].hosts_per_group)

    def _placement_rank(
        self, name: str, host_set: FreeHostSet
    ) -> tuple[bool, int, int]:
        """Return a sort key that is lowest for the best placement of a group.

        Domains that only other services use come last. Otherwise domains that keep room
        for whole large groups are preferred, and of those the ones with the fewest free
        hosts, so that not every domain has hosts left over.
        """
        remaining = len(host_set.hosts) - self._services[name].hosts_per_group
        used_by_others = self._placement.is_used_by_others_only(name, host_set.domain)
        return used_by_others, remaining % self._largest, remaining

    def _may_form(
        self, name: str, host_set: FreeHostSet, pressures: Mapping[str, float]
    ) -> bool:
        size = self._services[name].hosts_per_group
        if self._pool_demand.has_demand:
            # With staged weights, a group is worth more than keeping to the placement.
            return host_set.count_staged(name) >= size
        if len(host_set.hosts) < size:
            return False
        return self._placement.may_use(name, host_set.domain, pressures)


def _with_phase(group: Group, phase: str) -> PutGroup:
    changed = Group()
    changed.CopyFrom(group)
    changed.phase = phase
    return PutGroup(group=changed, expected_epoch=group.epoch)


def _is_cold(
    group: Group,
    services: Mapping[str, Service],
    table: MembershipTable,
    now_s: float,
) -> bool:
    service = services.get(group.service)
    if service is None or not service.cold_start_ms:
        return False
    record = table.host(group_head(group).host_id)
    return record is not None and now_s < find_cold_until_s(record)


def _is_wanted(group: Group, services: Mapping[str, Service]) -> bool:
    """Tell whether the configuration has the group's model, in the group's size."""
    service = services.get(group.service)
    return service is not None and service.hosts_per_group == len(group.members)


def _is_leaving(host_id: str, table: MembershipTable) -> bool:
    record = table.host(host_id)
    if record is None or record.announcement is None:
        return False
    return record.announcement.leaving


def _running_requests(group: Group, table: MembershipTable) -> int:
    record = table.host(group_head(group).host_id)
    return record.load.running if record is not None and record.load else 0


def is_settled(table: MembershipTable, now_s: float) -> bool:
    """Tell whether all running hosts of the pools are known.

    Parameters
    ----------
    table : MembershipTable
        Liveness and announcements of hosts.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether no new host appeared for ``POOL_SETTLE_S``.
    """
    return now_s - table.last_new_host_at_s >= POOL_SETTLE_S


def is_pooled(group: Group) -> bool:
    """Tell whether a group belongs to a pool.

    Parameters
    ----------
    group : Group
        The group.

    Returns
    -------
    bool
        Whether the pool planner manages it.
    """
    return group.pooled


def _new_group(
    service: str, number: int, domain: str, hosts: Iterable[HostRecord]
) -> Group:
    members = list(hosts)
    return Group(
        group_id=f"{service}-{number}",
        service=service,
        members=[make_member(host, rank) for rank, host in enumerate(members)],
        phase=PHASE_FORMING,
        fabric_domain=domain,
        pooled=True,
        data_centre=members[0].announcement.data_centre,
    )
