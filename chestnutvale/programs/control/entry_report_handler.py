"""Handling of reports and commit requests from entries."""

import math
from collections import Counter
from collections.abc import Mapping

import attrs
import eventlet
import logbook

from chestnutvale.admission.demand import DemandTable
from chestnutvale.admission.wire import from_messages, to_messages
from chestnutvale.attempts.suspicion_aggregator import SuspicionAggregator
from chestnutvale.clock import Clock
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.consensus.members import peer_addresses
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.groups.members import group_head
from chestnutvale.groups.serving import is_evacuated
from chestnutvale.membership.attempt_counts import AttemptCounts
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.membership.const import (
    GROUP_DISCOVERY_S,
    SILENT_ATTEMPTS_RETENTION_S,
)
from chestnutvale.membership.entry_roster import EntryRoster
from chestnutvale.membership.relay_peers import RelayPeer, choose_relay_peers
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher, ViewPush
from chestnutvale.programs.control.const import (
    COMMIT_REQUEST_TIMEOUT_S,
    DEMAND_VIEWS_PER_S,
    DISSOLVING_TTL_S,
    MAX_CONCURRENT_COMMIT_REQUESTS,
    RESPONSIVE_TTL_S,
)
from chestnutvale.programs.control.limit_divider import LimitDivider
from chestnutvale.programs.control.state import ControlState
from chestnutvale.routing.stall_detection import StallAggregator
from chestnutvale.schema.peer_pb2 import (
    CacheNews,
    CommitReply,
    CommitRequest,
    ControlAddress,
    ControlView,
    EntryReport,
    Envelope,
    GroupView,
    ServiceGroups,
)
from chestnutvale.transport.node import TransportNode

_LOGGER = logbook.Logger(__name__)

OUTCOME_COMMITTED = "committed"
OUTCOME_NOT_LEADER = "not_leader"
OUTCOME_UNKNOWN = "unknown"


@attrs.define
class EntryState:
    """State of an entry from its last report.

    Attributes
    ----------
    incarnation : str
        Incarnation of the entry that sent it.
    number : int
        Number of the text in force there.
    seen_at_s : float
        Monotonic time of the report.
    view_source : str
        Incarnation of the control whose view the entry has.
    view_version : int
        Version of that view.
    draining : bool
        Whether the entry finishes its work before a shutdown.
    data_centre : str
        Data centre of the entry.
    address : str
        Its peer address.
    relay_address : str
        Address at which it takes calls of other entries; empty if it takes none.
    is_isolated : bool
        Whether it reaches no endpoint.
    lends_places : bool
        Whether it lends places.
    obeys_cold_shares : bool
        Whether it sends to cold endpoints with a bound only by its shares; False for
        older builds.
    """

    incarnation: str
    number: int
    seen_at_s: float
    view_source: str = ""
    view_version: int = 0
    draining: bool = False
    data_centre: str = ""
    address: str = ""
    relay_address: str = ""
    is_isolated: bool = False
    lends_places: bool = False
    obeys_cold_shares: bool = False


