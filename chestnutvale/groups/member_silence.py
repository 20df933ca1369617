"""Tells what the silence of members says about a pooled group."""

import math

import attrs

from chestnutvale.groups.const import (
    HEAD_STALL_MARGIN_S,
    MAX_ROUND_GAP_S,
    OVERDUE_FRACTION,
    RETURN_GRACE_S,
    RUNNING_CALLS_GRACE_S,
    UNHEARD_GROUP_EXPIRY_S,
)
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import Group


@attrs.define
class _Suspicion:
    """What is awaited before a group with a silent member counts as lost.

    Attributes
    ----------
    others_due_s : float
        Monotonic time in seconds by which its members announce themselves; infinite
        while none of them is heard.
    calls_due_s : float
        Monotonic time in seconds at which calls that stayed there are given up.
    """

    others_due_s: float
    calls_due_s: float = math.inf


@attrs.define
class MemberSilence:
    """Decides whether a silent member is lost to its group.

    Hosts that fall silent at the same time have more likely paused, or been cut off
    from this control, or this control itself ran late, than been lost one by one. No
    order reaches any of them, so dissolving their group frees no host, while it ends
    the calls of a head that goes on. Such a group is kept until a member is heard
    again, and for the time that the others need to announce themselves.

    A member that is silent alone may pause, too. Its group is dissolved at once if all
    calls have left it. Otherwise it is kept until its engine must have ended the calls
    itself, which it does once it has stalled for its stall time.

    Attributes
    ----------
    engine_stall_s : float
        Time in seconds after which an engine ends calls that a missing member stalls; 0
        if unknown, which gives the calls a short grace time.
    """

    engine_stall_s: float = 0.0
    _suspicions: dict[int, _Suspicion] = attrs.field(factory=dict)
    _previous: dict[int, _Suspicion] = attrs.field(factory=dict)
    _round_s: float = math.inf
    _late_until_s: float = -math.inf

    def begin_round(self, now_s: float) -> None:
        """Begin a round; forget the groups that the last one did not ask for.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds. If the last round was long ago, this control may
            have stood still, and announcements may have arrived that are not read yet.
        """
        if now_s - self._round_s > MAX_ROUND_GAP_S:
            self._late_until_s = now_s + RETURN_GRACE_S
        self._round_s = now_s
        self._previous, self._suspicions = self._suspicions, {}

    def is_conclusive(
        self,
        group: Group,
        table: MembershipTable,
        heard_at_s: float,
        may_run_calls: bool,
        now_s: float,
    ) -> bool:
        """Tell whether a member that is silent beyond its timeout is lost.

        Parameters
        ----------
        group : Group
            The group.
        table : MembershipTable
            Liveness and announcements of hosts.
        heard_at_s : float
            Monotonic time in seconds of the last announcement of the silent member.
        may_run_calls : bool
            Whether calls may still be at the group.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False while no member of the group is heard, and shortly after that, and
            while calls may still be answered there.
        """
        silence_s = _find_shortest_silence_s(group, table, now_s)
        if silence_s > UNHEARD_GROUP_EXPIRY_S:
            return True
        is_overdue = silence_s > OVERDUE_FRACTION * table.detection_timeout_s
        suspicion = self._previous.get(group.epoch)
        if suspicion is None:
            others_due_s = max(now_s, self._late_until_s)
            suspicion = _Suspicion(math.inf if is_overdue else others_due_s)
        elif not is_overdue and suspicion.others_due_s == math.inf:
            suspicion.others_due_s = now_s + RETURN_GRACE_S
        self._suspicions[group.epoch] = suspicion
        if now_s < suspicion.others_due_s:
            return False
        if suspicion.calls_due_s == math.inf:
            suspicion.calls_due_s = now_s + RUNNING_CALLS_GRACE_S
        calls_due_s = suspicion.calls_due_s
        if self.engine_stall_s:
            # The member may have gone silent just before its next announcement.
            silent_at_s = heard_at_s + OVERDUE_FRACTION * table.detection_timeout_s
            calls_due_s = silent_at_s + self.engine_stall_s + HEAD_STALL_MARGIN_S
        return not may_run_calls or now_s >= calls_due_s

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
        suspicion = self._suspicions.get(group.epoch)
        return suspicion is not None and suspicion.others_due_s == math.inf


def _find_shortest_silence_s(
    group: Group, table: MembershipTable, now_s: float
) -> float:
    """Return the time in seconds since any member of a group announced itself.

    An unknown member may have done so until this leader began to receive reports.
    """
    records = [table.host(member.host_id) for member in group.members]
    return now_s - max(
        record.heard_at_s if record is not None else table.receiving_since_s
        for record in records
    )
