"""A simulated fleet of entries and a leader whose endpoints become cold."""

import heapq
import itertools
import math
import random
from collections import Counter, defaultdict

import attrs

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.cold_bound import ColdBound
from chestnutvale.rate_limits.coordinator import RateLimitCoordinator
from chestnutvale.rate_limits.division import EndpointPlace, division_interval_s
from chestnutvale.rate_limits.send_budget import SendBudget
from chestnutvale.rate_limits.slot_ledger import ColdEndpoint

REPORT_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_S = 1.2
# Longer than the time after which a silent entry no longer counts as live, as on the
# platform.
LEASE_S = 3.75
ENTRY_TIMEOUT_S = 3.0
COLD_S = 3.0
COLD_PER_S = 17.0
BOUND = ColdBound(1.5, 5.0)
# Requests that an ordinary endpoint gets in a second at most, and the factor by which
# one entry may exceed its even part: admission divides the places of the groups. The
# bound of an endpoint that becomes cold unseen rests on that until its next heartbeat
# or, at an entry that is cut off, until the end of its lease.
ORDINARY_PER_S = 17
UNEVENNESS = 1.5
# Time after which a call that found no token gives up.
MAX_WAIT_S = 0.3


@attrs.define
class Endpoint:
    """An endpoint, as it is and as the leader knows it."""

    name: Incarnation
    is_up: bool = True
    cold_from_s: float = -math.inf
    cold_until_s: float = -math.inf
    known_cold_until_s: float = -math.inf
    known_before_s: float = -math.inf
    is_known_up: bool = True


@attrs.define
class Entry:
    """An entry; its view names the serving and the cold endpoints."""

    name: str
    data_centre: str
    budget: SendBudget = attrs.field(factory=SendBudget)
    lease_until_s: float = 0.0
    is_up: bool = True
    is_cut: bool = False
    paused_until_s: float = 0.0
    life: int = 0
    source: int = 0
    view_version: int = 0
    limits_version: int = 0
    serving: frozenset = frozenset()


@attrs.define
class Leader:
    """A leading control; version numbers of two leaders can't be compared."""

    source: int
    coordinator: RateLimitCoordinator = attrs.field(factory=RateLimitCoordinator)
    seen_at_s: dict[str, float] = attrs.field(factory=dict)
    view_version: int = 1
    view: tuple = (frozenset(), frozenset())
    due_s: float = 0.0
    pushed: int = 0


