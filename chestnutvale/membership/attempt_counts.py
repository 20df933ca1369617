"""Running attempts per group, summed over the entries."""

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
    expires_s: float


@attrs.define
class AttemptCounts:
    """Latest running attempt counts of each entry.

    Parameters
    ----------
    expiry_s : float, optional
        Seconds after which the counts of an entry expire.
    """

    expiry_s: float = ENTRY_TIMEOUT_S
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
        self._reports[entry_id] = _Report(dict(counts), now_s + self.expiry_s)

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
        """Return the running attempts at each group and drop expired reports.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Counter
            Count by group; groups without running attempts are absent.
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
