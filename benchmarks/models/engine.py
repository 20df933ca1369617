"""A small model of one group's engine: continuous batching with finite KV."""

from collections import OrderedDict

import attrs

from chestnutvale.schema.membership_pb2 import CacheEvents, Load

RANKS = {"urgent": 0, "normal": 1, "batch": 2}


@attrs.frozen
class EngineSettings:
    """Speeds and sizes of an engine.

    Attributes
    ----------
    kv_tokens, cache_tokens : int
        KV memory of running requests, and of cached prefixes.
    max_batch : int
        Requests in the batch.
    step_s, step_per_request_s : float
        Seconds of one decoding step, and what each request adds.
    prefill_tokens_per_s : float
        Speed of prefill.
    prefill_share : float
        Most of the time that prefill takes from decoding.
    """

    kv_tokens: int = 16_000
    cache_tokens: int = 6_000
    max_batch: int = 64
    step_s: float = 0.020
    step_per_request_s: float = 0.0005
    prefill_tokens_per_s: float = 6_000.0
    prefill_share: float = 0.5


@attrs.define(eq=False)
class Task:
    """One attempt of a call in an engine."""

    key: tuple[int, int]
    priority: str
    prompt_tokens: int
    prefix: int
    prefix_tokens: int
    output_tokens: int
    predicted_tokens: int
    order: int = 0
    generated: float = 0.0
    prefill_left: float = 0.0
    held: float = 0.0
    started: bool = False
    cached: bool = False


@attrs.define
class Engine:
    """Runs tasks in steps of time, by priority, and preempts when KV is full."""

    settings: EngineSettings
    group_id: str
    speed: float = 1.0
    alive: bool = True
    waiting: list[Task] = attrs.field(factory=list)
    running: list[Task] = attrs.field(factory=list)
    kv_used: float = 0.0
    preemptions: int = 0
    evictions: int = 0
    lost_tokens: float = 0.0
    prefix_hits: int = 0
    prefix_asks: int = 0
    _cache: OrderedDict = attrs.field(factory=OrderedDict)
    _cache_used: int = 0
    _order: int = 0
    _sequence: int = 0
    _added: list[int] = attrs.field(factory=list)
    _removed: list[int] = attrs.field(factory=list)

    def submit(self, task: Task) -> None:
        """Take a task."""
        self._order += 1
        task.order = self._order
        self.waiting.append(task)

    def cancel(self, key: tuple[int, int]) -> float:
        """Drop a task and return the tokens that it generated."""
        for task in self.running + self.waiting:
            if task.key == key:
                self._drop(task)
                return task.generated
        return 0.0

    def stop(self) -> list[Task]:
        """Fail, and return the tasks that were cut off."""
        self.alive = False
        cut = self.running + self.waiting
        self.running, self.waiting, self.kv_used = [], [], 0.0
        self._cache.clear()
        self._cache_used = 0
        return cut

    def step(self, length_s: float) -> tuple[list[Task], list[Task]]:
        """Advance and return tasks with a first token, and finished tasks."""
        self._start_waiting()
        length_s *= self.speed
        used_s = self._prefill(length_s * self.settings.prefill_share)
        decoding = [task for task in self.running if task.prefill_left <= 0]
        step_s = self.settings.step_s
        step_s += self.settings.step_per_request_s * len(decoding)
        tokens = (length_s - used_s) / step_s
        first, finished = [], []
        for task in decoding:
            if not task.started:
                task.started = True
                first.append(task)
            grown = min(tokens, task.output_tokens - task.generated)
            task.generated += grown
            task.held += grown
            self.kv_used += grown
            if task.generated >= task.output_tokens - 1e-9:
                finished.append(task)
        for task in finished:
            self._drop(task)
        while self.kv_used > self.settings.kv_tokens:
            self._preempt(self._victim(-1))
        return first, finished

    def load(self) -> Load:
        """Return what the engine would report now."""
        return Load(
            running=len(self.running),
            waiting=len(self.waiting),
            kv_used_tokens=int(self.kv_used),
            kv_capacity_tokens=self.settings.kv_tokens,
        )

    def take_events(self) -> CacheEvents | None:
        """Return the cache events since the last call."""
        if not self._added and not self._removed:
            return None
        self._sequence += 1
        events = CacheEvents(
            first_sequence=self._sequence,
            last_sequence=self._sequence,
            added=[p for p in self._added if p in self._cache],
            removed=[p for p in self._removed if p not in self._cache],
        )
        self._added, self._removed = [], []
        return events

    def _start_waiting(self) -> None:
        self.waiting.sort(key=lambda task: (RANKS[task.priority], task.order))
        while self.waiting and len(self.running) < self.settings.max_batch:
            task = self.waiting[0]
            need = task.prompt_tokens + task.generated
            room = self.settings.kv_tokens - self.kv_used
            if need > room - 0.02 * self.settings.kv_tokens:
                victim = self._victim(RANKS[task.priority])
                if victim is None:
                    return
                self.evictions += 1
                self._preempt(victim)
                continue
            self.waiting.pop(0)
            self._start(task, need)

    def _start(self, task: Task, need: float) -> None:
        self.prefix_asks += 1
        task.cached = task.prefix in self._cache
        if task.cached:
            self.prefix_hits += 1
            self._cache.move_to_end(task.prefix)
        task.prefill_left = need - (task.prefix_tokens if task.cached else 0)
        task.held = need
        self.kv_used += need
        self.running.append(task)

    def _prefill(self, most_s: float) -> float:
        used_s = 0.0
        for task in self.running:
            if task.prefill_left <= 0:
                continue
            rate = self.settings.prefill_tokens_per_s
            part = min(task.prefill_left, (most_s - used_s) * rate)
            task.prefill_left -= part
            used_s += part / rate
            if task.prefill_left <= 1e-9:
                task.prefill_left = 0.0
                self._remember(task)
            if used_s >= most_s - 1e-12:
                break
        return used_s

    def _remember(self, task: Task) -> None:
        if task.prefix in self._cache:
            return
        self._cache[task.prefix] = task.prefix_tokens
        self._cache_used += task.prefix_tokens
        self._added.append(task.prefix)
        while self._cache_used > self.settings.cache_tokens:
            oldest, tokens = self._cache.popitem(last=False)
            self._cache_used -= tokens
            self._removed.append(oldest)

    def _victim(self, above_rank: int) -> Task | None:
        lower = [t for t in self.running if RANKS[t.priority] > above_rank]
        if not lower:
            return None
        return max(lower, key=lambda task: (RANKS[task.priority], task.order))

    def _preempt(self, task: Task) -> None:
        self.preemptions += 1
        self.lost_tokens += task.held - task.prefill_left
        self._drop(task)
        self.waiting.append(task)

    def _drop(self, task: Task) -> None:
        if task in self.running:
            self.running.remove(task)
            self.kv_used -= task.held
            task.held = 0.0
        else:
            self.waiting.remove(task)
