"""Detects groups that stopped sending events on all of their streams."""

import math
from collections.abc import Mapping

import attrs

from chestnutvale.routing.const import (
    MAX_EVENT_AGE_S,
    STALL_CONFIRMATION_S,
    STALL_FIRST_EVENT_S,
    STALL_GAP_S,
    STALL_HOLD_S,
)


@attrs.define
class _Stream:
    group_id: str
    sent_s: float
    has_begun: bool = False


@attrs.define
class StallDetector:
    """Tracks the last event of each group over all streams of one entry.

    An engine emits an event on each stream with every step, so a group whose streams
    all stop at once has most likely lost a member. Such a group still accepts requests
    for some seconds, and the failure detector notices the lost host even later.

    Parameters
    ----------
    gap_s : float, optional
        Time in seconds without an event after which a group with at least one started
        stream counts as stalled.
    first_event_s : float, optional
        The same for a group none of whose streams has started.
    """

    gap_s: float = STALL_GAP_S
    first_event_s: float = STALL_FIRST_EVENT_S
    _streams: dict[str, _Stream] = attrs.field(factory=dict)
    _by_group: dict[str, set[str]] = attrs.field(factory=dict)
    _last_event_s: dict[str, float] = attrs.field(factory=dict)

    def record_sent(self, attempt_id: str, group_id: str, now_s: float) -> None:
        """Record an attempt that was sent to a group.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        group_id : str
            Its group.
        now_s : float
            Monotonic time in seconds.
        """
        self._streams[attempt_id] = _Stream(group_id, now_s)
        self._by_group.setdefault(group_id, set()).add(attempt_id)

    def record_events(self, attempt_id: str, now_s: float) -> None:
        """Record that events of an attempt arrived.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        now_s : float
            Monotonic time in seconds.
        """
        stream = self._streams.get(attempt_id)
        if stream is not None:
            stream.has_begun = True
            self._last_event_s[stream.group_id] = now_s

    def forget_attempt(self, attempt_id: str) -> None:
        """Remove an attempt that ended.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        """
        stream = self._streams.pop(attempt_id, None)
        if stream is None:
            return
        running = self._by_group[stream.group_id]
        running.discard(attempt_id)
        if not running:
            del self._by_group[stream.group_id]
            self._last_event_s.pop(stream.group_id, None)

    @property
    def has_streams(self) -> bool:
        """Whether any stream runs, so that a group can stall."""
        return bool(self._streams)

    def silences_s(self, now_s: float) -> dict[str, float]:
        """Return the time since the last event of each group with running streams.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to float
            Seconds since the last event, or since the first send if there was none, by
            group.
        """
        return {
            group_id: self._silence_s(group_id, now_s) for group_id in self._by_group
        }

    def groups_without_events(self) -> frozenset[str]:
        """Return the groups whose running streams have produced no event yet.

        Returns
        -------
        frozenset of str
            Group ids. Having sent a request there proves nothing about the group.
        """
        return frozenset(self._by_group.keys() - self._last_event_s.keys())

    def stalled_groups(self, now_s: float) -> frozenset[str]:
        """Return the groups that have stalled according to the streams of this entry.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        frozenset of str
            Group ids.
        """
        return frozenset(
            group_id
            for group_id, attempt_ids in self._by_group.items()
            if self._silence_s(group_id, now_s) > self._limit_s(attempt_ids)
        )

    def _limit_s(self, attempt_ids: set[str]) -> float:
        has_begun = any(self._streams[item].has_begun for item in attempt_ids)
        return self.gap_s if has_begun else self.first_event_s

    def _silence_s(self, group_id: str, now_s: float) -> float:
        sent_s = min(self._streams[item].sent_s for item in self._by_group[group_id])
        return now_s - max(sent_s, self._last_event_s.get(group_id, sent_s))


@attrs.define
class _EntryReport:
    """Latest observation of a group, as reported by one entry."""

    silence_s: float
    is_stalled: bool
    is_unheard: bool
    received_s: float

    @property
    def event_s(self) -> float:
        """Monotonic time of the newest event in seconds; -inf if there was none."""
        return -math.inf if self.is_unheard else self.received_s - self.silence_s


