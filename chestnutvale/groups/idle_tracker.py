"""Tracks when a draining group has no running requests left."""

import attrs

from chestnutvale.groups.call_time_limits import CallTimeLimits
from chestnutvale.groups.const import VIEW_PROPAGATION_S
from chestnutvale.groups.members import group_head
from chestnutvale.groups.serving import find_serving_fault, has_recent_events
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group


@attrs.define
class IdleTracker:
    """Tracks since when each group has had no serving right.

    A group is idle once every entry's lease on its serving right has expired and its
    head has reported since then that no request runs or waits, or once all requests
    must have reached their time limits. If the head is silent or unknown, the entries'
    attempts there count; a count that may lack an entry releases no group.

    Parameters
    ----------
    policy : GroupsPolicy
        Cost weights and durations.
    """

    policy: GroupsPolicy
    _call_limits: CallTimeLimits = attrs.field(
        default=attrs.Factory(
            lambda self: CallTimeLimits(self.policy.serving_lease_s), takes_self=True
        ),
        init=False,
    )
    _stopped_since_s: dict[str, float] = attrs.field(factory=dict)
    _last_states: dict[str, tuple[int, str]] = attrs.field(factory=dict)

    def reset(self) -> None:
        """Discard observations from an earlier term as leader."""
        self._call_limits.reset()
        self._stopped_since_s.clear()
        self._last_states.clear()

    def observe(
        self, state: GroupsState, table: MembershipTable, text: Text, now_s: float
    ) -> None:
        """Record which groups serve now, and how long their calls may run.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups.
        table : MembershipTable
            Liveness and announcements of hosts.
        text : Text
            Configuration in force.
        now_s : float
            Monotonic time in seconds.
        """
        has_pools = any(group.pooled for group in state.groups.values())
        self._call_limits.observe(text, now_s, has_pools=has_pools)
        stopped = {}
        states = {}
        for group in state.groups.values():
            if not find_serving_fault(group, table, now_s, state.draining_hosts):
                continue
            # A group that served between two observations has another phase or epoch.
            group_id = group.group_id
            states[group_id] = (group.epoch, group.phase)
            is_same = self._last_states.get(group_id) == states[group_id]
            stopped[group_id] = self._stopped_since_s[group_id] if is_same else now_s
        self._stopped_since_s = stopped
        self._last_states = states

    def is_serving(self, group: Group) -> bool:
        """Tell whether a group served at the last observation.

        Parameters
        ----------
        group : Group
            The group.

        Returns
        -------
        bool
            Whether it had the serving right.
        """
        return group.group_id not in self._stopped_since_s

    def stopped_at_s(self, group_id: str) -> float | None:
        """Return the time since which a group has had no serving right.

        Parameters
        ----------
        group_id : str
            The group.

        Returns
        -------
        float or None
            Monotonic time in seconds; None while it serves.
        """
        return self._stopped_since_s.get(group_id)

    def is_idle(self, group: Group, table: MembershipTable, now_s: float) -> bool:
        """Tell whether a group has no requests left.

        Parameters
        ----------
        group : Group
            The group.
        table : MembershipTable
            Liveness and announcements of hosts.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether its members may be released.
        """
        stopped_at_s = self._stopped_since_s.get(group.group_id)
        if stopped_at_s is None:
            return False
        # Heads with a stall timeout reject requests sent under an old serving right.
        has_stall_timeout = self.policy.engine_stall_s > 0.0
        lease_s = (
            VIEW_PROPAGATION_S if has_stall_timeout else self.policy.serving_lease_s
        )
        no_new_requests_from_s = stopped_at_s + lease_s
        if now_s <= no_new_requests_from_s:
            return False
        if now_s > stopped_at_s + self._drain_limit_s(now_s):
            return True
        head_id = group_head(group).host_id
        head = table.host(head_id)
        attempts = table.attempts_at(head_id)
        is_heard = head is not None and table.is_heard_in_term(head)
        if not is_heard or not table.is_fresh(head_id, now_s):
            # A head that only pauses, or that a new leader has yet to hear, goes on
            # with the requests that it has.
            return not (attempts.may_run or has_recent_events(group, table, now_s))
        has_own_load = _announces_load(head)
        if not has_own_load and not attempts.is_complete:
            return False
        if not group.plain and not _holds_group(head, group):
            return True
        if head.heard_at_s <= no_new_requests_from_s:
            return False
        if not has_own_load:
            return attempts.running == 0
        return head.load.running == 0 and head.load.waiting == 0

    def _drain_limit_s(self, now_s: float) -> float:
        """Return the time after which no request can run at a draining group.

        A release cancels the requests that run, so it waits for the last call that an
        entry may have sent under its lease.
        """
        longest_s = self._call_limits.longest_s(now_s)
        return max(self.policy.drain_timeout_s, self.policy.serving_lease_s + longest_s)


def _announces_load(record: HostRecord) -> bool:
    announcement = record.announcement
    return announcement is not None and announcement.HasField("load")


def _holds_group(record: HostRecord, group: Group) -> bool:
    """Tell whether a host holds a group, also under an earlier epoch."""
    announcement = record.announcement
    return announcement is None or announcement.holding.group_id == group.group_id
