"""The budget of weight loads, which all groups share."""

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
    """Tell whether a host holds the share of the weights that a rank needs.

    Parameters
    ----------
    record : HostRecord
        What is known of the host.
    group : Group
        The group.
    rank : int
        The rank in the group.

    Returns
    -------
    bool
        Whether it announces that it is ready with that share, or has it at hand.
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
    """Counts the hosts that load weights and orders the groups that wait.

    Parameters
    ----------
    policy : GroupsPolicy
        Weights and times.
    state : GroupsState
        The replicated groups.
    table : MembershipTable
        What is known of hosts.
    loads_at_once : int, optional
        Loads that the weight store serves at full speed, in place of the limit of the
        policy; 0 if that is not known.
    """

    policy: GroupsPolicy
    state: GroupsState
    table: MembershipTable
    loads_at_once: int = 0
    _remaining_loads: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count the loads under way."""
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
        """Loads that may begin now; 0 or less if none may."""
        return self._remaining_loads

    def reserve_load(self) -> bool:
        """Take the right to load on one more host.

        Returns
        -------
        bool
            Whether the budget allows it.
        """
        if self._remaining_loads <= 0:
            return False
        self._remaining_loads -= 1
        return True

    def sort_groups_by_value(self) -> list[Group]:
        """Return the groups in the order in which their loads are worth most.

        Returns
        -------
        list of Group
            Highest cost that is ended for each host that loads, first.
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
