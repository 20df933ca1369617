"""Simulates 12 entries with the real admission and routing over model engines."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

import attrs

from benchmarks.models.engine import Engine, EngineSettings, Task
from benchmarks.models.load import ENTRIES, Call
from chestnutvale.admission.demand import DemandTable
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Demand,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.schema.membership_pb2 import CacheEvents, Load

STEP_S = 0.05
REPORT_INTERVAL_S = 0.5
LOAD_INTERVAL_S = 1.0
EVENT_LOSS_SHARE = 0.05
DETECTION_DELAY_S = 3.0
MAX_ATTEMPTS = 4
MAX_TRIES = 8
# KV memory is sampled from this time to the last arrival.
KV_SAMPLING_START_S = 30.0
IMPATIENT_CALLER_SHARE = 0.2
SERVICE = "llm"


@attrs.frozen
class Faults:
    """Faults of engines during a run.

    Attributes
    ----------
    failed : tuple of int
        Engines that fail at `start_s` and are restored at `restore_s`.
    slow : tuple of int
        Engines that run at `slow_speed` between the two times.
    slow_speed : float
        Relative speed of the slow engines.
    start_s, restore_s : float
        Simulated time in seconds.
    """

    failed: tuple[int, ...] = ()
    slow: tuple[int, ...] = ()
    slow_speed: float = 0.25
    start_s: float = 60.0
    restore_s: float = 1e9


@attrs.define
class Policy:
    """Factories of the admission controller and the group selector of an entry."""

    name: str
    make_admission: Callable
    make_selector: Callable


@attrs.define(eq=False)
class PendingCall:
    """A call that an entry has queued or sent to a group."""

    call: Call
    request: AdmissionRequest
    predicted: int = 0
    group: str = ""
    task: Task | None = None
    attempts: int = 0
    excluded: frozenset[str] = frozenset()


@attrs.define
class RunCounters:
    """Counters of one run, and sums of KV use over its samples."""

    attempts: int = 0
    admitted: int = 0
    refusals: int = 0
    offers: int = 0
    wasted_tokens: float = 0.0
    useful_tokens: float = 0.0
    kv_used: float = 0.0
    kv_reserved: float = 0.0
    kv_samples: int = 0
    peak_reserved: float = 0.0
    offered_by_second: Counter = attrs.field(factory=Counter)
    refused_codes: Counter = attrs.field(factory=Counter)


@attrs.define
class Simulation:
    """One seeded run of all entries, engines and callers."""

    policy: Policy
    calls: list[Call]
    end_s: float
    seed: int
    group_count: int = 15
    faults: Faults = Faults()
    settings: EngineSettings = EngineSettings()
    limits: ServiceLimits = ServiceLimits()
    counters: RunCounters = attrs.field(factory=RunCounters)
    engines: dict[str, Engine] = attrs.field(factory=dict)
    now_s: float = 0.0
    entries: list = attrs.field(factory=list)
    _rng: random.Random = attrs.field(factory=random.Random)
    _routable_groups: list[str] = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _event_count: int = 0

    def run(self) -> "Simulation":
        """Run to the end and return the simulation itself."""
        rng = random.Random(self.seed)
        self._rng = rng
        self._routable_groups = [f"g{n}" for n in range(self.group_count)]
        self.engines = {g: Engine(self.settings, g) for g in self._routable_groups}
        self.entries = []
        names = sorted({call.workspace for call in self.calls})
        for _ in range(ENTRIES):
            entry_seed = rng.randrange(1 << 30)
            admission = self.policy.make_admission(random.Random(entry_seed))
            selector = self.policy.make_selector(random.Random(entry_seed + 1))
            admission.set_entry_count(ENTRIES)
            admission.configure(dict.fromkeys(names, 1.0), {SERVICE: self.limits})
            self.entries.append((admission, selector, {}))
        self._update_routable_groups()
        for call in self.calls:
            self._schedule(call.arrival_s, self._offer_call, call)
        for number, group in enumerate(self._routable_groups):
            self._schedule(
                LOAD_INTERVAL_S * number / self.group_count, self._report_load, group
            )
        self._schedule(0.0, self._exchange_demand)
        self._schedule(self.faults.start_s, self._inject_faults)
        self._schedule(self.faults.restore_s, self._clear_faults)
        while self.now_s < self.end_s:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            self._step_engines()
        return self

    def _schedule(self, when_s: float, action: Callable, *arguments: object) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (when_s, self._event_count, action, arguments))

    # Calls -----------------------------------------------------------------

    def _offer_call(self, call: Call) -> None:
        if call.outcome:
            return
        call.tries += 1
        if call.tries == 1:
            self._schedule(call.deadline_s, self._expire_call, call)
        self.counters.offers += 1
        self.counters.offered_by_second[int(self.now_s)] += 1
        admission, _, pending_calls = self.entries[call.entry]
        request = AdmissionRequest(
            f"{call.call_id}",
            SERVICE,
            call.workspace,
            call.priority,
            call.prompt_tokens,
            call.max_tokens,
            call.deadline_s,
        )
        pending_calls[request.request_id] = PendingCall(call, request)
        self._apply_effects(call.entry, admission.offer(request, self.now_s))

    def _apply_effects(self, entry: int, effects: list) -> None:
        pending_calls = self.entries[entry][2]
        for effect in effects:
            if isinstance(effect, Admit):
                self.counters.admitted += 1
                pending = pending_calls[effect.request_id]
                pending.predicted = effect.predicted_tokens
                self._route_call(entry, pending, 0.0)
            elif isinstance(effect, Refuse):
                pending = pending_calls.pop(effect.request_id)
                self._retry_or_refuse(pending.call, effect)

    def _retry_or_refuse(self, call: Call, effect: Refuse) -> None:
        self.counters.refusals += 1
        self.counters.refused_codes[effect.code] += 1
        wait_s = effect.retry_after_s
        if self._rng.random() < IMPATIENT_CALLER_SHARE:
            wait_s = self._rng.uniform(0.5, 1.5)
        retry_s = self.now_s + wait_s
        if call.tries >= MAX_TRIES or retry_s >= call.deadline_s:
            call.outcome = "refused"
            call.finished_s = self.now_s
            return
        self._schedule(retry_s, self._offer_call, call)

    def _route_call(
        self, entry: int, pending: PendingCall, generated_tokens: float
    ) -> None:
        _, selector, _ = self.entries[entry]
        call = pending.call
        while pending.attempts < MAX_ATTEMPTS:
            request = RoutingRequest(
                pending.request.request_id,
                SERVICE,
                call.priority,
                pending.predicted,
                (call.prefix,),
                pending.excluded,
            )
            group = selector.choose(request, self.now_s)
            if group is None:
                break
            pending.attempts += 1
            self.counters.attempts += 1
            selector.record_sent(request, group, self.now_s)
            if not self.engines[group].alive:
                selector.record_finished(request.request_id, self.now_s)
                pending.excluded |= {group}
                continue
            pending.group = group
            pending.task = Task(
                (entry, call.call_id),
                call.priority,
                call.prompt_tokens,
                call.prefix,
                call.prefix_tokens,
                call.output_tokens,
                pending.predicted,
                generated_tokens=generated_tokens,
            )
            self.engines[group].submit(pending.task)
            return
        self._finish_call(entry, pending, "late")

    def _expire_call(self, call: Call) -> None:
        if call.outcome:
            return
        call.outcome = "late"
        call.finished_s = self.now_s
        admission, selector, pending_calls = self.entries[call.entry]
        pending = pending_calls.pop(f"{call.call_id}", None)
        if pending is None:
            return
        if pending.task is not None:
            self.engines[pending.group].cancel(pending.task.key)
            self._count_wasted_tokens(pending)
            selector.record_finished(pending.request.request_id, self.now_s)
        self._apply_effects(
            call.entry, admission.withdraw(pending.request.request_id, self.now_s)
        )

    def _count_wasted_tokens(self, pending: PendingCall) -> None:
        if pending.task.held_kv_tokens or pending.task.generated_tokens:
            self.counters.wasted_tokens += (
                pending.call.prompt_tokens + pending.task.generated_tokens
            )

    def _finish_call(self, entry: int, pending: PendingCall, outcome: str) -> None:
        admission, selector, pending_calls = self.entries[entry]
        call = pending.call
        call.outcome = outcome
        call.finished_s = self.now_s
        request_id = pending.request.request_id
        pending_calls.pop(request_id, None)
        selector.record_finished(request_id, self.now_s)
        if outcome == "good":
            self.counters.useful_tokens += call.prompt_tokens + call.output_tokens
        elif pending.task is not None:
            self._count_wasted_tokens(pending)
        used = int(pending.task.generated_tokens) if pending.task else 0
        self._apply_effects(entry, admission.release(request_id, used, self.now_s))

    # Engines ---------------------------------------------------------------

    def _step_engines(self) -> None:
        for engine in self.engines.values():
            if not engine.alive:
                continue
            first, finished = engine.step(STEP_S)
            for task in first:
                _, selector, pending_calls = self.entries[task.key[0]]
                pending = pending_calls[f"{task.key[1]}"]
                if not pending.call.first_token_s:
                    pending.call.first_token_s = self.now_s
                selector.record_first_token(pending.request.request_id, self.now_s)
            for task in finished:
                pending = self.entries[task.key[0]][2][f"{task.key[1]}"]
                self._finish_call(task.key[0], pending, "good")

    def _report_load(self, group: str) -> None:
        engine = self.engines[group]
        self._schedule(self.now_s + LOAD_INTERVAL_S, self._report_load, group)
        if not engine.alive:
            return
        load = engine.load()
        events = engine.drain_cache_events()
        for entry in range(ENTRIES):
            lag_s = self._rng.uniform(0.3, 1.2)
            lost = self._rng.random() < EVENT_LOSS_SHARE
            arguments = (entry, group, load, lag_s, None if lost else events)
            self._schedule(self.now_s + lag_s, self._deliver_load, *arguments)

    def _deliver_load(
        self,
        entry: int,
        group: str,
        load: Load,
        lag_s: float,
        events: CacheEvents | None,
    ) -> None:
        _, selector, _ = self.entries[entry]
        selector.update_load(group, load, self.now_s, lag_s + STEP_S)
        if events is not None:
            selector.note_cache_events(group, events, self.now_s)

    def _inject_faults(self) -> None:
        for number in self.faults.slow:
            self.engines[f"g{number}"].speed = self.faults.slow_speed
        for number in self.faults.failed:
            for task in self.engines[f"g{number}"].fail():
                entry, call_id = task.key
                pending = self.entries[entry][2][f"{call_id}"]
                pending.excluded |= {pending.group}
                self.entries[entry][1].record_finished(f"{call_id}", self.now_s)
                self._route_call(entry, pending, task.generated_tokens)
        failed_groups = {f"g{number}" for number in self.faults.failed}
        self._routable_groups = [
            name for name in self._routable_groups if name not in failed_groups
        ]
        if failed_groups:
            self._schedule(self.now_s + DETECTION_DELAY_S, self._update_routable_groups)

    def _clear_faults(self) -> None:
        for engine in self.engines.values():
            engine.alive, engine.speed = True, 1.0
        self._routable_groups = list(self.engines)
        self._update_routable_groups()

    def _update_routable_groups(self) -> None:
        groups = [RoutableGroup(name, SERVICE, 1) for name in self._routable_groups]
        for _, selector, _ in self.entries:
            selector.update_groups(groups)
        self._schedule_capacity_update()

    # Reports ---------------------------------------------------------------

    def _exchange_demand(self) -> None:
        self._schedule(self.now_s + REPORT_INTERVAL_S, self._exchange_demand)
        reports = [admission.demand() for admission, _, _ in self.entries]
        table = DemandTable()
        for number, report in enumerate(reports):
            table.record_report(f"e{number}", report, self.now_s)
        total = table.totals(self.now_s)
        self._schedule(
            self.now_s + REPORT_INTERVAL_S, self._distribute_demand, reports, total
        )
        self._schedule_capacity_update()
        reserved = sum(a.reserved_tokens(SERVICE) for a, _, _ in self.entries)
        if not KV_SAMPLING_START_S <= self.now_s < self.calls[-1].arrival_s:
            return
        engines = [engine for engine in self.engines.values() if engine.alive]
        capacity = len(engines) * self.settings.kv_tokens
        self.counters.kv_samples += 1
        self.counters.kv_used += sum(engine.kv_used for engine in engines) / capacity
        self.counters.kv_reserved += reserved / capacity
        self.counters.peak_reserved = max(
            self.counters.peak_reserved, reserved / capacity
        )

    def _distribute_demand(
        self, reports: list[list[Demand]], total: list[Demand]
    ) -> None:
        for (admission, _, _), own in zip(self.entries, reports, strict=True):
            admission.set_demand(own, total)
        for entry, (admission, _, pending_calls) in enumerate(self.entries):
            for pending in pending_calls.values():
                if pending.task is not None:
                    output = int(pending.task.generated_tokens)
                    admission.progress(pending.request.request_id, output)
            self._apply_effects(entry, admission.tick(self.now_s))

    def _schedule_capacity_update(self) -> None:
        loads = [self.engines[name].load() for name in self._routable_groups]
        capacity = ServiceCapacity(
            len(loads),
            sum(load.kv_capacity_tokens for load in loads),
            sum(load.kv_used_tokens for load in loads),
            sum(load.running for load in loads),
            sum(load.waiting for load in loads),
        )
        self._schedule(self.now_s + REPORT_INTERVAL_S, self._install_capacity, capacity)

    def _install_capacity(self, capacity: ServiceCapacity) -> None:
        for admission, _, _ in self.entries:
            admission.set_capacity(SERVICE, capacity, self.now_s)