class EntryReportHandler:
    """Merges entry reports, answers them with views and commits requests.

    Parameters
    ----------
    transport : TransportNode
        Peer transport of the process.
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    table : MembershipTable
        The host table.
    publisher : ViewPublisher
        Builds views.
    clock : Clock
        Source of time.
    limits : LimitDivider, optional
        Divides what limited and cold endpoints take.
    roster : EntryRoster, optional
        Entries that may run attempts.

    Attributes
    ----------
    limits : LimitDivider
        Divides what limited and cold endpoints take.
    entries : dict of str to EntryState
        Last report of each entry.
    attempt_counts : AttemptCounts
        Running attempts of the entries by group.
    """

    def __init__(
        self,
        transport: TransportNode,
        log: ConsensusTask,
        state: ControlState,
        table: MembershipTable,
        publisher: ViewPublisher,
        clock: Clock,
        limits: LimitDivider | None = None,
        roster: EntryRoster | None = None,
    ) -> None:
        self.entries: dict[str, EntryState] = {}
        self._transport = transport
        self._log = log
        self._state = state
        self._table = table
        self._publisher = publisher
        self._clock = clock
        self._suspicions = SuspicionAggregator()
        self._pushed_version = 0
        self._refreshed_inputs = (-1, -1)
        self._led_term = 0
        self._awaits_groups_until_s = -math.inf
        self._valid_until_s = float("-inf")
        self._cache_events = CacheEventQueue()
        self._demands = DemandTable()
        self._demand_due_s: dict[str, float] = {}
        self.attempt_counts = AttemptCounts()
        self._stalls = StallAggregator()
        self._roster = roster or EntryRoster()
        self._dissolving_until_s: dict[str, float] = {}
        self.limits = limits or LimitDivider(log, state, table, publisher, clock)
        self._commits = eventlet.GreenPool(MAX_CONCURRENT_COMMIT_REQUESTS)
        transport.register_handler("entry_report", self._receive_report)
        transport.register_handler("commit_request", self._receive_commit)

    def group_views(self) -> list[GroupView]:
        """Return the views of all groups; callers must not modify them."""
        return self._publisher.group_views()

    @property
    def view_version(self) -> int:
        """Version of the newest view; see `ViewPublisher.version`."""
        return self._publisher.version

    def demand(self, now_s: float) -> Mapping[str, float]:
        """Return the demand for each service, summed over entries and workspaces.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        mapping of str to float
            Requests that wait, run or were recently refused; a service whose requests
            reserve tokens is counted in tokens.
        """
        totals: Counter[str] = Counter()
        for item in self._demands.totals(now_s):
            totals[item.service] += item.tokens + item.refused_tokens
        return totals

    def data_centres(self) -> set[str]:
        """Return the data centres of the entries that have reported."""
        return {entry.data_centre for entry in self.entries.values()}

    def live_addresses(self, now_s: float) -> dict[str, str]:
        """Return the addresses of the live entries.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to str
            Peer address by entry.
        """
        return {
            entry_id: self.entries[entry_id].address
            for entry_id in self._table.live_entries(now_s)
            if entry_id in self.entries
        }

    def all_lend_places(self, now_s: float) -> bool:
        """Tell whether all live entries lend places, at a monotonic time in seconds."""
        return all(
            self.entries[entry_id].lends_places
            for entry_id in self.live_addresses(now_s)
        )

    def publish_changes(self) -> None:
        """Push views to the entries whose view is outdated."""
        now_s = self._clock.now_s()
        self._publisher.retain_entries(self._table.known_entries())
        has_lease = self._log.has_lease(now_s)
        if self._log.is_leader and not has_lease:
            # This process may have stood still, and reports may not have been read.
            return
        self._refresh(now_s)
        if not (has_lease and self._log.has_applied_earlier_terms):
            return
        self._push_text(now_s)
        source = self._state.configuration
        # An answer may have included the change first; the other entries need it too.
        if self._publisher.version != self._pushed_version:
            self._pushed_version = self._publisher.version
            pushes = self._publisher.build_pushes(
                source, self._table, self._log.term, now_s
            )
            self._send_pushes(pushes)

    def _push_text(self, now_s: float) -> None:
        pushes = self._publisher.build_text_pushes(
            self._state.configuration, self._table, self._log.term, now_s
        )
        self._send_pushes(pushes)

    def forward_cache_events(self) -> None:
        """Send the cache events received since the last round to all live entries."""
        events = self._cache_events.drain()
        if not events or not self._log.is_leader:
            return
        message = CacheNews(events=events)
        for entry_id, address in self.live_addresses(self._clock.now_s()).items():
            self._transport.send(entry_id, address, "cache_news", message)

    def _receive_report(self, envelope: Envelope) -> None:
        report = envelope.entry_report
        now_s = self._clock.now_s()
        entry_id = envelope.sender_id
        self._table.merge_entry_report(
            entry_id,
            report.heard,
            now_s,
            report.sent_at_ms,
            envelope.sender_incarnation,
        )
        self._roster.record_report(entry_id, now_s)
        self._merge_departures(entry_id, report)
        self._cache_events.extend(report.cache_events)
        self._demands.record_report(entry_id, from_messages(report.demands), now_s)
        self.entries[entry_id] = EntryState(
            incarnation=envelope.sender_incarnation,
            number=report.configuration_number,
            seen_at_s=now_s,
            view_source=report.view_source,
            view_version=report.view_version,
            draining=report.draining,
            data_centre=report.data_centre,
            address=report.reply_address,
            relay_address=report.relay_address,
            is_isolated=report.is_isolated,
            lends_places=report.lends_places,
            obeys_cold_shares=report.obeys_cold_shares,
        )
        has_new_suspicions = self._suspicions.merge(
            list(report.suspicions), self._clock.unix_ms()
        )
        self.attempt_counts.record_group_loads(entry_id, report.running, now_s)
        has_confirmed_text = self._publisher.record_report(
            entry_id, report, envelope.sender_incarnation
        )
        is_leading = self._is_leading(now_s)
        self.limits.merge_report(entry_id, report, now_s, is_leading)
        if not is_leading:
            if report.wants_controls:
                self._answer_as_follower(entry_id, report.reply_address)
            return
        self._update_group_loads(now_s)
        has_new_suspicions |= self._record_stalls(entry_id, report, now_s)
        has_new_limits = self._divide_limits(now_s)
        self._answer(entry_id, report, now_s)
        if has_confirmed_text:
            self._push_text(now_s)
        if has_new_suspicions or has_new_limits:
            self._push_to_all(now_s)

    def begin_term(self, now_s: float) -> None:
        """Start to discover hosts if this control has begun to lead a term.

        Must precede the first view of a term, which tells entries whether groups may
        still appear.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        if self._log.is_leader and self._log.term != self._led_term:
            self._led_term = self._log.term
            self._awaits_groups_until_s = now_s + GROUP_DISCOVERY_S
            self._table.retain_attempts()
            self._roster.begin_term(self._led_term, now_s)
            self._table.extend_detection_timeout(
                now_s + self._table.detection_timeout_s, now_s
            )

    def _is_leading(self, now_s: float) -> bool:
        """Tell whether this control answers reports.

        A new leader has not applied the groups yet that are in its log, and a view
        without them would take all groups from the entries.
        """
        if not (self._log.is_leader and self._log.has_lease(now_s)):
            return False
        self.begin_term(now_s)
        return self._log.has_applied_earlier_terms

    def _merge_departures(self, entry_id: str, report: EntryReport) -> None:
        for departure in report.departures:
            if self._table.mark_departed(departure.host_id, departure.boot_id):
                _LOGGER.info(
                    "host_departure",
                    extra={
                        "host": departure.host_id,
                        "boot": departure.boot_id,
                        "by": entry_id,
                    },
                )

    def _record_stalls(self, entry_id: str, report: EntryReport, now_s: float) -> bool:
        silences_s = {item.group_id: item.silence_ms / 1_000 for item in report.running}
        stalled_group_ids = frozenset(
            item.group_id for item in report.running if item.stalled
        )
        unheard_group_ids = frozenset(
            item.group_id for item in report.running if item.unheard
        )
        is_new = self._stalls.record_report(
            entry_id, silences_s, stalled_group_ids, now_s, unheard_group_ids
        )
        self._table.mark_responsive(
            self._stalls.active_groups(now_s), now_s + RESPONSIVE_TTL_S
        )
        all_stalled = self._stalls.stalled_groups(now_s)
        self._table.set_stalled_groups(self._stalls.confirmed_stalls(now_s))
        if is_new:
            groups = sorted(all_stalled)
            _LOGGER.info("stalled_groups", extra={"groups": groups, "by": entry_id})
        return is_new

    def _answer_as_follower(self, entry_id: str, address: str) -> None:
        # The entry asks all controls it knows; its addresses may be out of date. While
        # none leads, only they can tell it which requests crash groups.
        view = ControlView(controls=self._control_addresses())
        view.suspicions.extend(self._suspicions.recent_evidence(self._clock.unix_ms()))
        self._transport.send(entry_id, address, "control_view", view)

    def _control_addresses(self) -> list[ControlAddress]:
        return [
            ControlAddress(control_id=control_id, peer_address=address)
            for control_id, address in peer_addresses(self._log.members).items()
        ]

    def _update_group_loads(self, now_s: float) -> None:
        """Set the load of each group head to the attempts that entries run there."""
        self.attempt_counts.remove_expired(now_s)
        totals = self.attempt_counts.totals(now_s)
        remembered_totals = self.attempt_counts.remembered_totals(now_s)
        known_version = self._find_known_version(now_s)
        head_ids = set()
        for group in self._state.groups.groups.values():
            group_id = group.group_id
            head_id = group_head(group).host_id
            head_ids.add(head_id)
            # An entry counts a request that it sent before it learned that the group
            # does not serve any more only in a later report.
            is_complete = (
                self._publisher.group_version(group_id) <= known_version
                and remembered_totals[group_id] == totals[group_id]
            )
            self._table.record_running_attempts(
                head_id,
                totals[group_id],
                is_complete,
                remembered_totals[group_id],
            )
        self._table.retain_attempts(head_ids)

    def _find_known_version(self, now_s: float) -> int:
        """Return the lowest version of the views that entries have.

        Entries that have been silent for long count no more; -1 if an entry has no view
        of this control, or has yet to report in this term.
        """
        if self._roster.has_unheard(now_s):
            return -1
        return min(
            (
                entry.view_version
                if entry.view_source == self._publisher.source
                else -1
                for entry in self.entries.values()
                if now_s - entry.seen_at_s < SILENT_ATTEMPTS_RETENTION_S
            ),
            default=-1,
        )

    def _divide_limits(self, now_s: float) -> bool:
        """Divide the rate limits of endpoints again if something changed."""
        entries = {
            entry_id: self.entries[entry_id]
            for entry_id in self._table.live_entries(now_s)
            if entry_id in self.entries and not self.entries[entry_id].draining
        }
        return self.limits.divide(
            {entry_id: entry.data_centre for entry_id, entry in entries.items()},
            {
                entry_id: entry.data_centre
                for entry_id, entry in entries.items()
                if entry.obeys_cold_shares
            },
            now_s,
        )

    def _push_to_all(self, now_s: float) -> None:
        # A request that crashes groups is often retried soon at another entry, and
        # the shares in a limit add up only once all entries have the new ones.
        pushes = self._publisher.build_pushes_to_all(
            self._state.configuration, self._table, self._log.term, now_s
        )
        self._send_pushes(pushes)

    def _answer(self, entry_id: str, report: EntryReport, now_s: float) -> None:
        if self._is_view_outdated(now_s):
            self._refresh(now_s)
        view = self._publisher.answer(
            entry_id,
            report,
            self._state.configuration,
            self._table,
            self._log.term,
            now_s,
        )
        if self._is_demand_due(entry_id, now_s):
            view.demands.extend(to_messages(self._demands.totals(now_s)))
        view.controls.extend(self._control_addresses())
        if report.is_isolated:
            peers = self._relay_peers(now_s)
            view.peers.extend(choose_relay_peers(peers, entry_id, report.data_centre))
        self._send_view(entry_id, report.reply_address, view)

    def _relay_peers(self, now_s: float) -> list[RelayPeer]:
        live = self._table.live_entries(now_s)
        states = [
            self.entries[entry_id] for entry_id in live if entry_id in self.entries
        ]
        return [
            RelayPeer(
                state.relay_address,
                state.data_centre,
                can_serve=not (state.is_isolated or state.draining),
            )
            for state in states
        ]

    def _is_demand_due(self, entry_id: str, now_s: float) -> bool:
        due_s = self._demand_due_s.get(entry_id, -math.inf)
        if now_s < due_s:
            return False
        interval_s = len(self._demand_due_s) / DEMAND_VIEWS_PER_S
        self._demand_due_s[entry_id] = now_s + interval_s
        return True

    def withhold(self, group_id: str) -> None:
        """Let a group serve no more from now on, since its removal is proposed.

        Until the outcome is known, a member that returns must not make it serve again.

        Parameters
        ----------
        group_id : str
            The group.
        """
        until_s = self._clock.now_s() + DISSOLVING_TTL_S
        self._dissolving_until_s[group_id] = until_s

    def _refresh(self, now_s: float) -> None:
        self._dissolving_until_s = {
            group_id: until_s
            for group_id, until_s in self._dissolving_until_s.items()
            if now_s < until_s and group_id in self._state.groups.groups
        }
        self._refreshed_inputs = (self._log.applied_index, self._table.revision)
        changed = self._publisher.refresh(
            self._state.groups,
            self._table,
            now_s,
            self._state.evacuations.evacuated,
            self.limits.make_cold_rule(now_s),
            frozenset(self._dissolving_until_s),
        )
        if changed and self._log.is_leader:
            self._log_changes(changed)
            self._update_group_loads(now_s)
        self._valid_until_s = self._publisher.valid_until_s

    def _log_changes(self, changed: list[str]) -> None:
        views = {view.group.group_id: view for view in self._publisher.group_views()}
        for group_id in changed:
            view = views.get(group_id)
            _LOGGER.info(
                "group_view",
                extra={
                    "group": group_id,
                    "epoch": view.group.epoch if view else 0,
                    "serving": bool(view and view.serving),
                    "reason": view.reason if view else "dissolved",
                    "cold": bool(view and view.is_cold),
                    "view_version": self._publisher.version,
                },
            )

    def _is_view_outdated(self, now_s: float) -> bool:
        """Tell whether a group published as serving may have stopped serving."""
        inputs = (self._log.applied_index, self._table.revision)
        return inputs != self._refreshed_inputs or now_s >= self._valid_until_s

    def _send_pushes(self, pushes: list[ViewPush]) -> None:
        for push in pushes:
            self._send_view(push.entry_id, push.reply_address, push.view)

    def _send_view(self, entry_id: str, address: str, view: ControlView) -> None:
        now_unix_ms = self._clock.unix_ms()
        now_s = self._clock.now_s()
        view.stalled_group_ids.extend(sorted(self._stalls.stalled_groups(now_s)))
        view.discovering = (
            self._table.may_discover_hosts(now_s) and not self._is_all_evacuated()
        )
        if view.discovering and now_s < self._awaits_groups_until_s:
            view.awaited_groups.extend(
                ServiceGroups(service=service, count=count)
                for service, count in sorted(self._publisher.count_awaited().items())
            )
        self.limits.add_limits(entry_id, view, now_s)
        if view.whole:
            view.suspicions.extend(self._suspicions.all_evidence(now_unix_ms))
        else:
            view.suspicions.extend(self._suspicions.recent_evidence(now_unix_ms))
        self._transport.send(entry_id, address, "control_view", view)

    def _is_all_evacuated(self) -> bool:
        """Tell whether no group may serve, so that calls need not wait for one."""
        evacuated = self._state.evacuations.evacuated
        groups = self._state.groups.groups.values()
        return bool(evacuated and groups) and all(
            is_evacuated(group, self._table, evacuated) for group in groups
        )

    def _receive_commit(self, envelope: Envelope) -> None:
        request = envelope.commit_request
        if not self._log.is_leader:
            self._reply(
                envelope,
                CommitReply(
                    request_id=request.request_id,
                    outcome=OUTCOME_NOT_LEADER,
                    leader_id=self._log.leader_id,
                ),
            )
            return
        if self._commits.free() <= 0:
            # The entry retries; a longer queue here would only add delay.
            return
        self._commits.spawn_n(self._commit, envelope)

    def _commit(self, envelope: Envelope) -> None:
        request: CommitRequest = envelope.commit_request
        reply = CommitReply(request_id=request.request_id)
        request.command.proposed_at_unix_ms = self._clock.unix_ms()
        deadline_s = self._clock.now_s() + COMMIT_REQUEST_TIMEOUT_S
        try:
            result = self._log.propose(request.command, deadline_s)
        except NotLeaderError as error:
            reply.outcome = OUTCOME_NOT_LEADER
            reply.leader_id = error.leader_id
        except OutcomeUnknownError:
            reply.outcome = OUTCOME_UNKNOWN
        else:
            reply.outcome = OUTCOME_COMMITTED
            reply.result.CopyFrom(result)
        self._reply(envelope, reply)

    def _reply(self, envelope: Envelope, reply: CommitReply) -> None:
        address = envelope.commit_request.reply_address
        self._transport.send(envelope.sender_id, address, "commit_reply", reply)
