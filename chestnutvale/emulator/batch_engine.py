"""Model of a batching engine with finite memory; does no I/O and reads no clock."""

import attrs

from chestnutvale.emulator.const import PRIORITY_RANKS
from chestnutvale.emulator.prefix_cache import PrefixCache


@attrs.frozen
class EngineModel:
    """Speed and capacity of an emulated engine.

    Attributes
    ----------
    kv_capacity_tokens : int
        Size of the KV cache for prompts and answers, in tokens.
    max_running_requests : int
        Maximum number of requests in the batch.
    max_waiting_requests : int
        Maximum length of the queue; further requests are refused.
    prefill_budget_tokens : int
        Maximum number of prompt tokens that one step processes.
    prefill_us_per_token : float
        Prefill time of one prompt token in microseconds.
    step_ms : float
        Fixed duration of a step in milliseconds; a step decodes one token for
        each running request.
    step_us_per_request : float
        Time in microseconds that each decoding request adds to a step.
    """

    kv_capacity_tokens: int = 32_768
    max_running_requests: int = 64
    max_waiting_requests: int = 64
    prefill_budget_tokens: int = 2_048
    prefill_us_per_token: float = 20.0
    step_ms: float = 10.0
    step_us_per_request: float = 20.0


@attrs.define
class Generation:
    """A generation request as the engine schedules it.

    Attributes
    ----------
    attempt_id : str
        Identifier of the attempt.
    priority : str
        ``"urgent"``, ``"normal"`` or ``"batch"``.
    prompt_tokens : int
        Length of the prompt in tokens.
    prefix_hashes : list of int
        Hash of each complete block of the prompt, chained with those before it.
    first_token : int
        Offset of the first token to generate; above 0 for a resumed answer.
    end_token : int
        Offset after the last token.
    arrival_number : int
        Position in the order of submission.
    next_token : int
        Offset of the next token to generate.
    prefill_left_tokens : int
        Prompt tokens that still need prefill.
    preempted_count : int
        How often the request was preempted.
    """

    attempt_id: str
    priority: str
    prompt_tokens: int
    prefix_hashes: list[int]
    first_token: int
    end_token: int
    arrival_number: int = 0
    next_token: int = 0
    prefill_left_tokens: int = 0
    preempted_count: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Scheduling order: by priority, then by arrival; lower values go first."""
        return PRIORITY_RANKS[self.priority], self.arrival_number

    @property
    def kv_tokens(self) -> int:
        """KV cache tokens that the request needs including its next token."""
        return self.prompt_tokens + self.next_token + 1

    @property
    def is_finished(self) -> bool:
        """Whether all tokens have been generated."""
        return self.next_token >= self.end_token


@attrs.frozen
class Step:
    """Result of one step of the engine.

    Attributes
    ----------
    duration_s : float
        Duration of the step in seconds.
    decoded : list of Generation
        Requests for which one token was generated.
    finished : list of Generation
        Decoded requests that are complete.
    started : list of Generation
        Requests that were admitted to the batch.
    """

    duration_s: float
    decoded: list[Generation]
    finished: list[Generation]
    started: list[Generation]


class BatchEngine:
    """Schedules requests by continuous batching, one step at a time.

    Parameters
    ----------
    model : EngineModel
        Speed and capacity.

    Attributes
    ----------
    cache : PrefixCache
        Prompt blocks that need no prefill again.
    preempted_count : int
        Number of preemptions in favour of more urgent or older requests.
    """

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self.cache = PrefixCache()
        self.preempted_count = 0
        self._arrivals_count = 0
        self._running: dict[str, Generation] = {}
        self._waiting: dict[str, Generation] = {}

    @property
    def running_count(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Number of queued requests, which wait for memory or a place in the batch."""
        return len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """KV cache tokens that running requests hold."""
        return sum(request.kv_tokens for request in self._running.values())

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits."""
        return not self._running and not self._waiting

    def can_accept(self, generation: Generation) -> bool:
        """Return whether a request would be queued and can ever fit in memory.

        Parameters
        ----------
        generation : Generation
            The request.

        Returns
        -------
        bool
            False if it must be refused as overloaded.
        """
        needed_tokens = generation.prompt_tokens + generation.end_token + 1
        if needed_tokens > self.model.kv_capacity_tokens:
            return False
        return self.waiting_count < self.model.max_waiting_requests

    def submit(self, generation: Generation) -> None:
        """Queue a request; `can_accept` must have returned True for it."""
        self._arrivals_count += 1
        generation.arrival_number = self._arrivals_count
        generation.next_token = generation.first_token
        self._waiting[generation.attempt_id] = generation

    def cancel(self, attempt_id: str) -> bool:
        """Remove a request from the batch or the queue.

        Parameters
        ----------
        attempt_id : str
            Identifier of the attempt.

        Returns
        -------
        bool
            False if the request was neither running nor waiting.
        """
        running = self._running.pop(attempt_id, None)
        waiting = self._waiting.pop(attempt_id, None)
        return running is not None or waiting is not None

    def step(self) -> Step:
        """Run one step: admit requests, prefill prompts and decode one token each.

        Returns
        -------
        Step
            The duration of the step and the requests that it advanced.
        """
        started = self._admit()
        prefilled_tokens = self._prefill()
        decoded = self._decode()
        finished = [request for request in decoded if request.is_finished]
        for request in finished:
            del self._running[request.attempt_id]
        self.cache.evict_to_limit(self.model.kv_capacity_tokens - self.used_tokens)
        duration_s = (
            self.model.step_ms / 1e3
            + len(decoded) * self.model.step_us_per_request / 1e6
            + prefilled_tokens * self.model.prefill_us_per_token / 1e6
        )
        return Step(duration_s, decoded, finished, started)

    def _admit(self) -> list[Generation]:
        started: list[Generation] = []
        for request in sorted(self._waiting.values(), key=lambda r: r.rank):
            if not self._preempt_for(request):
                break
            del self._waiting[request.attempt_id]
            cached_tokens = self.cache.count_cached_tokens(request.prefix_hashes)
            # A preempted or resumed request has answer tokens that need prefill too.
            recomputed_tokens = request.prompt_tokens + request.next_token
            request.prefill_left_tokens = max(1, recomputed_tokens - cached_tokens)
            self._running[request.attempt_id] = request
            started.append(request)
        return started

    def _preempt_for(self, request: Generation) -> bool:
        """Preempt requests of strictly lower priority until a request fits."""
        while not self._fits(request):
            candidate = self._pick_preemption_candidate(
                PRIORITY_RANKS[request.priority]
            )
            if candidate is None:
                return False
            self._preempt(candidate)
        return True

    def _fits(self, request: Generation) -> bool:
        if len(self._running) >= self.model.max_running_requests:
            return False
        return self.used_tokens + request.kv_tokens <= self.model.kv_capacity_tokens

    def _pick_preemption_candidate(self, above_rank: int) -> Generation | None:
        candidates = [
            request
            for request in self._running.values()
            if PRIORITY_RANKS[request.priority] > above_rank
        ]
        return max(candidates, key=lambda r: r.rank, default=None)

    def _preempt(self, request: Generation) -> None:
        del self._running[request.attempt_id]
        request.preempted_count += 1
        self.preempted_count += 1
        self._waiting[request.attempt_id] = request

    def _prefill(self) -> int:
        budget_tokens = self.model.prefill_budget_tokens
        for request in sorted(self._running.values(), key=lambda r: r.rank):
            if not request.prefill_left_tokens or not budget_tokens:
                continue
            processed_tokens = min(budget_tokens, request.prefill_left_tokens)
            request.prefill_left_tokens -= processed_tokens
            budget_tokens -= processed_tokens
            if not request.prefill_left_tokens:
                self.cache.insert_blocks(request.prefix_hashes)
        return self.model.prefill_budget_tokens - budget_tokens

    def _decode(self) -> list[Generation]:
        decoded: list[Generation] = []
        for request in sorted(self._running.values(), key=lambda r: r.rank):
            if request.prefill_left_tokens:
                continue
            request.next_token += 1
            decoded.append(request)
        self._preempt_over_capacity()
        return decoded

    def _preempt_over_capacity(self) -> None:
        while self.used_tokens > self.model.kv_capacity_tokens:
            unfinished = [r for r in self._running.values() if not r.is_finished]
            if len(self._running) <= 1 or not unfinished:
                return
            self._preempt(max(unfinished, key=lambda r: r.rank))
