"""Simulates entries with their real context while groups are lost and replaced."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import logbook

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.demand import DemandTable
from chestnutvale.admission.messages import AdmissionRequest, Admit, Effect, Refuse
from chestnutvale.admission.service import ServiceAdmission
from chestnutvale.clock import Clock
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.programs.entry.context import AttemptReport, CallRequest
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.group_router import GroupRouter
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import Group
from chestnutvale.schema.peer_pb2 import ControlView, GroupView

SERVICE = "llm"
WORKSPACES = ("a", "b", "c")
LEASE_S = 1e9
NETWORK_DELAY_S = 0.002
COUNTS_INTERVAL_S = 0.1
DEMAND_INTERVAL_S = 0.4
ADMISSION_TICK_S = 0.025
MAX_ATTEMPTS = 2
# Share of the time left up to which callers honour Retry-After.
MAX_RETURN_SHARE = 1 / 3
# Time to the first event of an unloaded group, and spread of the length of answers.
FIRST_EVENT_S = 0.07
SPREAD_OF_ANSWERS = 0.7


@attrs.frozen
class Scenario:
    """A deployment, its demand and the losses of groups.

    Attributes
    ----------
    entries, groups, slots : int
        Numbers of entries, of groups, and of requests that a group runs at once.
    utilisation : float
        Mean demand, relative to what all groups can run.
    mean_answer_s : float
        Mean time for which a group runs a request, in seconds.
    target_s, deadline_s : float
        Time after the first try of a call at which its first event is wanted, and at
        which its caller gives up, in seconds.
    late_value : float
        Value of an answer after the target, relative to one before it.
    loss_interval_s : float
        Mean time between two losses of a group, in seconds.
    stall_s, detection_s, replacement_s : float
        Time after the loss at which entries know that the group stalled, at which it is
        removed from the view, and at which another one replaces it, in seconds.
    length_s : float
        Length of the run in seconds.
    """

    entries: int = 18
    groups: int = 6
    slots: int = 13
    utilisation: float = 1.0
    mean_answer_s: float = 1.6
    target_s: float = 0.2
    deadline_s: float = 5.0
    late_value: float = 0.25
    loss_interval_s: float = 3.0
    stall_s: float = 0.7
    detection_s: float = 2.3
    replacement_s: float = 4.0
    length_s: float = 30.0


@attrs.define
class Outcome:
    """What callers got.

    Attributes
    ----------
    offered, in_time, late, unserved, refusals : int
        Calls, those answered before and after the target, those not answered, and the
        number of refusals.
    value : float
        Sum of the values of all answers.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    refusals: int = 0
    value: float = 0.0

    def add(self, other: "Outcome") -> None:
        """Add the outcome of another run."""
        for field in attrs.fields(Outcome):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    @property
    def value_share(self) -> float:
        """Value of the answers, relative to that of all calls in time."""
        return self.value / max(1, self.offered)


class SimulatedClock(Clock):
    """A clock that the simulation sets."""

    def __init__(self) -> None:
        self.time_s = 0.0

    def now_s(self) -> float:
        """Return the simulated time in seconds."""
        return self.time_s

    def unix_ms(self) -> int:
        """Return the simulated time in milliseconds."""
        return round(self.time_s * 1_000)


class _NoCommits:
    """Stands for the commit client; the simulation commits nothing."""

    def set_leader(self, control_id: str) -> None:
        """Ignore the leader."""


@attrs.define(eq=False)
class _Call:
    number: int
    workspace: str
    entry: "_Entry"
    offered_s: float
    answer_s: float
    request_id: str = ""
    tries: int = 0
    attempts: int = 0
    has_first_event: bool = False
    is_over: bool = False


@attrs.define(eq=False)
class _Attempt:
    call: _Call
    group: "_Group"
    sent_s: float
    first_event_s: float | None = None
    is_over: bool = False

    def abort(self) -> None:
        """Do nothing; the simulation ends the attempts of lost groups itself."""


@attrs.define(eq=False)
class _Group:
    name: str
    epoch: int
    is_lost: bool = False
    running: set[_Attempt] = attrs.field(factory=set)
    waiting: deque[_Attempt] = attrs.field(factory=deque)


