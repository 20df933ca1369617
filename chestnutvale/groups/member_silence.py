"""Tells what the silence of members says about a pooled group."""

import math

import attrs

from chestnutvale.groups.const import (
    OVERDUE_FRACTION,
    RETURN_GRACE_S,
    UNHEARD_GROUP_EXPIRY_S,
)
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import Group


@attrs.define
class MemberSilence:
    """Decides whether a silent member is lost to its group.

    Hosts that fall silent at the same time have more likely paused, or been cut off
    from this control, or this control itself ran late, than been lost one by one. No
    order reaches any of them, so dissolving their group frees no host, while it ends
    the calls of a head that goes on. Such a group is kept until a member is heard
    again, and for the time that the others need to announce themselves.
    """

    _others_due_s: dict[int, float] = attrs.field(factory=dict)
    _previous_due_s: dict[int, float] = attrs.field(factory=dict)

    def begin_round(self) -> None:
        """Begin a round; forget the groups that the last one did not ask for."""
        self._previous_due_s, self._others_due_s = self._others_due_s, {}

    def is_conclusive(self, group: Group, table: MembershipTable, now_s: float) -> bool:
        """Tell whether a member that is silent beyond its timeout is lost.

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
            False while no member of the group is heard, and shortly after that.
        """
        silence_s = _find_shortest_silence_s(group, table, now_s)
        if silence_s > UNHEARD_GROUP_EXPIRY_S:
            return True
        due_s = self._previous_due_s.get(group.epoch, -math.inf)
        is_overdue = silence_s > OVERDUE_FRACTION * table.detection_timeout_s
        if is_overdue and due_s == -math.inf:
            due_s = math.inf
        elif not is_overdue and due_s == math.inf:
            due_s = now_s + RETURN_GRACE_S
        self._others_due_s[group.epoch] = due_s
        return now_s >= due_s

    def is_unheard(self, group: Group) -> bool:
        """Tell whether a group is kept in this round although no member is heard.

        Parameters
        ----------
        group : Group
            The group.

        Returns
        -------
        bool
            If True, it doesn't count as capacity.
        """
        return self._others_due_s.get(group.epoch) == math.inf


def _find_shortest_silence_s(
    group: Group, table: MembershipTable, now_s: float
) -> float:
    """Return the time in seconds since any member of a group announced itself."""
    records = [table.host(member.host_id) for member in group.members]
    return now_s - max(
        (record.heard_at_s for record in records if record is not None),
        default=-math.inf,
    )
