"""The hosts that a planner can use, sorted by fabric domain."""

from collections import defaultdict

import attrs

from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.const import KIND_ENGINE, KIND_SERVICE
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import GroupMember


@attrs.define
class Fleet:
    """Living hosts by what may be done with them, for one round of planning.

    Attributes
    ----------
    live_hosts : dict of str to HostRecord
        All living hosts whose announcement is known.
    free_by_domain : dict of str to list of HostRecord
        Engines that any group may take, by fabric domain, each sorted by identity.
    reserved : dict of str to str
        Group for which a host is kept.
    orphaned : list of HostRecord
        Engines that hold something although no group owns them.
    plain : list of HostRecord
        Hosts of plain services.
    releasing_by_domain : dict of str to list of HostRecord
        Engines that will be free soon, by fabric domain.
    pool_allocated : set of str
        Free engines that groups of this round took.
    """

    live_hosts: dict[str, HostRecord]
    free_by_domain: dict[str, list[HostRecord]]
    reserved: dict[str, str]
    orphaned: list[HostRecord]
    plain: list[HostRecord]
    releasing_by_domain: dict[str, list[HostRecord]]
    pool_allocated: set[str] = attrs.field(factory=set)

    @classmethod
    def collect(
        cls, state: GroupsState, table: MembershipTable, now_s: float
    ) -> "Fleet":
        """Sort the living hosts.

        Parameters
        ----------
        state : GroupsState
            The replicated groups.
        table : MembershipTable
            What is known of hosts.
        now_s : float
            Monotonic time.

        Returns
        -------
        Fleet
            The hosts, for this round only.
        """
        live_hosts = table.fresh_hosts(now_s)
        fleet = cls(
            live_hosts={record.host_id: record for record in live_hosts},
            free_by_domain=defaultdict(list),
            reserved=state.reserved_hosts(),
            orphaned=[],
            plain=[],
            releasing_by_domain=defaultdict(list),
        )
        for record in live_hosts:
            fleet._classify_host(record, state)
        return fleet

    def allocate(self, domain: str, count: int) -> list[HostRecord]:
        """Take free hosts out of a domain.

        Parameters
        ----------
        domain : str
            The fabric domain.
        count : int
            Number of hosts; there must be as many.

        Returns
        -------
        list of HostRecord
            The first ones by identity.
        """
        free = self.free_by_domain[domain]
        taken = free[:count]
        self.free_by_domain[domain] = free[count:]
        return taken

    def reserve(self, host_id: str, group_id: str) -> None:
        """Keep a host for a group, so that no other takes it this round.

        Parameters
        ----------
        host_id : str
            The host, free or not.
        group_id : str
            The group that it is kept for.
        """
        self.reserved[host_id] = group_id
        domain = self.live_hosts[host_id].announcement.fabric_domain
        self.free_by_domain[domain] = [
            record
            for record in self.free_by_domain[domain]
            if record.host_id != host_id
        ]

    def free_count(self, domain: str) -> int:
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
        if announcement.HasField("holding") and not is_releasing:
            self.orphaned.append(record)
            return
        if announcement.leaving or record.host_id in state.draining_hosts:
            return
        if is_releasing:
            self.releasing_by_domain[announcement.fabric_domain].append(record)
            return
        if record.host_id not in self.reserved:
            self.free_by_domain[announcement.fabric_domain].append(record)


def make_member(record: HostRecord, rank: int) -> GroupMember:
    """Make a member of a living host.

    Parameters
    ----------
    record : HostRecord
        The host.
    rank : int
        Its rank in the group.

    Returns
    -------
    GroupMember
        The member under the host's present boot and address.
    """
    return GroupMember(
        host_id=record.host_id,
        boot_id=record.boot_id,
        address=record.announcement.address,
        rank=rank,
    )
