"""Free hosts of pools, by fabric domain."""

from collections import Counter
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

import attrs

from chestnutvale.groups.fleet import Fleet
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.schema.configuration_pb2 import Service
from chestnutvale.schema.groups_pb2 import Group

NONE_PENDING: Final[Mapping[str, str]] = MappingProxyType({})


@attrs.frozen
class SpareRequest:
    """A free host that should prepare for the groups of a service now.

    Attributes
    ----------
    host : HostRecord
        The host; no group owns it.
    service : str
        The service.
    is_warm_up : bool
        Whether it should warm up, since it has the weights staged; else it should stage
        them.
    """

    host: HostRecord
    service: str
    is_warm_up: bool = False


@attrs.define
class FreeHostSet:
    """Free hosts of one fabric domain and pool.

    Attributes
    ----------
    domain : str
        The fabric domain.
    hosts : list of HostRecord
        The hosts that are not allocated yet.
    releasing : list of HostRecord
        Hosts that will be free once their release is complete.
    """

    domain: str
    hosts: list[HostRecord]
    releasing: list[HostRecord] = attrs.field(factory=list)

    def count_staged(self, service: str) -> int:
        """Return the number of hosts that have the weights of a service staged."""
        return sum(is_staged(host, service) for host in self.hosts)

    def count_prospective(self, service: str) -> int:
        """Return the same number, with the hosts that will soon be free."""
        return self.count_staged(service) + sum(
            is_staged(host, service) for host in self.releasing
        )

    def allocate(self, service: str, count: int) -> list[HostRecord]:
        """Allocate hosts, preferring those with staged weights."""
        self.hosts.sort(key=lambda host: (not is_staged(host, service), host.host_id))
        allocated, self.hosts = self.hosts[:count], self.hosts[count:]
        return allocated


def collect_free_hosts(fleet: Fleet) -> dict[str, list[FreeHostSet]]:
    """Return the free hosts of each pool.

    Parameters
    ----------
    fleet : Fleet
        Hosts available in this round.

    Returns
    -------
    dict of str to list of FreeHostSet
        One set for each fabric domain, by pool, ordered by domain.
    """
    host_sets: dict[str, list[FreeHostSet]] = {}
    for domain in sorted(fleet.free_by_domain):
        by_pool: dict[str, list[HostRecord]] = {}
        for host in fleet.free_by_domain[domain]:
            if host.host_id in fleet.pool_allocated:
                continue
            by_pool.setdefault(host.announcement.pool, []).append(host)
        for pool, hosts in by_pool.items():
            releasing = [
                host
                for host in fleet.releasing_by_domain.get(domain, ())
                if host.announcement.pool == pool
            ]
            host_sets.setdefault(pool, []).append(FreeHostSet(domain, hosts, releasing))
    return host_sets


def count_prospects(
    services: Mapping[str, Service],
    groups: Iterable[Group],
    fleet: Fleet,
    pending_services: Mapping[str, str] = NONE_PENDING,
) -> Counter[str]:
    """Return the number of groups that each service has or will soon have.

    While lost groups are replaced, the pressure on a model is high for some seconds
    although it needs no other hosts. So hosts with its staged weights count as groups.

    Parameters
    ----------
    services : mapping of str to Service
        Services that share pools.
    groups : iterable of Group
        Groups in force.
    fleet : Fleet
        Hosts available in this round.
    pending_services : mapping of str to str, optional
        Service whose weights a host is loading, by host.

    Returns
    -------
    Counter of str to int
        Groups in force, and those that free or soon released hosts can form without
        a further load.
    """
    prospects = Counter(group.service for group in groups)
    for domain in {*fleet.free_by_domain, *fleet.releasing_by_domain}:
        hosts = [
            host
            for host in (
                *fleet.free_by_domain.get(domain, ()),
                *fleet.releasing_by_domain.get(domain, ()),
            )
            if host.host_id not in fleet.pool_allocated
        ]
        for name, service in services.items():
            staged = sum(
                pending_services.get(host.host_id, "") == name
                or (host.host_id not in pending_services and is_staged(host, name))
                for host in hosts
            )
            prospects[name] += staged // max(1, service.hosts_per_group)
    return prospects


def count_domains(fleet: Fleet, pool: str) -> int:
    """Return the number of fabric domains in which a pool has live hosts.

    Parameters
    ----------
    fleet : Fleet
        Hosts available in this round.
    pool : str
        The pool.

    Returns
    -------
    int
        Domains with free hosts or with hosts in groups.
    """
    hosts = (record.announcement for record in fleet.live_hosts.values())
    return len({host.fabric_domain for host in hosts if host.pool == pool})


def is_staged(host: HostRecord, service: str) -> bool:
    """Tell whether a host has the weights of a service staged.

    Parameters
    ----------
    host : HostRecord
        The host.
    service : str
        The service.

    Returns
    -------
    bool
        True if it need not load them.
    """
    return service in host.announcement.staged
