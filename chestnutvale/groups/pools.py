"""Divides a pool of hosts between the models that share it."""

from collections.abc import Iterable, Iterator, Mapping
from typing import TypeAlias

import attrs

from chestnutvale.groups.const import (
    LOAD_PENALTY,
    PHASE_DRAINING,
    PHASE_FORMING,
    POOL_ORDER_TIMEOUT_S,
    POOL_READY_TIMEOUT_S,
    POOL_SETTLE_S,
)
from chestnutvale.groups.draining import IdleWatch
from chestnutvale.groups.fleet import Fleet, to_member
from chestnutvale.groups.serving import holds_epoch
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.const import HOLDING_BROKEN
from chestnutvale.membership.table import HostRecord, MembershipTable
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup, RemoveGroup

PoolCommand: TypeAlias = PutGroup | RemoveGroup


def pooled_services(text: Text) -> dict[str, Service]:
    """Return the services that share the hosts of a pool.

    Parameters
    ----------
    text : Text
        The text in force.

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
class _Shelf:
    """Free hosts of one fabric domain and pool."""

    domain: str
    hosts: list[HostRecord]

    def count_staged(self, service: str) -> int:
        return sum(_is_staged(host, service) for host in self.hosts)

    def take(self, service: str, count: int) -> list[HostRecord]:
        """Take hosts out, those first that have the weights at hand."""
        self.hosts.sort(key=lambda host: (not _is_staged(host, service), host.host_id))
        taken, self.hosts = self.hosts[:count], self.hosts[count:]
        return taken


@attrs.define
class PoolPlanner:
    """Forms and dissolves the groups of models that share a pool.

    A group that lacks a member is dissolved, and its hosts form groups anew with the
    others that are free in their fabric domain. Members are never moved from a group
    to another one while their head may take calls; the order book sees to that.

    Among the groups that could be formed, the model goes first whose capacity is
    smallest against its share of the work, where weights that have to be loaded count
    against a group: on a pool that loses hosts every few seconds a group that serves
    at once is worth more than the exact shares.

    Parameters
    ----------
    idle : IdleWatch
        Which groups run nothing.
    """

    idle: IdleWatch
    _unready_from_s: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def plan(
        self,
        state: GroupsState,
        table: MembershipTable,
        text: Text,
        fleet: Fleet,
        now_s: float,
    ) -> Iterator[PoolCommand]:
        """Plan one round.

        Parameters
        ----------
        state : GroupsState
            The replicated groups.
        table : MembershipTable
            What is known of hosts.
        text : Text
            The text in force.
        fleet : Fleet
            Hosts of this round; taken ones leave it.
        now_s : float
            Monotonic time.

        Yields
        ------
        PutGroup or RemoveGroup
            Commands to propose in this order.
        """
        services = pooled_services(text)
        groups = [group for group in state.groups.values() if is_pooled(group)]
        self._forget_done(groups)
        kept: list[Group] = []
        for group in groups:
            command = self._end(group, services, table, now_s)
            if command is not None:
                yield command
            if group.phase != PHASE_DRAINING and not isinstance(command, RemoveGroup):
                kept.append(group)
        if services:
            is_settled = now_s - table.newest_host_at_s >= POOL_SETTLE_S
            yield from self._form(services, kept, state, fleet, is_settled)

    def _end(
        self,
        group: Group,
        services: Mapping[str, Service],
        table: MembershipTable,
        now_s: float,
    ) -> PoolCommand | None:
        remove = RemoveGroup(group_id=group.group_id, expected_epoch=group.epoch)
        if any(self._is_lost(group, item, table, now_s) for item in group.members):
            return remove
        is_ending = group.service not in services or any(
            table.host(member.host_id).announcement.leaving for member in group.members
        )
        if group.phase == PHASE_DRAINING:
            return remove if self.idle.is_idle(group, table, now_s) else None
        if not is_ending:
            return None
        if group.phase == PHASE_FORMING:
            return remove
        changed = Group()
        changed.CopyFrom(group)
        changed.phase = PHASE_DRAINING
        return PutGroup(group=changed, expected_epoch=group.epoch)

    def _is_lost(
        self,
        group: Group,
        member: GroupMember,
        table: MembershipTable,
        now_s: float,
    ) -> bool:
        record = table.host(member.host_id)
        if record is None or not table.is_fresh(member.host_id, now_s):
            return True
        if record.boot_id != member.boot_id or record.announcement is None:
            return True
        key = (member.host_id, group.epoch)
        if holds_epoch(record, group, HOLDING_BROKEN):
            return True
        if not record.is_content_current:
            return False
        is_holding = holds_epoch(record, group)
        if group.phase != PHASE_FORMING:
            return not is_holding
        since_s = self._unready_from_s.setdefault(key, now_s)
        limit_s = POOL_READY_TIMEOUT_S if is_holding else POOL_ORDER_TIMEOUT_S
        return now_s - since_s > limit_s

    def _forget_done(self, groups: Iterable[Group]) -> None:
        forming = {group.epoch for group in groups if group.phase == PHASE_FORMING}
        self._unready_from_s = {
            key: since_s
            for key, since_s in self._unready_from_s.items()
            if key[1] in forming
        }

    def _form(
        self,
        services: Mapping[str, Service],
        kept: Iterable[Group],
        state: GroupsState,
        fleet: Fleet,
        is_settled: bool,
    ) -> Iterator[PutGroup]:
        counts = dict.fromkeys(services, 0)
        for group in kept:
            if group.service in counts:
                counts[group.service] += 1
        shelves = _stock_shelves(fleet)
        number = state.last_fence + 1
        while (choice := _choose(services, counts, shelves, is_settled)) is not None:
            name, shelf = choice
            hosts = shelf.take(name, services[name].hosts_per_group)
            counts[name] += 1
            yield PutGroup(group=_new_group(name, number, shelf.domain, hosts))
            number += 1


def is_pooled(group: Group) -> bool:
    """Tell whether a group belongs to a pool.

    Parameters
    ----------
    group : Group
        The group.

    Returns
    -------
    bool
        Whether the planner of pools decides about it.
    """
    return group.pooled


def _stock_shelves(fleet: Fleet) -> dict[str, list[_Shelf]]:
    """Return the shelves of each pool."""
    shelves: dict[str, list[_Shelf]] = {}
    for domain in sorted(fleet.free_by_domain):
        by_pool: dict[str, list[HostRecord]] = {}
        for host in fleet.free_by_domain[domain]:
            by_pool.setdefault(host.announcement.pool, []).append(host)
        for pool, hosts in by_pool.items():
            shelves.setdefault(pool, []).append(_Shelf(domain, hosts))
    return shelves


def _choose(
    services: Mapping[str, Service],
    counts: Mapping[str, int],
    shelves: Mapping[str, list[_Shelf]],
    is_settled: bool,
) -> tuple[str, _Shelf] | None:
    """Choose the next group to form.

    Hosts of a starting pool turn up one by one. Until no new ones do, only the model
    that is worst covered gets a group, and none that takes the room of a larger one;
    else the smallest groups would take all hosts.
    """
    largest = max(service.hosts_per_group for service in services.values())
    options = [
        (_cost(name, service, counts[name], shelf, largest), name, shelf.domain, shelf)
        for name, service in services.items()
        for shelf in shelves.get(service.pool, ())
        if len(shelf.hosts) >= service.hosts_per_group
    ]
    if not is_settled:
        neediest = _find_neediest(services, counts)
        options = [
            option for option in options if option[1] == neediest and not option[0][1]
        ]
    if not options:
        return None
    _, name, _, shelf = min(options, key=lambda option: option[:3])
    return name, shelf


def _find_neediest(services: Mapping[str, Service], counts: Mapping[str, int]) -> str:
    """Return the model that is worst covered."""
    return min(services, key=lambda name: (_cover(services[name], counts[name]), name))


def _cover(service: Service, groups: int) -> float:
    """Return the capacity of groups against a model's share of the work."""
    return groups / (service.pace or 1.0) / service.work_share


def _cost(
    name: str, service: Service, groups: int, shelf: _Shelf, largest: int
) -> tuple[float, int, int]:
    """Return how well a model is covered already, and what its weights cost."""
    size = service.hosts_per_group
    loads = max(0, size - shelf.count_staged(name))
    cost = _cover(service, groups) + LOAD_PENALTY * loads / size
    # Among equal shelves one that is left with room for whole large groups, and of
    # those the emptiest, so that hosts are not left over in every domain.
    left = len(shelf.hosts) - size
    return cost, left % largest, left


def _is_staged(host: HostRecord, service: str) -> bool:
    return service in host.announcement.staged


def _new_group(
    service: str, number: int, domain: str, hosts: Iterable[HostRecord]
) -> Group:
    return Group(
        group_id=f"{service}-{number}",
        service=service,
        members=[to_member(host, rank) for rank, host in enumerate(hosts)],
        phase=PHASE_FORMING,
        fabric_domain=domain,
        pooled=True,
    )
