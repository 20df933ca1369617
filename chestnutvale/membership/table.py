"""Host table that each control builds from reports of entries and controls."""

import math
from collections.abc import Callable, Iterable, Set

import attrs

from chestnutvale.membership.announcement_content import content_digest
from chestnutvale.membership.boot_ids import is_earlier_boot
from chestnutvale.membership.boot_order import BootOrder, BootVerdict
from chestnutvale.membership.const import (
    CONTROL_SEARCH_GRACE_S,
    DEFAULT_DETECTION_TIMEOUT_S,
    ENTRY_RETENTION_S,
    ENTRY_TIMEOUT_S,
    HOST_RETENTION_S,
    STALLED_TIMEOUT_FRACTION,
)
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.membership.group_attempts import UNKNOWN_ATTEMPTS, GroupAttempts
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.report_delay import ReportDelayEstimator
from chestnutvale.schema.membership_pb2 import Announcement, Heard, Load


def _is_never_recorded(host_id: str, boot_id: str) -> bool:
    return False


def _find_no_boot(host_id: str) -> str:
    return ""


def _ignore_departure() -> None:
    """Do nothing; the default until a component is registered."""


@attrs.define
class MembershipTable:
    """Merges the host reports of entries and controls.

    Parameters
    ----------
    detection_timeout_s : float
        Silence in seconds after which a host counts as missing.
    is_recorded_departure : callable, optional
        Takes a host and its boot; tells whether the replicated log contains that the
        boot leaves. By default it contains none.
    find_recorded_boot : callable, optional
        Takes a host; returns the boot under which it is a member of a group in the
        replicated log, or an empty string. By default always the latter.

    Attributes
    ----------
    on_departure : callable
        Called when a departure was learned that is not recorded; must not block.
    revision : int
        Increases whenever the boot or content of a host, the detection timeout or
        the set of stalled groups changes, or a count of attempts becomes complete.
    last_new_host_at_s : float
        Monotonic time in seconds at which an unknown host was last added.
    """

    detection_timeout_s: float = DEFAULT_DETECTION_TIMEOUT_S
    is_recorded_departure: Callable[[str, str], bool] = _is_never_recorded
    find_recorded_boot: Callable[[str], str] = _find_no_boot
    on_departure: Callable[[], None] = attrs.field(
        default=_ignore_departure, init=False
    )
    revision: int = attrs.field(default=0, init=False)
    last_new_host_at_s: float = attrs.field(default=-math.inf, init=False)
    _incomplete_host_ids: dict[str, None] = attrs.field(factory=dict, init=False)
    _hosts: dict[str, HostRecord] = attrs.field(factory=dict)
    _entries: dict[str, float] = attrs.field(factory=dict)
    _extended_timeout_until_s: float = attrs.field(default=-math.inf, init=False)
    _receiving_since_s: float = attrs.field(default=-math.inf, init=False)
    _silent_control_ids: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _host_id_by_address: dict[str, str] = attrs.field(factory=dict)
    _responsive_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _attempts_by_head: dict[str, GroupAttempts] = attrs.field(factory=dict, init=False)
    _stalled_group_ids: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _unrecorded_departures: dict[Incarnation, None] = attrs.field(
        factory=dict, init=False
    )
    _delays: ReportDelayEstimator = attrs.field(factory=ReportDelayEstimator)

    def merge_entry_report(
        self,
        entry_id: str,
        heard: Iterable[Heard],
        now_s: float,
        sent_at_ms: int = 0,
        incarnation: str = "",
    ) -> list[str]:
        """Merge the report of an entry, which may be empty.

        Parameters
        ----------
        entry_id : str
            The entry that sent the report.
        heard : iterable of Heard
            Host announcements that it received.
        now_s : float
            Monotonic time in seconds.
        sent_at_ms : int
            Sending time in milliseconds on the entry's monotonic clock; 0 if unknown.
        incarnation : str
            Incarnation of the entry.

        Returns
        -------
        list of str
            Hosts that are new, or whose boot or content changed.
        """
        self._entries[entry_id] = max(now_s, self._entries.get(entry_id, now_s))
        if sent_at_ms:
            delay_s = self._delays.excess_delay_s(
                entry_id, incarnation, sent_at_ms, now_s
            )
            now_s -= delay_s
        return self._merge_hosts(entry_id, heard, now_s)

    def merge_control_report(
        self, sender_id: str, heard: Iterable[Heard], now_s: float
    ) -> list[str]:
        """Merge host announcements that a control received itself.

        Parameters
        ----------
        sender_id : str
            The control.
        heard : iterable of Heard
            Host announcements that it received.
        now_s : float
            Monotonic time in seconds to which the ages refer.

        Returns
        -------
        list of str
            Hosts that are new, or whose boot or content changed.
        """
        heard = list(heard)
        changed = self._merge_hosts(sender_id, heard, now_s)
        for item in heard:
            record = self._hosts.get(item.host_id)
            if record is not None:
                record.announces_to_control = True
        return changed

    def _merge_hosts(
        self, sender_id: str, heard: Iterable[Heard], now_s: float
    ) -> list[str]:
        changed = [
            item.host_id for item in heard if self._merge_host(sender_id, item, now_s)
        ]
        self.revision += len(changed)
        return changed

    def host(self, host_id: str) -> HostRecord | None:
        """Return the record of a host.

        Parameters
        ----------
        host_id : str
            Identity of the host.

        Returns
        -------
        HostRecord or None
            None if the host is unknown or its record has expired.
        """
        return self._hosts.get(host_id)

    def is_fresh(self, host_id: str, now_s: float) -> bool:
        """Tell whether a host announced itself within the detection timeout.

        Parameters
        ----------
        host_id : str
            Identity of the host.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the host counts as alive; False if it was superseded.
        """
        record = self._hosts.get(host_id)
        if record is None or record.is_superseded:
            return False
        return not self.is_silent(record, now_s)

    def extend_detection_timeout(
        self, until_s: float, from_s: float = -math.inf
    ) -> None:
        """Extend the timeout of hosts that announce themselves to a control.

        After the loss of a control, its hosts are silent while they search for
        another one.

        Parameters
        ----------
        until_s : float
            Monotonic time in seconds at which the normal timeout applies again.
        from_s : float, optional
            Monotonic time in seconds at which entries and controls began to report
            here.
        """
        self._extended_timeout_until_s = until_s
        self._receiving_since_s = from_s
        self.revision += 1

    @property
    def receiving_since_s(self) -> float:
        """Monotonic time in seconds from which entries and controls report here."""
        return self._receiving_since_s

    def set_silent_controls(self, control_ids: frozenset[str]) -> None:
        """Set the controls that this leader does not hear at present.

        The timeout of hosts whose last announcement such a control passed on is
        extended: it may have acknowledged a later one, and the hosts only search for
        another control once it does not answer.

        Parameters
        ----------
        control_ids : frozenset of str
            The controls; they replace the previous set.
        """
        if control_ids != self._silent_control_ids:
            self._silent_control_ids = control_ids
            self.revision += 1

    def may_discover_hosts(self, now_s: float) -> bool:
        """Tell whether unknown hosts may still announce themselves.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True until reports have arrived for long enough to treat unknown hosts as
            missing.
        """
        return now_s < self._extended_timeout_until_s + CONTROL_SEARCH_GRACE_S

    def is_awaiting_report(self, host_id: str, now_s: float) -> bool:
        """Tell whether the first report of a possibly live host is still pending.

        Parameters
        ----------
        host_id : str
            Identity of the host.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if the host has not been reported since entries and controls began to
            report here, and the extended timeout has not ended.
        """
        record = self._hosts.get(host_id)
        if record is not None and self.is_heard_in_term(record):
            return False
        return now_s < self._extended_timeout_until_s

    def is_heard_in_term(self, record: HostRecord) -> bool:
        """Tell whether a host was heard since entries and controls report here.

        Parameters
        ----------
        record : HostRecord
            Its record.

        Returns
        -------
        bool
            If False, this leader may have missed later announcements of the host.
        """
        return record.heard_at_s >= self._receiving_since_s

    def is_silent(self, record: HostRecord, now_s: float) -> bool:
        """Tell whether a host has been silent for longer than its timeout.

        Parameters
        ----------
        record : HostRecord
            Its record.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether its silence means that it is missing.
        """
        return now_s - record.heard_at_s > self._timeout_s(record, now_s)

    def _timeout_s(self, record: HostRecord, now_s: float) -> float:
        is_searching = (
            now_s < self._extended_timeout_until_s
            or record.sender_id in self._silent_control_ids
        )
        if record.announces_to_control and is_searching:
            return self.detection_timeout_s + CONTROL_SEARCH_GRACE_S
        return self.detection_timeout_s

    def fresh_hosts(self, now_s: float) -> list[HostRecord]:
        """Return the live hosts whose latest announcement is known.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of HostRecord
            Sorted by host id.
        """
        fresh_records = [
            record
            for record in self._hosts.values()
            if record.is_content_current
            and now_s - record.boot_order.heard_at_s <= self._timeout_s(record, now_s)
            and not record.is_superseded
        ]
        fresh_records.sort(key=lambda record: record.host_id)
        return fresh_records

    def known_hosts(self) -> list[HostRecord]:
        """Return all hosts with a record, live or silent, sorted by host id."""
        return [self._hosts[host_id] for host_id in sorted(self._hosts)]

    def next_deadline(self, now_s: float) -> float:
        """Return when the next live host would count as missing.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds; infinite if no host is live.
        """
        timeouts_s = [self.detection_timeout_s]
        if self._stalled_group_ids:
            timeouts_s.append(self._stalled_timeout_s)
        deadlines = (
            record.boot_order.heard_at_s + timeout_s
            for record in self._hosts.values()
            for timeout_s in timeouts_s
        )
        return min((due for due in deadlines if due >= now_s), default=math.inf)

    def hosts_lacking_content(self, sender_id: str) -> list[str]:
        """Return the hosts whose full announcement this entry should send.

        Parameters
        ----------
        sender_id : str
            The entry or control that sent the report.

        Returns
        -------
        list of str
            Hosts that it reported last and whose latest content is unknown.
        """
        return [
            host_id
            for host_id in self._incomplete_host_ids
            if self._hosts[host_id].sender_id == sender_id
        ]

    def live_entries(self, now_s: float) -> list[str]:
        """Return the entries that reported within `ENTRY_TIMEOUT_S`.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of str
            Sorted entry ids.
        """
        return sorted(
            entry_id
            for entry_id, seen_at_s in self._entries.items()
            if now_s - seen_at_s <= ENTRY_TIMEOUT_S
        )

    def known_entries(self) -> list[str]:
        """Return all entries with a record, live or silent, sorted by entry id."""
        return sorted(self._entries)

    def record_running_attempts(
        self,
        host_id: str,
        running: int,
        is_complete: bool = True,
        remembered: int = 0,
    ) -> bool:
        """Record the entries' attempt count; use it as the load if there is no other.

        Parameters
        ----------
        host_id : str
            The head of a group; it may be unknown here.
        running : int
            Running attempts of all entries.
        is_complete : bool, optional
            Whether no entry may run further attempts there.
        remembered : int, optional
            The same count with the last ones of entries that have fallen silent.

        Returns
        -------
        bool
            Whether the count was used as the load of the host.
        """
        count = max(running, remembered)
        known = self.attempts_at(host_id)
        if is_complete and not known.is_complete:
            # Decisions may wait for it.
            self.revision += 1
        if known.running != count or known.is_complete != is_complete:
            self._attempts_by_head[host_id] = GroupAttempts(count, is_complete)
        record = self._hosts.get(host_id)
        if record is None or record.announcement is None:
            return False
        if record.announcement.HasField("load"):
            return False
        record.is_load_from_entries = True
        if record.load is None or record.load.running != running:
            record.load = Load(running=running)
        return True

    def attempts_at(self, host_id: str) -> GroupAttempts:
        """Return the attempts that entries run at the group of a head.

        Parameters
        ----------
        host_id : str
            The head; it may be unknown here.

        Returns
        -------
        GroupAttempts
            The last count; incomplete if there was none.
        """
        return self._attempts_by_head.get(host_id, UNKNOWN_ATTEMPTS)

    def retain_attempts(self, host_ids: Set[str] = frozenset()) -> None:
        """Forget the attempt counts of all but some heads.

        Parameters
        ----------
        host_ids : set of str, optional
            Heads whose counts are kept; none for a leader that begins a term.
        """
        for host_id in self._attempts_by_head.keys() - host_ids:
            del self._attempts_by_head[host_id]

    def mark_departed(self, host_id: str, boot_id: str) -> bool:
        """Mark a boot of a host as leaving, as if it had announced that.

        Parameters
        ----------
        host_id : str
            The host.
        boot_id : str
            The boot that leaves.

        Returns
        -------
        bool
            Whether this was not known; False for an unknown host or another boot.
        """
        record = self._hosts.get(host_id)
        if record is None or record.boot_id != boot_id:
            return False
        if record.departed_boot_id == boot_id:
            return False
        self._record_departure(record, boot_id)
        if record.announcement is None:
            return True
        is_new = not record.announcement.leaving
        record.announcement = _with_departure(record.announcement)
        self.revision += is_new
        return is_new

    def mark_recorded(self, host_id: str, boot_id: str) -> None:
        """Mark a boot of a host as leaving that the replicated log says to leave.

        Parameters
        ----------
        host_id : str
            The host; it may be unknown here.
        boot_id : str
            The boot that leaves.
        """
        self.mark_departed(host_id, boot_id)
        self._unrecorded_departures.pop(Incarnation(host_id, boot_id), None)

    def unrecorded_departures(self) -> list[Incarnation]:
        """Return the known departures that the replicated log does not contain."""
        return list(self._unrecorded_departures)

    def is_departed(self, host_id: str, boot_id: str) -> bool:
        """Tell whether a boot of a host is known to leave, whatever it announces.

        Parameters
        ----------
        host_id : str
            The host.
        boot_id : str
            The boot.

        Returns
        -------
        bool
            Whether a departure was received or recorded.
        """
        record = self._hosts.get(host_id)
        if record is not None and record.departed_boot_id == boot_id:
            return True
        return self.is_recorded_departure(host_id, boot_id)

    def mark_responsive(self, group_ids: Iterable[str], until_s: float) -> None:
        """Mark groups that produce events, even if their members are not heard.

        Parameters
        ----------
        group_ids : iterable of str
            The groups.
        until_s : float
            Monotonic time in seconds at which the mark expires.
        """
        for group_id in group_ids:
            self._responsive_until_s[group_id] = until_s

    def is_responsive(self, group_id: str, now_s: float) -> bool:
        """Tell whether a group produced events recently.

        Parameters
        ----------
        group_id : str
            The group.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            If True, its silent members may only be disconnected from the controls.
        """
        return now_s < self._responsive_until_s.get(group_id, -math.inf)

    def set_stalled_groups(self, group_ids: frozenset[str]) -> None:
        """Set the groups that have produced no events for longer than a pause.

        Parameters
        ----------
        group_ids : frozenset of str
            The groups; they replace the previous set.
        """
        if group_ids != self._stalled_group_ids:
            self._stalled_group_ids = group_ids
            self.revision += 1

    @property
    def has_stalled_groups(self) -> bool:
        """Whether any group has stalled."""
        return bool(self._stalled_group_ids)

    @property
    def _stalled_timeout_s(self) -> float:
        return STALLED_TIMEOUT_FRACTION * self.detection_timeout_s

    def is_silent_in_stalled_group(
        self, host_id: str, group_id: str, now_s: float
    ) -> bool:
        """Tell whether a member is silent long enough to explain its group's stall.

        Parameters
        ----------
        host_id : str
            The member.
        group_id : str
            Its group.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if the group has not stalled, or while hosts may be searching for
            another control.
        """
        record = self._hosts.get(host_id)
        if record is None or group_id not in self._stalled_group_ids:
            return False
        if now_s < self._extended_timeout_until_s:
            return False
        return now_s - record.heard_at_s > self._stalled_timeout_s

    def remove_expired(self, now_s: float) -> None:
        """Remove hosts and entries whose silence exceeds the retention time.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        for entry_id, seen_at_s in self._entries.items():
            if now_s - seen_at_s > ENTRY_RETENTION_S:
                self._delays.forget(entry_id)
        self._entries = {
            entry_id: seen_at_s
            for entry_id, seen_at_s in self._entries.items()
            if now_s - seen_at_s <= ENTRY_RETENTION_S
        }
        self._hosts = {
            host_id: record
            for host_id, record in self._hosts.items()
            if now_s - record.heard_at_s <= HOST_RETENTION_S
        }
        self._incomplete_host_ids = {
            host_id: None
            for host_id in self._incomplete_host_ids
            if host_id in self._hosts
        }
        self._unrecorded_departures = {
            departure: None
            for departure in self._unrecorded_departures
            if departure.host_id in self._hosts
        }
        self._responsive_until_s = {
            group_id: until_s
            for group_id, until_s in self._responsive_until_s.items()
            if until_s > now_s
        }

    def _merge_host(self, sender_id: str, heard: Heard, now_s: float) -> bool:
        heard_at_s = now_s - heard.age_ms / 1_000
        record = self._hosts.get(heard.host_id)
        if record is None:
            recorded_boot_id = self.find_recorded_boot(heard.host_id)
            if is_earlier_boot(heard.boot_id, recorded_boot_id):
                # A new leader may hear a late announcement before any other.
                return False
            boot_order = BootOrder(heard.boot_id, heard.sequence, heard_at_s)
            record = HostRecord(heard.host_id, boot_order, sender_id)
            self._hosts[heard.host_id] = record
            self.last_new_host_at_s = now_s
            self._update_content(record, heard)
            record.record_cold(_cold_remaining_ms(heard), is_new_boot=True)
            return True
        verdict = record.boot_order.observe(
            heard.boot_id, heard.sequence, heard_at_s, self.detection_timeout_s
        )
        if verdict is BootVerdict.OLD_SEQUENCE:
            # A departure is not undone by an announcement that was sent before it.
            is_departure = heard.HasField("changed") and heard.changed.leaving
            is_new = is_departure and self.mark_departed(heard.host_id, heard.boot_id)
            return self._complete_content(record, heard) or is_new
        if verdict is BootVerdict.OLD_BOOT:
            return False
        record.sender_id = sender_id
        changed = self._update_content(record, heard)
        is_new_boot = verdict is BootVerdict.NEW_BOOT
        changed |= record.record_cold(_cold_remaining_ms(heard), is_new_boot)
        return changed or is_new_boot

    def _update_content(self, record: HostRecord, heard: Heard) -> bool:
        before = record.digest, record.is_content_current
        if heard.HasField("changed"):
            self._store_announcement(record, heard)
        elif heard.content_digest != record.digest:
            record.is_content_current = False
        if heard.HasField("load"):
            record.load = heard.load
        record.digest = heard.content_digest
        self._update_incomplete(record)
        return before != (record.digest, record.is_content_current)

    def _complete_content(self, record: HostRecord, heard: Heard) -> bool:
        if record.is_content_current or not heard.HasField("changed"):
            return False
        if heard.boot_id != record.boot_id:
            return False
        if content_digest(heard.changed) != record.digest:
            return False
        self._store_announcement(record, heard)
        self._update_incomplete(record)
        return True

    def _store_announcement(self, record: HostRecord, heard: Heard) -> None:
        announcement = heard.changed
        if announcement.leaving:
            self._record_departure(record, announcement.boot_id)
        elif self.is_departed(record.host_id, announcement.boot_id):
            record.departed_boot_id = announcement.boot_id
            announcement = _with_departure(announcement)
        record.store_announcement(announcement)
        if announcement.HasField("load") or not record.is_load_from_entries:
            record.load = announcement.load
        if announcement.born_unix_ms:
            self._supersede_others(record)

    def _record_departure(self, record: HostRecord, boot_id: str) -> None:
        record.departed_boot_id = boot_id
        if self.is_recorded_departure(record.host_id, boot_id):
            return
        self._unrecorded_departures[Incarnation(record.host_id, boot_id)] = None
        self.on_departure()

    def _supersede_others(self, record: HostRecord) -> None:
        """Mark earlier processes at the address of a host as superseded.

        An address serves one process at a time, so the process that started last owns
        it, even if a late announcement of an earlier one arrives afterwards.
        """
        address = record.announcement.address
        other = self._hosts.get(self._host_id_by_address.get(address, ""))
        if other is None or other is record or other.announcement is None:
            self._host_id_by_address[address] = record.host_id
            return
        if other.announcement.address != address:
            self._host_id_by_address[address] = record.host_id
            return
        born_unix_ms = record.announcement.born_unix_ms
        if born_unix_ms < other.announcement.born_unix_ms:
            record.is_superseded = True
            return
        other.is_superseded = True
        self._host_id_by_address[address] = record.host_id

    def _update_incomplete(self, record: HostRecord) -> None:
        if record.is_content_current:
            self._incomplete_host_ids.pop(record.host_id, None)
        else:
            self._incomplete_host_ids[record.host_id] = None


def _cold_remaining_ms(heard: Heard) -> int:
    # An entry of an older build forwards it only as a part of the announcement.
    return heard.cold_remaining_ms or heard.changed.cold_remaining_ms


def _with_departure(announcement: Announcement) -> Announcement:
    changed = Announcement()
    changed.CopyFrom(announcement)
    changed.leaving = True
    return changed
