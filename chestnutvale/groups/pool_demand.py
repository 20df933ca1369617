"""Measures the demand for the models of a pool."""

import math
from collections.abc import Mapping

import attrs

from chestnutvale.groups.const import DEMAND_TIME_CONSTANT_S
from chestnutvale.schema.configuration_pb2 import Service


@attrs.define
class PoolDemand:
    """Smoothed demand for each service, relative to the capacity of its groups.

    Demand is the number of requests that wait, run or were rejected recently, so that
    a model with long answers needs more groups than one with short answers at the same
    rate. Until there is demand, the configured work shares are used as host shares.

    Parameters
    ----------
    time_constant_s : float, optional
        Time constant in seconds of the exponential smoothing.

    Attributes
    ----------
    has_demand : bool
        Whether any demand has been observed yet.
    """

    time_constant_s: float = DEMAND_TIME_CONSTANT_S
    has_demand: bool = attrs.field(default=False, init=False)
    _demand: dict[str, float] = attrs.field(factory=dict, init=False)
    _observed_at_s: float = attrs.field(default=-math.inf, init=False)

    def observe(self, demand: Mapping[str, float], now_s: float) -> None:
        """Update the smoothed demand with the current one.

        Parameters
        ----------
        demand : mapping of str to float
            Number of requests that wait, run or were rejected recently, by service.
        now_s : float
            Monotonic time in seconds.
        """
        if not self.has_demand and not any(demand.values()):
            return
        self.has_demand = True
        elapsed_s = max(0.0, now_s - self._observed_at_s)
        gain = 1.0 - math.exp(-elapsed_s / self.time_constant_s)
        for name in {*self._demand, *demand}:
            previous = self._demand.get(name, demand.get(name, 0.0))
            self._demand[name] = previous + gain * (demand.get(name, 0.0) - previous)
        self._observed_at_s = now_s

    def pressure(self, name: str, service: Service, groups: float) -> float:
        """Return the demand for a service per unit of its capacity.

        Parameters
        ----------
        name : str
            The service.
        service : Service
            Its configuration.
        groups : float
            Number of its groups.

        Returns
        -------
        float
            Requests per concurrent request that its groups can run; until there is
            demand, its work share per host. Infinite without a group.
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
            From 0 to 1, in proportion to demand times hosts per group; until there is
            demand, in proportion to the configured work shares.
        """
        weights = {
            other: self._demand.get(other, 0.0) * service.hosts_per_group
            if self.has_demand
            else service.work_share
            for other, service in services.items()
        }
        total = sum(weights.values())
        return weights[name] / total if total else 0.0
