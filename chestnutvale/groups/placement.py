"""Decides in which fabric domains of a pool a model may have groups."""

import math
from collections.abc import Iterable, Mapping

import attrs

from chestnutvale.groups.const import MIN_DOMAINS_PER_SERVICE, REBALANCE_PRESSURE_RATIO
from chestnutvale.groups.pool_demand import PoolDemand
from chestnutvale.schema.configuration_pb2 import Service
from chestnutvale.schema.groups_pb2 import Group


@attrs.define
class PoolPlacement:
    """Concentrates the groups of each model in domains of its own.

    Hosts left over beside large groups are spares: if they have the same weights
    staged, they replace a lost member at once. Small groups would use up such hosts in
    every domain. So each model has domains of its own, in proportion to its share of
    the hosts, but at least two, as a whole domain may fail.

    Parameters
    ----------
    services : mapping of str to Service
        The services of one pool.
    domain_limits : mapping of str to int
        Number of domains that each service may have to itself.
    domains_of : dict of str to set of str
        Domains in which each service has groups.
    """

    services: Mapping[str, Service]
    domain_limits: Mapping[str, int]
    domains_of: dict[str, set[str]]

    @classmethod
    def collect(
        cls,
        services: Mapping[str, Service],
        groups: Iterable[Group],
        domain_count: int,
        pool_demand: PoolDemand,
    ) -> "PoolPlacement":
        """Find the domains that the groups in force use.

        Parameters
        ----------
        services : mapping of str to Service
            The services of one pool.
        groups : iterable of Group
            Groups in force.
        domain_count : int
            Number of fabric domains of the pool.
        pool_demand : PoolDemand
            Gives the share of the hosts that each service should have.

        Returns
        -------
        PoolPlacement
            The placement of the pool's services.
        """
        domains_of: dict[str, set[str]] = {name: set() for name in services}
        for group in groups:
            if group.service in domains_of:
                domains_of[group.service].add(group.fabric_domain)
        domain_limits = {
            name: max(
                MIN_DOMAINS_PER_SERVICE,
                round(domain_count * pool_demand.host_share(name, services)),
            )
            for name in services
        }
        return cls(services, domain_limits, domains_of)

    def add_domain(self, name: str, domain: str) -> None:
        """Record the domain of a group that is about to be formed.

        Parameters
        ----------
        name : str
            Its service.
        domain : str
            Its domain.
        """
        self.domains_of[name].add(domain)

    def may_use(self, name: str, domain: str, pressures: Mapping[str, float]) -> bool:
        """Tell whether a service may have a group in a domain.

        Parameters
        ----------
        name : str
            The service.
        domain : str
            The fabric domain.
        pressures : mapping of str to float
            Pressure on each service.

        Returns
        -------
        bool
            True for a domain of its own, for an unused one while the service is below
            its limit or all services have reached theirs, and for any other domain if
            the pressure on the service is high enough.
        """
        own = self.domains_of[name]
        if domain in own:
            return True
        other_services = self._other_services_in(name, domain)
        if not other_services and (
            len(own) < self.domain_limits[name] or self._have_all_reached_limit()
        ):
            return True
        highest = max(
            (
                pressures[other]
                for other in other_services or self.services
                if other != name
            ),
            default=0.0,
        )
        return (
            math.isinf(pressures[name])
            or pressures[name] > REBALANCE_PRESSURE_RATIO * highest
        )

    def is_used_by_others_only(self, name: str, domain: str) -> bool:
        """Tell whether only other services have groups in a domain.

        Parameters
        ----------
        name : str
            The service.
        domain : str
            The fabric domain.

        Returns
        -------
        bool
            Whether another domain is preferable for the service.
        """
        is_own = domain in self.domains_of[name]
        return not is_own and bool(self._other_services_in(name, domain))

    def _have_all_reached_limit(self) -> bool:
        """Tell whether every service has reached its limit of domains.

        A domain that two services share counts for both, so one may remain unused.
        """
        return all(
            len(domains) >= self.domain_limits[name]
            for name, domains in self.domains_of.items()
        )

    def _other_services_in(self, name: str, domain: str) -> list[str]:
        return [
            other
            for other, domains in self.domains_of.items()
            if other != name and domain in domains
        ]
