"""Collection of host announcements for reports to the controls."""

from collections.abc import Iterable

import attrs

from chestnutvale.membership.announcement_content import (
    content_digest,
    copy_without_cache_events,
)
from chestnutvale.membership.boot_order import BootOrder, BootVerdict
from chestnutvale.membership.const import (
    DEFAULT_DETECTION_TIMEOUT_S,
    HOST_RETENTION_S,
    REPEATED_REPORT_MAX_AGE_S,
)
from chestnutvale.membership.exceptions import OldBootError, OldSequenceError
from chestnutvale.membership.validation import validate_announcement
from chestnutvale.schema.membership_pb2 import Announcement, Heard


@attrs.frozen
class AcceptedAnnouncement:
    """Result of accepting an announcement.

    Attributes
    ----------
    urgent : bool
        Whether it must be reported to the controls immediately.
    """

    urgent: bool


@attrs.define
class _HostAnnouncement:
    """Latest announcement of one host and what was last reported of it."""

    boot_order: BootOrder
    announcement: Announcement
    digest: int
    reported_digest: int = 0
    reported_load: bytes = b""


@attrs.define
class AnnouncementCollector:
    """Collects announcements for the next report.

    A report contains a full announcement only if more than its sequence and load
    changed since it was last reported, or if a control asked for it.

    Parameters
    ----------
    detection_timeout_s : float
        Silence in seconds after which a host counts as missing.
    """

    detection_timeout_s: float = DEFAULT_DETECTION_TIMEOUT_S
    _hosts: dict[str, _HostAnnouncement] = attrs.field(factory=dict)
    _pending: dict[str, None] = attrs.field(factory=dict)

    def announce(
        self, announcement: Announcement, now_s: float
    ) -> AcceptedAnnouncement:
        """Validate and store the announcement of a host.

        Parameters
        ----------
        announcement : Announcement
            The announcement as received.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        AcceptedAnnouncement
            Whether the next report is urgent.

        Raises
        ------
        AnnouncementRefusedError
            If a field is invalid or the announcement is not newer than the last one.
        """
        validate_announcement(announcement)
        content = copy_without_cache_events(announcement)
        host = self._hosts.get(announcement.host_id)
        if host is None:
            boot_order = BootOrder(content.boot_id, content.sequence, now_s)
            host = _HostAnnouncement(boot_order, content, content_digest(content))
            self._hosts[content.host_id] = host
            self._pending[content.host_id] = None
            return AcceptedAnnouncement(urgent=True)
        self._check_order(host, content, now_s)
        urgent = _is_urgent(host.announcement, content)
        host.announcement = content
        host.digest = content_digest(content)
        self._pending[content.host_id] = None
        return AcceptedAnnouncement(urgent)

    def mark_for_full_report(self, host_ids: Iterable[str]) -> None:
        """Include the full announcements of hosts in the next report.

        Hosts that this entry doesn't know are ignored.

        Parameters
        ----------
        host_ids : iterable of str
            Identities of hosts whose announcement a control lacks.
        """
        for host_id in host_ids:
            host = self._hosts.get(host_id)
            if host is None:
                continue
            host.reported_digest = 0
            self._pending[host_id] = None

    def mark_all_for_full_report(self) -> None:
        """Include all hosts in the next report, silent ones with their age.

        A new leader has no record of hosts that fell silent before its election.
        """
        self.mark_for_full_report(list(self._hosts))

    def mark_recent_for_report(self, now_s: float) -> None:
        """Include all hosts heard recently in the next report, with their age.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self._pending.update(
            {
                host_id: None
                for host_id, host in self._hosts.items()
                if now_s - host.boot_order.heard_at_s <= REPEATED_REPORT_MAX_AGE_S
            }
        )

    def drain_report(self, now_s: float) -> list[Heard]:
        """Return the announcements to report and clear the pending ones.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Heard
            One for each host that announced itself since the last report or was
            requested.
        """
        pending = self._pending
        self._pending = {}
        heard = [self._build_heard(self._hosts[host_id], now_s) for host_id in pending]
        self._forget_silent_hosts(now_s)
        return heard

    def content_digest_of(self, host_id: str) -> int:
        """Return the content digest of a host's latest announcement.

        Parameters
        ----------
        host_id : str
            The host; it must have announced itself here.

        Returns
        -------
        int
            64-bit digest, see `content_digest`.
        """
        return self._hosts[host_id].digest

    @property
    def host_count(self) -> int:
        """Number of hosts with a stored announcement, silent ones included."""
        return len(self._hosts)

    def _check_order(
        self, host: _HostAnnouncement, content: Announcement, now_s: float
    ) -> None:
        verdict = host.boot_order.observe(
            content.boot_id, content.sequence, now_s, self.detection_timeout_s
        )
        if verdict is BootVerdict.OLD_SEQUENCE:
            raise OldSequenceError(
                f"sequence {content.sequence} is not above {host.boot_order.sequence}",
                peer=content.host_id,
            )
        if verdict is BootVerdict.OLD_BOOT:
            raise OldBootError(
                f"boot {content.boot_id} was superseded by {host.boot_order.boot_id}",
                peer=content.host_id,
            )

    def _build_heard(self, host: _HostAnnouncement, now_s: float) -> Heard:
        announcement = host.announcement
        age_s = max(0.0, now_s - host.boot_order.heard_at_s)
        heard = Heard(
            host_id=announcement.host_id,
            boot_id=announcement.boot_id,
            sequence=announcement.sequence,
            age_ms=round(age_s * 1_000),
            content_digest=host.digest,
            cold_remaining_ms=announcement.cold_remaining_ms,
        )
        load = announcement.load.SerializeToString(deterministic=True)
        if host.reported_digest != host.digest:
            heard.changed.CopyFrom(announcement)
        elif host.reported_load != load:
            heard.load.CopyFrom(announcement.load)
        host.reported_digest = host.digest
        host.reported_load = load
        return heard

    def _forget_silent_hosts(self, now_s: float) -> None:
        silent_host_ids = [
            host_id
            for host_id, host in self._hosts.items()
            if now_s - host.boot_order.heard_at_s > HOST_RETENTION_S
        ]
        for host_id in silent_host_ids:
            del self._hosts[host_id]


def _is_urgent(before: Announcement, after: Announcement) -> bool:
    if after.boot_id != before.boot_id:
        return True
    if after.leaving != before.leaving:
        return True
    if bool(after.cold_remaining_ms) != bool(before.cold_remaining_ms):
        return True
    if after.HasField("holding") != before.HasField("holding"):
        return True
    old, new = before.holding, after.holding
    return (old.group_id, old.epoch, old.phase) != (new.group_id, new.epoch, new.phase)
