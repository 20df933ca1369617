"""Baseline policies for admission and routing."""

import itertools
import random
from collections import deque
from collections.abc import Iterable

import attrs

from chestnutvale.admission.const import DEFAULT_QUEUE_REQUESTS
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Effect,
    Queue,
    Refuse,
    ServiceCapacity,
)
from chestnutvale.admission.prediction import TokenPredictor
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest


@attrs.define
class FirstComeFirstServed:
    """Admits requests in arrival order from one bounded queue.

    Each entry gets an equal part of the capacity of the service.

    Parameters
    ----------
    reserve : str
        What to reserve for the answer: ``"predicted"``, ``"max_tokens"`` or
        ``"nothing"`` (no limit).
    """

    reserve: str
    limit: float = 0.0
    reserved: int = 0
    entry_count: int = 1
    predictor: TokenPredictor = attrs.field(factory=TokenPredictor)
    _queue: deque = attrs.field(factory=deque)
    _running: dict = attrs.field(factory=dict)
    _capacity: int = 0

    def configure(self, weights: dict, limits: dict) -> None:
        """Ignore weights and limits."""

    def set_entry_count(self, count: int) -> None:
        """Set the number of entries that share the capacity."""
        self.entry_count = count

    def set_capacity(
        self, service: str, capacity: ServiceCapacity, now_s: float
    ) -> None:
        """Set the limit to an equal part of the capacity."""
        self.limit = capacity.kv_capacity_tokens / self.entry_count

    def set_demand(self, own: list, total: list) -> None:
        """Ignore demand."""

    def demand(self) -> list:
        """Return no demand reports."""
        return []

    def reserved_tokens(self, service: str) -> int:
        """Return the tokens that running requests have reserved."""
        return self.reserved

    def offer(self, request: AdmissionRequest, now_s: float) -> list[Effect]:
        """Queue the request, or refuse it if the queue is full."""
        if len(self._queue) >= DEFAULT_QUEUE_REQUESTS:
            return [Refuse(request.request_id, "queue_full", 1.0)]
        self._queue.append(request)
        effects = self._admit()
        if self._queue and self._queue[-1] is request:
            effects.append(Queue(request.request_id))
        return effects

    def progress(self, request_id: str, output_tokens: int) -> None:
        """Ignore progress; a reservation never changes."""

    def release(self, request_id: str, used_tokens: int, now_s: float) -> list[Effect]:
        """Release a reservation and admit queued requests."""
        reservation = self._running.pop(request_id, None)
        if reservation is None:
            return []
        request, cost = reservation
        self.reserved -= cost
        self.predictor.observe(request.workspace, request.priority, used_tokens)
        return self._admit()

    def withdraw(self, request_id: str, now_s: float) -> list[Effect]:
        """Remove a running or queued request."""
        reservation = self._running.pop(request_id, None)
        if reservation is not None:
            self.reserved -= reservation[1]
            return self._admit()
        self._queue = deque(r for r in self._queue if r.request_id != request_id)
        return []

    def tick(self, now_s: float) -> list[Effect]:
        """Admit queued requests that fit the limit."""
        return self._admit()

    def _admit(self) -> list[Effect]:
        effects: list[Effect] = []
        while self._queue:
            cost = self._cost(self._queue[0])
            if self.reserved and self.reserved + cost > self.limit:
                break
            request = self._queue.popleft()
            self._running[request.request_id] = (request, cost)
            self.reserved += cost
            effects.append(Admit(request.request_id, max(cost, 1)))
        return effects

    def _cost(self, request: AdmissionRequest) -> int:
        if self.reserve == "nothing":
            return 0
        if self.reserve == "max_tokens":
            return request.prompt_tokens + request.max_tokens
        output = self.predictor.predict(
            request.workspace, request.priority, request.max_tokens
        )
        return request.prompt_tokens + output


@attrs.define
class RoundRobin:
    """Chooses the groups in rotation."""

    rng: random.Random
    _names: list[str] = attrs.field(factory=list)
    _turn_counter: Iterable = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Start the rotation at a random position."""
        self._turn_counter = itertools.count(self.rng.randrange(1000))

    def update_groups(self, groups: Iterable[RoutableGroup]) -> None:
        """Replace the routable groups."""
        self._names = [group.group_id for group in groups]

    def update_load(self, *args: object, **more: object) -> None:
        """Ignore reported load."""

    def note_cache_events(self, *args: object) -> None:
        """Ignore cache events."""

    def choose(self, request: RoutingRequest, now_s: float) -> str | None:
        """Return the next group that is not excluded."""
        names = [n for n in self._names if n not in request.excluded_groups]
        return names[next(self._turn_counter) % len(names)] if names else None

    def record_sent(self, *args: object) -> None:
        """Ignore sent requests."""

    def record_first_token(self, *args: object) -> None:
        """Ignore the time to the first token."""

    def record_finished(self, *args: object) -> None:
        """Ignore finished requests."""


@attrs.define
class LeastReportedLoad(RoundRobin):
    """Chooses the group with the least reported load."""

    _loads: dict = attrs.field(factory=dict)

    def update_load(self, group_id: str, load: object, *args: object) -> None:
        """Store the reported load of a group, in tokens."""
        self._loads[group_id] = load.kv_used_tokens + 1000 * load.waiting

    def choose(self, request: RoutingRequest, now_s: float) -> str | None:
        """Return the group with the least load that is not excluded."""
        names = [n for n in self._names if n not in request.excluded_groups]
        return min(names, key=lambda n: self._loads.get(n, 0), default=None)
