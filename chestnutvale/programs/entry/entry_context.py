"""Implements the context that request handlers use to access the entry."""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import eventlet
import logbook

from chestnutvale.admission.messages import ServiceCapacity, ServiceLimits
from chestnutvale.admission.service_flow import ServiceFlow
from chestnutvale.admission.stop_window import StopWindow
from chestnutvale.attempts.retry_budget import AttemptBudgets
from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.clock import Clock
from chestnutvale.configuration.const import KIND_MODEL
from chestnutvale.configuration.lookup import TextLookup
from chestnutvale.groups.members import group_head
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.membership.endpoint_notices import EndpointNotice, Incarnation
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.membership.lost_groups import CAUSE_RESTARTED, find_lost_groups
from chestnutvale.programs.entry.admission_gate import AdmissionGate
from chestnutvale.programs.entry.commit_client import CommitClient
from chestnutvale.programs.entry.context import AttemptReport, CallRequest, CrashProbe
from chestnutvale.programs.entry.crash_probe import has_crashed
from chestnutvale.programs.entry.exceptions import EndlessAnswerError
from chestnutvale.programs.entry.group_router import (
    RESULT_BROKEN,
    RESULT_WHOLE,
    GroupRouter,
)
from chestnutvale.programs.entry.peers.const import SUSPICION_SILENCE_S
from chestnutvale.programs.entry.running_attempts import RunningAttempts
from chestnutvale.rate_limits.statements import RateStatement
from chestnutvale.routing.endless_answers import EndlessAnswerTracker
from chestnutvale.routing.reachability import EndpointReachability
from chestnutvale.routing.stall_detection import StallDetector
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.peer_pb2 import ControlView, GroupView

_LOGGER = logbook.Logger(__name__)

BEARER = "bearer "
# Requests sent to engines, as a multiple of the requests that they run concurrently.
ENGINE_OVERCOMMIT = 1.15
# Time after the start for which calls wait for the first lease: one leader election
# plus the transit of a report. They wait as long for the first group of a service.
FIRST_LEASE_WAIT_S = 2.0
LEASE_POLL_INTERVAL_S = 0.02
NO_CAPACITY = ServiceCapacity(groups=0, kv_capacity_tokens=0)


