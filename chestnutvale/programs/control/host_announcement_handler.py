"""Host announcements received by a control and replicated to the others."""

import eventlet
import logbook
from eventlet.event import Event

from chestnutvale.clock import Clock
from chestnutvale.consensus.members import peer_addresses
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.membership.entry_roster import EntryRoster
from chestnutvale.membership.exceptions import (
    AnnouncementRefusedError,
    OldSequenceError,
)
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.const import (
    DEPARTURE_RESEND_S,
    HOST_REPORT_INTERVAL_S,
    MIN_HOST_REPORT_INTERVAL_S,
)
from chestnutvale.programs.control.departure_recorder import DepartureRecorder
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.schema.membership_pb2 import (
    Announcement,
    Heard,
    HostReport,
    HostWant,
)
from chestnutvale.schema.peer_pb2 import Envelope
from chestnutvale.transport.node import TransportNode

_LOGGER = logbook.Logger(__name__)


class HostAnnouncementHandler:
    """Accepts host announcements and reports them to the other controls.

    Every control merges the announcements of all, so that a new leader knows the hosts.

    Parameters
    ----------
    control_id : str
        This control.
    transport : TransportNode
        Peer transport of the process.
    log : ConsensusTask
        Provides the addresses of the other controls.
    table : MembershipTable
        The host table.
    recorder : DepartureRecorder
        Records departures in the replicated log.
    clock : Clock
        Source of time.
    roster : EntryRoster, optional
        Entries that may run attempts; the leader tells the other controls.
    """

    def __init__(
        self,
        control_id: str,
        transport: TransportNode,
        log: ConsensusTask,
        table: MembershipTable,
        recorder: DepartureRecorder,
        clock: Clock,
        roster: EntryRoster | None = None,
    ) -> None:
        self._control_id = control_id
        self._transport = transport
        self._log = log
        self._table = table
        self._recorder = recorder
        self._clock = clock
        self._roster = roster or EntryRoster()
        self._collector = AnnouncementCollector(table.detection_timeout_s)
        self._report_requested = Event()
        self._has_reported = False
        self._incarnations: dict[str, str] = {}
        transport.register_handler("host_report", self._receive_report)
        transport.register_handler("host_want", self._receive_content_request)

    def announce(self, announcement: Announcement, deadline_s: float) -> None:
        """Accept an announcement and schedule its report to the other controls.

        Returns once the departure of a host that leaves is recorded; see
        `DepartureRecorder`. Other announcements are kept in memory only, as the next
        one replaces them.

        Parameters
        ----------
        announcement : Announcement
            The announcement; its ``leaving`` may be set here.
        deadline_s : float
            Monotonic time in seconds at which the call times out.

        Raises
        ------
        AnnouncementRefusedError
            If a field is invalid or the announcement is not newer than the last one.
        DepartureNotRecordedError, OutcomeUnknownError
            If the host leaves and should announce that again. Here it counts as leaving
            already.
        """
        host_id = announcement.host_id
        departure = Incarnation(host_id, announcement.boot_id)
        try:
            self._store(announcement)
        except OldSequenceError:
            # The host sends a departure again that was not acknowledged.
            if announcement.leaving:
                self._table.mark_departed(host_id, announcement.boot_id)
                self._recorder.confirm(departure, deadline_s)
            raise
        if announcement.leaving:
            self._recorder.confirm(departure, deadline_s)

    def leave(self, host_id: str, deadline_s: float) -> bool:
        """Mark a host as leaving, as if it had announced that itself.

        Parameters
        ----------
        host_id : str
            The host.
        deadline_s : float
            Monotonic time in seconds at which the call times out.

        Returns
        -------
        bool
            False if this control has no announcement of the host, and no recent record
            of its departure.

        Raises
        ------
        DepartureNotRecordedError, OutcomeUnknownError
            As for `announce`.
        """
        record = self._table.host(host_id)
        if record is None or record.announcement is None:
            return self._recorder.was_recorded_since(host_id, DEPARTURE_RESEND_S)
        departure = Incarnation(host_id, record.boot_id)
        announcement = Announcement()
        announcement.CopyFrom(record.announcement)
        announcement.leaving = True
        announcement.sequence = record.boot_order.sequence + 1
        try:
            self._store(announcement)
        except AnnouncementRefusedError as error:
            # A newer announcement arrived in between; it is marked as leaving below.
            _LOGGER.info(
                "Host {} marked as leaving in its newer announcement: {}",
                host_id,
                error,
            )
            self._table.mark_departed(host_id, departure.boot_id)
        self._request_report()
        self._recorder.confirm(departure, deadline_s)
        return True

    def run(self) -> None:
        """Send reports to the other controls until the task is killed."""
        run_periodically("host reports", self._run_round, MIN_HOST_REPORT_INTERVAL_S)

    def _store(self, announcement: Announcement) -> None:
        now_s = self._clock.now_s()
        self._preserve_leaving(announcement)
        result = self._collector.announce(announcement, now_s)
        heard = Heard(
            host_id=announcement.host_id,
            boot_id=announcement.boot_id,
            sequence=announcement.sequence,
            changed=announcement,
            content_digest=self._collector.content_digest_of(announcement.host_id),
        )
        changed_host_ids = self._table.merge_control_report(
            self._control_id, [heard], now_s
        )
        if result.urgent:
            self._request_report()
        if changed_host_ids:
            _LOGGER.info(
                "host",
                extra={
                    "host": announcement.host_id,
                    "leaving": announcement.leaving,
                    "holding": _format_holding(announcement),
                    "staged": list(announcement.staged),
                    "domain": announcement.fabric_domain,
                },
            )

    def _preserve_leaving(self, announcement: Announcement) -> None:
        # A host does not revoke its leaving within one boot, but an announcement sent
        # before it may arrive late.
        if self._table.is_departed(announcement.host_id, announcement.boot_id):
            announcement.leaving = True

    def _request_report(self) -> None:
        if not self._report_requested.ready():
            self._report_requested.send()

    def _run_round(self) -> None:
        with eventlet.Timeout(HOST_REPORT_INTERVAL_S, False):
            self._report_requested.wait()
        self._report_requested = Event()
        now_s = self._clock.now_s()
        report = HostReport(
            heard=self._collector.drain_report(now_s),
            sent_at_ms=round(now_s * 1_000),
        )
        if self._log.is_leader:
            self._roster.fill_report(report, self._log.term, now_s)
        others = self._other_controls()
        # The first report tells the others that this control has started.
        is_due = not self._has_reported or report.lists_all_entries
        if not (is_due or report.heard or report.entries):
            return
        self._has_reported = self._has_reported or bool(others)
        for control_id, address in others.items():
            self._transport.send(control_id, address, "host_report", report)

    def _other_controls(self) -> dict[str, str]:
        addresses = peer_addresses(self._log.members)
        if not addresses:
            # A control that lost its disk gets announcements before it rejoins.
            addresses = self._log.known_addresses()
        addresses.pop(self._control_id, None)
        return addresses

    def _receive_report(self, envelope: Envelope) -> None:
        sender = envelope.sender_id
        now_s = self._clock.now_s()
        self._update_started_control(sender, envelope.sender_incarnation, now_s)
        report = envelope.host_report
        self._table.merge_control_report(sender, report.heard, now_s)
        self._roster.merge(report, now_s)
        missing_host_ids = self._table.hosts_lacking_content(sender)
        address = self._other_controls().get(sender)
        if missing_host_ids and address:
            request = HostWant(host_ids=missing_host_ids)
            self._transport.send(sender, address, "host_want", request)

    def _update_started_control(
        self, control_id: str, incarnation: str, now_s: float
    ) -> None:
        """Report again what a control that has started lacks.

        It may lead soon, and must know the hosts and entries then.
        """
        if self._incarnations.get(control_id) == incarnation:
            return
        self._incarnations[control_id] = incarnation
        self._collector.mark_recent_for_report(now_s)
        self._roster.request_complete()
        self._request_report()

    def _receive_content_request(self, envelope: Envelope) -> None:
        self._collector.mark_for_full_report(envelope.host_want.host_ids)
        self._request_report()


def _format_holding(announcement: Announcement) -> str:
    if not announcement.HasField("holding"):
        return "nothing"
    holding = announcement.holding
    return f"{holding.group_id} {holding.epoch} {holding.rank} {holding.phase}"
