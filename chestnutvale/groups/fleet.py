"""Classifies live hosts by how the planner may use them."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from chestnutvale.groups.const import WARM_UP_GROUP_PREFIX
from chestnutvale.groups.serving import is_evacuated
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.const import KIND_ENGINE, KIND_SERVICE
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.membership_pb2 import Holding


@attrs.define
class Fleet:
    """Live hosts outside evacuated data centres, classified for one planning round.

    Attributes
    ----------
    live_hosts : dict of str to HostRecord
        All these hosts whose announcement is known, by identity.
    free_by_domain : dict of str to list of HostRecord
        Engines that any group may use, by fabric domain, each sorted by identity.
    reserved : dict of str to str
        Group for which each reserved host is kept.
    orphaned : list of HostRecord
        Engines that hold a part of a group although no group owns them.
    plain : list of HostRecord
        Hosts of plain services.
    releasing_by_domain : dict of str to list of HostRecord
        Engines whose release is in progress, by fabric domain.
    pool_allocated : set of str
        Free engines allocated to pooled groups in this round.
    evacuated_group_ids : frozenset of str
        Groups in evacuated data centres, which are kept and don't count as capacity.
    unheard_group_ids : frozenset of str
        Groups that are kept although none of their members is heard, and don't count as
        capacity either.
    """

    live_hosts: dict[str, HostRecord]
    free_by_domain: dict[str, list[HostRecord]]
    reserved: dict[str, str]
    orphaned: list[HostRecord]
    plain: list[HostRecord]
    releasing_by_domain: dict[str, list[HostRecord]]
    pool_allocated: set[str] = attrs.field(factory=set)
    evacuated_group_ids: frozenset[str] = frozenset()
    unheard_group_ids: frozenset[str] = frozenset()

    @classmethod
    def collect(
        cls,
        state: GroupsState,
        table: MembershipTable,
        now_s: float,
        evacuated: frozenset[str] = frozenset(),
    ) -> "Fleet":
        """Classify the live hosts.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups.
        table : MembershipTable
            Liveness and announcements of hosts.
        now_s : float
            Monotonic time in seconds.
        evacuated : frozenset of str, optional
            Evacuated data centres.

        Returns
        -------
        Fleet
            The hosts; valid for this round only.
        """
        live_hosts = [
            record
            for record in table.fresh_hosts(now_s)
            if record.announcement.data_centre not in evacuated
        ]
        fleet = cls(
            live_hosts={record.host_id: record for record in live_hosts},
            free_by_domain=defaultdict(list),
            reserved=state.reserved_hosts(),
            orphaned=[],
            plain=[],
            releasing_by_domain=defaultdict(list),
            evacuated_group_ids=frozenset(
                group_id
                for group_id, group in state.groups.items()
                if is_evacuated(group, table, evacuated)
            ),
        )
        for record in live_hosts:
            fleet._classify_host(record, state)
        return fleet

    def select_counted(self, groups: Iterable[Group]) -> list[Group]:
        """Return the groups that count as capacity.

        Parameters
        ----------
        groups : iterable of Group
            Groups in force.

        Returns
        -------
        list of Group
            Those outside evacuated data centres of which a member is heard.
        """
        uncounted = self.evacuated_group_ids | self.unheard_group_ids
        return [group for group in groups if group.group_id not in uncounted]

    def allocate(self, domain: str, count: int) -> list[HostRecord]:
        """Allocate free hosts of a domain.

        Parameters
        ----------
        domain : str
            The fabric domain.
        count : int
            Number of hosts; at most ``count_free_hosts(domain)``.

        Returns
        -------
        list of HostRecord
            The allocated hosts, lowest identities first.
        """
        free = self.free_by_domain[domain]
        allocated = free[:count]
        self.free_by_domain[domain] = free[count:]
        return allocated

    def reserve(self, host_id: str, group_id: str) -> None:
        """Reserve a host for a group, so that no other group gets it this round.

        Parameters
        ----------
        host_id : str
            The host, free or not.
        group_id : str
            The group that it is reserved for.
        """
        self.reserved[host_id] = group_id
        domain = self.live_hosts[host_id].announcement.fabric_domain
        self.free_by_domain[domain] = [
            record
            for record in self.free_by_domain[domain]
            if record.host_id != host_id
        ]

    def count_free_hosts(self, domain: str) -> int:
        """Return the number of free hosts in a domain.

        Parameters
        ----------
        domain : str
            The fabric domain.

        Returns
        -------
        int
            The number of hosts.
        """
        return len(self.free_by_domain.get(domain, ()))

    def _classify_host(self, record: HostRecord, state: GroupsState) -> None:
        announcement = record.announcement
        if announcement.kind == KIND_SERVICE:
            self.plain.append(record)
            return
        if announcement.kind != KIND_ENGINE or record.host_id in state.owners:
            return
        is_releasing = record.host_id in state.releases
        is_holding = announcement.HasField("holding")
        if (
            is_holding
            and not is_releasing
            and not is_warm_up(announcement.holding, record.host_id)
        ):
            self.orphaned.append(record)
            return
        if announcement.leaving or record.host_id in state.draining_hosts:
            return
        if is_releasing:
            self.releasing_by_domain[announcement.fabric_domain].append(record)
            return
        if record.host_id not in self.reserved:
            self.free_by_domain[announcement.fabric_domain].append(record)


def make_warm_up_group_id(host_id: str, service: str) -> str:
    """Return the id of the group that a host holds alone to warm up.

    Parameters
    ----------
    host_id : str
        The host.
    service : str
        The service for which it warms up.

    Returns
    -------
    str
        The id.
    """
    return f"{WARM_UP_GROUP_PREFIX}{service}-{host_id}"


def is_warm_up(holding: Holding, host_id: str) -> bool:
    """Tell whether a host holds a group only to warm up.

    Parameters
    ----------
    holding : Holding
        What the host announces.
    host_id : str
        The host. Its identity ends the id of its warm-up groups; other groups may
        begin like one, as services may have any name.

    Returns
    -------
    bool
        If True, it serves nobody, and any group may take it.
    """
    group_id = holding.group_id
    return group_id.startswith(WARM_UP_GROUP_PREFIX) and group_id.endswith(
        f"-{host_id}"
    )


def make_member(record: HostRecord, rank: int) -> GroupMember:
    """Create a group member from a live host.

    Parameters
    ----------
    record : HostRecord
        The host.
    rank : int
        Its rank in the group.

    Returns
    -------
    GroupMember
        The member, with the host's current boot id and address.
    """
    return GroupMember(
        host_id=record.host_id,
        boot_id=record.boot_id,
        address=record.announcement.address,
        rank=rank,
    )
