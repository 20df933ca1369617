"""Reports to the controls and installs the views that they answer with."""

import random
from collections import Counter
from collections.abc import Callable, Iterator

import eventlet
import logbook
from eventlet.event import Event

from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.clock import Clock
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.membership.endpoint_notices import EndpointNotices
from chestnutvale.membership.entry_view import EntryView, InstallVerdict
from chestnutvale.membership.report_targets import ReportTargets
from chestnutvale.programs.entry.const import (
    MIN_REPORT_INTERVAL_MS,
    NO_LEASE_REPORT_INTERVAL_S,
    REPORT_EXPIRY_MS,
    STALL_CHECK_INTERVAL_S,
)
from chestnutvale.programs.entry.demand_exchange import DemandExchange
from chestnutvale.programs.entry.running_attempts import RunningAttempts
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.rate_limits.send_budget import SendBudget
from chestnutvale.rate_limits.wire import (
    from_cold_messages,
    from_message,
    to_cold_messages,
    to_message,
)
from chestnutvale.routing.stall_detection import StallDetector
from chestnutvale.schema.membership_pb2 import Load
from chestnutvale.schema.peer_pb2 import (
    ControlView,
    Departure,
    EntryReport,
    Envelope,
    GroupLoad,
)
from chestnutvale.schema.settings_pb2 import EntrySettings
from chestnutvale.transport.node import TransportNode

_LOGGER = logbook.Logger(__name__)

NONCE_BITS = 63


