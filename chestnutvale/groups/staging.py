"""Stages weights on free hosts, so that lost groups are replaced without a load."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from chestnutvale.groups.const import (
    ORDER_RETRY_MIN_S,
    REBALANCE_MIN_PRESSURE,
    REBALANCE_PRESSURE_RATIO,
    STAGE_BUSY_RETRY_S,
    STAGE_TIMEOUT_S,
)
from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.free_hosts import (
    FreeHostSet,
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
class StagingRequest:
    """A host that should stage the weights of a service now.

    Attributes
    ----------
    host : HostRecord
        The host; no group owns it.
    service : str
        The service.
    """

    host: HostRecord
    service: str


@attrs.define
class StagingPlanner:
    """Chooses the weights that free hosts stage.

    The model with the highest pressure comes first, in the domains where the fewest
    hosts are missing for a whole group. Hosts whose staged weights no group can use
    are converted to a model with much higher pressure.

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
    ) -> list[StagingRequest]:
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
        list of StagingRequest
            Staging to order now.
        """
        self._discard_finished(fleet, now_s)
        if not services or not is_settled:
            return []
        groups = list(groups)
        counts = count_prospects(services, groups, fleet)
        available_loads = remaining_loads - len(self._pending)
        chosen: list[StagingRequest] = []
        for pool, host_sets in collect_free_hosts(fleet).items():
            pool_services = {
                name: item for name, item in services.items() if item.pool == pool
            }
            domain_count = count_domains(fleet, pool)
            placement = PoolPlacement.collect(
                pool_services, groups, domain_count, self.pool_demand
            )
            for choice in self._choose(pool_services, counts, placement, host_sets):
                if available_loads <= 0:
                    return chosen
                available_loads -= 1
                chosen.append(choice)
                self._pending[choice.host.host_id] = _PendingStaging(
                    choice.service, choice.host.boot_id, now_s + STAGE_TIMEOUT_S
                )
        return chosen

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
        counts: Mapping[str, int],
        placement: PoolPlacement,
        host_sets: list[FreeHostSet],
    ) -> Iterator[StagingRequest]:
        pressures = {
            name: self.pool_demand.pressure(name, service, counts[name])
            for name, service in services.items()
        }
        for name in sorted(services, key=lambda name: (-pressures[name], name)):
            usable = [
                s for s in host_sets if placement.may_use(name, s.domain, pressures)
            ]
            for host_set in sorted(
                usable, key=lambda s: self._count_missing(s, name, services[name])
            ):
                yield from self._fill_next_group(host_set, name, services, counts)

    def _fill_next_group(
        self,
        host_set: FreeHostSet,
        name: str,
        services: Mapping[str, Service],
        counts: Mapping[str, int],
    ) -> Iterator[StagingRequest]:
        """Stage a model on as many hosts as the domain's next whole group needs."""
        missing_count = self._count_missing(host_set, name, services[name])
        usable = [
            host
            for host in host_set.hosts
            if host.host_id not in self._pending
            and self._is_usable(host, host_set, name, services, counts)
        ]
        for host in usable[:missing_count]:
            yield StagingRequest(host, name)

    def _count_missing(self, host_set: FreeHostSet, name: str, service: Service) -> int:
        size = service.hosts_per_group
        staged_count = host_set.count_staged(name)
        staged_count += sum(
            self._pending[host.host_id].service == name
            for host in host_set.hosts
            if host.host_id in self._pending
        )
        return size - staged_count % size

    def _is_usable(
        self,
        host: HostRecord,
        host_set: FreeHostSet,
        name: str,
        services: Mapping[str, Service],
        counts: Mapping[str, int],
    ) -> bool:
        staged_service = next(
            (other for other in services if is_staged(host, other)), ""
        )
        if not staged_service:
            return True
        if (
            staged_service == name
            or host_set.count_staged(staged_service)
            >= services[staged_service].hosts_per_group
        ):
            return False
        wanted_pressure = self.pool_demand.pressure(name, services[name], counts[name])
        staged_pressure = self.pool_demand.pressure(
            staged_service, services[staged_service], counts[staged_service]
        )
        return (
            wanted_pressure >= REBALANCE_MIN_PRESSURE
            and wanted_pressure >= REBALANCE_PRESSURE_RATIO * staged_pressure
        )
