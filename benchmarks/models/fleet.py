"""Simulation of the admission of many entries that share the places of a service."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from benchmarks.models.fleet_load import RANK_TARGETS_S, WORKSPACES, FleetCall
from chestnutvale.admission.const import CODE_DEADLINE
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.demand import DemandTable
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Effect,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)
from chestnutvale.admission.service_flow import FlowTable, ServiceFlow
from chestnutvale.membership.attempt_counts import (
    AttemptCounts,
    load_exchange_interval_s,
)

SERVICE = "s"
GROUP = "g"
OVERCOMMIT = 1.15
LATENCY_S = 0.0015
REPORT_INTERVAL_S = 0.5
TICK_S = 0.025
# Time from the start in a place to the first event.
PREFILL_S = 0.03
TIMEOUT_S = 6.0
MIN_QUEUE_TIMEOUT_S = 0.1
EARLY_FACTOR = 0.5
LATE_REFUSAL_S = 0.05

MakeController = Callable[[random.Random], AdmissionController]


@attrs.frozen
class Fleet:
    """Size and faults of a fleet.

    Attributes
    ----------
    entries, groups, places : int
        Number of entries, groups, and places per group.
    leaderless : tuple of float
        Begin and end in seconds of a time in which no control leads.
    skew : float
        Share of the calls that arrive at a tenth of the entries; 0 for an even spread.
    """

    entries: int
    groups: int
    places: int
    leaderless: tuple[float, float] = (0.0, 0.0)
    skew: float = 0.0

    @property
    def capacity(self) -> int:
        """Return the places of all groups."""
        return self.groups * self.places


@attrs.define
class FleetCounters:
    """What a run counted.

    Attributes
    ----------
    refusals : Counter
        Refusals by code.
    refused_while_free : int
        Refusals while a place of a group was free.
    refused_at_one : int
        Refusals as ``deadline_unreachable`` by an entry with a limit of 1 that runs 1
        call, and how many of them while a place was free.
    refused_at_one_while_free : int
        Those of them while a place was free.
    most_over : int
        Most calls at the groups above their places.
    late_refusals : int
        Refusals of calls that had waited for more than `LATE_REFUSAL_S`.
    busy_s : float
        Time for which places were busy, summed over places.
    retried : Counter
        Second tries by whether the caller came back early, and result.
    """

    refusals: Counter[str] = attrs.field(factory=Counter)
    refused_while_free: int = 0
    refused_at_one: int = 0
    refused_at_one_while_free: int = 0
    most_over: int = 0
    late_refusals: int = 0
    busy_s: float = 0.0
    retried: Counter[tuple[bool, str]] = attrs.field(factory=Counter)


class FleetSimulation:
    """One run; groups are chosen ideally, so that a call waits only for a free place.

    Parameters
    ----------
    fleet : Fleet
        Size and faults.
    calls : iterable of FleetCall
        The calls.
    make_controller : callable
        Makes the admission controller of an entry from a source of random numbers.
    seed : int
        Seed of all random numbers.
    """

    def __init__(
        self,
        fleet: Fleet,
        calls: Iterable[FleetCall],
        make_controller: MakeController,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.calls = list(calls)
        self.counters = FleetCounters()
        self._rng = random.Random(seed)
        self._controllers = [
            make_controller(random.Random(seed * 1_000 + number))
            for number in range(fleet.entries)
        ]
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._in_groups = 0
        self._engine_queue: list[tuple[int, FleetCall, int]] = []
        self._own_running = [0] * fleet.entries
        self._pending: dict[str, FleetCall] = {}
        self._ticking: set[int] = set()
        self._counts = AttemptCounts()
        self._flows = FlowTable()
        self._demands = DemandTable()
        self._interval_s = load_exchange_interval_s(fleet.entries)
        self._entry_weights = self._make_entry_weights()

    def run(self) -> "FleetSimulation":
        """Run until all calls are decided."""
        self._set_up_entries()
        for call in self.calls:
            self._at(call.arrival_s, lambda call=call: self._offer(call))
        end_s = self.calls[-1].arrival_s + 3 * TIMEOUT_S
        self._repeat(self._interval_s, end_s, self._send_totals)
        for entry in range(self.fleet.entries):
            self._repeat(self._interval_s, end_s, lambda e=entry: self._send_counts(e))
            self._repeat(REPORT_INTERVAL_S, end_s, lambda e=entry: self._report(e))
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self

    def _set_up_entries(self) -> None:
        weights = {f"w{number}": 1.0 for number in range(WORKSPACES)}
        limits = ServiceLimits(slots_per_group=self.fleet.places, overcommit=OVERCOMMIT)
        for controller in self._controllers:
            controller.configure(weights, {SERVICE: limits})
            controller.set_entry_count(self.fleet.entries)
            controller.set_capacity(SERVICE, ServiceCapacity(self.fleet.groups, 0), 0.0)

    def _make_entry_weights(self) -> list[float]:
        count = self.fleet.entries
        favoured = max(1, count // 10)
        skew = self.fleet.skew
        if not skew:
            return [1.0] * count
        rest = (1 - skew) / (count - favoured)
        return [skew / favoured] * favoured + [rest] * (count - favoured)

    # Time.

    def _at(self, when_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_s, next(self._order), action))

    def _repeat(
        self, interval_s: float, end_s: float, action: Callable[[], None]
    ) -> None:
        def act() -> None:
            action()
            if self._now_s + interval_s < end_s:
                self._at(self._now_s + interval_s, act)

        self._at(self._rng.uniform(0.0, interval_s), act)

    # Exchange through the leader.

    def _has_leader(self) -> bool:
        start_s, end_s = self.fleet.leaderless
        return not start_s <= self._now_s < end_s

    def _send_counts(self, entry: int) -> None:
        if not self._has_leader():
            return
        counts = {GROUP: self._own_running[entry]}
        flows = self._controllers[entry].flows(self._now_s)

        def receive() -> None:
            self._counts.record_counts(str(entry), counts, self._now_s)
            self._flows.record_flows(str(entry), flows, self._now_s)

        self._at(self._now_s + LATENCY_S, receive)

    def _send_totals(self) -> None:
        if not self._has_leader():
            return
        totals = self._counts.totals(self._now_s)
        flows = self._flows.totals(self._now_s)
        for entry in range(self.fleet.entries):
            counts = self._counts.counts_excluding(str(entry), totals)
            running = counts.get(GROUP, 0)
            self._at(
                self._now_s + LATENCY_S,
                lambda e=entry, r=running: self._receive_totals(e, r, flows),
            )

    def _receive_totals(
        self, entry: int, running: int, flows: list[ServiceFlow]
    ) -> None:
        controller = self._controllers[entry]
        controller.set_peer_running(SERVICE, running, self._now_s)
        for flow in flows:
            controller.set_fleet_flow(flow, self._now_s)
        self._apply(entry, controller.tick(self._now_s))

    def _report(self, entry: int) -> None:
        controller = self._controllers[entry]
        capacity = ServiceCapacity(self.fleet.groups, 0)
        controller.set_capacity(SERVICE, capacity, self._now_s)
        self._apply(entry, controller.tick(self._now_s))
        if not self._has_leader():
            return
        own = controller.demand(self._now_s)

        def answer() -> None:
            self._demands.record_report(str(entry), own, self._now_s)
            totals = self._demands.totals(self._now_s)
            self._at(
                self._now_s + LATENCY_S,
                lambda: self._controllers[entry].set_demand(own, totals),
            )

        self._at(self._now_s + LATENCY_S, answer)

    # Calls.

    def _offer(self, call: FleetCall) -> None:
        call.tries += 1
        call.offered_s = self._now_s
        entry = self._rng.choices(range(self.fleet.entries), self._entry_weights)[0]
        request_id = f"{call.call_id}.{call.tries}"
        target_s = RANK_TARGETS_S[call.rank]
        request = AdmissionRequest(
            request_id,
            SERVICE,
            call.workspace,
            call.priority,
            0,
            100,
            self._now_s + TIMEOUT_S,
            self._now_s + max(MIN_QUEUE_TIMEOUT_S, target_s),
            target_s=self._now_s + target_s,
            rank=call.rank,
        )
        self._pending[request_id] = call
        self._apply(entry, self._controllers[entry].offer(request, self._now_s))

    def _apply(self, entry: int, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Admit):
                self._start(entry, effect.request_id)
            elif isinstance(effect, Refuse):
                self._refuse(entry, effect)
        waits = self._controllers[entry].next_deadline_s is not None
        if waits and entry not in self._ticking:
            self._ticking.add(entry)
            self._at(self._now_s + TICK_S, lambda: self._tick(entry))

    def _tick(self, entry: int) -> None:
        self._ticking.discard(entry)
        self._apply(entry, self._controllers[entry].tick(self._now_s))

    def _start(self, entry: int, request_id: str) -> None:
        self._own_running[entry] += 1
        self._in_groups += 1
        over = self._in_groups - self.fleet.capacity
        self.counters.most_over = max(self.counters.most_over, over)
        call = self._pending[request_id]
        call.admitted_s = self._now_s
        if over > 0:
            heapq.heappush(self._engine_queue, (next(self._order), call, entry))
            return
        self._take_place(call, entry)

    def _take_place(self, call: FleetCall, entry: int) -> None:
        first_event_s = self._now_s + PREFILL_S - call.arrival_s
        is_in_time = first_event_s <= RANK_TARGETS_S[call.rank]
        waited_s = self._now_s - call.admitted_s
        self._controllers[entry].observe_first_event(SERVICE, waited_s + PREFILL_S)
        call.outcome = "in_time" if is_in_time else "late"
        if call.tries > 1:
            self.counters.retried[call.is_early, "served"] += 1
        self.counters.busy_s += call.hold_s
        self._at(self._now_s + call.hold_s, lambda: self._finish(call, entry))

    def _finish(self, call: FleetCall, entry: int) -> None:
        self._in_groups -= 1
        self._own_running[entry] -= 1
        if self._engine_queue:
            _, waiting, other = heapq.heappop(self._engine_queue)
            self._take_place(waiting, other)
        request_id = f"{call.call_id}.{call.tries}"
        controller = self._controllers[entry]
        self._apply(entry, controller.release(request_id, 20, self._now_s))

    def _refuse(self, entry: int, effect: Refuse) -> None:
        call = self._pending.pop(effect.request_id)
        self._count_refusal(entry, call, effect)
        if call.tries > 1:
            self.counters.retried[call.is_early, "refused"] += 1
            call.outcome = "refused"
            return
        wait_s = effect.retry_after_s * (EARLY_FACTOR if call.is_early else 1.0)
        self._at(self._now_s + wait_s, lambda: self._offer(call))

    def _count_refusal(self, entry: int, call: FleetCall, effect: Refuse) -> None:
        counters = self.counters
        counters.refusals[effect.code] += 1
        waited_s = self._now_s - call.offered_s
        counters.late_refusals += waited_s > LATE_REFUSAL_S
        is_free = self._in_groups < self.fleet.capacity
        counters.refused_while_free += is_free
        state = self._controllers[entry].describe(SERVICE)
        if effect.code == CODE_DEADLINE and state["limit"] == 1 == state["reserved"]:
            counters.refused_at_one += 1
            counters.refused_at_one_while_free += is_free
