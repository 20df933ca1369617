"""Delay of entry reports, estimated without comparing wall clocks."""

import math

import attrs

from chestnutvale.membership.const import DELAY_WINDOW_S


@attrs.define
class _ClockOffsets:
    """Smallest clock offsets in the current and the previous window."""

    incarnation: str
    window_ends_s: float
    smallest_s: float = math.inf
    previous_smallest_s: float = math.inf


@attrs.define
class ReportDelayEstimator:
    """Estimates by how much a report exceeds the minimum delay of its entry.

    A report carries its sending time on the monotonic clock of the entry. The
    smallest difference to the arrival within the last windows is taken as the
    clock offset plus the minimum delay; short windows tolerate clock drift.
    """

    _offsets_by_entry: dict[str, _ClockOffsets] = attrs.field(factory=dict)

    def excess_delay_s(
        self, entry_id: str, incarnation: str, sent_at_ms: int, now_s: float
    ) -> float:
        """Return the delay of a report beyond that of the fastest recent ones.

        Parameters
        ----------
        entry_id : str
            The entry that sent it.
        incarnation : str
            Incarnation of the entry; its monotonic clock may restart with each.
        sent_at_ms : int
            Sending time in milliseconds on the entry's monotonic clock.
        now_s : float
            Monotonic time of the arrival in seconds.

        Returns
        -------
        float
            Delay in seconds, at least 0.
        """
        offsets = self._offsets_by_entry.get(entry_id)
        if offsets is None or offsets.incarnation != incarnation:
            offsets = _ClockOffsets(incarnation, now_s + DELAY_WINDOW_S)
            self._offsets_by_entry[entry_id] = offsets
        if now_s >= offsets.window_ends_s:
            offsets.previous_smallest_s = offsets.smallest_s
            offsets.smallest_s = math.inf
            offsets.window_ends_s = now_s + DELAY_WINDOW_S
        offset_s = now_s - sent_at_ms / 1_000
        offsets.smallest_s = min(offsets.smallest_s, offset_s)
        return offset_s - min(offsets.smallest_s, offsets.previous_smallest_s)

    def forget(self, entry_id: str) -> None:
        """Remove the offsets of an entry.

        Parameters
        ----------
        entry_id : str
            The entry.
        """
        self._offsets_by_entry.pop(entry_id, None)
