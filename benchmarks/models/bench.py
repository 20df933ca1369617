"""Drives real admission and selection objects of 12 entries over model engines."""

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
REPORT_S = 0.5
LOAD_S = 1.0
EVENT_LOSS = 0.05
DETECTION_S = 3.0
MAX_ATTEMPTS = 4
MAX_TRIES = 8
# KV memory is measured from here to the last arrival.
LOADED_FROM_S = 30.0
IMPATIENT = 0.2
SERVICE = "llm"


@attrs.frozen
class Faults:
    """What goes wrong.

    Attributes
    ----------
    failed : tuple of int
        Engines that fail at `failed_s` and are back at `back_s`.
    slow : tuple of int
        Engines that run at `slow_speed` between the two times.
    """

    failed: tuple[int, ...] = ()
    slow: tuple[int, ...] = ()
    slow_speed: float = 0.25
    start_s: float = 60.0
    back_s: float = 1e9


@attrs.define
class Policy:
    """How to make an entry's two decisions."""

    name: str
    make_admission: Callable
    make_selector: Callable


@attrs.define(eq=False)
class Placed:
    """A call that an entry holds."""

    call: Call
    request: AdmissionRequest
    predicted: int = 0
    group: str = ""
    task: Task | None = None
    attempts: int = 0
    excluded: frozenset[str] = frozenset()


@attrs.define
class Counts:
    """What a run counted."""

    attempts: int = 0
    admitted: int = 0
    refusals: int = 0
    offers: int = 0
    wasted_tokens: float = 0.0
    useful_tokens: float = 0.0
    kv_used: float = 0.0
    kv_reserved: float = 0.0
    kv_samples: int = 0
    most_reserved: float = 0.0
    offered_by_second: Counter = attrs.field(factory=Counter)
    refused_codes: Counter = attrs.field(factory=Counter)


