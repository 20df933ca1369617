"""Simulates entries that choose groups on old counts, and measures how even load is."""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from statistics import fmean, pstdev
from typing import Any

import attrs

from chestnutvale.membership.attempt_counts import AttemptCounts
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.policies.policy import LoadBalancingPolicy
from chestnutvale.routing.selector import Selector

DATA_CENTRES = 3
SERVICE = "s"
NETWORK_DELAY_S = 0.001
SAMPLE_INTERVAL_S = 0.1
# Time per event and to the first event of an unloaded group of the usual speed.
EVENT_S = 0.04
FIRST_EVENT_S = 0.08
MEAN_EVENTS = 40
SPREAD_OF_EVENTS = 0.7
# Groups of the smaller size need this multiple of the time.
SMALL_GROUP_FACTOR = 1.5
SLOW_FACTORS = (4.0, 5.0)
# Load balancers hash callers, so entries get uneven shares of the demand.
ENTRY_SHARES = (0.6, 1.4)

PolicyMaker = Callable[[int], LoadBalancingPolicy]


@attrs.frozen
class Scenario:
    """A deployment, its demand and its faults.

    Attributes
    ----------
    entries, groups, places : int
        Numbers of entries, of groups, and of requests that a group runs at once.
    count_age_s : float
        Mean age of the counts of other entries in seconds.
    utilisation : float
        Mean demand, relative to what all groups can run.
    slow_groups : int
        Groups that are slower by one of `SLOW_FACTORS`.
    lost_share : float
        Fraction of messages with counts that are lost.
    wave_amplitude : float
        Amplitude of the demand of a data centre, relative to its mean.
    wave_period_s : float
        Period of the waves in seconds; those of the data centres are out of phase.
    outage_s : tuple of float
        Begin and end of a time without any counts, in seconds.
    restart_s : tuple of float
        Times at which one group is lost, and comes back empty, in seconds.
    length_s, warm_s : float
        Length of the run, and its beginning that is not measured, in seconds.
    """

    entries: int = 24
    groups: int = 30
    places: int = 17
    count_age_s: float = 0.1
    utilisation: float = 0.8
    slow_groups: int = 2
    lost_share: float = 0.1
    wave_amplitude: float = 0.55
    wave_period_s: float = 13.0
    outage_s: tuple[float, float] = (math.inf, math.inf)
    restart_s: tuple[float, float] = (math.inf, math.inf)
    length_s: float = 40.0
    warm_s: float = 6.0


@attrs.define
class Group:
    """A group that runs requests up to its places, and queues the others in order."""

    name: str
    data_centre: str
    places: int
    factor: float
    epoch: int = 1
    is_up: bool = True
    running: int = 0
    queue: deque = attrs.field(factory=deque)
    recent_s: deque[float] = attrs.field(factory=deque)
    most_per_s: int = 0
    most_after_return: int = 0
    returned_s: float = -math.inf

    @property
    def load(self) -> int:
        """Requests at the group, running or queued."""
        return self.running + len(self.queue)

    def count_arrival(self, now_s: float) -> None:
        """Update the largest number of requests in one second."""
        self.recent_s.append(now_s)
        while self.recent_s[0] <= now_s - 1.0:
            self.recent_s.popleft()
        self.most_per_s = max(self.most_per_s, len(self.recent_s))
        if now_s - self.returned_s < 1.0:
            self.most_after_return = max(self.most_after_return, len(self.recent_s))


@attrs.frozen
class Figures:
    """What a run measured.

    Attributes
    ----------
    spread : float
        Coefficient of variation of the used share of places over groups, mean of time.
    full_share : float
        Share of requests that met a full group while another one had room.
    most_per_s : int
        Most requests at one group in any second.
    most_after_return : int
        The same for the second after a group came back empty.
    first_event_mean_s, first_event_p95_s : float
        Time to the first event in seconds.
    remote_share : float
        Share of requests that crossed data centres.
    remote_swing : float
        Standard deviation of the remote share over quarters of a second.
    slow_share : float
        Share of requests at slow groups.
    slow_use : float
        Mean used share of the places of slow groups.
    requests : int
        Requests that were measured.
    """

    spread: float
    full_share: float
    most_per_s: int
    most_after_return: int
    first_event_mean_s: float
    first_event_p95_s: float
    remote_share: float
    remote_swing: float
    slow_share: float
    slow_use: float
    requests: int


