"""How hard the models of a pool are pressed."""

import math
from collections.abc import Mapping

import attrs

from chestnutvale.groups.const import DEMAND_TIME_CONSTANT_S
from chestnutvale.schema.configuration_pb2 import Service


@attrs.define
class PoolDemand:
    """Demand of each service, smoothed, against what its groups can run.

    Requests that wait, run or were refused lately are counted, so that a model with
    slow answers needs more groups than one with the same rate of quick ones. Before
    there is any demand, the shares of the text stand for it, as shares of the hosts.

    Parameters
    ----------
    time_constant_s : float, optional
        Time in seconds over which demand is smoothed.

    Attributes
    ----------
    has_demand : bool
        Whether any demand has been seen.
    """

    time_constant_s: float = DEMAND_TIME_CONSTANT_S
    has_demand: bool = attrs.field(default=False, init=False)
    _demand: dict[str, float] = attrs.field(factory=dict, init=False)
    _noted_s: float = attrs.field(default=-math.inf, init=False)

    def observe(self, demand: Mapping[str, float], now_s: float) -> None:
        """Take the demand of this moment.

        Parameters
        ----------
        demand : mapping of str to float
            Requests that wait, run or were refused lately, by service.
        now_s : float
            Monotonic time.
        """
        if not self.has_demand and not any(demand.values()):
            return
        self.has_demand = True
        passed_s = max(0.0, now_s - self._noted_s)
        gain = 1.0 - math.exp(-passed_s / self.time_constant_s)
        for name in {*self._demand, *demand}:
            before = self._demand.get(name, demand.get(name, 0.0))
            self._demand[name] = before + gain * (demand.get(name, 0.0) - before)
        self._noted_s = now_s

    def pressure(self, name: str, service: Service, groups: float) -> float:
        """Return how hard a service is pressed.

        Parameters
        ----------
        name : str
            The service.
        service : Service
            What the text says of it.
        groups : float
            Its groups.

        Returns
        -------
        float
            Requests for each place of its groups; without any demand, its share of the
            work for each host. Infinite without a group.
        """
        if groups <= 0:
            return math.inf
        slots = service.limits.max_running_requests or 1
        if not self.has_demand:
            return service.work_share / (groups * service.hosts_per_group)
        return self._demand.get(name, 0.0) / (groups * slots)

    def host_share(self, name: str, services: Mapping[str, Service]) -> float:
        """Return the share of a pool's hosts that a service should have.

        Parameters
        ----------
        name : str
            The service.
        services : mapping of str to Service
            All services of the pool.

        Returns
        -------
        float
            From 0 to 1.
        """
        weights = {
            other: self._demand.get(other, 0.0) * service.hosts_per_group
            if self.has_demand
            else service.work_share
            for other, service in services.items()
        }
        total = sum(weights.values())
        return weights[name] / total if total else 0.0
