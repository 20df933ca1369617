"""Stages weights on free hosts, so that lost groups are replaced without a load."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import attrs

from chestnutvale.groups.const import (
    ORDER_RETRY_MIN_S,
    REBALANCE_MIN_PRESSURE,
    REBALANCE_PRESSURE_RATIO,
    STAGE_BUSY_RETRY_S,
    STAGE_TIMEOUT_S,
    UNUSED_MIN_PRESSURE,
)
from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.free_hosts import (
    FreeHostSet,
    SpareRequest,
    collect_free_hosts,
    count_domains,
    count_prospects,
    is_staged,
)
from chestnutvale.groups.placement import PoolPlacement
from chestnutvale.groups.pool_demand import PoolDemand
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.schema.configuration_pb2 import Service
from chestnutvale.schema.groups_pb2 import Group


@attrs.define
class _PendingStaging:
    """Staging that a host was ordered to perform."""

    service: str
    boot_id: str
    expires_at_s: float


@attrs.frozen
class _StagingOption:
    """Loads that complete the next whole group of a model in a domain."""

    service: str
    domain: str
    hosts: list[HostRecord]
    missing_count: int
    pressure: float
    group_count: int

    @property
    def rank(self) -> tuple[bool, int, float, int, float, str, str]:
        """Sort key that is lowest for the loads that help most.

        The weight store bounds the loads per second, so what counts is the pressure
        that each load relieves. Loads that complete no group come last; they make
        spares for the groups of the domain.
        """
        is_whole = len(self.hosts) >= self.missing_count
        return (
            not is_whole,
            0 if is_whole else -self.group_count,
            -self.pressure / self.missing_count,
            self.missing_count,
            -self.pressure,
            self.service,
            self.domain,
        )


@attrs.define
class StagingPlanner:
    """Chooses the weights that free hosts stage.

    First come the loads that relieve the most pressure each: those of a model with
    high pressure, in a domain where few hosts are missing for a whole group. Hosts
    whose staged weights no group can use load another model that can use them.

    Parameters
    ----------
    pool_demand : PoolDemand
        Demand for each model.
    """

    pool_demand: PoolDemand
    _pending: dict[str, _PendingStaging] = attrs.field(factory=dict)

    def reset(self) -> None:
        """Discard pending staging from an earlier term as leader."""
        self._pending.clear()

    def plan(
        self,
        services: Mapping[str, Service],
        groups: Iterable[Group],
        fleet: Fleet,
        remaining_loads: int,
        is_settled: bool,
        now_s: float,
    ) -> list[SpareRequest]:
        """Plan one round.

        Parameters
        ----------
        services : mapping of str to Service
            Services that share pools.
        groups : iterable of Group
            Groups in force.
        fleet : Fleet
            Hosts available in this round, without those allocated to groups.
        remaining_loads : int
            Number of loads that may start now, not reduced by pending staging.
        is_settled : bool
            Whether all hosts of the pools are known, so that free hosts are expected to
            stay free.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of SpareRequest
            Staging to order now.
        """
        self._discard_finished(fleet, now_s)
        available_loads = remaining_loads - len(self._pending)
        if not services or not is_settled or available_loads <= 0:
            return []
        groups = list(groups)
        chosen: list[SpareRequest] = []
        for pool, host_sets in collect_free_hosts(fleet).items():
            pool_services = {
                name: item for name, item in services.items() if item.pool == pool
            }
            domain_count = count_domains(fleet, pool)
            placement = PoolPlacement.collect(
                pool_services, groups, domain_count, self.pool_demand
            )
            for choice in self._choose(
                pool_services, groups, fleet, placement, host_sets
            ):
                if available_loads <= 0:
                    return chosen
                available_loads -= 1
                chosen.append(choice)
                self._pending[choice.host.host_id] = _PendingStaging(
                    choice.service, choice.host.boot_id, now_s + STAGE_TIMEOUT_S
                )
        return chosen

    @property
    def pending_host_ids(self) -> frozenset[str]:
        """Hosts that were ordered to stage weights and have not announced them yet."""
        return frozenset(self._pending)

    def record_failure(
        self, host_id: str, now_s: float, *, is_busy: bool = False
    ) -> None:
        """Record that a host did not accept its staging order.

        Parameters
        ----------
        host_id : str
            The host.
        now_s : float
            Monotonic time in seconds.
        is_busy : bool, optional
            Whether it rejected the order as it loads weights for an earlier leader.
        """
        staging = self._pending.get(host_id)
        if staging is not None:
            # The host stays pending until this time, so that it is not retried at once.
            staging.expires_at_s = now_s + (
                STAGE_BUSY_RETRY_S if is_busy else ORDER_RETRY_MIN_S
            )

    def _discard_finished(self, fleet: Fleet, now_s: float) -> None:
        for host_id, staging in list(self._pending.items()):
            record = fleet.live_hosts.get(host_id)
            is_gone = record is None or record.boot_id != staging.boot_id
            if (
                is_gone
                or now_s > staging.expires_at_s
                or is_staged(record, staging.service)
            ):
                del self._pending[host_id]

    def _choose(
        self,
        services: Mapping[str, Service],
        groups: Iterable[Group],
        fleet: Fleet,
        placement: PoolPlacement,
        host_sets: list[FreeHostSet],
    ) -> Iterator[SpareRequest]:
        """Yield the loads of the best options, one option after the other.

        The caller records each one as pending before it asks for the next.
        """
        group_counts = Counter((group.service, group.fabric_domain) for group in groups)
        while True:
            pending = {host: item.service for host, item in self._pending.items()}
            counts = count_prospects(services, groups, fleet, pending)
            pressures = {
                name: self.pool_demand.pressure(name, service, counts[name])
                for name, service in services.items()
            }
            options = [
                option
                for name in services
                for host_set in host_sets
                if placement.may_use(name, host_set.domain, pressures)
                and (
                    option := self._make_option(
                        name, host_set, services, pressures, group_counts
                    )
                ).hosts
            ]
            if not options:
                return
            best = min(options, key=lambda option: option.rank)
            for host in best.hosts:
                yield SpareRequest(host, best.service)

    def _make_option(
        self,
        name: str,
        host_set: FreeHostSet,
        services: Mapping[str, Service],
        pressures: Mapping[str, float],
        group_counts: Mapping[tuple[str, str], int],
    ) -> _StagingOption:
        """Return the hosts that the domain's next whole group of a model lacks."""
        missing_count = self._count_missing(host_set, name, services[name])
        idle = [host for host in host_set.hosts if host.host_id not in self._pending]
        unstaged = [
            host
            for host in idle
            if not any(is_staged(host, other) for other in services)
        ]
        replaceable = [
            host
            for host in idle
            if self._is_replaceable(
                host, host_set, name, services, pressures, group_counts
            )
        ]
        is_whole = len(unstaged) + len(replaceable) >= missing_count
        # Staged weights are given up only for a whole group.
        hosts = [*unstaged, *replaceable] if is_whole else unstaged
        return _StagingOption(
            service=name,
            domain=host_set.domain,
            hosts=hosts[:missing_count],
            missing_count=missing_count,
            pressure=pressures[name],
            group_count=group_counts[name, host_set.domain],
        )

    def _count_missing(self, host_set: FreeHostSet, name: str, service: Service) -> int:
        size = service.hosts_per_group
        staged_count = host_set.count_prospective(name)
        staged_count += sum(
            self._pending[host.host_id].service == name
            for host in host_set.hosts
            if host.host_id in self._pending and not is_staged(host, name)
        )
        return size - staged_count % size

    def _is_replaceable(
        self,
        host: HostRecord,
        host_set: FreeHostSet,
        name: str,
        services: Mapping[str, Service],
        pressures: Mapping[str, float],
        group_counts: Mapping[tuple[str, str], int],
    ) -> bool:
        """Tell whether a host may load a model instead of the one that it has staged.

        This holds for a host whose weights no group of its domain can use now, if the
        other model needs fewer loads for a whole group, or is under more pressure.
        """
        staged = next((other for other in services if is_staged(host, other)), "")
        if staged in ("", name):
            return False
        size = services[staged].hosts_per_group
        if host_set.count_prospective(staged) >= size:
            return False
        is_spare = group_counts[staged, host_set.domain] > 0
        if pressures[name] < (
            REBALANCE_MIN_PRESSURE if is_spare else UNUSED_MIN_PRESSURE
        ):
            return False
        missing_count = self._count_missing(host_set, name, services[name])
        staged_missing_count = self._count_missing(host_set, staged, services[staged])
        return (
            missing_count < staged_missing_count
            or pressures[name] >= REBALANCE_PRESSURE_RATIO * pressures[staged]
        )