@attrs.define(slots=False)
class EvenLoadSimulation:
    """Entries with real selectors, which exchange counts through a leader.

    Parameters
    ----------
    scenario : Scenario
        What is simulated.
    make_policy : callable
        Returns the policy of the entry with a number.
    seed : int
        Seed of all random numbers.
    """

    scenario: Scenario
    make_policy: PolicyMaker
    seed: int = 1
    _queue: list = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Create groups and entries."""
        scenario = self.scenario
        self.rng = random.Random(self.seed)
        self.groups = {
            f"g{n}": Group(f"g{n}", f"z{n % DATA_CENTRES}", scenario.places, factor)
            for n, factor in enumerate(self._factors())
        }
        self.selectors = [
            Selector(
                random.Random(f"{self.seed}-{n}"),
                f"z{n % DATA_CENTRES}",
                self.make_policy(n),
                scenario.entries,
            )
            for n in range(scenario.entries)
        ]
        self.running = [Counter() for _ in self.selectors]
        self.table = AttemptCounts()
        self.first_events_s: list[float] = []
        self.spreads: list[float] = []
        self.slow_uses: list[float] = []
        self.full = self.remote = self.slow = 0
        self.remote_by_slice: dict[int, list[int]] = {}
        weights = [self.rng.uniform(*ENTRY_SHARES) for _ in self.selectors]
        self.entry_weights = [
            [w if n % DATA_CENTRES == zone else 0.0 for n, w in enumerate(weights)]
            for zone in range(DATA_CENTRES)
        ]
        per_request_s = FIRST_EVENT_S + MEAN_EVENTS * EVENT_S
        self.rate_per_s = scenario.utilisation * sum(
            group.places / (per_request_s * group.factor)
            for group in self.groups.values()
        )
        self._update_groups(0.0)

    def _factors(self) -> list[float]:
        factors = [
            SMALL_GROUP_FACTOR if n % 4 == 3 else 1.0
            for n in range(self.scenario.groups)
        ]
        for n in range(self.scenario.slow_groups):
            factors[(7 * n + 1) % len(factors)] = SLOW_FACTORS[n % len(SLOW_FACTORS)]
        return factors

    def run(self) -> Figures:
        """Run the scenario and return its figures."""
        scenario = self.scenario
        for entry in range(scenario.entries):
            phase_s = self.rng.uniform(0, scenario.count_age_s)
            self._schedule(phase_s, self._send_counts, entry)
        self._schedule(scenario.count_age_s, self._broadcast)
        self._schedule(0.0, self._arrive)
        self._schedule(scenario.warm_s, self._sample)
        lost_s, returns_s = scenario.restart_s
        if math.isfinite(lost_s):
            self._schedule(lost_s, self._lose, "g0")
            self._schedule(returns_s, self._restore, "g0")
        while self._queue[0][0] < scenario.length_s:
            now_s, _, action, arguments = heapq.heappop(self._queue)
            action(now_s, *arguments)
        return self._figures()

    def _schedule(
        self, time_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        heapq.heappush(self._queue, (time_s, next(self._order), action, arguments))

    def _update_groups(self, now_s: float) -> None:
        groups = [
            RoutableGroup(g.name, SERVICE, g.epoch, g.data_centre, g.places)
            for g in self.groups.values()
            if g.is_up
        ]
        for selector in self.selectors:
            selector.update_groups(groups, now_s)

    def _is_lost(self, now_s: float) -> bool:
        begin_s, end_s = self.scenario.outage_s
        return begin_s <= now_s < end_s or self.rng.random() < self.scenario.lost_share

    def _send_counts(self, now_s: float, entry: int) -> None:
        if not self._is_lost(now_s):
            counts = dict(+self.running[entry])
            arrival_s = now_s + NETWORK_DELAY_S
            self._schedule(arrival_s, self._receive_counts, entry, counts)
        self._schedule(now_s + self.scenario.count_age_s, self._send_counts, entry)

    def _receive_counts(self, now_s: float, entry: int, counts: dict) -> None:
        self.table.record_counts(f"e{entry}", counts, now_s)

    def _broadcast(self, now_s: float) -> None:
        totals = self.table.totals(now_s)
        for entry in range(self.scenario.entries):
            if not self._is_lost(now_s):
                counts = self.table.counts_excluding(f"e{entry}", totals)
                arrival_s = now_s + NETWORK_DELAY_S
                self._schedule(arrival_s, self._receive_totals, entry, counts)
        self._schedule(now_s + self.scenario.count_age_s, self._broadcast)

    def _receive_totals(self, now_s: float, entry: int, counts: dict) -> None:
        selector = self.selectors[entry]
        for name, group in self.groups.items():
            if group.is_up:
                selector.update_peer_running(name, counts.get(name, 0), now_s)

    def _lose(self, now_s: float, name: str) -> None:
        group = self.groups[name]
        group.is_up, group.running = False, 0
        group.queue.clear()
        group.epoch += 1
        for counts in self.running:
            counts.pop(name, None)
        self._update_groups(now_s)

    def _restore(self, now_s: float, name: str) -> None:
        self.groups[name].is_up = True
        self.groups[name].returned_s = now_s
        self.groups[name].recent_s.clear()
        self._update_groups(now_s)

    def _arrive(self, now_s: float) -> None:
        scenario = self.scenario
        self._schedule(now_s + self.rng.expovariate(self.rate_per_s), self._arrive)
        waves = [
            1.0
            + scenario.wave_amplitude
            * math.sin(math.tau * (now_s / scenario.wave_period_s + n / DATA_CENTRES))
            for n in range(DATA_CENTRES)
        ]
        (zone,) = self.rng.choices(range(DATA_CENTRES), waves)
        weights = self.entry_weights[zone]
        (entry,) = self.rng.choices(range(scenario.entries), weights)
        request = RoutingRequest(f"r{next(self._order)}", SERVICE, "normal", 1)
        selector = self.selectors[entry]
        name = selector.choose(request, now_s)
        selector.record_sent(request, name, now_s)
        group = self.groups[name]
        is_measured = now_s > scenario.warm_s
        if is_measured:
            self._count(group, f"z{zone}", now_s)
        group.count_arrival(now_s)
        self.running[entry][name] += 1
        job = (entry, request.request_id, group, group.epoch, now_s, is_measured)
        if group.running < group.places:
            self._start(now_s, job)
        else:
            group.queue.append(job)

    def _count(self, group: Group, data_centre: str, now_s: float) -> None:
        is_remote = group.data_centre != data_centre
        self.remote += is_remote
        self.slow += group.factor >= SLOW_FACTORS[0]
        self.remote_by_slice.setdefault(int(now_s * 4), []).append(is_remote)
        if group.load >= group.places:
            self.full += any(
                other.load < other.places
                for other in self.groups.values()
                if other.is_up
            )

    def _start(self, now_s: float, job: tuple) -> None:
        group = job[2]
        group.running += 1
        events = MEAN_EVENTS * self.rng.lognormvariate(
            -(SPREAD_OF_EVENTS**2) / 2, SPREAD_OF_EVENTS
        )
        first_s = now_s + FIRST_EVENT_S * group.factor
        self._schedule(first_s, self._first_event, job)
        end_s = first_s + max(1.0, events) * EVENT_S * group.factor
        self._schedule(end_s, self._end, job, first_s, max(1.0, events))

    def _first_event(self, now_s: float, job: tuple) -> None:
        entry, request_id, group, epoch, sent_s, is_measured = job
        if epoch != group.epoch:
            return
        self.selectors[entry].record_first_token(request_id, now_s)
        if is_measured:
            self.first_events_s.append(now_s - sent_s)

    def _end(self, now_s: float, job: tuple, first_s: float, events: float) -> None:
        entry, request_id, group, epoch, sent_s, _ = job
        if epoch != group.epoch:
            return
        group.running -= 1
        self.running[entry][group.name] -= 1
        selector = self.selectors[entry]
        selector.record_answer(request_id, now_s - sent_s, (now_s - first_s) / events)
        selector.record_finished(request_id, now_s)
        if group.queue:
            self._start(now_s, group.queue.popleft())

    def _sample(self, now_s: float) -> None:
        up = [group for group in self.groups.values() if group.is_up]
        used = [group.load / group.places for group in up]
        self.spreads.append(pstdev(used) / max(fmean(used), 1e-9))
        self.slow_uses.extend(
            group.load / group.places for group in up if group.factor >= SLOW_FACTORS[0]
        )
        self._schedule(now_s + SAMPLE_INTERVAL_S, self._sample)

    def _figures(self) -> Figures:
        waits_s = sorted(self.first_events_s)
        slices = [fmean(items) for items in self.remote_by_slice.values()]
        requests = sum(len(items) for items in self.remote_by_slice.values())
        return Figures(
            spread=fmean(self.spreads),
            full_share=self.full / requests,
            most_per_s=max(group.most_per_s for group in self.groups.values()),
            most_after_return=max(g.most_after_return for g in self.groups.values()),
            first_event_mean_s=fmean(waits_s),
            first_event_p95_s=waits_s[int(0.95 * len(waits_s))],
            remote_share=self.remote / requests,
            remote_swing=pstdev(slices),
            slow_share=self.slow / requests,
            slow_use=fmean(self.slow_uses or [0.0]),
            requests=requests,
        )
