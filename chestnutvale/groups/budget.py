"""Limits concurrent weight loads across all groups."""

import math

import attrs

from chestnutvale.groups.const import LOAD_OVERCOMMIT_RATIO, PHASE_FORMING
from chestnutvale.groups.serving import holds_epoch
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.const import HOLDING_LOADING, HOLDING_READY
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import Group


def has_weights(record: HostRecord, group: Group, rank: int) -> bool:
    """Tell whether a host has the weight shard that a rank needs.

    Parameters
    ----------
    record : HostRecord
        Membership record of the host.
    group : Group
        The group.
    rank : int
        The rank in the group.

    Returns
    -------
    bool
        Whether it announces that it is ready with that shard or has it staged.
    """
    announcement = record.announcement
    if announcement is None:
        return False
    if group.service in announcement.staged:
        return True
    if not announcement.HasField("holding"):
        return False
    holding = announcement.holding
    if holding.phase != HOLDING_READY or holding.service != group.service:
        return False
    return (holding.rank, holding.version) == (rank, group.version)


@attrs.define
class LoadBudget:
    """Counts the hosts that load weights and ranks the groups that wait to load.

    Parameters
    ----------
    policy : GroupsPolicy
        Cost weights and durations.
    state : GroupsState
        Replicated state of the groups.
    table : MembershipTable
        Liveness and announcements of hosts.
    loads_at_once : int, optional
        Concurrent loads that the weight store serves at full speed. The limit is this
        times ``LOAD_OVERCOMMIT_RATIO``, or that of the policy if it is 0 (unknown).
    """

    policy: GroupsPolicy
    state: GroupsState
    table: MembershipTable
    loads_at_once: int = 0
    _remaining_loads: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Subtract the loads in progress from the limit."""
        loading = sum(
            self._is_loading(group, member.host_id)
            for group in self.state.groups.values()
            if group.phase == PHASE_FORMING
            for member in group.members
        )
        limit = math.ceil(LOAD_OVERCOMMIT_RATIO * self.loads_at_once)
        limit = limit or self.policy.max_loading_hosts
        self._remaining_loads = limit - loading

    @property
    def remaining_loads(self) -> int:
        """Number of loads that may start now; 0 or less if none may."""
        return self._remaining_loads

    def reserve_load(self) -> bool:
        """Reserve one load from the budget.

        Returns
        -------
        bool
            False if the budget is used up.
        """
        if self._remaining_loads <= 0:
            return False
        self._remaining_loads -= 1
        return True

    def sort_groups_by_value(self) -> list[Group]:
        """Return the groups by the value of loading them, highest first.

        Returns
        -------
        list of Group
            Sorted by the cost rate that is saved for each host that must load.
        """
        return sorted(
            self.state.groups.values(),
            key=lambda group: (-self._load_value(group), group.group_id),
        )

    def _load_value(self, group: Group) -> float:
        if group.phase != PHASE_FORMING:
            return float("inf")
        value = self.policy.group_downtime_weight
        value += self.policy.stranded_hosts_weight * len(group.members)
        to_load = sum(
            record is None or not has_weights(record, group, member.rank)
            for member in group.members
            for record in (self.table.host(member.host_id),)
        )
        return value / max(1, to_load)

    def _is_loading(self, group: Group, host_id: str) -> bool:
        record = self.table.host(host_id)
        return record is not None and holds_epoch(record, group, HOLDING_LOADING)
