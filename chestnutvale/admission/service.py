"""Admission control of one service at one entry."""

import itertools
import math
from collections.abc import Mapping

import attrs

from chestnutvale.admission.capacity_units import CapacityUnits
from chestnutvale.admission.class_order import ClassOrder
from chestnutvale.admission.const import (
    CODE_DEADLINE,
    CODE_EXPIRED,
    CODE_NO_CAPACITY,
    CODE_QUEUE_FULL,
    CODE_TOO_LARGE,
    LENT_SLOTS_RATIO,
    PRIORITIES,
    PRIORITY_URGENT,
    SHARED_SLOTS_RATIO,
    URGENT_OVERDRAFT,
    WEIGHTS_WITHOUT_WORKSPACES,
)
from chestnutvale.admission.demand import sum_demands
from chestnutvale.admission.fair_queue import FairQueue, WaitingRequest
from chestnutvale.admission.first_event import FirstEventPredictor
from chestnutvale.admission.kv_overcommit import KvOvercommit
from chestnutvale.admission.lent_places import LentPlaces
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Admit,
    Demand,
    Effect,
    Queue,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)
from chestnutvale.admission.pacing import HoldTimeEstimator, RetryPacer
from chestnutvale.admission.prediction import TokenPredictor
from chestnutvale.admission.refused_demand import RefusedDemand
from chestnutvale.admission.running_request import RunningRequest
from chestnutvale.admission.service_flow import ServiceFlow
from chestnutvale.admission.sharing import DivisionPolicy, divide_between_entries
from chestnutvale.admission.slot_rounding import SlotRounding
from chestnutvale.membership.const import LOAD_EXPIRY_S


