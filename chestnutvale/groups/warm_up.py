"""Warms hosts up, so that they are ready sooner when a group needs them."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from chestnutvale.groups.const import WARM_UP_RETRY_S
from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.free_hosts import SpareRequest, is_staged
from chestnutvale.membership.const import HOLDING_LOADING
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.schema.configuration_pb2 import Service


@attrs.define
class _PendingWarmUp:
    """Warm-up that a host was ordered to do."""

    service: str
    boot_id: str
    retry_at_s: float


@attrs.define
class WarmUpPlanner:
    """Chooses the free hosts that warm up for the weights that they have staged.

    An engine with staged weights needs seconds for its first group of a model, and a
    fraction of that for a further group of the same model. A host that has not been in
    a group of its staged model yet joins one of its own, which never opens. A real
    group replaces that one at any time: its epoch is higher.
    """

    _pending: dict[str, _PendingWarmUp] = attrs.field(factory=dict)

    def reset(self) -> None:
        """Discard pending warm-ups from an earlier term as leader."""
        self._pending.clear()

    def plan(
        self,
        services: Mapping[str, Service],
        fleet: Fleet,
        staging_host_ids: Iterable[str],
        now_s: float,
    ) -> list[SpareRequest]:
        """Plan one round.

        Parameters
        ----------
        services : mapping of str to Service
            Services that share pools.
        fleet : Fleet
            Hosts available in this round, without those allocated to groups.
        staging_host_ids : iterable of str
            Hosts that were ordered to stage weights.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of SpareRequest
            Warm-ups to order now.
        """
        busy_ids = {*staging_host_ids, *fleet.pool_allocated}
        chosen = [
            request
            for request in self._find_cold_hosts(services, fleet)
            if request.host.host_id not in busy_ids and self._is_due(request, now_s)
        ]
        live_ids = fleet.live_hosts.keys()
        self._pending = {
            host_id: pending
            for host_id, pending in self._pending.items()
            if host_id in live_ids
        }
        for request in chosen:
            self._pending[request.host.host_id] = _PendingWarmUp(
                request.service, request.host.boot_id, now_s + WARM_UP_RETRY_S
            )
        return chosen

    @staticmethod
    def _find_cold_hosts(
        services: Mapping[str, Service], fleet: Fleet
    ) -> Iterator[SpareRequest]:
        for hosts in fleet.free_by_domain.values():
            for host in hosts:
                if not host.announcement.opens or _is_warming_up(host):
                    continue
                for service in services:
                    if is_staged(host, service) and host.warm_service != service:
                        yield SpareRequest(host, service, is_warm_up=True)

    def _is_due(self, request: SpareRequest, now_s: float) -> bool:
        pending = self._pending.get(request.host.host_id)
        if pending is None or pending.boot_id != request.host.boot_id:
            return True
        return pending.service != request.service or now_s >= pending.retry_at_s


def _is_warming_up(host: HostRecord) -> bool:
    announcement = host.announcement
    return (
        announcement.HasField("holding")
        and announcement.holding.phase == HOLDING_LOADING
    )
