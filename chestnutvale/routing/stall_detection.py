"""Which groups have stopped giving events, seen from the streams that run there."""

import math
from collections.abc import Mapping

import attrs

from chestnutvale.routing.const import (
    MAX_EVENT_AGE_S,
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
    """Notes the last event of each group, over all streams of one entry.

    An engine gives an event of each stream with every pass, so that a group whose
    streams all fall silent at once has most likely lost a member. It goes on taking
    requests for seconds, and its hosts are missed later still.

    Parameters
    ----------
    gap_s : float, optional
        Silence in seconds of streams that have begun after which a group has stalled.
    first_event_s : float, optional
        The same if none of its streams has begun.
    """

    gap_s: float = STALL_GAP_S
    first_event_s: float = STALL_FIRST_EVENT_S
    _streams: dict[str, _Stream] = attrs.field(factory=dict)
    _by_group: dict[str, set[str]] = attrs.field(factory=dict)
    _heard_s: dict[str, float] = attrs.field(factory=dict)

    def record_sent(self, attempt_id: str, group_id: str, now_s: float) -> None:
        """Note an attempt that was sent.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        group_id : str
            Its group.
        now_s : float
            Monotonic time.
        """
        self._streams[attempt_id] = _Stream(group_id, now_s)
        self._by_group.setdefault(group_id, set()).add(attempt_id)

    def record_events(self, attempt_id: str, now_s: float) -> None:
        """Note events of an attempt.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        now_s : float
            Monotonic time.
        """
        stream = self._streams.get(attempt_id)
        if stream is not None:
            stream.has_begun = True
            self._heard_s[stream.group_id] = now_s

    def forget_attempt(self, attempt_id: str) -> None:
        """Forget an attempt.

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
            self._heard_s.pop(stream.group_id, None)

    def silences_s(self, now_s: float) -> dict[str, float]:
        """Return how long each group with running streams has been silent.

        Parameters
        ----------
        now_s : float
            Monotonic time.

        Returns
        -------
        dict of str to float
            Silence in seconds by group.
        """
        return {
            group_id: self._silence_s(group_id, now_s) for group_id in self._by_group
        }

    def groups_without_events(self) -> frozenset[str]:
        """Return the groups whose running streams have given no event yet.

        Returns
        -------
        frozenset of str
            Group ids; that a stream was sent there says nothing of the group.
        """
        return frozenset(self._by_group.keys() - self._heard_s.keys())

    def stalled_groups(self, now_s: float) -> frozenset[str]:
        """Return the groups that have stalled as far as this entry sees.

        Parameters
        ----------
        now_s : float
            Monotonic time.

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
        return now_s - max(sent_s, self._heard_s.get(group_id, sent_s))


@attrs.define
class _EntryReport:
    """What one entry said of a group."""

    silence_s: float
    is_stalled: bool
    is_unheard: bool
    noted_s: float

    @property
    def event_s(self) -> float:
        """Monotonic time of the newest event; before all times if there is none."""
        return -math.inf if self.is_unheard else self.noted_s - self.silence_s


@attrs.define
class StallAggregator:
    """Puts together what entries see of groups; kept by the leading control.

    A group has stalled if an entry says so and none gets events from it. It stays so
    for a while without any word, since nothing is sent there to tell.

    Parameters
    ----------
    hold_s : float, optional
        Time in seconds for which a group is held to have stalled.
    """

    hold_s: float = STALL_HOLD_S
    _reports: dict[str, dict[str, _EntryReport]] = attrs.field(factory=dict)
    _until_s: dict[str, float] = attrs.field(factory=dict)

    def record_report(
        self,
        entry_id: str,
        silences_s: Mapping[str, float],
        stalled: frozenset[str],
        now_s: float,
        unheard: frozenset[str] = frozenset(),
    ) -> bool:
        """Take what an entry sees.

        Parameters
        ----------
        entry_id : str
            The entry.
        silences_s : mapping of str to float
            Silence of each group at which it runs streams.
        stalled : frozenset of str
            Those that it holds to have stalled.
        now_s : float
            Monotonic time.
        unheard : frozenset of str, optional
            Groups whose streams have given it no event yet; their silence counts from
            the first of them.

        Returns
        -------
        bool
            Whether the stalled groups are others than before.
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
        """Return the groups that have stalled.

        Parameters
        ----------
        now_s : float
            Monotonic time.

        Returns
        -------
        frozenset of str
            Group ids.
        """
        self._until_s = {
            group_id: until_s
            for group_id, until_s in self._until_s.items()
            if until_s > now_s
        }
        return frozenset(self._until_s)

    def active_groups(self, now_s: float) -> frozenset[str]:
        """Return the groups that gave events lately.

        Parameters
        ----------
        now_s : float
            Monotonic time.

        Returns
        -------
        frozenset of str
            Group ids.
        """
        return frozenset(
            group_id
            for group_id, reports in self._reports.items()
            if group_id not in self._until_s
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
            if now_s - report.noted_s <= self.hold_s
        }
        self._reports[group_id] = fresh
        stalled_reports = [report for report in fresh.values() if report.is_stalled]
        if not stalled_reports:
            # An entry that gets events again clears the group.
            if any(c.noted_s - c.event_s < STALL_GAP_S for c in fresh.values()):
                self._until_s.pop(group_id, None)
            return
        since_s = max(report.noted_s - report.silence_s for report in stalled_reports)
        is_heard = any(
            report.event_s > since_s
            for report in fresh.values()
            if not report.is_stalled
        )
        if is_heard:
            self._until_s.pop(group_id, None)
        else:
            self._until_s[group_id] = now_s + self.hold_s
