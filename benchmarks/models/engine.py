"""Model of a group's engine: continuous batching with limited KV memory."""

from collections import OrderedDict

import attrs

from chestnutvale.schema.membership_pb2 import CacheEvents, Load

PRIORITY_RANKS = {"urgent": 0, "normal": 1, "batch": 2}


@attrs.frozen
class EngineSettings:
    """Speeds and sizes of an engine.

    Attributes
    ----------
    kv_tokens, cache_tokens : int
        KV memory in tokens, for running requests and for cached prefixes.
    max_batch : int
        Maximum number of requests in the batch.
    step_s, step_per_request_s : float
        Duration of a decoding step in seconds, and what each request adds to it.
    prefill_tokens_per_s : float
        Prompt tokens processed per second.
    prefill_share : float
        Maximum share of the time that is spent on prefill instead of decoding.
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
    """One attempt of a call on an engine."""

    key: tuple[int, int]
    priority: str
    prompt_tokens: int
    prefix: int
    prefix_tokens: int
    output_tokens: int
    predicted_tokens: int
    submission_order: int = 0
    generated_tokens: float = 0.0
    prefill_tokens_left: float = 0.0
    held_kv_tokens: float = 0.0
    started: bool = False
    cached: bool = False


@attrs.define
class Engine:
    """Runs tasks by priority in time steps, and preempts when KV memory is full."""

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
    prefix_lookups: int = 0
    _cache: OrderedDict = attrs.field(factory=OrderedDict)
    _cache_used: int = 0
    _submitted_count: int = 0
    _sequence: int = 0
    _added: list[int] = attrs.field(factory=list)
    _removed: list[int] = attrs.field(factory=list)

    def submit(self, task: Task) -> None:
        """Queue a task."""
        self._submitted_count += 1
        task.submission_order = self._submitted_count
        self.waiting.append(task)

    def cancel(self, key: tuple[int, int]) -> float:
        """Remove a task and return the number of tokens that it generated."""
        for task in self.running + self.waiting:
            if task.key == key:
                self._remove_task(task)
                return task.generated_tokens
        return 0.0

    def fail(self) -> list[Task]:
        """Stop the engine and return the tasks that this interrupted."""
        self.alive = False
        interrupted = self.running + self.waiting
        self.running, self.waiting, self.kv_used = [], [], 0.0
        self._cache.clear()
        self._cache_used = 0
        return interrupted

    def step(self, length_s: float) -> tuple[list[Task], list[Task]]:
        """Advance the time; return tasks with a first token, and finished tasks."""
        self._start_waiting()
        length_s *= self.speed
        used_s = self._prefill(length_s * self.settings.prefill_share)
        decoding = [task for task in self.running if task.prefill_tokens_left <= 0]
        step_s = self.settings.step_s
        step_s += self.settings.step_per_request_s * len(decoding)
        tokens = (length_s - used_s) / step_s
        first, finished = [], []
        for task in decoding:
            if not task.started:
                task.started = True
                first.append(task)
            new_tokens = min(tokens, task.output_tokens - task.generated_tokens)
            task.generated_tokens += new_tokens
            task.held_kv_tokens += new_tokens
            self.kv_used += new_tokens
            if task.generated_tokens >= task.output_tokens - 1e-9:
                finished.append(task)
        for task in finished:
            self._remove_task(task)
        while self.kv_used > self.settings.kv_tokens:
            self._preempt_task(self._preemption_victim(-1))
        return first, finished

    def load(self) -> Load:
        """Return the load report of the engine."""
        return Load(
            running=len(self.running),
            waiting=len(self.waiting),
            kv_used_tokens=int(self.kv_used),
            kv_capacity_tokens=self.settings.kv_tokens,
        )

    def drain_cache_events(self) -> CacheEvents | None:
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
        self.waiting.sort(
            key=lambda task: (PRIORITY_RANKS[task.priority], task.submission_order)
        )
        while self.waiting and len(self.running) < self.settings.max_batch:
            task = self.waiting[0]
            needed_tokens = task.prompt_tokens + task.generated_tokens
            free_tokens = self.settings.kv_tokens - self.kv_used
            if needed_tokens > free_tokens - 0.02 * self.settings.kv_tokens:
                victim = self._preemption_victim(PRIORITY_RANKS[task.priority])
                if victim is None:
                    return
                self.evictions += 1
                self._preempt_task(victim)
                continue
            self.waiting.pop(0)
            self._start_task(task, needed_tokens)

    def _start_task(self, task: Task, needed_tokens: float) -> None:
        self.prefix_lookups += 1
        task.cached = task.prefix in self._cache
        if task.cached:
            self.prefix_hits += 1
            self._cache.move_to_end(task.prefix)
        task.prefill_tokens_left = needed_tokens - (
            task.prefix_tokens if task.cached else 0
        )
        task.held_kv_tokens = needed_tokens
        self.kv_used += needed_tokens
        self.running.append(task)

    def _prefill(self, budget_s: float) -> float:
        used_s = 0.0
        for task in self.running:
            if task.prefill_tokens_left <= 0:
                continue
            rate = self.settings.prefill_tokens_per_s
            prefilled_tokens = min(task.prefill_tokens_left, (budget_s - used_s) * rate)
            task.prefill_tokens_left -= prefilled_tokens
            used_s += prefilled_tokens / rate
            if task.prefill_tokens_left <= 1e-9:
                task.prefill_tokens_left = 0.0
                self._cache_prefix(task)
            if used_s >= budget_s - 1e-12:
                break
        return used_s

    def _cache_prefix(self, task: Task) -> None:
        if task.prefix in self._cache:
            return
        self._cache[task.prefix] = task.prefix_tokens
        self._cache_used += task.prefix_tokens
        self._added.append(task.prefix)
        while self._cache_used > self.settings.cache_tokens:
            oldest, tokens = self._cache.popitem(last=False)
            self._cache_used -= tokens
            self._removed.append(oldest)

    def _preemption_victim(self, above_rank: int) -> Task | None:
        lower = [t for t in self.running if PRIORITY_RANKS[t.priority] > above_rank]
        if not lower:
            return None
        return max(
            lower,
            key=lambda task: (PRIORITY_RANKS[task.priority], task.submission_order),
        )

    def _preempt_task(self, task: Task) -> None:
        self.preemptions += 1
        self.lost_tokens += task.held_kv_tokens - task.prefill_tokens_left
        self._remove_task(task)
        self.waiting.append(task)

    def _remove_task(self, task: Task) -> None:
        if task in self.running:
            self.running.remove(task)
            self.kv_used -= task.held_kv_tokens
            task.held_kv_tokens = 0.0
        else:
            self.waiting.remove(task)
