"""Measures of a deployment: group downtime and stranded accelerator time."""

from collections import Counter

import attrs

from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.peer_pb2 import GroupView

KIND_ENGINE = "engine"


@attrs.define
class MeasureTracker:
    """Accumulates downtime and stranded accelerator time while this control leads.

    Attributes
    ----------
    group_downtime_s : dict of str to float
        Seconds in which wanted groups did not serve, by service, summed over groups.
    stranded_accelerator_s : float
        Accelerator-seconds in which healthy hosts belonged to a group that did not
        serve.
    stranded_host_ids : frozenset of str
        Healthy hosts whose group does not serve now, outside evacuated data centres.
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
        """Add the time since the last update to the measures.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        text : Text
            The text in force.
        groups : list of GroupView
            All groups, serving or not.
        state : GroupsState
            Replicated groups and the group of each host.
        table : MembershipTable
            The host table.
        """
        elapsed_s = 0.0 if self._updated_at_s is None else now_s - self._updated_at_s
        self._updated_at_s = now_s
        # Hosts of an evacuated data centre are idle by order and not by a fault.
        working_group_ids = {
            item.group.group_id for item in groups if item.serving or item.evacuated
        }
        serving_counts = Counter(item.group.service for item in groups if item.serving)
        for name, service in text.services.items():
            missing_count = max(0, service.groups - serving_counts[name])
            total_s = self.group_downtime_s.get(name, 0.0)
            self.group_downtime_s[name] = total_s + missing_count * elapsed_s
        self._count_stranded(elapsed_s, working_group_ids, state, table, now_s)

    def pause(self) -> None:
        """Stop counting, for example after losing leadership."""
        self._updated_at_s = None

    def _count_stranded(
        self,
        elapsed_s: float,
        working_group_ids: set[str],
        state: GroupsState,
        table: MembershipTable,
        now_s: float,
    ) -> None:
        # Most groups serve, so only the hosts of the others are looked up.
        owned_records = [
            table.host(host_id)
            for host_id, group_id in state.owners.items()
            if group_id in state.groups and group_id not in working_group_ids
        ]
        stranded_records = [
            record
            for record in owned_records
            if record is not None and _is_healthy_engine(record, table, now_s)
        ]
        self.stranded_host_ids = frozenset(
            record.host_id for record in stranded_records
        )
        self.stranded_accelerators = sum(
            record.announcement.accelerators for record in stranded_records
        )
        self.stranded_accelerator_s += self.stranded_accelerators * elapsed_s


def _is_healthy_engine(
    record: HostRecord, table: MembershipTable, now_s: float
) -> bool:
    return (
        record.is_content_current
        and table.is_fresh(record.host_id, now_s)
        and record.announcement.kind == KIND_ENGINE
    )