@attrs.define
class ServiceAdmission:
    """Reservations and queued requests of one service at one entry.

    Parameters
    ----------
    limits : ServiceLimits
        Configured limits of the service.
    pacer : RetryPacer
        Computes Retry-After for refused callers.
    """

    limits: ServiceLimits
    pacer: RetryPacer
    weights: Mapping[str, float] = attrs.field(factory=dict)
    capacity: ServiceCapacity = ServiceCapacity(0, 0)
    entry_count: int = 1
    division: DivisionPolicy = DivisionPolicy()
    own_demand: dict[str, Demand] = attrs.field(factory=dict)
    total_demand: dict[str, Demand] = attrs.field(factory=dict)
    predictor: TokenPredictor = attrs.field(factory=TokenPredictor)
    queue: FairQueue = attrs.field(factory=FairQueue)
    running: dict[str, RunningRequest] = attrs.field(factory=dict)
    reserved: int = 0
    limit: float = 0.0
    # This entry's part of the groups that a new leader has yet to hear.
    awaited: float = 0.0
    # The limit while some group took requests, for the time after a pause of all.
    _usual_limit: float = 1.0
    _peer_running: float | None = None
    _peer_running_until_s: float = -math.inf
    _class_reserved: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(PRIORITIES, 0)
    )
    _order: ClassOrder = attrs.field(factory=ClassOrder)
    _units: CapacityUnits = attrs.field(factory=CapacityUnits)
    _waiting: dict[str, WaitingRequest] = attrs.field(factory=dict)
    hold_times: HoldTimeEstimator = attrs.field(factory=HoldTimeEstimator)
    refused: RefusedDemand = attrs.field(factory=RefusedDemand)
    _rounding: SlotRounding = attrs.field(
        default=attrs.Factory(
            lambda self: SlotRounding(self.pacer.rng), takes_self=True
        )
    )
    kv_overcommit: KvOvercommit = attrs.field(factory=KvOvercommit)
    first_event: FirstEventPredictor = attrs.field(factory=FirstEventPredictor)
    lent: LentPlaces | None = None

    def set_capacity(self, capacity: ServiceCapacity, now_s: float) -> None:
        """Update capacity and usage from a load report of the serving groups."""
        self.capacity = self._units.complete(capacity)
        total = sum(demand.tokens for demand in self.total_demand.values())
        self.kv_overcommit.update(self.capacity, total, now_s)
        self._rounding.redraw(now_s)
        if now_s >= self._peer_running_until_s:
            self._peer_running = None
        self.update_shares()

    def set_peer_running(self, running: float, now_s: float) -> None:
        """Update the number of requests that run through other entries."""
        self._peer_running = running
        self._peer_running_until_s = now_s + LOAD_EXPIRY_S
        self.update_shares()

    def set_fleet_flow(self, flow: ServiceFlow, now_s: float) -> None:
        """Update the rates of calls of all entries, after `set_peer_running`."""
        if self.lent is None or self._peer_running is None:
            return
        self.lent.lending.update(
            LENT_SLOTS_RATIO
            * self._units.total(self.capacity, self.limits, self.kv_overcommit.factor),
            self._peer_running + len(self.running),
            flow,
            self.entry_count,
            self.weights,
            self.limits.urgent_share,
            now_s,
        )

    def update_shares(self) -> None:
        """Recompute this entry's limit and the weights of its queue."""
        parts = divide_between_entries(
            self._units.total(self.capacity, self.limits, self.kv_overcommit.factor),
            self.own_demand,
            self.total_demand,
            self.weights or WEIGHTS_WITHOUT_WORKSPACES,
            self.entry_count,
            attrs.evolve(self.division, urgent_share=self.limits.urgent_share),
        )
        limited_units = self._units.limited(
            self.capacity, self.limits, self.kv_overcommit.factor, self.hold_times
        )
        self.limit = sum(parts.values()) + limited_units
        if self._units.is_slot_limited(self.capacity):
            self.limit = max(
                self._rounding.whole_slots(self.limit),
                self._free_slots() + math.floor(limited_units),
            )
            # Otherwise the places elsewhere would stay empty until these have ended.
            self.limit += self.capacity.evacuated_running
        self.awaited = (
            self._units.awaited(self.capacity, self.limits, self.kv_overcommit.factor)
            / self.entry_count
        )
        if not self.capacity.is_empty:
            self._usual_limit = max(1.0, self.limit)
        self.queue.weights = {name: max(part, 1e-6) for name, part in parts.items()}

    def offer(self, request: AdmissionRequest, now_s: float) -> list[Effect]:
        """Admit, queue or refuse a new request."""
        cost = self._cost(request)
        if self.capacity.is_empty and not self.awaited:
            retry_s = self._retry_without_capacity_s(request, cost, now_s)
            return [Refuse(request.request_id, CODE_NO_CAPACITY, retry_s)]
        if self._is_too_large(request):
            return [Refuse(request.request_id, CODE_TOO_LARGE, 0.0)]
        if request.deadline_s <= now_s:
            return [self._refuse(request, CODE_EXPIRED, cost, now_s)]
        waiter = WaitingRequest(request, cost, self._latest_start_s(request, now_s))
        if self.lent is not None:
            self.lent.record_offer(request, now_s)
            if self._lends(now_s):
                return self._offer_lent(self.lent, waiter, now_s)
        if not self._can_finish(request, cost, now_s):
            return [self._refuse(request, CODE_DEADLINE, cost, now_s)]
        effects = self._evict_if_full(request, cost, now_s)
        if effects and effects[-1].request_id == request.request_id:
            return effects
        self._waiting[request.request_id] = waiter
        self.queue.push(waiter)
        effects += self.admit_waiting(now_s)
        if request.request_id in self._waiting:
            effects.append(Queue(request.request_id))
        return effects

    def release(self, request_id: str, used_tokens: int, now_s: float) -> list[Effect]:
        """End a request's reservation and admit waiting requests."""
        entry = self.running.pop(request_id, None)
        if entry is None:
            return []
        request = entry.request
        self._change_reserved(request.priority, -entry.reserved)
        self.hold_times.observe(entry.reserved, used_tokens, now_s - entry.admitted_s)
        self.predictor.observe(request.workspace, request.priority, used_tokens)
        if not self._units.is_slot_limited(self.capacity):
            used = request.prompt_tokens + used_tokens
            self.queue.charge(request.workspace, used - entry.reserved)
        return self.admit_waiting(now_s)

    def progress(self, request_id: str, output_tokens: int) -> None:
        """Raise the reservation of a request that exceeds its prediction."""
        entry = self.running.get(request_id)
        if entry is None or self._units.is_slot_limited(self.capacity):
            return
        entry.output_tokens = max(entry.output_tokens, output_tokens)
        held = entry.request.prompt_tokens + output_tokens
        if held > entry.reserved:
            self._change_reserved(entry.request.priority, held - entry.reserved)
            self.queue.charge(entry.request.workspace, held - entry.reserved)
            entry.reserved = held

    def withdraw(self, request_id: str, now_s: float) -> list[Effect]:
        """Remove a request whose caller disconnected, waiting or running."""
        waiter = self._waiting.pop(request_id, None)
        if waiter is not None:
            self.queue.remove(waiter)
            return self.admit_waiting(now_s)
        entry = self.running.pop(request_id, None)
        if entry is None:
            return []
        request = entry.request
        self._change_reserved(request.priority, -entry.reserved)
        if entry.output_tokens:
            # The tokens that the caller read before it disconnected are the best known
            # length for later predictions.
            self.predictor.observe(
                request.workspace, request.priority, entry.output_tokens
            )
        return self.admit_waiting(now_s)

    def tick(self, now_s: float) -> list[Effect]:
        """Refuse waiting requests that can't meet their deadline; admit others."""
        self.refused.forget_old(now_s)
        effects = self.admit_waiting(now_s)
        if self.capacity.is_empty and not self.awaited:
            return effects + self._refuse_all(now_s)
        for waiter in list(self.queue):
            request = waiter.request
            if request.deadline_s <= now_s:
                effects.append(self._refuse_waiting(waiter, CODE_EXPIRED, now_s))
            elif self._has_waited_long_enough(waiter, now_s):
                effects.append(self._refuse_waiting(waiter, CODE_DEADLINE, now_s))
        return effects + self.admit_waiting(now_s)

    def _has_waited_long_enough(self, waiter: WaitingRequest, now_s: float) -> bool:
        if waiter.start_by_s <= now_s and not self.awaited:
            return True
        answer_s = self._estimated_answer_s(waiter.request, waiter.cost)
        return now_s + answer_s > waiter.request.deadline_s

    def admit_waiting(self, now_s: float) -> list[Effect]:
        """Admit waiting requests while the limit allows it."""
        if self.lent is not None and self._lends(now_s):
            return self._draw_waiting(self.lent, now_s)
        effects: list[Effect] = []
        while not self.capacity.is_empty:
            waiter = self._order.next_to_admit(self.queue, self._is_urgent_over())
            if waiter is None or not self._fits(waiter):
                return effects
            effects.append(self._admit(waiter, now_s))
        return effects

    def _admit(self, waiter: WaitingRequest, now_s: float) -> Admit:
        self.queue.pop(waiter)
        self._order.update_credit(waiter, self.queue, self.limits.urgent_share)
        request = waiter.request
        del self._waiting[request.request_id]
        self.running[request.request_id] = RunningRequest(request, waiter.cost, now_s)
        self._change_reserved(request.priority, waiter.cost)
        if self.lent is not None:
            self.lent.record_admission(now_s)
        return Admit(request.request_id, waiter.cost)

    def _lends(self, now_s: float) -> bool:
        # Shares in rate limits belong to single entries and can't be lent.
        if self.lent is None or self.capacity.limited.count or self.capacity.is_empty:
            return False
        if self.awaited:
            # The rates of calls that are lent by count only the groups that are known.
            return False
        return self._units.is_slot_limited(self.capacity) and self.lent.is_active(now_s)

    def _offer_lent(
        self, lent: LentPlaces, waiter: WaitingRequest, now_s: float
    ) -> list[Effect]:
        request = waiter.request
        if not lent.can_finish(request, now_s):
            return [self._refuse(request, CODE_DEADLINE, waiter.cost, now_s)]
        is_drawn = lent.draw(request)
        if not (is_drawn or lent.is_worth_waiting(request, now_s)):
            return [self._refuse(request, CODE_DEADLINE, waiter.cost, now_s)]
        effects = [] if is_drawn else self._evict_if_full(request, waiter.cost, now_s)
        if effects and effects[-1].request_id == request.request_id:
            return effects
        self._waiting[request.request_id] = waiter
        self.queue.push(waiter)
        effects.append(
            self._admit(waiter, now_s) if is_drawn else Queue(request.request_id)
        )
        return effects

    def _draw_waiting(self, lent: LentPlaces, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        if not lent.start_draws():
            return effects
        for waiter in list(self.queue):
            lent.record_offer(waiter.request, now_s)
            if lent.draw(waiter.request):
                effects.append(self._admit(waiter, now_s))
            elif not lent.is_worth_waiting(waiter.request, now_s):
                effects.append(self._refuse_waiting(waiter, CODE_DEADLINE, now_s))
        return effects

    def demand(self, name: str, now_s: float) -> list[Demand]:
        """Return reserved, queued and refused tokens per workspace.

        `name` is the service name to put into the demands, and `now_s` the monotonic
        time in seconds.
        """
        running = ((entry.request, entry.reserved) for entry in self.running.values())
        waiting = ((waiter.request, waiter.cost) for waiter in self.queue)
        refused = self.refused.mean_held_tokens(self.hold_times.hold_s)
        rates = self.lent.rates(now_s) if self.lent is not None else {}
        return sum_demands(name, itertools.chain(running, waiting), refused, rates)

    def _free_slots(self) -> float:
        """Return the slots not used by other entries; 0 if their load is unknown."""
        if self._peer_running is None:
            return 0.0
        return math.floor(
            SHARED_SLOTS_RATIO
            * self._units.total(self.capacity, self.limits, self.kv_overcommit.factor)
            - self._peer_running
        )

    def _cost(self, request: AdmissionRequest) -> int:
        if self._units.is_slot_limited(self.capacity):
            return 1
        output = self.predictor.predict(
            request.workspace, request.priority, request.max_tokens
        )
        return request.prompt_tokens + output

    def _is_too_large(self, request: AdmissionRequest) -> bool:
        largest = self.capacity.largest_group_tokens
        return 0 < largest < request.prompt_tokens

    def _fits(self, waiter: WaitingRequest) -> bool:
        # A request larger than the whole limit may run alone, or it would never run.
        if self.reserved == 0:
            return True
        return self.reserved + waiter.cost <= self._limit_of(waiter.request.priority)

    def _limit_of(self, priority: str) -> float:
        if priority == PRIORITY_URGENT and not self._units.is_slot_limited(
            self.capacity
        ):
            return self.limit * (1 + URGENT_OVERDRAFT)
        return self.limit

    def _is_urgent_over(self) -> bool:
        urgent_cap = self.limits.urgent_share * self.limit
        return self._class_reserved[PRIORITY_URGENT] >= urgent_cap

    def _can_finish(self, request: AdmissionRequest, cost: int, now_s: float) -> bool:
        wait_s = self._estimated_wait_s(request, cost)
        if wait_s == 0.0 and (self.awaited or self.reserved < self.limit / 2):
            # While half of the limit is free, a stale estimate must not cause refusals.
            # Of the groups that a new leader has yet to hear, nothing is known.
            return True
        is_wait_unknown = wait_s > 0.0 and not self.hold_times.is_measured
        if is_wait_unknown and math.isfinite(request.start_by_s):
            # An entry that has just started can't tell how long the wait is. As many
            # requests as run may wait for their places, as long as their routes allow.
            ahead = self.queue.tokens_ahead(request) + cost
            return now_s < request.start_by_s and ahead <= self.limit + self.awaited
        if wait_s > 0.0 and now_s + wait_s > self._latest_start_s(request, now_s):
            return False
        needed_s = wait_s + self._estimated_answer_s(request, cost)
        return now_s + needed_s <= request.deadline_s

    def _latest_start_s(self, request: AdmissionRequest, now_s: float) -> float:
        """Return until when a request may wait, in seconds.

        One that starts later misses its target, and takes the place of a request that
        can still meet its own. Whoever has missed it already waits as long as its
        route allows.
        """
        in_time_s = request.target_s - self.first_event.predict_s()
        if in_time_s <= now_s:
            return request.start_by_s
        return min(request.start_by_s, in_time_s)

    def _estimated_answer_s(self, request: AdmissionRequest, cost: int) -> float:
        if self._units.is_slot_limited(self.capacity):
            return 0.0
        output = cost - request.prompt_tokens
        return output * self.hold_times.output_token_s

    def _estimated_wait_s(self, request: AdmissionRequest, cost: int) -> float:
        free = self._limit_of(request.priority) + self.awaited - self.reserved
        missing = self.queue.tokens_ahead(request) + cost - free
        return max(0.0, missing) / self._drain_rate()

    def _drain_rate(self) -> float:
        return self.hold_times.drain_rate(self.limit + self.awaited)

    def _evict_if_full(
        self, request: AdmissionRequest, cost: int, now_s: float
    ) -> list[Effect]:
        waiting = self.queue.workspace_count(request.workspace)
        if waiting >= self.limits.workspace_queue_requests:
            victim = self.queue.newest_of_lowest_class(
                request.priority, request.workspace
            )
        elif self.queue.count >= self.limits.queue_requests:
            victim = self.queue.newest_of_longest_queue(request.priority)
        else:
            return []
        if victim is None or victim.request.is_in_queue_of(request):
            return [self._refuse(request, CODE_QUEUE_FULL, cost, now_s)]
        return [self._refuse_waiting(victim, CODE_QUEUE_FULL, now_s)]

    def _refuse_waiting(
        self, waiter: WaitingRequest, code: str, now_s: float
    ) -> Refuse:
        self.queue.remove(waiter)
        del self._waiting[waiter.request.request_id]
        return self._refuse(waiter.request, code, waiter.cost, now_s)

    def _refuse(
        self, request: AdmissionRequest, code: str, cost: int, now_s: float
    ) -> Refuse:
        self.refused.record_refusal(request.workspace, cost, now_s)
        if self.lent is not None and self._lends(now_s):
            rate = self.lent.pacing_rate(now_s, self.entry_count)
            retry_s = self.pacer.retry_after_s(
                now_s, 0.0, cost, rate, request.deadline_s
            )
            return Refuse(request.request_id, code, retry_s)
        free = self.limit + self.awaited - self.reserved
        backlog = self.queue.tokens_ahead(request) + cost - free
        retry_s = self.pacer.retry_after_s(
            now_s, max(0.0, backlog), cost, self._drain_rate(), request.deadline_s
        )
        return Refuse(request.request_id, code, retry_s)

    def _refuse_all(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for waiter in list(self.queue):
            self.queue.remove(waiter)
            request_id = waiter.request.request_id
            del self._waiting[request_id]
            retry_s = self._retry_without_capacity_s(waiter.request, waiter.cost, now_s)
            effects.append(Refuse(request_id, CODE_NO_CAPACITY, retry_s))
        return effects

    def _retry_without_capacity_s(
        self, request: AdmissionRequest, cost: int, now_s: float
    ) -> float:
        drain_rate = self.hold_times.drain_rate(self._usual_limit)
        return self.pacer.retry_without_capacity_s(
            now_s, self.capacity, cost, drain_rate, request.deadline_s
        )

    def _change_reserved(self, priority: str, tokens: int) -> None:
        self.reserved += tokens
        self._class_reserved[priority] += tokens
