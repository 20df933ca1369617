"""The two measures of a deployment: group downtime and stranded accelerators."""

import attrs

from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.table import HostRecord, MembershipTable
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.peer_pb2 import GroupView

KIND_ENGINE = "engine"


@attrs.define
class MeasureTracker:
    """Sums up downtime and stranded time while this control leads.

    Attributes
    ----------
    group_downtime_s : dict of str to float
        Seconds in which a wanted group did not serve, by service, over groups.
    stranded_accelerator_s : float
        Seconds in which accelerators of healthy hosts were unusable.
    stranded_host_ids : frozenset of str
        Hosts that are stranded now.
    stranded_accelerators : int
        Accelerators of those hosts.
    """

    group_downtime_s: dict[str, float] = attrs.field(factory=dict)
    stranded_accelerator_s: float = 0.0
    stranded_host_ids: frozenset[str] = frozenset()
    stranded_accelerators: int = 0
    _updated_at_s: float | None = None

    def update(
        self,
        now_s: float,
        text: Text,
        groups: list[GroupView],
        state: GroupsState,
        table: MembershipTable,
    ) -> None:
        """Count the time since the last update.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        text : Text
            The text in force.
        groups : list of GroupView
            All groups, serving or not.
        state : GroupsState
            Who owns which host.
        table : MembershipTable
            Which hosts are alive.
        """
        elapsed_s = 0.0 if self._updated_at_s is None else now_s - self._updated_at_s
        self._updated_at_s = now_s
        serving = {item.group.group_id for item in groups if item.serving}
        for name, service in text.services.items():
            count = sum(
                1
                for item in groups
                if item.group.service == name and item.group.group_id in serving
            )
            missing = max(0, service.groups - count)
            total_s = self.group_downtime_s.get(name, 0.0)
            self.group_downtime_s[name] = total_s + missing * elapsed_s
        self._count_stranded(elapsed_s, serving, state, table.fresh_hosts(now_s))

    def pause(self) -> None:
        """Stop counting, as when this control leads no more."""
        self._updated_at_s = None

    def _count_stranded(
        self,
        elapsed_s: float,
        serving: set[str],
        state: GroupsState,
        hosts: list[HostRecord],
    ) -> None:
        stranded = [
            record
            for record in hosts
            if record.announcement.kind == KIND_ENGINE
            and state.owners.get(record.host_id) in state.groups
            and state.owners[record.host_id] not in serving
        ]
        self.stranded_host_ids = frozenset(record.host_id for record in stranded)
        self.stranded_accelerators = sum(
            record.announcement.accelerators for record in stranded
        )
        self.stranded_accelerator_s += self.stranded_accelerators * elapsed_s
