"""In which fabric domains of a pool a model may have groups."""

import math
from collections.abc import Iterable, Mapping

import attrs

from chestnutvale.groups.const import MIN_DOMAINS_PER_SERVICE, REBALANCE_PRESSURE_RATIO
from chestnutvale.groups.pool_demand import PoolDemand
from chestnutvale.schema.configuration_pb2 import Service
from chestnutvale.schema.groups_pb2 import Group


@attrs.define
class PoolHomes:
    """Keeps the groups of each model together in some domains.

    Hosts that are left over beside large groups heal those at once when a member is
    lost, if they have the same weights. Small groups would use such hosts up in every
    domain, so each model has domains of its own, as many as its share of the hosts asks
    for: at least two, as a whole domain may go dark.

    Parameters
    ----------
    services : mapping of str to Service
        The services of one pool.
    domain_limits : mapping of str to int
        Domains that each service may have to itself.
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
    ) -> "PoolHomes":
        """Find the domains of the groups in force.

        Parameters
        ----------
        services : mapping of str to Service
            The services of one pool.
        groups : iterable of Group
            Groups in force.
        domain_count : int
            Domains of the pool.
        pool_demand : PoolDemand
            Which share of the hosts each service should have.

        Returns
        -------
        PoolHomes
            The homes.
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
        """Note a group that is about to be formed.

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
            How hard each service is pressed.

        Returns
        -------
        bool
            Whether the domain is its own or nobody's, or it is pressed so hard that
            this does not matter.
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
        """Tell whether a domain is the home of other services only.

        Parameters
        ----------
        name : str
            The service.
        domain : str
            The fabric domain.

        Returns
        -------
        bool
            Whether any other domain is better for the service.
        """
        is_own = domain in self.domains_of[name]
        return not is_own and bool(self._other_services_in(name, domain))

    def _have_all_reached_limit(self) -> bool:
        """Tell whether no service wants a further domain for itself.

        Domains that two services share count for both, so one may be left over.
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
