"""Entries that may run attempts, as the leaders of the last seconds have heard them."""

import math

import attrs

from chestnutvale.membership.const import (
    ENTRY_DISCOVERY_S,
    ENTRY_ROSTER_INTERVAL_S,
    SILENT_ATTEMPTS_RETENTION_S,
)
from chestnutvale.schema.membership_pb2 import EntrySeen, HostReport


@attrs.define
class EntryRoster:
    """Tells a new leader which entries it must hear before their attempts are counted.

    Entries report to the leader only, so the leader tells the other controls which
    entries it hears. Without such word, as after a restart of all controls, any entry
    may be missing for some time, which further changes of the leader don't extend.

    Parameters
    ----------
    retention_s : float, optional
        Seconds for which an entry that has fallen silent may run attempts.
    discovery_s : float, optional
        Seconds for which entries may be missing if no leader has told of them.
    interval_s : float, optional
        Seconds between two complete lists for the other controls.
    """

    retention_s: float = SILENT_ATTEMPTS_RETENTION_S
    discovery_s: float = ENTRY_DISCOVERY_S
    interval_s: float = ENTRY_ROSTER_INTERVAL_S
    _seen_at_s: dict[str, float] = attrs.field(factory=dict)
    _told_ids: set[str] = attrs.field(factory=set)
    _complete_due_s: float = -math.inf
    # Time at which a list was complete but for entries that appear until
    # ``_uncertain_until_s``.
    _complete_at_s: float = -math.inf
    _led_term: int = 0
    _began_at_s: float = -math.inf
    _uncertain_until_s: float = -math.inf

    def begin_term(self, term: int, now_s: float) -> None:
        """Begin a term as the leader; all entries must report again.

        Parameters
        ----------
        term : int
            The term.
        now_s : float
            Monotonic time in seconds.
        """
        if now_s - self._complete_at_s > 2 * self.interval_s:
            self._uncertain_until_s = now_s + self.discovery_s
        self._led_term = term
        self._began_at_s = now_s
        self.request_complete()

    def record_report(self, entry_id: str, now_s: float) -> None:
        """Record a report that an entry sent to this control.

        Parameters
        ----------
        entry_id : str
            The entry.
        now_s : float
            Monotonic time in seconds.
        """
        self._seen_at_s[entry_id] = now_s

    def merge(self, report: HostReport, now_s: float) -> None:
        """Merge what the leader has heard.

        Parameters
        ----------
        report : HostReport
            Report of a control; only that of the leader names entries.
        now_s : float
            Monotonic time in seconds.
        """
        for entry in report.entries:
            seen_at_s = now_s - entry.age_ms / 1_000
            known_s = self._seen_at_s.get(entry.entry_id, -math.inf)
            self._seen_at_s[entry.entry_id] = max(seen_at_s, known_s)
        if report.lists_all_entries:
            self._complete_at_s = now_s
            self._uncertain_until_s = now_s + report.unlisted_entries_ms / 1_000
            self._forget_silent(now_s)

    def request_complete(self) -> None:
        """Include all entries in the next list, such as for a control that starts."""
        self._complete_due_s = -math.inf

    def fill_report(self, report: HostReport, term: int, now_s: float) -> None:
        """Add what this leader has to tell the other controls.

        Parameters
        ----------
        report : HostReport
            Gets all entries if that is due, otherwise those that are new.
        term : int
            The term that it leads; nothing is told before it has begun here.
        now_s : float
            Monotonic time in seconds.
        """
        heard_at_s = max(self._seen_at_s.values(), default=-math.inf)
        if term != self._led_term or now_s - heard_at_s > self.interval_s:
            # A control that hears no entry may have stood still, while others led.
            return
        self._forget_silent(now_s)
        self._complete_at_s = now_s
        if now_s >= self._complete_due_s:
            self._complete_due_s = now_s + self.interval_s
            self._told_ids.clear()
            report.lists_all_entries = True
            unlisted_s = max(0.0, self._uncertain_until_s - now_s)
            report.unlisted_entries_ms = round(1_000 * unlisted_s)
        report.entries.extend(
            EntrySeen(entry_id=entry_id, age_ms=round(1_000 * (now_s - seen_at_s)))
            for entry_id, seen_at_s in sorted(self._seen_at_s.items())
            if entry_id not in self._told_ids
        )
        self._told_ids.update(self._seen_at_s)

    def has_unheard(self, now_s: float) -> bool:
        """Tell whether an entry that may run attempts has not reported in this term.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            If True, counts of attempts may lack those of an entry.
        """
        if now_s < self._uncertain_until_s:
            return True
        return any(
            now_s - self.retention_s < seen_at_s < self._began_at_s
            for seen_at_s in self._seen_at_s.values()
        )

    def _forget_silent(self, now_s: float) -> None:
        self._seen_at_s = {
            entry_id: seen_at_s
            for entry_id, seen_at_s in self._seen_at_s.items()
            if now_s - seen_at_s < self.retention_s
        }
        self._told_ids &= self._seen_at_s.keys()
