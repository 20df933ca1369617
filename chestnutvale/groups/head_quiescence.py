"""Tells whether the head of a dissolved group may still accept calls."""

from collections.abc import Collection

import attrs

from chestnutvale.groups.const import HEAD_STALL_MARGIN_S
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.membership.const import HOLDING_OPEN, HOLDING_RELEASING
from chestnutvale.membership.table import MembershipTable


@attrs.frozen
class HeadQuiescenceCheck:
    """Tells when members of a dissolved group may join another group.

    A head does not notice that a member has left. It accepts calls until it has
    released the group itself, or has made no progress for the engine's stall time. A
    head that is partitioned from the controls can't report, so that time must pass.

    Parameters
    ----------
    policy : GroupsPolicy
        Contains the stall time of engines.
    table : MembershipTable
        Liveness and announcements of hosts.
    """

    policy: GroupsPolicy
    table: MembershipTable

    def is_quiesced(
        self,
        group_id: str,
        member_released_at_s: float,
        now_s: float,
        releasing_host_ids: Collection[str] = (),
    ) -> bool:
        """Tell whether a dissolved group accepts no more calls.

        Parameters
        ----------
        group_id : str
            The dissolved group; empty if unknown.
        member_released_at_s : float
            Monotonic time in seconds by which one of its members had certainly released
            the group.
        now_s : float
            Monotonic time in seconds.
        releasing_host_ids : collection of str, optional
            Former members whose release is not complete yet. One of them that this
            leader has not heard may be the head.

        Returns
        -------
        bool
            Whether its members may join another group.
        """
        if not self.policy.engine_stall_s or not group_id:
            return True
        stalled_at_s = (
            member_released_at_s + self.policy.engine_stall_s + HEAD_STALL_MARGIN_S
        )
        if now_s >= stalled_at_s:
            return True
        for record in self.table.known_hosts():
            announcement = record.announcement
            if announcement is None or not announcement.HasField("holding"):
                continue
            holding = announcement.holding
            if holding.group_id != group_id or holding.rank:
                continue
            if record.is_superseded:
                continue
            if not self.table.is_fresh(record.host_id, now_s):
                return False
            if holding.phase in (HOLDING_OPEN, HOLDING_RELEASING):
                return False
            if self.table.is_heard_in_term(record):
                return True
        return all(self._is_heard(host_id) for host_id in releasing_host_ids)

    def _is_heard(self, host_id: str) -> bool:
        record = self.table.host(host_id)
        return record is not None and self.table.is_heard_in_term(record)
