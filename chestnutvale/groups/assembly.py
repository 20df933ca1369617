"""Assembles new groups from free hosts of one fabric domain."""

from collections.abc import Iterable

import attrs

from chestnutvale.groups.const import PHASE_FORMING
from chestnutvale.groups.fleet import Fleet, make_member
from chestnutvale.schema.configuration_pb2 import Service
from chestnutvale.schema.groups_pb2 import Group, PutGroup


@attrs.define
class GroupAssembler:
    """Chooses fabric domains and hosts for the new groups of one planning round.

    Parameters
    ----------
    fleet : Fleet
        Hosts available in this round; allocated hosts are removed from it.
    smallest_group : int
        Hosts in the smallest group of any service.
    first_number : int
        Numeric suffix of the next group's identity.
    domains_of_service : dict of str to list of str
        Fabric domains of the groups of each service, one item per group.
    """

    fleet: Fleet
    smallest_group: int
    first_number: int
    domains_of_service: dict[str, list[str]]

    def assemble_group(
        self, name: str, service: Service, avoid: Iterable[str] = ()
    ) -> PutGroup | None:
        """Assemble one group of a service if a domain has enough free hosts.

        Parameters
        ----------
        name : str
            Name of the service.
        service : Service
            Configuration of the service.
        avoid : iterable of str
            Domains that must not be used.

        Returns
        -------
        PutGroup or None
            The new group; None if no domain has enough free hosts.
        """
        domain = self._choose_domain(name, service.hosts_per_group, set(avoid))
        if domain is None:
            return None
        hosts = self.fleet.allocate(domain, service.hosts_per_group)
        group = Group(
            group_id=f"{name}-{self.first_number}",
            service=name,
            members=[make_member(host, rank) for rank, host in enumerate(hosts)],
            version=service.version,
            adapters=service.adapters,
            phase=PHASE_FORMING,
            fabric_domain=domain,
            data_centre=hosts[0].announcement.data_centre,
        )
        self.first_number += 1
        self.domains_of_service.setdefault(name, []).append(domain)
        return PutGroup(group=group)

    def _choose_domain(self, name: str, size: int, avoid: set[str]) -> str | None:
        if size < 1:
            return None
        suitable = [
            domain
            for domain in self.fleet.free_by_domain
            if domain not in avoid and self.fleet.count_free_hosts(domain) >= size
        ]
        used = self.domains_of_service.get(name, [])
        return min(
            suitable,
            key=lambda domain: self._placement_cost(domain, size, used),
            default=None,
        )

    def _placement_cost(
        self, domain: str, size: int, used: list[str]
    ) -> tuple[int, int, int, str]:
        remaining = self.fleet.count_free_hosts(domain) - size
        return (used.count(domain), remaining % self.smallest_group, remaining, domain)
