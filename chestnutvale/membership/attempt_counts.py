"""Running attempts per group, summed over the entries."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from chestnutvale.membership.const import (
    ENTRY_TIMEOUT_S,
    LOAD_MESSAGES_PER_S,
    MIN_LOAD_EXCHANGE_INTERVAL_S,
    SILENT_ATTEMPTS_RETENTION_S,
)
from chestnutvale.schema.peer_pb2 import GroupLoad


def load_exchange_interval_s(entry_count: int) -> float:
    """Return the interval between exchanges of running attempt counts.

    Parameters
    ----------
    entry_count : int
        Number of live entries.

    Returns
    -------
    float
        Seconds; it grows with the number of entries to bound the CPU load of the
        leader.
    """
    return max(MIN_LOAD_EXCHANGE_INTERVAL_S, entry_count / LOAD_MESSAGES_PER_S)


@attrs.frozen
class _Report:
    counts: dict[str, int]
    reported_at_s: float


@attrs.define
class AttemptCounts:
    """Latest running attempt counts of each entry.

    Parameters
    ----------
    expiry_s : float, optional
        Seconds after which the counts of an entry expire.
    retention_s : float, optional
        Seconds for which the counts of a silent entry are remembered.
    """

    expiry_s: float = ENTRY_TIMEOUT_S
    retention_s: float = SILENT_ATTEMPTS_RETENTION_S
    _reports: dict[str, _Report] = attrs.field(factory=dict)

    def record_group_loads(
        self, entry_id: str, running: Iterable[GroupLoad], now_s: float
    ) -> None:
        """Store the group loads of an entry; they replace its last ones.

        Parameters
        ----------
        entry_id : str
            The entry.
        running : iterable of GroupLoad
            Running attempts at each group.
        now_s : float
            Monotonic time in seconds.
        """
        counts = {item.group_id: item.load.running for item in running}
        self.record_counts(entry_id, counts, now_s)

    def record_counts(
        self, entry_id: str, counts: Mapping[str, int], now_s: float
    ) -> None:
        """Store the counts of an entry; they replace its last ones.

        Parameters
        ----------
        entry_id : str
            The entry.
        counts : mapping of str to int
            Running attempts by group.
        now_s : float
            Monotonic time in seconds.
        """
        self._reports[entry_id] = _Report(dict(counts), now_s)

    def counts_excluding(
        self, entry_id: str, totals: Mapping[str, int]
    ) -> dict[str, int]:
        """Return the running attempts of all entries except one.

        Parameters
        ----------
        entry_id : str
            The entry to exclude.
        totals : mapping of str to int
            Attempts of all entries, from `totals`.

        Returns
        -------
        dict of str to int
            Count by group; groups without running attempts are absent.
        """
        report = self._reports.get(entry_id)
        own = report.counts if report is not None else {}
        counts = {name: count - own.get(name, 0) for name, count in totals.items()}
        return {name: count for name, count in counts.items() if count > 0}

    def totals(self, now_s: float) -> Counter[str]:
        """Return the running attempts at each group.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Counter
            Count by group; groups without running attempts are absent.
        """
        return self._sum_reports(now_s - self.expiry_s)

    def remembered_totals(self, now_s: float) -> Counter[str]:
        """Return the attempts at each group, also those of silent entries.

        An entry that is late may still run what it reported last.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Counter
            Count by group; groups without attempts are absent.
        """
        return self._sum_reports(now_s - self.retention_s)

    def remove_expired(self, now_s: float) -> None:
        """Forget the entries that have been silent for the retention time.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self._reports = {
            entry_id: report
            for entry_id, report in self._reports.items()
            if report.reported_at_s > now_s - self.retention_s
        }

    def _sum_reports(self, since_s: float) -> Counter[str]:
        totals: Counter[str] = Counter()
        for report in self._reports.values():
            if report.reported_at_s > since_s:
                totals.update(report.counts)
        return totals