@attrs.define
class _Stall:
    """A stalled group; it is without events since `since_s`."""

    since_s: float
    until_s: float


@attrs.define
class StallAggregator:
    """Merges the entries' observations of groups at the leader of the control plane.

    A group has stalled if one entry reports it as stalled and no entry receives events
    from it. The state is kept for a while without further reports, because a stalled
    group gets no requests that could show whether it has recovered.

    Parameters
    ----------
    hold_s : float, optional
        Time in seconds for which a group stays stalled without new reports.
    """

    hold_s: float = STALL_HOLD_S
    _reports: dict[str, dict[str, _EntryReport]] = attrs.field(factory=dict)
    _stalls: dict[str, _Stall] = attrs.field(factory=dict)

    def record_report(
        self,
        entry_id: str,
        silences_s: Mapping[str, float],
        stalled: frozenset[str],
        now_s: float,
        unheard: frozenset[str] = frozenset(),
    ) -> bool:
        """Store the observations of an entry.

        Parameters
        ----------
        entry_id : str
            The entry.
        silences_s : mapping of str to float
            Seconds since the last event of each group at which it runs streams.
        stalled : frozenset of str
            Groups that the entry reports as stalled.
        now_s : float
            Monotonic time in seconds.
        unheard : frozenset of str, optional
            Groups whose streams have produced no event yet; their silence counts from
            the first send.

        Returns
        -------
        bool
            Whether the set of stalled groups has changed.
        """
        before = self.stalled_groups(now_s)
        for group_id, silence_s in silences_s.items():
            reports = self._reports.setdefault(group_id, {})
            reports[entry_id] = _EntryReport(
                silence_s, group_id in stalled, group_id in unheard, now_s
            )
            self._update_stalled(group_id, reports, now_s)
        return self.stalled_groups(now_s) != before

    def stalled_groups(self, now_s: float) -> frozenset[str]:
        """Return the groups that are currently stalled.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        frozenset of str
            Group ids.
        """
        self._stalls = {
            group_id: stall
            for group_id, stall in self._stalls.items()
            if stall.until_s > now_s
        }
        return frozenset(self._stalls)

    def confirmed_stalls(self, now_s: float) -> frozenset[str]:
        """Return the groups that have been stalled for longer than a pause.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        frozenset of str
            Group ids.
        """
        return frozenset(
            group_id
            for group_id in self.stalled_groups(now_s)
            if now_s - self._stalls[group_id].since_s >= STALL_CONFIRMATION_S
        )

    def active_groups(self, now_s: float) -> frozenset[str]:
        """Return the groups that recently sent events and are not stalled.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        frozenset of str
            Group ids.
        """
        return frozenset(
            group_id
            for group_id, reports in self._reports.items()
            if group_id not in self._stalls
            and any(
                now_s - report.event_s <= MAX_EVENT_AGE_S
                for report in reports.values()
                if not report.is_stalled
            )
        )

    def _update_stalled(
        self, group_id: str, reports: dict[str, _EntryReport], now_s: float
    ) -> None:
        fresh = {
            entry_id: report
            for entry_id, report in reports.items()
            if now_s - report.received_s <= self.hold_s
        }
        self._reports[group_id] = fresh
        stalled_reports = [report for report in fresh.values() if report.is_stalled]
        if not stalled_reports:
            # Events that arrive at any entry prove that the group has recovered.
            if any(
                report.received_s - report.event_s < STALL_GAP_S
                for report in fresh.values()
            ):
                self._stalls.pop(group_id, None)
            return
        since_s = max(
            report.received_s - report.silence_s for report in stalled_reports
        )
        is_heard = any(
            report.event_s > since_s
            for report in fresh.values()
            if not report.is_stalled
        )
        if is_heard:
            self._stalls.pop(group_id, None)
            return
        stall = self._stalls.setdefault(group_id, _Stall(since_s, now_s))
        stall.until_s = now_s + self.hold_s
