"""Stages weights on free hosts, so that a broken group is healed without a load."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from chestnutvale.groups.const import (
    CONVERT_PRESSURE,
    CONVERT_RATIO,
    ORDER_RETRY_MIN_S,
    STAGE_BUSY_S,
    STAGE_TIMEOUT_S,
)
from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.homes import PoolHomes
from chestnutvale.groups.need import PoolNeed
from chestnutvale.groups.shelves import (
    Shelf,
    count_domains,
    count_prospects,
    is_staged,
    stock_shelves,
)
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.schema.configuration_pb2 import Service
from chestnutvale.schema.groups_pb2 import Group


@attrs.define
class _Staging:
    """Weights that a host was told to stage."""

    service: str
    boot_id: str
    give_up_s: float


@attrs.frozen
class StageWeights:
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
class StagePlanner:
    """Chooses what free hosts stage.

    Sets come first that lack few hosts to a whole group, of the model that is pressed
    hardest. Hosts whose weights no group can use are turned over to a model that is
    pressed much harder.

    Parameters
    ----------
    need : PoolNeed
        How hard each model is pressed.
    """

    need: PoolNeed
    _under_way: dict[str, _Staging] = attrs.field(factory=dict)

    def reset(self) -> None:
        """Forget what an earlier leadership ordered."""
        self._under_way.clear()

    def plan(
        self,
        services: Mapping[str, Service],
        groups: Iterable[Group],
        fleet: Fleet,
        loads_left: int,
        is_settled: bool,
        now_s: float,
    ) -> list[StageWeights]:
        """Plan one round.

        Parameters
        ----------
        services : mapping of str to Service
            Services that share pools.
        groups : iterable of Group
            Groups in force.
        fleet : Fleet
            Hosts of this round; those that were taken for groups have left it.
        loads_left : int
            Loads that may begin now, without those ordered here before.
        is_settled : bool
            Whether the hosts of the pools are known, so that those which are free stay
            so for now.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of StageWeights
            What to order.
        """
        self._forget_done(fleet, now_s)
        if not services or not is_settled:
            return []
        groups = list(groups)
        counts = count_prospects(services, groups, fleet)
        left = loads_left - len(self._under_way)
        chosen: list[StageWeights] = []
        for pool, shelves in stock_shelves(fleet).items():
            own = {name: item for name, item in services.items() if item.pool == pool}
            domain_count = count_domains(fleet, pool)
            homes = PoolHomes.survey(own, groups, domain_count, self.need)
            for choice in self._choose(own, counts, homes, shelves):
                if left <= 0:
                    return chosen
                left -= 1
                chosen.append(choice)
                self._under_way[choice.host.host_id] = _Staging(
                    choice.service, choice.host.boot_id, now_s + STAGE_TIMEOUT_S
                )
        return chosen

    def failed(self, host_id: str, now_s: float, *, is_busy: bool = False) -> None:
        """Note that a host did not take its order.

        Parameters
        ----------
        host_id : str
            The host.
        now_s : float
            Monotonic time.
        is_busy : bool, optional
            Whether it said that it can't now; it loads what an earlier leader ordered.
        """
        staging = self._under_way.get(host_id)
        if staging is not None:
            # It is not asked again at once.
            staging.give_up_s = now_s + (STAGE_BUSY_S if is_busy else ORDER_RETRY_MIN_S)

    def _forget_done(self, fleet: Fleet, now_s: float) -> None:
        for host_id, staging in list(self._under_way.items()):
            record = fleet.fresh.get(host_id)
            is_gone = record is None or record.boot_id != staging.boot_id
            if (
                is_gone
                or now_s > staging.give_up_s
                or is_staged(record, staging.service)
            ):
                del self._under_way[host_id]

    def _choose(
        self,
        services: Mapping[str, Service],
        counts: Mapping[str, int],
        homes: PoolHomes,
        shelves: list[Shelf],
    ) -> Iterator[StageWeights]:
        pressures = {
            name: self.need.pressure(name, service, counts[name])
            for name, service in services.items()
        }
        for name in sorted(services, key=lambda name: (-pressures[name], name)):
            usable = [s for s in shelves if homes.may_use(name, s.domain, pressures)]
            for shelf in sorted(
                usable, key=lambda s: self._lack(s, name, services[name])
            ):
                yield from self._complete(shelf, name, services, counts)

    def _complete(
        self,
        shelf: Shelf,
        name: str,
        services: Mapping[str, Service],
        counts: Mapping[str, int],
    ) -> Iterator[StageWeights]:
        """Stage a model on as many hosts as the shelf's next whole group lacks."""
        lack = self._lack(shelf, name, services[name])
        usable = [
            host
            for host in shelf.hosts
            if host.host_id not in self._under_way
            and self._is_usable(host, shelf, name, services, counts)
        ]
        for host in usable[:lack]:
            yield StageWeights(host, name)

    def _lack(self, shelf: Shelf, name: str, service: Service) -> int:
        size = service.hosts_per_group
        have = shelf.count_staged(name)
        have += sum(
            self._under_way[host.host_id].service == name
            for host in shelf.hosts
            if host.host_id in self._under_way
        )
        return size - have % size

    def _is_usable(
        self,
        host: HostRecord,
        shelf: Shelf,
        name: str,
        services: Mapping[str, Service],
        counts: Mapping[str, int],
    ) -> bool:
        held = next((other for other in services if is_staged(host, other)), "")
        if not held:
            return True
        if held == name or shelf.count_staged(held) >= services[held].hosts_per_group:
            return False
        wanted = self.need.pressure(name, services[name], counts[name])
        present = self.need.pressure(held, services[held], counts[held])
        return wanted >= CONVERT_PRESSURE and wanted >= CONVERT_RATIO * present
