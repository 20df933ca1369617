"""Attempts that entries run at each group, summed at the control."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from chestnutvale.membership.const import (
    ENTRY_TIMEOUT_S,
    LOAD_MESSAGES_PER_S,
    MIN_LOAD_EXCHANGE_INTERVAL_S,
)
from chestnutvale.schema.peer_pb2 import GroupLoad


def load_exchange_interval_s(entry_count: int) -> float:
    """Return the time between two exchanges of what runs at each group.

    Parameters
    ----------
    entry_count : int
        Live entries.

    Returns
    -------
    float
        Seconds; longer with more entries, so that the leading control's share of a
        core stays bounded.
    """
    return max(MIN_LOAD_EXCHANGE_INTERVAL_S, entry_count / LOAD_MESSAGES_PER_S)


@attrs.frozen
class _Report:
    counts: dict[str, int]
    expires_s: float


@attrs.define
class AttemptCounts:
    """The latest counts of each entry.

    Parameters
    ----------
    expiry_s : float, optional
        Time in seconds for which a report counts.
    """

    expiry_s: float = ENTRY_TIMEOUT_S
    _reports: dict[str, _Report] = attrs.field(factory=dict)

    def record_group_loads(
        self, entry_id: str, running: Iterable[GroupLoad], now_s: float
    ) -> None:
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
        self.record_counts(entry_id, counts, now_s)

    def record_counts(
        self, entry_id: str, counts: Mapping[str, int], now_s: float
    ) -> None:
        """Take the counts of an entry in place of its last ones.

        Parameters
        ----------
        entry_id : str
            The entry.
        counts : mapping of str to int
            Attempts by group.
        now_s : float
            Monotonic time.
        """
        self._reports[entry_id] = _Report(dict(counts), now_s + self.expiry_s)

    def counts_excluding(
        self, entry_id: str, totals: Mapping[str, int]
    ) -> dict[str, int]:
        """Return the attempts of all entries but one.

        Parameters
        ----------
        entry_id : str
            The entry that is left out.
        totals : mapping of str to int
            Attempts of all entries, from `totals`.

        Returns
        -------
        dict of str to int
            By group; a group at which none runs is absent.
        """
        report = self._reports.get(entry_id)
        own = report.counts if report is not None else {}
        counts = {name: count - own.get(name, 0) for name, count in totals.items()}
        return {name: count for name, count in counts.items() if count > 0}

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
