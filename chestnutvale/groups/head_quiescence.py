"""Whether the head of a dissolved group may still take calls."""

import attrs

from chestnutvale.groups.const import HEAD_STALL_MARGIN_S
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.membership.const import HOLDING_OPEN, HOLDING_RELEASING
from chestnutvale.membership.table import MembershipTable


@attrs.frozen
class HeadQuiescenceCheck:
    """Tells when the members of a dissolved group may join another one.

    A head does not notice that a member has left. It goes on taking calls until it
    has let go itself, or until it has stood still for the engine's stall time. A head
    that is cut off from the controls can't be asked, so that time is waited out.

    Parameters
    ----------
    policy : GroupsPolicy
        Holds the stall time.
    table : MembershipTable
        What is known of hosts.
    """

    policy: GroupsPolicy
    table: MembershipTable

    def is_quiesced(
        self, group_id: str, member_released_at_s: float, now_s: float
    ) -> bool:
        """Tell whether a group takes no calls any more.

        Parameters
        ----------
        group_id : str
            The dissolved group; empty if it is not known.
        member_released_at_s : float
            Monotonic time from which one of its members has certainly let go.
        now_s : float
            Monotonic time.

        Returns
        -------
        bool
            Whether its members may join another group.
        """
        if not self.policy.engine_stall_s or not group_id:
            return True
        stalled_s = (
            member_released_at_s + self.policy.engine_stall_s + HEAD_STALL_MARGIN_S
        )
        if now_s >= stalled_s:
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
        return True
