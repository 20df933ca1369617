"""Record of one host in the host table."""

import math

import attrs

from chestnutvale.membership.boot_order import BootOrder
from chestnutvale.membership.const import (
    COLD_DEADLINE_JITTER_S,
    HOLDING_OPEN,
    HOLDING_READY,
)
from chestnutvale.schema.membership_pb2 import Announcement, Load


@attrs.define
class HostRecord:
    """Record of one host at a control.

    Attributes
    ----------
    host_id : str
        Identity of the host.
    boot_order : BootOrder
        Newest boot and sequence, and the time of that announcement.
    sender_id : str
        Entry or control that reported it last.
    announcement : Announcement or None
        Newest full announcement; None before the first one.
    digest : int
        Content digest of the host's latest announcement.
    is_content_current : bool
        Whether ``announcement`` is the host's latest announcement.
    load : Load or None
        Newest load; None before the first one.
    is_superseded : bool
        Whether a newer process with another identity owns its address.
    is_load_from_entries : bool
        Whether the load is the entries' attempt count, as the host reports none.
    announces_to_control : bool
        Whether it announces itself to a control instead of the entries.
    departed_boot_id : str
        Boot that is known to leave, whatever it announces later; empty if none.
    released_group_id : str
        Group that this boot held last and has released; empty if none.
    released_at_s : float
        Monotonic time in seconds by which it had released that group.
    warm_service : str
        Service of the group in which this boot was ready last; empty if none. The host
        is ready sooner for another group of it.
    cold_until_s : float
        Monotonic time in seconds until which this boot is or was cold; minus infinity
        if it was not.
    cold_before_s : float
        The same for the time before it last became cold.
    """

    host_id: str
    boot_order: BootOrder
    sender_id: str
    announcement: Announcement | None = None
    digest: int = 0
    is_content_current: bool = False
    load: Load | None = None
    is_superseded: bool = False
    is_load_from_entries: bool = False
    announces_to_control: bool = False
    departed_boot_id: str = ""
    released_group_id: str = ""
    released_at_s: float = math.inf
    warm_service: str = ""
    cold_until_s: float = -math.inf
    cold_before_s: float = -math.inf

    @property
    def boot_id(self) -> str:
        """Newest boot of the host."""
        return self.boot_order.boot_id

    @property
    def heard_at_s(self) -> float:
        """Monotonic time in seconds of the host's latest announcement."""
        return self.boot_order.heard_at_s

    def record_cold(self, remaining_ms: int, is_new_boot: bool) -> bool:
        """Record the remaining cold time of the latest announcement as a deadline.

        Parameters
        ----------
        remaining_ms : int
            Time in milliseconds for which the host stays cold; 0 if it is not.
        is_new_boot : bool
            Whether it is the first announcement of this boot.

        Returns
        -------
        bool
            Whether the deadline has changed by more than the transit of announcements.
        """
        if is_new_boot:
            self.cold_until_s = self.cold_before_s = -math.inf
        if not remaining_ms:
            was_cold = self.cold_until_s > self.heard_at_s
            self.cold_until_s = min(self.cold_until_s, self.heard_at_s)
            return was_cold
        until_s = self.heard_at_s + remaining_ms / 1_000
        if abs(until_s - self.cold_until_s) <= COLD_DEADLINE_JITTER_S:
            return False
        if until_s > self.cold_until_s:
            self.cold_before_s = self.cold_until_s
        self.cold_until_s = until_s
        return True

    def store_announcement(self, announcement: Announcement) -> None:
        """Replace the announcement, and record a release that it shows.

        Parameters
        ----------
        announcement : Announcement
            The host's latest announcement.
        """
        before = self.announcement
        self.announcement = announcement
        self.is_content_current = True
        if before is None or before.boot_id != announcement.boot_id:
            self.released_group_id = ""
            self.warm_service = ""
        if announcement.holding.phase in (HOLDING_READY, HOLDING_OPEN):
            self.warm_service = announcement.holding.service
        if before is None or before.boot_id != announcement.boot_id:
            return
        held_group_id = before.holding.group_id
        holds_group_id = announcement.holding.group_id
        if held_group_id and held_group_id != holds_group_id:
            self.released_group_id = held_group_id
            self.released_at_s = self.heard_at_s
        elif holds_group_id and holds_group_id == self.released_group_id:
            self.released_group_id = ""
