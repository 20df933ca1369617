"""How late the reports of each entry arrive, without comparing wall clocks."""

import math

import attrs

from chestnutvale.membership.const import DELAY_WINDOW_S


@attrs.define
class _ClockOffsets:
    """Smallest offsets between two clocks in this window and the one before."""

    incarnation: str
    window_ends_s: float
    smallest_s: float = math.inf
    previous_smallest_s: float = math.inf


@attrs.define
class ReportDelayEstimator:
    """Estimates the delay of reports beyond the smallest one seen of an entry.

    A report carries its sending time on the monotonic clock of the entry. The
    smallest difference to the arrival within the last windows is taken as the
    offset of the clocks plus the shortest way; short windows let clocks drift.
    """

    _offsets_by_entry: dict[str, _ClockOffsets] = attrs.field(factory=dict)

    def excess_delay_s(
        self, entry_id: str, incarnation: str, sent_at_ms: int, now_s: float
    ) -> float:
        """Return how much later than the fastest ones a report arrived.

        Parameters
        ----------
        entry_id : str
            The entry that sent it.
        incarnation : str
            Life of the entry; its clock may start anew with each.
        sent_at_ms : int
            Time of sending on the clock of the entry.
        now_s : float
            Monotonic time of the arrival.

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
        """Drop what is known of an entry.

        Parameters
        ----------
        entry_id : str
            The entry.
        """
        self._offsets_by_entry.pop(entry_id, None)