class EntryContext:
    """Combines view, admission, routing and commits; implements `CallContext`.

    Parameters
    ----------
    entry_id : str
        Identity of the entry.
    incarnation : str
        Identifies this run of the process.
    view : EntryView
        Groups, configuration and serving lease of the entry.
    gate : AdmissionGate
        Decides which calls may run.
    router : GroupRouter
        Chooses groups for attempts.
    commits : CommitClient
        Submits commands to the leading control.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.

    Attributes
    ----------
    on_departure : callable
        Called when an endpoint told this entry that it leaves.
    on_limit_change : callable
        Called when an endpoint told this entry another limit than before.
    notice_counts : Counter
        Number of endpoints that were ``leaving`` and ``paused`` by their own answers,
        of pauses because of answers without end (``endless``),
        of limits that they named (``limited``) and no longer named (``unlimited``), and
        of endpoints that said that they are ``cold``.
    replaced_refusals : Counter
        Number of answers that were replaced because they promised without a proof that
        the request has not run, by status.
    memory : MemoryBound
        Bound on the memory of requests and answers.
    lost_group_reports : Counter
        Number of attempts whose group was reported as lost, by cause.
    kept_attempts : Counter
        Number of attempts that were kept although silent, by the code of the reason.
    on_isolation_change : callable
        Called when the entry becomes isolated from all endpoints, or no longer is.
    on_silence : callable
        Called when an attempt fell silent or broke and no endpoint has answered lately,
        or when a connection could not be opened.
    isolation_changes : Counter
        Number of times that the entry became ``isolated`` and ``reconnected``.
    peers : list of str
        Relay addresses of other entries, while this one is isolated.
    """

    def __init__(
        self,
        entry_id: str,
        incarnation: str,
        view: EntryView,
        gate: AdmissionGate,
        router: GroupRouter,
        commits: CommitClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.clock = clock
        self.rng = rng
        self.admission = gate
        self.budgets = AttemptBudgets()
        self.stop_window = StopWindow()
        self.suspicions = SuspicionTracker()
        self.running = RunningAttempts()
        self.stall_detector = StallDetector()
        self.attempt_results: Counter[str] = Counter()
        self.has_crashed: CrashProbe = has_crashed
        self.on_departure: Callable[[], None] = _ignore_change
        self.on_limit_change: Callable[[], None] = _ignore_change
        self.notice_counts: Counter[str] = Counter()
        self.replaced_refusals: Counter[str] = Counter()
        self.memory = MemoryBound()
        self.lost_group_reports: Counter[str] = Counter()
        self.kept_attempts: Counter[str] = Counter()
        self.on_isolation_change: Callable[[], None] = _ignore_change
        self.on_silence: Callable[[], None] = _ignore_change
        self.isolation_changes: Counter[str] = Counter()
        self.peers: list[str] = []
        self._lacks_peers = False
        self._reachability = EndpointReachability()
        self._endless_answers = EndlessAnswerTracker()
        self._answered_at_s = clock.now_s()
        self.lookup = TextLookup.from_text(Text())
        self._started_at_s = clock.now_s()
        self._view = view
        self._gate = gate
        self._router = router
        self._commits = commits

    @property
    def text(self) -> Text:
        """The text in force; empty with number 0 before the first one."""
        return self._view.text or Text()

    def install(self, view: ControlView, control_id: str) -> None:
        """Apply the changes of a view that was just installed.

        Parameters
        ----------
        view : ControlView
            The view.
        control_id : str
            The control that sent it.
        """
        self._commits.set_leader(control_id)
        if view.peers or not self.was_isolated():
            self.peers = list(view.peers)
        if view.nonce:
            # If all entries seem isolated, the endpoints are down, and calls stay here.
            self._lacks_peers = not view.peers
        if self._view.number != self.lookup.number:
            self._install_text()
        evacuated_count = self._router.evacuated_count
        self._router.install(view)
        if self._router.evacuated_count != evacuated_count:
            _LOGGER.info(
                "evacuated_groups",
                extra={
                    "groups": self._router.evacuated_count,
                    "groups_before": evacuated_count,
                    "view_version": self._view.version,
                },
            )
        self._report_lost_groups(view, control_id)
        for group_id in self._view.newly_stalled:
            self.running.report_stall(group_id)
        self.update_capacities()

    def install_text(self) -> None:
        """Apply a text that was installed, although the groups of its view were not.

        Otherwise calls would find their routes in this text and their keys and services
        in the text before.
        """
        self._install_text()
        self.update_capacities()

    def flows(self, now_s: float) -> list[ServiceFlow]:
        """Return this entry's calls per second by service, if it lends places."""
        return self._gate.controller.flows(now_s)

    def update_peer_running(
        self,
        by_group: Mapping[str, int],
        by_service: Mapping[str, int],
        flows: Iterable[ServiceFlow] = (),
    ) -> None:
        """Update the numbers of attempts that the other entries run.

        Parameters
        ----------
        by_group : mapping of str to int
            Attempts at each serving group.
        by_service : mapping of str to int
            Attempts at the serving groups of each service.
        flows : iterable of ServiceFlow, optional
            Calls per second of all entries, if all of them lend places.
        """
        now_s = self.clock.now_s()
        self._router.update_peer_running(by_group)
        stalled = self._find_stalled_groups(now_s)
        unlimited = self._router.capacity.count_shared_running(by_group, stalled)
        for service in by_service:
            running = unlimited[service]
            self._gate.controller.set_peer_running(service, running, now_s)
        for flow in flows:
            self._gate.controller.set_fleet_flow(flow, now_s)
        self._gate.reevaluate_waiting()

    @property
    def choice_counts(self) -> Counter[str]:
        """Number of choices of a group by policy and reason."""
        return self._router.choice_counts

    def authenticate(self, environ: dict[str, Any]) -> str | None:
        """Find the workspace that a request's key belongs to.

        Parameters
        ----------
        environ : dict
            The WSGI environment.

        Returns
        -------
        str or None
            Name of the workspace; None if the key is missing or unknown.
        """
        value = environ.get("HTTP_AUTHORIZATION", "")
        if value[: len(BEARER)].lower() != BEARER:
            return None
        workspace = self.lookup.find_workspace_by_key(value[len(BEARER) :].strip())
        return workspace.name if workspace is not None else None

    def has_lease(self, now_s: float) -> bool:
        """Tell whether the entry may take calls.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the serving lease holds.
        """
        return self._view.has_lease(now_s)

    def wait_for_first_lease(self, deadline_s: float) -> bool:
        """Wait for the first lease of an entry that has just started.

        After a full restart the load balancer sends calls here before a leader is
        elected. The election is short, and a refusal would use up one of the caller's
        retries. An entry that lost its lease does not wait: it is partitioned from the
        controls, and other entries can serve the call.

        Parameters
        ----------
        deadline_s : float
            Monotonic time in seconds until which the caller can wait.

        Returns
        -------
        bool
            Whether the entry has a lease now.
        """
        wait_until_s = min(deadline_s, self._started_at_s + FIRST_LEASE_WAIT_S)
        while not self._view.has_held_lease and self.clock.now_s() < wait_until_s:
            eventlet.sleep(LEASE_POLL_INTERVAL_S)
        return self.has_lease(self.clock.now_s())

    def wait_for_groups(self, service: str, deadline_s: float) -> None:
        """Wait for a group of a service while the leader still discovers hosts.

        After a restart of all controls, the leader hears each host only with its next
        announcement. That takes a second, and a refusal would use up one of the
        caller's retries.

        Parameters
        ----------
        service : str
            Name of the service.
        deadline_s : float
            Monotonic time in seconds until which the caller can wait.
        """
        wait_until_s = min(deadline_s, self.clock.now_s() + FIRST_LEASE_WAIT_S)
        while (
            self._view.is_discovering
            and not self._router.serving_groups(service, "")
            and self.clock.now_s() < wait_until_s
        ):
            eventlet.sleep(LEASE_POLL_INTERVAL_S)

    def serving_groups(self, service: str, version: str) -> list[str]:
        """Return the ids of all groups that serve a service now.

        Parameters
        ----------
        service : str
            Name of the service.
        version : str
            Version that the groups must serve; empty allows any.

        Returns
        -------
        list of str
            Group ids.
        """
        return self._router.serving_groups(service, version)

    def group_epoch(self, group_id: str) -> int | None:
        """Return the epoch of a group.

        Parameters
        ----------
        group_id : str
            The group.

        Returns
        -------
        int or None
            None if there is no such group.
        """
        view = self._view.group(group_id)
        return view.group.epoch if view is not None else None

    def choose_group(
        self, request: CallRequest, excluded: frozenset[str], version: str
    ) -> GroupView | None:
        """Choose the serving group for an attempt.

        Parameters
        ----------
        request : CallRequest
            The call.
        excluded : frozenset of str
            Group ids that must not be chosen.
        version : str
            Version that the group must serve; empty allows any.

        Returns
        -------
        GroupView or None
            None if no group can serve the call.
        """
        now_s = self.clock.now_s()
        stalled = self._find_stalled_groups(now_s)
        chosen = self._router.choose(request, excluded, version, stalled)
        _LOGGER.info(
            "group_chosen",
            extra={
                "request": request.request_id,
                "service": request.service,
                "group": chosen.group.group_id if chosen else None,
                "epoch": chosen.group.epoch if chosen else None,
                "head": group_head(chosen.group).host_id if chosen else None,
                "excluded": sorted(excluded),
                "stalled": sorted(stalled),
                "view_version": self._view.version,
                "lease_left_ms": round(1_000 * (self._view.lease_until_s - now_s)),
                **(self._router.describe_load(chosen.group.group_id) if chosen else {}),
                **(self._router.describe_choice() if chosen else {}),
            },
        )
        return chosen

    def has_alternative(
        self, request: CallRequest, excluded: frozenset[str], version: str
    ) -> bool:
        """Tell whether another group can take over a call now.

        Groups that have stalled or recently failed do not count.

        Parameters
        ----------
        request : CallRequest
            The call.
        excluded : frozenset of str
            Group ids that the call must not use.
        version : str
            Version that the group must serve; empty allows any.

        Returns
        -------
        bool
            Whether there is such a group.
        """
        now_s = self.clock.now_s()
        stalled = self._find_stalled_groups(now_s)
        return self.has_lease(now_s) and self._router.has_alternative(
            request, excluded, version, stalled
        )

    def _find_stalled_groups(self, now_s: float) -> frozenset[str]:
        return self.stall_detector.stalled_groups(now_s) | self._view.stalled

    def may_send(self, endpoint: Incarnation) -> bool:
        """Tell whether an endpoint takes requests of this entry now.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.

        Returns
        -------
        bool
            False if it told this entry that it leaves, or that it pauses until later,
            and if its data centre is evacuated.
        """
        if self._router.is_evacuated(endpoint):
            return False
        return self._router.notices.may_send(endpoint, self.clock.now_s())

    def is_evacuated(self, endpoint: Incarnation) -> bool:
        """Tell whether an endpoint is in an evacuated data centre.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.

        Returns
        -------
        bool
            Whether nothing new may be sent to it.
        """
        return self._router.is_evacuated(endpoint)

    def record_notice(self, endpoint: Incarnation, notice: EndpointNotice) -> None:
        """Record what an answer says about its endpoint.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint that answered.
        notice : EndpointNotice
            What its answer says.
        """
        self._answered_at_s = self.clock.now_s()
        self._record_rate_limit(endpoint, notice.rate_limit_per_s)
        self._record_cold(endpoint, notice.cold_remaining_s)
        if not self._router.notices.record(endpoint, notice, self.clock.now_s()):
            return
        kind = "leaving" if notice.is_leaving else "paused"
        self.notice_counts[kind] += 1
        _LOGGER.info(
            "endpoint_notice",
            extra={
                "host": endpoint.host_id,
                "boot": endpoint.boot_id,
                "notice": kind,
                "pause_s": notice.pause_s,
            },
        )
        self.update_capacities()
        if notice.is_leaving:
            self.on_departure()
        else:
            # The capacity returns with the end of the pause, not with the next view.
            eventlet.spawn_after(notice.pause_s, self.update_capacities)

    def _record_endless_answer(
        self, group_view: GroupView, report: AttemptReport
    ) -> None:
        """Pause the head of a group that sends one answer without end after another."""
        head = Incarnation.of_member(group_head(group_view.group))
        if report.result == RESULT_WHOLE:
            self._endless_answers.record_whole(head)
        if report.code != EndlessAnswerError.code:
            return
        now_s = self.clock.now_s()
        pause_s = self._endless_answers.record_endless(head, now_s)
        if not pause_s:
            return
        self._router.notices.record(head, EndpointNotice(pause_s=pause_s), now_s)
        self.notice_counts["endless"] += 1
        _LOGGER.warning(
            "endless_answers",
            extra={"host": head.host_id, "boot": head.boot_id, "pause_s": pause_s},
        )
        self.update_capacities()
        eventlet.spawn_after(pause_s, self.update_capacities)

    @property
    def is_isolated(self) -> bool:
        """Whether this entry reaches no endpoint, while others may."""
        return self._reachability.is_isolated and not self._lacks_peers

    @property
    def reaches_no_endpoint(self) -> bool:
        """Whether this entry reaches no endpoint, whatever the others do."""
        return self._reachability.is_isolated

    def was_isolated(self) -> bool:
        """Tell whether this entry is isolated, or was so a moment ago."""
        return self._reachability.was_isolated(self.clock.now_s())

    def endpoint_addresses(self) -> list[str]:
        """Return the addresses of the endpoints that take requests."""
        return self._router.head_addresses()

    def record_connect(self, address: str, is_open: bool) -> None:
        """Record the result of opening a connection to an endpoint.

        Parameters
        ----------
        address : str
            IP address and port.
        is_open : bool
            Whether the connection was opened.
        """
        now_s = self.clock.now_s()
        if is_open:
            is_isolated = self._reachability.is_isolated
            count = len(self.endpoint_addresses()) if is_isolated else 0
            is_changed = self._reachability.record_success(address, now_s, count)
        else:
            is_changed = self._reachability.record_failure(address, now_s)
            # Probes of other endpoints tell a fault of this one from an isolation.
            self.on_silence()
        if not is_changed:
            return
        kind = "isolated" if self._reachability.is_isolated else "reconnected"
        self.isolation_changes[kind] += 1
        _LOGGER.warning("entry_isolation", extra={"state": kind, "endpoint": address})
        self.on_isolation_change()

    def _check_silence(self) -> None:
        if self.clock.now_s() - self._answered_at_s >= SUSPICION_SILENCE_S:
            self.on_silence()

    def _record_rate_limit(
        self, endpoint: Incarnation, rate_per_s: float | None
    ) -> None:
        now_s = self.clock.now_s()
        statement = RateStatement(endpoint, rate_per_s, now_s)
        if not self._router.send_budget.record(statement, now_s):
            return
        kind = "unlimited" if rate_per_s is None else "limited"
        self.notice_counts[kind] += 1
        _LOGGER.info(
            "endpoint_limit",
            extra={
                "host": endpoint.host_id,
                "boot": endpoint.boot_id,
                "limit_per_s": rate_per_s,
                "share_per_s": self._router.send_budget.share_per_s(endpoint)
                if rate_per_s is not None
                else None,
            },
        )
        self.update_capacities()
        self.on_limit_change()

    def _record_cold(self, endpoint: Incarnation, remaining_s: float) -> None:
        if not remaining_s:
            return
        if not self._router.record_cold(endpoint, self.clock.now_s() + remaining_s):
            return
        self.notice_counts["cold"] += 1
        _LOGGER.info(
            "endpoint_cold",
            extra={
                "host": endpoint.host_id,
                "boot": endpoint.boot_id,
                "remaining_s": remaining_s,
            },
        )
        self.update_capacities()

    def next_send_s(self, service: str) -> float | None:
        """Return when a rate limit lets this entry send a request to a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float or None
            Monotonic time in seconds; infinite if this entry has no share in any limit,
            None if no group that serves now has a limit.
        """
        return self._router.next_send_s(service)

    def earliest_return_s(self, service: str) -> float | None:
        """Return how long all endpoints of a service pause.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float or None
            Time in seconds until the first one takes requests again; None if one takes
            requests now, or none of them pauses.
        """
        capacity = self._router.capacity.by_service().get(service, NO_CAPACITY)
        if not capacity.is_empty or not math.isfinite(capacity.returns_at_s):
            return None
        return capacity.returns_at_s - self.clock.now_s()

    def describe_limits(self) -> list[dict[str, object]]:
        """Return the rate limits and this entry's shares, for the state dump."""
        return self._router.send_budget.describe(self.clock.now_s())

    def describe_notices(self) -> list[dict[str, object]]:
        """Return the departures and pauses of endpoints, for the state dump."""
        return self._router.notices.describe(self.clock.now_s())

    def report_attempt(self, report: AttemptReport) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        report : AttemptReport
            The attempt.
        """
        _LOGGER.info(
            "attempt_ended",
            extra={
                "request": report.request.request_id,
                "group": report.group_id,
                "epoch": report.epoch,
                "result": report.result,
                "code": report.code,
                "first_byte_ms": report.first_byte_ms,
                "tokens": report.tokens,
            },
        )
        self.attempt_results[report.result] += 1
        self._router.report(report)
        group_view = self._view.group(report.group_id)
        if group_view is not None and group_view.group.members:
            self._record_endless_answer(group_view, report)
        if group_view is not None and group_view.evacuated:
            # The admission of this call counts for the remaining groups from now on.
            self.update_capacities()
        if report.first_byte_ms is not None:
            self._gate.controller.observe_first_event(
                report.request.service, report.first_byte_ms / 1_000
            )
        if report.result == RESULT_BROKEN:
            self._check_silence()

    def report_kept_attempt(
        self, request: CallRequest, group_id: str, reason: str, silence_s: float
    ) -> None:
        """Record that an attempt was kept although it is silent.

        Parameters
        ----------
        request : CallRequest
            The call.
        group_id : str
            The group that runs it.
        reason : str
            Code of why the call can't continue at another group.
        silence_s : float
            Time in seconds since the last bytes of the attempt.
        """
        _LOGGER.info(
            "silence_tolerated",
            extra={
                "request": request.request_id,
                "group": group_id,
                "silence_ms": round(1_000 * silence_s),
                "reason": reason,
            },
        )
        self.kept_attempts[reason] += 1
        self._check_silence()

    def commit(self, command: Command, deadline_s: float) -> CommandResult:
        """Commit a command in the replicated log; blocks the calling greenlet.

        Parameters
        ----------
        command : Command
            An idempotent command.
        deadline_s : float
            Monotonic time in seconds at which to give up.

        Returns
        -------
        CommandResult
            Result of the command.

        Raises
        ------
        CommitRefusedError
            If the command was certainly not proposed.
        CommitUnknownError
            If the command may have been or may still be committed.
        """
        return self._commits.commit(command, deadline_s)

    def _install_text(self) -> None:
        self.lookup = TextLookup.from_text(self.text)
        weights = {
            name: float(workspace.weight or 1)
            for name, workspace in self.lookup.workspaces.items()
        }
        limits = {
            name: _make_service_limits(service)
            for name, service in self.lookup.services.items()
        }
        self._gate.controller.configure(weights, limits)
        self._gate.keep_workspaces(weights)

    def update_capacities(self) -> None:
        """Pass the capacity of all services to admission, after it changed."""
        now_s = self.clock.now_s()
        capacities = self._router.capacity.by_service(
            self.running.counts_by_group(), self._find_stalled_groups(now_s)
        )
        for service in self.lookup.services:
            # Without a serving group, waiting calls are refused immediately.
            capacity = attrs.evolve(
                capacities.get(service, NO_CAPACITY),
                awaited_groups=self._view.awaited_groups.get(service, 0),
            )
            self._gate.controller.set_capacity(service, capacity, now_s)
        self._gate.controller.set_entry_count(self._view.entry_count)
        self._gate.reevaluate_waiting()

    def _report_lost_groups(self, view: ControlView, control_id: str) -> None:
        silences_s = self.stall_detector.silences_s(self.clock.now_s())
        for lost in find_lost_groups(view, self._view):
            count = self.running.report_loss(
                lost.group_id, lost.epoch, lost.cause == CAUSE_RESTARTED
            )
            if not count:
                continue
            self.lost_group_reports[lost.cause] += count
            _LOGGER.info(
                "lost_group",
                extra={
                    "group": lost.group_id,
                    "epoch": lost.epoch,
                    "reason": lost.reason,
                    "attempts": count,
                    "silence_ms": round(1_000 * silences_s.get(lost.group_id, 0.0)),
                    "control": control_id,
                    "term": view.term,
                    "view_version": view.view_version,
                },
            )


def _ignore_change() -> None:
    """Do nothing; the default until the link to the controls is set."""


def _make_service_limits(service: Service) -> ServiceLimits:
    default = ServiceLimits()
    limits = service.limits
    return ServiceLimits(
        queue_requests=limits.max_queued_requests or default.queue_requests,
        slots_per_group=limits.max_running_requests or default.slots_per_group,
        overcommit=ENGINE_OVERCOMMIT if service.kind == KIND_MODEL else 1.0,
    )
