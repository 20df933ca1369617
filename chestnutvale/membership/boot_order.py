"""Ordering of one host's announcements across restarts."""

import enum

import attrs

from chestnutvale.membership.boot_ids import is_earlier_boot
from chestnutvale.membership.const import MAX_SUPERSEDED_BOOTS


class BootVerdict(enum.Enum):
    """Order of an announcement relative to those already received."""

    NEWER = "newer"
    NEW_BOOT = "new_boot"
    OLD_SEQUENCE = "old_sequence"
    OLD_BOOT = "old_boot"


@attrs.define
class BootOrder:
    """Orders the announcements of a host without comparing clocks.

    A boot that is known to have begun before the newest one is old, however late its
    message arrives. Most boot ids carry no order, since the clock of a restarted host
    may be wrong. Then a boot id that was never seen is the newest; one that was
    superseded is old. A superseded boot is reinstated only if its successor has been
    silent for the detection timeout and its sequence continues beyond the last one
    seen, so that a single late message can't exclude a live host for longer than that.

    Parameters
    ----------
    boot_id : str
        Boot of the newest announcement.
    sequence : int
        Sequence of the newest announcement.
    heard_at_s : float
        Monotonic time in seconds of the newest announcement.
    """

    boot_id: str
    sequence: int
    heard_at_s: float
    _superseded: dict[str, int] = attrs.field(factory=dict)

    def observe(
        self, boot_id: str, sequence: int, heard_at_s: float, timeout_s: float
    ) -> BootVerdict:
        """Classify an announcement and record its boot and sequence if it is newer.

        Parameters
        ----------
        boot_id : str
            Boot of the announcement.
        sequence : int
            Sequence of the announcement.
        heard_at_s : float
            Monotonic time in seconds at which it was received.
        timeout_s : float
            Detection timeout in seconds.

        Returns
        -------
        BootVerdict
            Order of the announcement relative to those received before.
        """
        if boot_id == self.boot_id:
            return self._observe_same_boot(sequence, heard_at_s)
        is_later = is_earlier_boot(self.boot_id, boot_id)
        # A report that was repeated may name a boot that has ended since.
        is_overtaken = heard_at_s < self.heard_at_s and not is_later
        if is_overtaken or is_earlier_boot(boot_id, self.boot_id):
            return BootVerdict.OLD_BOOT
        if boot_id in self._superseded:
            successor_silent = heard_at_s - self.heard_at_s > timeout_s
            continues = sequence > self._superseded[boot_id]
            if not (successor_silent and continues):
                return BootVerdict.OLD_BOOT
            del self._superseded[boot_id]
        self._supersede(boot_id, sequence, heard_at_s)
        return BootVerdict.NEW_BOOT

    def _observe_same_boot(self, sequence: int, heard_at_s: float) -> BootVerdict:
        if sequence <= self.sequence:
            return BootVerdict.OLD_SEQUENCE
        self.sequence = sequence
        self.heard_at_s = max(self.heard_at_s, heard_at_s)
        return BootVerdict.NEWER

    def _supersede(self, boot_id: str, sequence: int, heard_at_s: float) -> None:
        self._superseded[self.boot_id] = self.sequence
        if len(self._superseded) > MAX_SUPERSEDED_BOOTS:
            del self._superseded[next(iter(self._superseded))]
        self.boot_id = boot_id
        self.sequence = sequence
        self.heard_at_s = heard_at_s