class _Gate:
    """Passes the decisions of an admission controller to the simulation."""

    def __init__(
        self,
        controller: AdmissionController,
        clock: Clock,
        apply: Callable[[Iterable[Effect]], None],
    ) -> None:
        self.controller = controller
        self._clock = clock
        self._apply = apply

    def reevaluate_waiting(self) -> None:
        """Decide again on the calls that wait."""
        self._apply(self.controller.tick(self._clock.now_s()))

    def keep_workspaces(self, names: Iterable[str]) -> None:
        """Ignore the names; the simulation counts no refusals by workspace."""


@attrs.define(eq=False)
class _Entry:
    context: EntryContext
    view: EntryView
    controller: AdmissionController


class EntryFleet:
    """Entries, engines that run requests in order of arrival, and callers.

    Callers come back once. They honour Retry-After up to a third of the time that they
    have left.

    Parameters
    ----------
    scenario : Scenario
        What is simulated.
    seed : int
        Seed of all random draws.
    make_router : callable, optional
        Factory of the group router of an entry.
    make_service : callable, optional
        Factory of the admission control of the service at an entry.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make_router: Callable[..., GroupRouter] = GroupRouter,
        make_service: Callable[..., ServiceAdmission] = ServiceAdmission,
    ) -> None:
        self._scenario = scenario
        # Separate sources, so that all policies get the same calls and losses.
        self._rng = random.Random(f"{seed}-callers")
        self._loss_rng = random.Random(f"{seed}-losses")
        self._return_rng = random.Random(f"{seed}-returns")
        self._clock = SimulatedClock()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._epochs = itertools.count(1)
        self._version = 0
        self._stalled: set[str] = set()
        self._groups: dict[str, _Group] = {}
        self._calls: dict[str, _Call] = {}
        self._make_router = make_router
        self._make_service = make_service
        self.outcome = Outcome()
        for _ in range(scenario.groups):
            self._add_group()
        self._entries = [self._make_entry(n) for n in range(scenario.entries)]

    def run(self) -> Outcome:
        """Simulate the whole scenario and return what callers got."""
        scenario = self._scenario
        self._publish()
        self._schedule(0.0, self._arrive, 0)
        self._schedule(COUNTS_INTERVAL_S, self._exchange_counts)
        self._schedule(DEMAND_INTERVAL_S, self._exchange_demands)
        self._schedule(ADMISSION_TICK_S, self._tick)
        self._schedule(self._draw_loss_s(), self._lose_group)
        end_s = scenario.length_s + scenario.deadline_s
        with logbook.NullHandler().applicationbound():
            while self._events and self._events[0][0] <= end_s:
                self._clock.time_s, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
        self.outcome.unserved = (
            self.outcome.offered - self.outcome.in_time - self.outcome.late
        )
        return self.outcome

    def _schedule(
        self, delay_s: float, action: Callable[..., None], *args: Any
    ) -> None:
        at_s = self._clock.time_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._order), action, args))

    def _make_entry(self, number: int) -> _Entry:
        rng = random.Random(self._rng.random())
        view = EntryView(lease_s=LEASE_S)
        controller = AdmissionController(rng, make_service=self._make_service)
        gate = _Gate(controller, self._clock, self._apply)
        router = self._make_router(view, Selector(rng), lambda _: 1, self._clock)
        context = EntryContext(
            f"e{number}", "i", view, gate, router, _NoCommits(), self._clock, rng
        )
        return _Entry(context, view, controller)

    # Groups.

    def _add_group(self) -> None:
        epoch = next(self._epochs)
        self._groups[f"g{epoch}"] = _Group(f"g{epoch}", epoch)

    def _draw_loss_s(self) -> float:
        return self._loss_rng.expovariate(1.0 / self._scenario.loss_interval_s)

    def _lose_group(self) -> None:
        scenario = self._scenario
        healthy = [group for group in self._groups.values() if not group.is_lost]
        if len(healthy) > 1:
            group = self._loss_rng.choice(healthy)
            group.is_lost = True
            self._schedule(scenario.stall_s, self._report_stall, group)
            self._schedule(scenario.detection_s, self._remove_group, group)
            self._schedule(scenario.replacement_s, self._replace_group)
        self._schedule(self._draw_loss_s(), self._lose_group)

    def _report_stall(self, group: _Group) -> None:
        self._stalled.add(group.name)
        self._publish()
        for attempt in [*group.running, *group.waiting]:
            call = attempt.call
            if call.attempts < MAX_ATTEMPTS:
                self._end_attempt(attempt, "broken", "silent")
                self._send(call, frozenset({group.name}))

    def _remove_group(self, group: _Group) -> None:
        del self._groups[group.name]
        self._stalled.discard(group.name)
        self._publish()
        for attempt in [*group.running, *group.waiting]:
            self._end_attempt(attempt, "broken", "lost")
            self._finish(attempt.call)

    def _replace_group(self) -> None:
        self._add_group()
        self._publish()

    def _publish(self) -> None:
        """Send the view of the leader to all entries."""
        self._version += 1
        text = Text(number=1)
        service = Service(kind="model", groups=1, hosts_per_group=1)
        service.limits.max_running_requests = self._scenario.slots
        text.services[SERVICE].CopyFrom(service)
        for name in WORKSPACES:
            text.workspaces[name].weight = 1
        message = ControlView(
            nonce=self._version,
            source="s",
            term=1,
            view_version=self._version,
            whole=True,
            configuration_number=1,
            text=text,
            entry_count=self._scenario.entries,
            stalled_group_ids=sorted(self._stalled),
        )
        for group in self._groups.values():
            view = Group(group_id=group.name, service=SERVICE, epoch=group.epoch)
            view.members.add(host_id=group.name, boot_id="b")
            message.groups.append(GroupView(group=view, serving=True))
        for entry in self._entries:
            entry.view.record_report_sent(self._version, self._clock.time_s)
            entry.view.install_view(message, self._clock.time_s)
            entry.context.install(message, "c1")

    def _exchange_counts(self) -> None:
        counts = [entry.context.running.counts_by_group() for entry in self._entries]
        total = sum((Counter(item) for item in counts), Counter())
        for entry, own in zip(self._entries, counts, strict=True):
            others = {name: total[name] - own.get(name, 0) for name in self._groups}
            self._schedule(
                2 * NETWORK_DELAY_S,
                entry.context.update_peer_running,
                others,
                {SERVICE: sum(others.values())},
            )
        self._schedule(COUNTS_INTERVAL_S, self._exchange_counts)

    def _exchange_demands(self) -> None:
        now_s = self._clock.time_s
        table = DemandTable()
        owns = [entry.controller.demand(now_s) for entry in self._entries]
        for number, own in enumerate(owns):
            table.record_report(f"e{number}", own, now_s)
        totals = table.totals(now_s)
        for entry, own in zip(self._entries, owns, strict=True):
            self._schedule(
                2 * NETWORK_DELAY_S, entry.controller.set_demand, own, totals
            )
        self._schedule(DEMAND_INTERVAL_S, self._exchange_demands)

    # Calls.

    def _arrive(self, number: int) -> None:
        scenario = self._scenario
        if self._clock.time_s > scenario.length_s:
            return
        capacity = scenario.groups * scenario.slots / scenario.mean_answer_s
        self._schedule(
            self._rng.expovariate(scenario.utilisation * capacity),
            self._arrive,
            number + 1,
        )
        mu = -0.5 * SPREAD_OF_ANSWERS**2
        answer_s = scenario.mean_answer_s * self._rng.lognormvariate(
            mu, SPREAD_OF_ANSWERS
        )
        call = _Call(
            number,
            self._rng.choice(WORKSPACES),
            self._rng.choice(self._entries),
            self._clock.time_s,
            max(FIRST_EVENT_S, answer_s),
        )
        self.outcome.offered += 1
        self._offer(call)

    def _offer(self, call: _Call) -> None:
        scenario = self._scenario
        now_s = self._clock.time_s
        call.tries += 1
        call.request_id = f"{call.number}.{call.tries}"
        self._calls[call.request_id] = call
        request = AdmissionRequest(
            call.request_id,
            SERVICE,
            call.workspace,
            "normal",
            10,
            0,
            call.offered_s + scenario.deadline_s,
            start_by_s=now_s + scenario.target_s,
            target_s=now_s + scenario.target_s,
        )
        self._apply(call.entry.controller.offer(request, now_s))

    def _tick(self) -> None:
        for entry in self._entries:
            if entry.controller.next_deadline_s is not None:
                self._apply(entry.controller.tick(self._clock.time_s))
        self._schedule(ADMISSION_TICK_S, self._tick)

    def _apply(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            call = self._calls.get(effect.request_id)
            if call is None:
                continue
            if isinstance(effect, Admit):
                self._send(call, frozenset())
            elif isinstance(effect, Refuse):
                self._refuse(call, effect.retry_after_s)

    def _refuse(self, call: _Call, retry_after_s: float) -> None:
        self.outcome.refusals += 1
        del self._calls[call.request_id]
        if call.tries > 1:
            return
        left_s = call.offered_s + self._scenario.deadline_s - self._clock.time_s
        call.entry = self._return_rng.choice(self._entries)
        self._schedule(min(retry_after_s, MAX_RETURN_SHARE * left_s), self._offer, call)

    def _send(self, call: _Call, excluded: frozenset[str]) -> None:
        scenario = self._scenario
        request = CallRequest(
            call.request_id,
            call.workspace,
            SERVICE,
            "normal",
            b"",
            0,
            "",
            call.offered_s + scenario.deadline_s,
        )
        chosen = call.entry.context.choose_group(request, excluded, "")
        if chosen is None:
            self._finish(call)
            return
        group = self._groups[chosen.group.group_id]
        call.attempts += 1
        attempt = _Attempt(call, group, self._clock.time_s)
        call.entry.context.running.add(group.name, group.epoch, attempt)
        self._schedule(NETWORK_DELAY_S, self._reach, attempt, request)

    def _reach(self, attempt: _Attempt, request: CallRequest) -> None:
        if not attempt.is_over:
            attempt.group.waiting.append(attempt)
            self._start_waiting(attempt.group)

    def _start_waiting(self, group: _Group) -> None:
        while (
            group.waiting
            and not group.is_lost
            and len(group.running) < self._scenario.slots
        ):
            attempt = group.waiting.popleft()
            group.running.add(attempt)
            self._schedule(FIRST_EVENT_S, self._begin, attempt)
            self._schedule(attempt.call.answer_s, self._complete, attempt)

    def _begin(self, attempt: _Attempt) -> None:
        call = attempt.call
        if attempt.is_over or attempt.group.is_lost:
            return
        attempt.first_event_s = self._clock.time_s
        if call.has_first_event:
            return
        call.has_first_event = True
        elapsed_s = self._clock.time_s - call.offered_s
        if elapsed_s <= self._scenario.target_s:
            self.outcome.in_time += 1
            self.outcome.value += 1.0
        elif elapsed_s <= self._scenario.deadline_s:
            self.outcome.late += 1
            self.outcome.value += self._scenario.late_value

    def _complete(self, attempt: _Attempt) -> None:
        if attempt.is_over or attempt.group.is_lost:
            return
        self._end_attempt(attempt, "whole", "")
        self._finish(attempt.call)
        self._start_waiting(attempt.group)

    def _end_attempt(self, attempt: _Attempt, result: str, code: str) -> None:
        attempt.is_over = True
        attempt.group.running.discard(attempt)
        if attempt in attempt.group.waiting:
            attempt.group.waiting.remove(attempt)
        call = attempt.call
        call.entry.context.running.remove(attempt)
        request = CallRequest(
            call.request_id, call.workspace, SERVICE, "normal", b"", 0, "", 0.0
        )
        first_byte_ms = None
        if attempt.first_event_s is not None:
            first_byte_ms = 1_000 * (attempt.first_event_s - attempt.sent_s)
        report = AttemptReport(
            request,
            attempt.group.name,
            attempt.group.epoch,
            result,
            code,
            first_byte_ms,
            10,
        )
        call.entry.context.report_attempt(report)

    def _finish(self, call: _Call) -> None:
        if call.is_over:
            return
        call.is_over = True
        self._calls.pop(call.request_id, None)
        now_s = self._clock.time_s
        self._apply(call.entry.controller.release(call.request_id, 10, now_s))