@attrs.define
class Bench:
    """One run."""

    policy: Policy
    calls: list[Call]
    end_s: float
    seed: int
    group_count: int = 15
    faults: Faults = Faults()
    settings: EngineSettings = EngineSettings()
    limits: ServiceLimits = ServiceLimits()
    counts: Counts = attrs.field(factory=Counts)
    engines: dict[str, Engine] = attrs.field(factory=dict)
    now_s: float = 0.0
    entries: list = attrs.field(factory=list)
    _rng: random.Random = attrs.field(factory=random.Random)
    _listed: list[str] = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _number: int = 0

    def run(self) -> "Bench":
        """Run to the end and return the bench itself."""
        rng = random.Random(self.seed)
        self._rng = rng
        self._listed = [f"g{n}" for n in range(self.group_count)]
        self.engines = {g: Engine(self.settings, g) for g in self._listed}
        self.entries = []
        names = sorted({call.workspace for call in self.calls})
        for _ in range(ENTRIES):
            entry_seed = rng.randrange(1 << 30)
            admission = self.policy.make_admission(random.Random(entry_seed))
            selector = self.policy.make_selector(random.Random(entry_seed + 1))
            admission.set_entry_count(ENTRIES)
            admission.configure(dict.fromkeys(names, 1.0), {SERVICE: self.limits})
            self.entries.append((admission, selector, {}))
        self._list_groups()
        for call in self.calls:
            self._at(call.arrival_s, self._offer, call)
        for number, group in enumerate(self._listed):
            self._at(LOAD_S * number / self.group_count, self._report_load, group)
        self._at(0.0, self._exchange)
        self._at(self.faults.start_s, self._fail)
        self._at(self.faults.back_s, self._restore)
        while self.now_s < self.end_s:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            self._step_engines()
        return self

    def _at(self, when_s: float, action: Callable, *arguments: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (when_s, self._number, action, arguments))

    # Calls -----------------------------------------------------------------

    def _offer(self, call: Call) -> None:
        if call.outcome:
            return
        call.tries += 1
        if call.tries == 1:
            self._at(call.deadline_s, self._hang_up, call)
        self.counts.offers += 1
        self.counts.offered_by_second[int(self.now_s)] += 1
        admission, _, placed = self.entries[call.entry]
        request = AdmissionRequest(
            f"{call.call_id}",
            SERVICE,
            call.workspace,
            call.priority,
            call.prompt_tokens,
            call.max_tokens,
            call.deadline_s,
        )
        placed[request.request_id] = Placed(call, request)
        self._apply(call.entry, admission.offer(request, self.now_s))

    def _apply(self, entry: int, effects: list) -> None:
        placed = self.entries[entry][2]
        for effect in effects:
            if isinstance(effect, Admit):
                self.counts.admitted += 1
                held = placed[effect.request_id]
                held.predicted = effect.predicted_tokens
                self._send(entry, held, 0.0)
            elif isinstance(effect, Refuse):
                held = placed.pop(effect.request_id)
                self._refused(held.call, effect)

    def _refused(self, call: Call, effect: Refuse) -> None:
        self.counts.refusals += 1
        self.counts.refused_codes[effect.code] += 1
        wait_s = effect.retry_after_s
        if self._rng.random() < IMPATIENT:
            wait_s = self._rng.uniform(0.5, 1.5)
        back_s = self.now_s + wait_s
        if call.tries >= MAX_TRIES or back_s >= call.deadline_s:
            call.outcome = "refused"
            call.finished_s = self.now_s
            return
        self._at(back_s, self._offer, call)

    def _send(self, entry: int, held: Placed, generated: float) -> None:
        _, selector, _ = self.entries[entry]
        call = held.call
        while held.attempts < MAX_ATTEMPTS:
            request = RoutingRequest(
                held.request.request_id,
                SERVICE,
                call.priority,
                held.predicted,
                (call.prefix,),
                held.excluded,
            )
            group = selector.choose(request, self.now_s)
            if group is None:
                break
            held.attempts += 1
            self.counts.attempts += 1
            selector.record_sent(request, group, self.now_s)
            if not self.engines[group].alive:
                selector.record_finished(request.request_id, self.now_s)
                held.excluded |= {group}
                continue
            held.group = group
            held.task = Task(
                (entry, call.call_id),
                call.priority,
                call.prompt_tokens,
                call.prefix,
                call.prefix_tokens,
                call.output_tokens,
                held.predicted,
                generated=generated,
            )
            self.engines[group].submit(held.task)
            return
        self._end(entry, held, "late")

    def _hang_up(self, call: Call) -> None:
        if call.outcome:
            return
        call.outcome = "late"
        call.finished_s = self.now_s
        admission, selector, placed = self.entries[call.entry]
        held = placed.pop(f"{call.call_id}", None)
        if held is None:
            return
        if held.task is not None:
            self.engines[held.group].cancel(held.task.key)
            self._waste(held)
            selector.record_finished(held.request.request_id, self.now_s)
        self._apply(call.entry, admission.withdraw(held.request.request_id, self.now_s))

    def _waste(self, held: Placed) -> None:
        if held.task.held or held.task.generated:
            self.counts.wasted_tokens += held.call.prompt_tokens + held.task.generated

    def _end(self, entry: int, held: Placed, outcome: str) -> None:
        admission, selector, placed = self.entries[entry]
        call = held.call
        call.outcome = outcome
        call.finished_s = self.now_s
        request_id = held.request.request_id
        placed.pop(request_id, None)
        selector.record_finished(request_id, self.now_s)
        if outcome == "good":
            self.counts.useful_tokens += call.prompt_tokens + call.output_tokens
        elif held.task is not None:
            self._waste(held)
        used = int(held.task.generated) if held.task else 0
        self._apply(entry, admission.release(request_id, used, self.now_s))

    # Engines ---------------------------------------------------------------

    def _step_engines(self) -> None:
        for engine in self.engines.values():
            if not engine.alive:
                continue
            first, finished = engine.step(STEP_S)
            for task in first:
                _, selector, placed = self.entries[task.key[0]]
                held = placed[f"{task.key[1]}"]
                if not held.call.first_token_s:
                    held.call.first_token_s = self.now_s
                selector.record_first_token(held.request.request_id, self.now_s)
            for task in finished:
                held = self.entries[task.key[0]][2][f"{task.key[1]}"]
                self._end(task.key[0], held, "good")

    def _report_load(self, group: str) -> None:
        engine = self.engines[group]
        self._at(self.now_s + LOAD_S, self._report_load, group)
        if not engine.alive:
            return
        load = engine.load()
        events = engine.take_events()
        for entry in range(ENTRIES):
            lag_s = self._rng.uniform(0.3, 1.2)
            lost = self._rng.random() < EVENT_LOSS
            arguments = (entry, group, load, lag_s, None if lost else events)
            self._at(self.now_s + lag_s, self._deliver, *arguments)

    def _deliver(
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

    def _fail(self) -> None:
        for number in self.faults.slow:
            self.engines[f"g{number}"].speed = self.faults.slow_speed
        for number in self.faults.failed:
            for task in self.engines[f"g{number}"].stop():
                entry, call_id = task.key
                held = self.entries[entry][2][f"{call_id}"]
                held.excluded |= {held.group}
                self.entries[entry][1].finished(f"{call_id}", self.now_s)
                self._send(entry, held, task.generated)
        gone = {f"g{number}" for number in self.faults.failed}
        self._listed = [name for name in self._listed if name not in gone]
        if gone:
            self._at(self.now_s + DETECTION_S, self._list_groups)

    def _restore(self) -> None:
        for engine in self.engines.values():
            engine.alive, engine.speed = True, 1.0
        self._listed = list(self.engines)
        self._list_groups()

    def _list_groups(self) -> None:
        groups = [RoutableGroup(name, SERVICE, 1) for name in self._listed]
        for _, selector, _ in self.entries:
            selector.update_groups(groups)
        self._tell_capacity()

    # Reports ---------------------------------------------------------------

    def _exchange(self) -> None:
        self._at(self.now_s + REPORT_S, self._exchange)
        reports = [admission.demand() for admission, _, _ in self.entries]
        table = DemandTable()
        for number, report in enumerate(reports):
            table.record_report(f"e{number}", report, self.now_s)
        total = table.totals(self.now_s)
        self._at(self.now_s + REPORT_S, self._share, reports, total)
        self._tell_capacity()
        reserved = sum(a.reserved_tokens(SERVICE) for a, _, _ in self.entries)
        if not LOADED_FROM_S <= self.now_s < self.calls[-1].arrival_s:
            return
        engines = [engine for engine in self.engines.values() if engine.alive]
        capacity = len(engines) * self.settings.kv_tokens
        self.counts.kv_samples += 1
        self.counts.kv_used += sum(engine.kv_used for engine in engines) / capacity
        self.counts.kv_reserved += reserved / capacity
        self.counts.most_reserved = max(self.counts.most_reserved, reserved / capacity)

    def _share(self, reports: list[list[Demand]], total: list[Demand]) -> None:
        for (admission, _, _), own in zip(self.entries, reports, strict=True):
            admission.set_demand(own, total)
        for entry, (admission, _, placed) in enumerate(self.entries):
            for held in placed.values():
                if held.task is not None:
                    output = int(held.task.generated)
                    admission.progress(held.request.request_id, output)
            self._apply(entry, admission.tick(self.now_s))

    def _tell_capacity(self) -> None:
        loads = [self.engines[name].load() for name in self._listed]
        capacity = ServiceCapacity(
            len(loads),
            sum(load.kv_capacity_tokens for load in loads),
            sum(load.kv_used_tokens for load in loads),
            sum(load.running for load in loads),
            sum(load.waiting for load in loads),
        )
        self._at(self.now_s + REPORT_S, self._install, capacity)

    def _install(self, capacity: ServiceCapacity) -> None:
        for admission, _, _ in self.entries:
            admission.set_capacity(SERVICE, capacity, self.now_s)