class ControlLink:
    """Sends reports to the controls and applies the views that they send.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    transport : TransportNode
        The process's peer sockets.
    view : EntryView
        Groups, configuration and serving lease of the entry.
    collector : AnnouncementCollector
        Announcements that the entry received from hosts.
    suspicions : SuspicionTracker
        Tracks requests that are suspected of crashing groups.
    cache_events : CacheEventQueue
        Cache events that this entry received.
    demand : DemandExchange
        Demand of this entry and of all entries.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of nonces.
    running : RunningAttempts, optional
        Running attempts, for hosts that do not report their load.
    stall_detector : StallDetector, optional
        Detects groups whose streams have stalled.
    notices : EndpointNotices, optional
        Endpoints that told this entry that they leave or pause.
    send_budget : SendBudget, optional
        Limits that endpoints named, and the shares of this entry.

    Attributes
    ----------
    draining : bool
        Whether the entry is about to stop.
    is_isolated : callable
        Tells whether this entry reaches no endpoint; what it sees then says nothing
        about the endpoints.
    lease_changes : Counter
        Number of serving leases that were ``won`` and ``lost``.
    stalls : int
        Number of times that a group stalled.
    on_stall_change : callable
        Called when other groups count as stalled here than before.
    on_text_change : callable
        Called when a text was installed, also with a view whose groups were not.
    """

    def __init__(
        self,
        settings: EntrySettings,
        transport: TransportNode,
        view: EntryView,
        collector: AnnouncementCollector,
        suspicions: SuspicionTracker,
        cache_events: CacheEventQueue,
        demand: DemandExchange,
        clock: Clock,
        rng: random.Random,
        running: RunningAttempts | None = None,
        stall_detector: StallDetector | None = None,
        notices: EndpointNotices | None = None,
        send_budget: SendBudget | None = None,
    ) -> None:
        self.draining = False
        self._settings = settings
        self._transport = transport
        self._view = view
        self._collector = collector
        self._suspicions = suspicions
        self._cache_events = cache_events
        self._demand = demand
        self._clock = clock
        self._rng = rng
        self._targets = ReportTargets(
            {control.id: control.address for control in settings.controls}
        )
        self._running = running
        self._stall_detector = stall_detector or StallDetector()
        self._notices = notices or EndpointNotices()
        self._send_budget = send_budget or SendBudget()
        # Source and version of the installed list of limits.
        self._limits_installed = ("", 0)
        self._reported_stalled: frozenset[str] = frozenset()
        self._had_lease = False
        self.is_isolated: Callable[[], bool] = _is_never_isolated
        self.lease_changes: Counter[str] = Counter()
        self.stalls = 0
        self.on_stall_change: Callable[[], None] = _ignore_change
        self.on_text_change: Callable[[], None] = _ignore_change
        self._listeners: list[Callable[[ControlView, str], None]] = []
        self._report_trigger = Event()
        transport.register_handler("control_view", self._receive_view)

    def add_view_listener(self, listener: Callable[[ControlView, str], None]) -> None:
        """Register a function for each installed view.

        Parameters
        ----------
        listener : callable
            Takes the view and the identity of the control; must not block.
        """
        self._listeners.append(listener)

    def set_suspicion_tracker(self, suspicions: SuspicionTracker) -> None:
        """Replace the tracker whose evidence is reported.

        Parameters
        ----------
        suspicions : SuspicionTracker
            Evidence about requests that crash groups.
        """
        self._suspicions = suspicions

    def trigger_report(self) -> None:
        """Wake the reporting task to send the next report without delay."""
        if not self._report_trigger.ready():
            self._report_trigger.send()

    def run(self) -> None:
        """Send reports until the task is killed."""
        # The minimum interval combines the triggers of a burst into one report.
        run_periodically("reporting", self._report_once, MIN_REPORT_INTERVAL_MS / 1_000)

    def _report_once(self) -> None:
        with eventlet.Timeout(self.report_interval_s(), False):
            self._report_trigger.wait()
        self._report_trigger = Event()
        self._log_lease_change("")
        _receive_pending_events()
        self._send_report()

    def report_interval_s(self) -> float:
        """Return the time between two reports that nothing triggers.

        Returns
        -------
        float
            Seconds; short while there is no lease, because calls are refused then.
        """
        usual_s = self._settings.report_interval_ms / 1_000
        if self._view.has_lease(self._clock.now_s()):
            return usual_s
        return min(usual_s, NO_LEASE_REPORT_INTERVAL_S)

    def find_leader(self) -> tuple[str, str] | None:
        """Return the control that answers reports, and its peer address.

        Returns
        -------
        tuple of (str, str) or None
            None while no control is known to lead.
        """
        targets = self._targets.choose_controls(self._clock.now_s())
        return targets[0] if len(targets) == 1 else None

    def _log_lease_change(self, sender_id: str) -> None:
        has_lease = self._view.has_lease(self._clock.now_s())
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        self.lease_changes["won" if has_lease else "lost"] += 1
        _LOGGER.info(
            "serving_lease",
            extra={
                "held": has_lease,
                "control": sender_id or self._view.source,
                "view_version": self._view.version,
                "configuration": self._view.number,
            },
        )

    def _send_report(self) -> None:
        nonce = self._rng.getrandbits(NONCE_BITS) + 1
        now_s = self._clock.now_s()
        report = EntryReport(
            reply_address=self._settings.peer_address,
            data_centre=self._settings.data_centre,
            nonce=nonce,
            configuration_number=self._view.number,
            view_version=self._view.version,
            # Without a lease, this entry may have missed evidence about crashes, which
            # a whole view repeats.
            view_source=self._view.source if self._view.has_lease(now_s) else "",
            heard=self._collector.drain_report(now_s),
            suspicions=self._suspicions.reports(self._clock.unix_ms()),
            cache_events=self._cache_events.drain(),
            draining=self.draining,
            sent_at_ms=round(now_s * 1_000),
            relay_address=self._settings.relay_address,
            is_isolated=self.is_isolated(),
            obeys_cold_shares=True,
            reads_compressed_text=True,
        )
        if self._view.has_lease(now_s):
            # After the lease, another entry may have got the slots.
            held = self._send_budget.held_slots()
            report.cold_shares.extend(to_cold_messages(held))
        self._demand.add_demand(report, now_s)
        self._view.record_report_sent(nonce, now_s)
        if self._running is not None:
            report.running.extend(self._make_group_loads(now_s))
        report.departures.extend(
            Departure(host_id=endpoint.host_id, boot_id=endpoint.boot_id)
            for endpoint in self._notices.departures()
        )
        self._add_limits(report, now_s)
        targets = self._targets.choose_controls(now_s)
        report.wants_controls = len(targets) > 1
        for control_id, address in targets:
            self._transport.send(
                control_id, address, "entry_report", report, REPORT_EXPIRY_MS
            )

    def _add_limits(self, report: EntryReport, now_s: float) -> None:
        report.limits.extend(
            to_message(statement, now_s) for statement in self._send_budget.unreported()
        )
        source, version = self._limits_installed
        if source == report.view_source:
            report.limits_version = version

    def _install_limits(self, view: ControlView) -> None:
        source, version = self._limits_installed
        # Of two views with the same groups, the older one may arrive later.
        is_old = view.source == source and view.limits_version <= version
        if not view.limits_version or is_old:
            return
        self._limits_installed = (view.source, view.limits_version)
        now_s = self._clock.now_s()
        statements = [from_message(message, now_s) for message in view.limits]
        shares = {
            statement.endpoint: message.share_per_s
            for statement, message in zip(statements, view.limits, strict=True)
        }
        cold_shares = from_cold_messages(view.cold_shares)
        self._send_budget.install(statements, shares, now_s, cold_shares)
        _LOGGER.info(
            "rate_limits",
            extra={
                "version": view.limits_version,
                "limits": len(statements),
                "shares": {
                    endpoint.host_id: round(share_per_s, 3)
                    for endpoint, share_per_s in shares.items()
                    if share_per_s
                },
                "cold_slots": {
                    endpoint.host_id: plan.count
                    for endpoint, plan in cold_shares.items()
                },
            },
        )

    def _make_group_loads(self, now_s: float) -> Iterator[GroupLoad]:
        silences_s = self._stall_detector.silences_s(now_s)
        stalled = self._find_stalled_groups(now_s)
        unheard = self._stall_detector.groups_without_events()
        for group_id, count in self._running.counts_by_group().items():
            yield GroupLoad(
                group_id=group_id,
                load=Load(running=count),
                silence_ms=round(1_000 * silences_s.get(group_id, 0.0)),
                stalled=group_id in stalled,
                unheard=group_id in unheard,
            )

    def watch_stalls(self) -> None:
        """Trigger a report when groups stall or recover, until the task is killed."""
        run_periodically(
            "watching streams", self._check_stalls, self.find_stall_pause_s
        )

    def find_stall_pause_s(self) -> float:
        """Return the pause until the next check for stalled groups.

        Returns
        -------
        float
            Seconds until a group can stall at the earliest, also one whose first stream
            starts in the meantime; short while a group has stalled and may recover.
        """
        if self._reported_stalled:
            return STALL_CHECK_INTERVAL_S
        detector = self._stall_detector
        silences_s = detector.silences_s(self._clock.now_s()).values()
        limit_s = min(detector.gap_s, detector.first_event_s)
        return max(STALL_CHECK_INTERVAL_S, limit_s - max(silences_s, default=0.0))

    def _check_stalls(self) -> None:
        _receive_pending_events()
        stalled = self._find_stalled_groups(self._clock.now_s())
        if stalled != self._reported_stalled:
            self.stalls += len(stalled - self._reported_stalled)
            self._reported_stalled = stalled
            _LOGGER.info("stalled_groups", extra={"groups": sorted(stalled)})
            self.on_stall_change()
            self.trigger_report()

    def _find_stalled_groups(self, now_s: float) -> frozenset[str]:
        if self.is_isolated():
            return frozenset()
        return self._stall_detector.stalled_groups(now_s)

    def _receive_view(self, envelope: Envelope) -> None:
        view = envelope.control_view
        controls = {
            control.control_id: control.peer_address for control in view.controls
        }
        if not view.source:
            # A view without a source comes from a follower, without groups.
            self._targets.add_controls(controls)
            self._suspicions.merge(list(view.suspicions), self._clock.unix_ms())
            return
        number_before, source_before = self._view.number, self._view.source
        verdict = self._view.install_view(view, self._clock.now_s())
        if verdict is InstallVerdict.OLD_TERM:
            return
        # No call may see a cold group as ordinary, so nothing that could switch to
        # another task comes before this.
        cold = self._view.bounded_cold_endpoints()
        self._send_budget.set_cold(cold, self._clock.now_s())
        self._targets.record_leader_view(
            envelope.sender_id, controls, self._clock.now_s()
        )
        self._log_lease_change(envelope.sender_id)
        if self._view.number != number_before:
            _LOGGER.info("Text {} is in force", self._view.number)
            self.on_text_change()
            # The operators' status shows the configuration number of the last report.
            self.trigger_report()
        if self._view.source != source_before:
            self._collector.mark_all_for_full_report()
            self._suspicions.repeat_bans(self._clock.unix_ms())
            self.trigger_report()
        if view.want_hosts:
            self._collector.mark_for_full_report(view.want_hosts)
            self.trigger_report()
        if verdict is InstallVerdict.GAP:
            self.trigger_report()
            return
        if any(not item.serving for item in view.groups):
            # The leader waits for counts that were taken with this view.
            self.trigger_report()
        self._suspicions.merge(list(view.suspicions), self._clock.unix_ms())
        self._demand.apply_totals(view)
        self._install_limits(view)
        for listener in self._listeners:
            listener(view, envelope.sender_id)


def _ignore_change() -> None:
    """Do nothing; the default until the context of the entry is set."""


def _is_never_isolated() -> bool:
    """Return False; the default until the context of the entry is set."""
    return False


def _receive_pending_events() -> None:
    """Let the other greenlets read what has arrived.

    The hub runs its timers before it looks for data, so that after a delay of the
    process all streams would look silent.
    """
    eventlet.sleep(0)
