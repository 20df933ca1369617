"""Continuous batching with finite memory, as a model engine does it; pure."""

import attrs

from chestnutvale.emulator.const import PRIORITY_RANKS
from chestnutvale.emulator.prefix_cache import PrefixCache


@attrs.frozen
class EngineModel:
    """Speed and size of an emulated engine.

    Attributes
    ----------
    kv_capacity_tokens : int
        Memory for prompts and answers.
    max_running_requests : int
        Requests that share one step.
    max_waiting_requests : int
        Requests that may wait; more are refused.
    prefill_budget_tokens : int
        Prompt tokens that one step may process.
    prefill_us_per_token : float
        Time for one prompt token in microseconds.
    step_ms : float
        Time of a step that decodes one token for each running request.
    step_us_per_request : float
        Time that each running request adds to a step, in microseconds.
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
    """One request inside the engine.

    Attributes
    ----------
    attempt_id : str
        Identity of the attempt.
    priority : str
        ``"urgent"``, ``"normal"`` or ``"batch"``.
    prompt_tokens : int
        Length of the prompt.
    prefix_hashes : list of int
        Hashes of the prompt's blocks.
    first_token : int
        Offset of the first token that is generated here.
    end_token : int
        Offset after the last token.
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
        """Order of service; lower goes first."""
        return PRIORITY_RANKS[self.priority], self.arrival_number

    @property
    def kv_tokens(self) -> int:
        """Memory that the request needs with its next token."""
        return self.prompt_tokens + self.next_token + 1

    @property
    def is_finished(self) -> bool:
        """Whether all tokens have been generated."""
        return self.next_token >= self.end_token


@attrs.frozen
class Step:
    """What one step of the engine did.

    Attributes
    ----------
    duration_s : float
        Time that the step takes in seconds.
    decoded : list of Generation
        Requests that got one token each.
    finished : list of Generation
        Those of them that are complete.
    started : list of Generation
        Requests that were taken into the batch.
    """

    duration_s: float
    decoded: list[Generation]
    finished: list[Generation]
    started: list[Generation]


class BatchEngine:
    """Runs requests in steps and decides which share the next one.

    Parameters
    ----------
    model : EngineModel
        Speed and size.

    Attributes
    ----------
    cache : PrefixCache
        Prompt blocks that need no second prefill.
    preempted_count : int
        Requests that lost their memory to more urgent or older ones.
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
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Requests that wait for memory or a place."""
        return len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """Memory in tokens that running requests hold."""
        return sum(request.kv_tokens for request in self._running.values())

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self._running and not self._waiting

    def can_accept(self, generation: Generation) -> bool:
        """Say whether a request would be queued and can ever fit.

        Parameters
        ----------
        generation : Generation
            The request.

        Returns
        -------
        bool
            False if it must be refused as overload.
        """
        needed_tokens = generation.prompt_tokens + generation.end_token + 1
        if needed_tokens > self.model.kv_capacity_tokens:
            return False
        return self.waiting_count < self.model.max_waiting_requests

    def submit(self, generation: Generation) -> None:
        """Queue a request; `can_accept` must have allowed it."""
        self._arrivals_count += 1
        generation.arrival_number = self._arrivals_count
        generation.next_token = generation.first_token
        self._waiting[generation.attempt_id] = generation

    def cancel(self, attempt_id: str) -> bool:
        """Drop a request.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.

        Returns
        -------
        bool
            False if it neither ran nor waited.
        """
        running = self._running.pop(attempt_id, None)
        waiting = self._waiting.pop(attempt_id, None)
        return running is not None or waiting is not None

    def step(self) -> Step:
        """Run one step.

        Returns
        -------
        Step
            Its duration and what it produced.
        """
        started = self._admit()
        prefilled_tokens = self._prefill()
        decoded = self._decode()
        finished = [request for request in decoded if request.is_finished]
        for request in finished:
            del self._running[request.attempt_id]
        self.cache.shrink(self.model.kv_capacity_tokens - self.used_tokens)
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
            cached_tokens = self.cache.match_tokens(request.prefix_hashes)
            # Tokens that are already in the answer must be processed again.
            recomputed_tokens = request.prompt_tokens + request.next_token
            request.prefill_left_tokens = max(1, recomputed_tokens - cached_tokens)
            self._running[request.attempt_id] = request
            started.append(request)
        return started

    def _preempt_for(self, request: Generation) -> bool:
        """Free memory and a place for a request from strictly lower priorities."""
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
                self.cache.insert(request.prefix_hashes)
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
