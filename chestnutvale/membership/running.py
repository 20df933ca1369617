"""Attempts that entries run at each group, summed at the control."""

from collections import Counter
from collections.abc import Iterable

import attrs

from chestnutvale.membership.const import ENTRY_TIMEOUT_S
from chestnutvale.schema.peer_pb2 import GroupLoad


@attrs.frozen
class _Report:
    counts: dict[str, int]
    expires_s: float


@attrs.define
class RunningTable:
    """The latest counts of each entry.

    Parameters
    ----------
    expiry_s : float, optional
        Time in seconds for which a report counts.
    """

    expiry_s: float = ENTRY_TIMEOUT_S
    _reports: dict[str, _Report] = attrs.field(factory=dict)

    def note(self, entry_id: str, running: Iterable[GroupLoad], now_s: float) -> None:
        """Take a report; it replaces the entry's last one.

        Parameters
        ----------
        entry_id : str
            The entry.
        running : iterable of GroupLoad
            Attempts that run at each group.
        now_s : float
            Monotonic time.
        """
        counts = {item.group_id: item.load.running for item in running}
        self._reports[entry_id] = _Report(counts, now_s + self.expiry_s)

    def totals(self, now_s: float) -> Counter[str]:
        """Return the attempts at each group over all live entries.

        Parameters
        ----------
        now_s : float
            Monotonic time.

        Returns
        -------
        Counter
            By group; a group at which none runs is absent.
        """
        self._reports = {
            entry_id: report
            for entry_id, report in self._reports.items()
            if report.expires_s > now_s
        }
        totals: Counter[str] = Counter()
        for report in self._reports.values():
            totals.update(report.counts)
        return totals