class ColdFleet:
    """Discrete-event simulation; all delays and faults come from one seed."""

    def __init__(self, seed, entries, endpoints=14, demand_per_s=140.0, waits=False):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.waits = waits
        self.most_slots = 0
        self.demand_per_s = demand_per_s
        self._order = itertools.count()
        self._queue = []
        self.endpoints = [Endpoint(Incarnation(f"h{n}", "b")) for n in range(endpoints)]
        self.entries = [Entry(f"e{n}", f"dc-{n % 3}") for n in range(entries)]
        self.sources = itertools.count(1)
        self.sent = defaultdict(list)
        self.started = defaultdict(list)
        self.cold_times = defaultdict(list)
        self.leader = None
        self._elect()
        for endpoint in self.endpoints:
            self.after(self.rng.random(), self._heartbeat, endpoint)
        for entry in self.entries:
            self.after(self.rng.random() * REPORT_INTERVAL_S, self._report, entry)
        self.after(0.5, self._call)
        self.after(0.0, self._lead)

    def after(self, delay_s, action, *arguments):
        item = (self.now_s + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._queue, item)

    def run(self, until_s):
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now_s = until_s

    # Faults.

    def change_leader(self, gap_s):
        self.leader = None
        self.after(gap_s, self._elect)

    def _elect(self):
        self.leader = Leader(next(self.sources))
        self.leader.coordinator.begin_term(self.now_s, LEASE_S)

    def stop(self, entry, down_s):
        entry.is_up = False
        entry.life += 1

        def start():
            entry.is_up, entry.lease_until_s = True, 0.0
            entry.budget = SendBudget()
            entry.source = entry.view_version = entry.limits_version = 0

        self.after(down_s, start)

    def cut(self, entry, time_s):
        entry.is_cut = True
        self.after(time_s, lambda: setattr(entry, "is_cut", False))

    def pause(self, entry, time_s):
        entry.paused_until_s = self.now_s + time_s

    def turn_cold(self, endpoint):
        """Make an endpoint cold; the leader hears that with its next heartbeat."""
        endpoint.cold_from_s = self.now_s
        endpoint.cold_until_s = self.now_s + COLD_S
        self.cold_times[endpoint.name].append((self.now_s, self.now_s + COLD_S))

    def lose(self, endpoints, time_s):
        """Stop endpoints, which come back cold all at once."""
        for endpoint in endpoints:
            endpoint.is_up = endpoint.is_known_up = False

        def start():
            for endpoint in endpoints:
                endpoint.is_up = True
                self.turn_cold(endpoint)
                self._hear(endpoint)

        self.after(time_s, start)

    # Controls.

    def _heartbeat(self, endpoint):
        self.after(HEARTBEAT_INTERVAL_S, self._heartbeat, endpoint)
        self._hear(endpoint)

    def _hear(self, endpoint):
        if endpoint.is_up:
            endpoint.is_known_up = True
            if endpoint.known_cold_until_s != endpoint.cold_until_s:
                endpoint.known_before_s = endpoint.known_cold_until_s
            endpoint.known_cold_until_s = endpoint.cold_until_s

    def _lead(self):
        self.after(0.05, self._lead)
        self.most_slots = max(self.most_slots, self._count_slots())
        if self.leader is not None:
            self._publish(self.leader)

    def _publish(self, leader):
        up = [item for item in self.endpoints if item.is_known_up]
        plan = BOUND.plan_slots(COLD_PER_S)
        place = EndpointPlace("llm", "dc-1")
        cold = {
            item.name: ColdEndpoint(place, plan, self._find_cold_since_s(leader, item))
            for item in up
            if item.known_cold_until_s > self.now_s
        }
        view = frozenset(item.name for item in up), frozenset(cold)
        if view != leader.view:
            leader.view = view
            leader.view_version += 1
        places = {item.name: place for item in up}
        if self.now_s >= leader.due_s:
            live = {
                entry.name: entry.data_centre
                for entry in self.entries
                if self.now_s - leader.seen_at_s.get(entry.name, -9) <= ENTRY_TIMEOUT_S
            }
            leader.due_s = self.now_s + division_interval_s(len(cold), len(live))
            leader.coordinator.refresh(live, places, self.now_s, cold, live)
        if (leader.view_version, leader.coordinator.version) != leader.pushed:
            leader.pushed = leader.view_version, leader.coordinator.version
            for entry in self.entries:
                if entry.name in leader.seen_at_s:
                    self._send_view(leader, entry, None)

    def _held(self, entry):
        held = entry.budget.held_slots()
        return {name: plan.count for name, plan in held.items()}

    def _find_cold_since_s(self, leader, endpoint):
        if endpoint.known_before_s > leader.coordinator.ledger.started_at_s - LEASE_S:
            return -math.inf
        return endpoint.known_cold_until_s - COLD_S - 0.01

    def _count_slots(self):
        """Return the most slots of an endpoint that entries can spend now."""
        held = Counter()
        for entry in self.entries:
            if entry.is_up and self.now_s < entry.lease_until_s:
                held.update(self._held(entry))
        return max(held.values(), default=0)

    def _send_view(self, leader, entry, answered_s):
        if entry.is_cut:
            return
        coordinator = leader.coordinator
        arguments = (
            (leader.source, leader.view_version, coordinator.version),
            leader.view,
            coordinator.cold_shares(entry.name),
            answered_s,
        )
        self.after(self._delay_s(), self._install, entry, entry.life, *arguments)

    def _delay_s(self):
        """Return the delay of a message; a few are late and overtaken."""
        if self.rng.random() < 0.01:
            return self.rng.uniform(0.02, 0.6)
        return self.rng.uniform(0.001, 0.02)

    # Entries.

    def _install(self, entry, life, versions, view, shares, answered_s):
        if self._is_gone(entry, life) or entry.is_cut:
            return
        if self._is_paused(entry, self._install, life, versions, view, shares, None):
            return
        source, view_version, limits_version = versions
        if source < entry.source:
            return
        if source > entry.source:
            entry.source = source
            entry.view_version = entry.limits_version = 0
        if view_version >= entry.view_version:
            entry.view_version = view_version
            entry.serving = view[0]
            entry.budget.set_cold(view[1], self.now_s)
        if limits_version > entry.limits_version:
            entry.limits_version = limits_version
            entry.budget.install([], {}, self.now_s, shares)
        if answered_s is not None:
            entry.lease_until_s = max(entry.lease_until_s, answered_s + LEASE_S)

    def _is_gone(self, entry, life):
        return not entry.is_up or life != entry.life

    def _is_paused(self, entry, action, *arguments):
        if self.now_s >= entry.paused_until_s:
            return False
        self.after(entry.paused_until_s - self.now_s, action, entry, *arguments)
        return True

    def _report(self, entry):
        self.after(REPORT_INTERVAL_S, self._report, entry)
        if entry.is_up and not entry.is_cut and self.now_s >= entry.paused_until_s:
            versions = entry.source, entry.limits_version
            has_lease = self.now_s < entry.lease_until_s
            held = self._held(entry) if has_lease else {}
            arguments = entry, versions, held, self.now_s
            self.after(self._delay_s(), self._merge, *arguments)

    def _merge(self, entry, versions, held, sent_at_s):
        leader = self.leader
        if leader is None:
            return
        leader.seen_at_s[entry.name] = self.now_s
        version = versions[1] if versions[0] == leader.source else 0
        leader.coordinator.record_slots(entry.name, version, held, self.now_s)
        self._send_view(leader, entry, sent_at_s)

    def _call(self):
        self.after(self.rng.expovariate(self.demand_per_s), self._call)
        entry = self.rng.choice(self.entries)
        self._send(entry, entry.life, self.now_s + MAX_WAIT_S)

    def _send(self, entry, life, start_by_s):
        if self._is_gone(entry, life) or self.now_s >= entry.lease_until_s:
            return
        if self._is_paused(entry, self._send, life, start_by_s):
            return
        budget = entry.budget
        usable = [
            name
            for name in sorted(entry.serving, key=str)
            if budget.may_send(name, self.now_s)
        ]
        unused = [name for name in usable if budget.has_unused_share(name, self.now_s)]
        if not usable:
            next_s = min(
                (budget.next_send_s(name, self.now_s) for name in entry.serving),
                default=1e9,
            )
            if self.waits and next_s <= start_by_s:
                self.after(next_s - self.now_s, self._send, entry, life, start_by_s)
            return
        chosen = self.rng.choice(unused or usable)
        if not budget.is_cold(chosen) and self._is_full(entry, chosen):
            return
        budget.record_sent(chosen, self.now_s)
        self.after(self.rng.uniform(0.0, 0.02), self._forward, entry, life, chosen)

    def _is_full(self, entry, name):
        part = UNEVENNESS * ORDINARY_PER_S * len(self.endpoints) / len(self.entries)
        for key, most in ((name, ORDINARY_PER_S), (entry.name, max(1.0, part))):
            recent = [t for t in self.started[key][-200:] if t > self.now_s - 1.0]
            if len(recent) >= most:
                return True
        self.started[name].append(self.now_s)
        self.started[entry.name].append(self.now_s)
        return False

    def _forward(self, entry, life, name):
        if self._is_gone(entry, life):
            return
        if not self._is_paused(entry, self._forward, life, name):
            self.after(self.rng.uniform(0.001, 0.02), self._arrive, name)

    def _arrive(self, name):
        endpoint = next(item for item in self.endpoints if item.name == name)
        if endpoint.is_up:
            self.sent[name].append(self.now_s)

    # Measures.

    def most_in_a_second(self):
        """Return the most arrivals at a cold endpoint within a second."""
        most = 0
        for name, spans in self.cold_times.items():
            for begin_s, end_s in spans:
                times_s = [t for t in self.sent[name] if begin_s <= t < end_s]
                first = 0
                for last, time_s in enumerate(times_s):
                    while times_s[first] <= time_s - 1.0:
                        first += 1
                    most = max(most, last - first + 1)
        return most

    def used_per_s(self, from_s=0.6):
        """Return the mean rate at cold endpoints, from a time after they began."""
        total = seconds = 0.0
        for name, spans in self.cold_times.items():
            for begin_s, end_s in spans:
                total += sum(begin_s + from_s <= t < end_s for t in self.sent[name])
                seconds += end_s - begin_s - from_s
        return total / seconds
