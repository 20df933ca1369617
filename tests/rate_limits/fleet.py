"""A simulated fleet of entries, a leader and endpoints that name limits."""

import heapq
import itertools
import random
from collections import defaultdict

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.coordinator import RateLimitCoordinator
from chestnutvale.rate_limits.division import EndpointPlace
from chestnutvale.rate_limits.send_budget import SendBudget
from chestnutvale.rate_limits.statements import RateStatement

REPORT_INTERVAL_S = 0.25
MESSAGE_DELAY_S = (0.001, 0.02)
ANSWER_S = (0.02, 0.4)
LEASE_S = 2.5
MAX_WAIT_S = 0.3
ENTRY_TIMEOUT_S = 3.0


class Entry:
    def __init__(self, name):
        self.name = name
        self.budget = SendBudget()
        self.lease_until_s = 0.0
        self.is_up = True
        self.life = 0


class Fleet:
    """Discrete-event simulation; all delays come from one seed."""

    def __init__(self, seed, entries=12, endpoints=3, limit_per_s=1.5, demand_per_s=8):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self._order = itertools.count()
        self._queue = []
        self.limit_per_s = limit_per_s
        self.limited_from_s, self.limited_until_s = 2.0, 20.0
        self.endpoints = [Incarnation(f"h{n}", "b") for n in range(endpoints)]
        self.entries = [Entry(f"entry-{n}") for n in range(entries)]
        self.coordinator = RateLimitCoordinator()
        self.seen_at_s = {}
        self.leader_until_s = 1e9
        self.arrivals = defaultdict(list)
        for entry in self.entries:
            self.after(self.rng.random() * REPORT_INTERVAL_S, self._report, entry)
        rate = demand_per_s * endpoints
        self.after(1.0, self._call, rate)

    def after(self, delay_s, action, *arguments):
        item = (self.now_s + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._queue, item)

    def run(self, until_s):
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)

    def change_leader(self, gap_s):
        """The leader stops; another one without its state follows after a gap."""
        self.coordinator = None

        def begin():
            self.coordinator = RateLimitCoordinator()
            self.seen_at_s = {}

        self.after(gap_s, begin)

    def stop(self, entry, down_s):
        entry.is_up = False
        entry.life += 1

        def start():
            entry.is_up, entry.lease_until_s = True, 0.0
            entry.budget = SendBudget()

        self.after(down_s, start)

    def _delay_s(self):
        return self.rng.uniform(*MESSAGE_DELAY_S)

    def _report(self, entry):
        self.after(REPORT_INTERVAL_S, self._report, entry)
        self._send_report(entry)

    def _send_report(self, entry):
        if entry.is_up and self.coordinator is not None:
            statements = entry.budget.unreported()
            sent_at_s = self.now_s
            self.after(self._delay_s(), self._merge, entry, statements, sent_at_s)

    def _merge(self, entry, statements, sent_at_s):
        if self.coordinator is None:
            return
        self.coordinator.merge(statements)
        self.seen_at_s[entry.name] = self.now_s
        live = {
            name: "dc-1"
            for name, seen_s in self.seen_at_s.items()
            if self.now_s - seen_s <= ENTRY_TIMEOUT_S
        }
        version = self.coordinator.version
        places = dict.fromkeys(self.endpoints, EndpointPlace("llm", "dc-1"))
        self.coordinator.refresh(live, places, self.now_s)
        changed = self.coordinator.version != version or statements
        for other in self.entries if changed else [entry]:
            if other.name in live:
                self._send_view(other, sent_at_s if other is entry else None, len(live))

    def _send_view(self, entry, answered_s, count):
        coordinator = self.coordinator
        shares = {
            statement.endpoint: coordinator.share_per_s(statement.endpoint, entry.name)
            for statement in coordinator.statements()
        }
        arguments = (entry, entry.life, coordinator.statements(), shares)
        self.after(self._delay_s(), self._install, *arguments, answered_s, count)

    def _install(self, entry, life, statements, shares, answered_s, count):
        if not entry.is_up or life != entry.life:
            return
        entry.budget.set_entry_count(count)
        entry.budget.install(statements, shares, self.now_s)
        if answered_s is not None:
            entry.lease_until_s = max(entry.lease_until_s, answered_s + LEASE_S)

    def _call(self, rate):
        self.after(self.rng.expovariate(rate), self._call, rate)
        entry = self.rng.choice(self.entries)
        self._send(entry, entry.life, self.now_s + MAX_WAIT_S)

    def _send(self, entry, life, start_by_s):
        is_gone = not entry.is_up or life != entry.life
        if is_gone or self.now_s >= entry.lease_until_s:
            return
        usable = [e for e in self.endpoints if entry.budget.may_send(e, self.now_s)]
        if not usable:
            next_s = min(
                entry.budget.next_send_s(e, self.now_s) for e in self.endpoints
            )
            if next_s <= start_by_s:
                delay_s = next_s - self.now_s
                self.after(delay_s, self._send, entry, life, start_by_s)
            return
        endpoint = self.rng.choice(usable)
        entry.budget.record_sent(endpoint, self.now_s)
        self.after(self._delay_s(), self._arrive, entry, entry.life, endpoint)

    def _arrive(self, entry, life, endpoint):
        self.arrivals[endpoint].append(self.now_s)
        is_limited = self.limited_from_s <= self.now_s < self.limited_until_s
        rate = self.limit_per_s if is_limited else None
        delay_s = self.rng.uniform(*ANSWER_S)
        self.after(delay_s, self._answer, entry, life, endpoint, rate)

    def _answer(self, entry, life, endpoint, rate):
        if not entry.is_up or life != entry.life:
            return
        statement = RateStatement(endpoint, rate, self.now_s)
        if entry.budget.record(statement, self.now_s):
            self._send_report(entry)

    def most_in_window(self, window_s=4.0, settle_s=3.0):
        """Return the most arrivals at one endpoint in a window while it has a limit."""
        begin_s, end_s = self.limited_from_s + settle_s, self.limited_until_s
        most = 0
        for times_s in self.arrivals.values():
            times_s = [t for t in times_s if begin_s <= t < end_s]
            first = 0
            for last, time_s in enumerate(times_s):
                while times_s[first] <= time_s - window_s:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def arrivals_between(self, begin_s, end_s):
        return sum(
            begin_s <= time_s < end_s
            for times_s in self.arrivals.values()
            for time_s in times_s
        )
