"""Simulates all entries of a deployment routing a day's peak load concurrently."""

import heapq
import itertools
import random
from collections import Counter

import attrs
import pytest

from chestnutvale.membership.attempt_counts import (
    AttemptCounts,
    load_exchange_interval_s,
)
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.selector import Selector

ENTRIES = 13
ZONES = 3
SLOTS = 9
MEAN_HOLD_S = 1.03
DELAY_S = 0.003
WARM_S = 3.0
# The service level promises a timely first event for 95 % of requests; a request that
# waits for a free slot counts as late.
MAX_LATE_SHARE = 0.05


@attrs.define(slots=False)
class Deployment:
    """Entries that route requests and exchange running counts via the control plane."""

    groups: int
    rate_per_s: float
    rng: random.Random
    waiting: int = 0
    placed: int = 0
    remote: int = 0
    _queue: list = attrs.field(factory=list)
    _order: itertools.count = attrs.field(factory=itertools.count)
    _at_group: Counter = attrs.field(factory=Counter)

    def __attrs_post_init__(self):
        self.table = AttemptCounts()
        self.running = [Counter() for _ in range(ENTRIES)]
        self.selectors = []
        groups = [
            RoutableGroup(f"g{n}", "s", 1, f"z{n % ZONES}", SLOTS)
            for n in range(self.groups)
        ]
        for number in range(ENTRIES):
            selector = Selector(random.Random(number), f"z{number % ZONES}")
            selector.update_groups(groups)
            self.selectors.append(selector)
        # The load balancer hashes callers, so entries get uneven shares.
        self.shares = [self.rng.uniform(0.6, 1.4) for _ in self.selectors]

    def schedule(self, time_s, action, *arguments):
        heapq.heappush(self._queue, (time_s, next(self._order), action, arguments))

    def run(self, length_s):
        interval_s = load_exchange_interval_s(ENTRIES)
        for entry in range(ENTRIES):
            self.schedule(
                self.rng.uniform(0, interval_s), self.send_counts, entry, interval_s
            )
        self.schedule(interval_s, self.broadcast_totals, interval_s)
        self.schedule(0.0, self.arrive)
        while self._queue[0][0] < length_s:
            now_s, _, action, arguments = heapq.heappop(self._queue)
            action(now_s, *arguments)

    def send_counts(self, now_s, entry, interval_s):
        counts = +self.running[entry]
        self.schedule(now_s + DELAY_S, self.receive_counts, entry, counts)
        self.schedule(now_s + interval_s, self.send_counts, entry, interval_s)

    def receive_counts(self, now_s, entry, counts):
        self.table.record_counts(f"e{entry}", counts, now_s)

    def broadcast_totals(self, now_s, interval_s):
        totals = self.table.totals(now_s)
        for entry in range(ENTRIES):
            elsewhere = self.table.counts_excluding(f"e{entry}", totals)
            self.schedule(now_s + DELAY_S, self.receive_totals, entry, elsewhere)
        self.schedule(now_s + interval_s, self.broadcast_totals, interval_s)

    def receive_totals(self, now_s, entry, elsewhere):
        for number in range(self.groups):
            name = f"g{number}"
            self.selectors[entry].update_peer_running(
                name, elsewhere.get(name, 0), now_s
            )

    def arrive(self, now_s):
        self.schedule(now_s + self.rng.expovariate(self.rate_per_s), self.arrive)
        (entry,) = self.rng.choices(range(ENTRIES), self.shares)
        request = RoutingRequest(f"r{next(self._order)}", "s", "normal", 1)
        group = self.selectors[entry].choose(request, now_s)
        self.selectors[entry].record_sent(request, group, now_s)
        if now_s > WARM_S:
            self.placed += 1
            self.waiting += self._at_group[group] >= SLOTS
            self.remote += int(group[1:]) % ZONES != entry % ZONES
        self._at_group[group] += 1
        self.running[entry][group] += 1
        hold_s = MEAN_HOLD_S * self.rng.lognormvariate(-0.25, 0.7)
        self.schedule(now_s + hold_s, self.end, entry, group, request.request_id)

    def end(self, now_s, entry, group, request_id):
        self._at_group[group] -= 1
        self.running[entry][group] -= 1
        self.selectors[entry].record_finished(request_id, now_s)


@pytest.mark.parametrize(("groups", "rate_per_s"), [(10, 60.0), (13, 75.0), (4, 22.0)])
def test_few_requests_wait_while_groups_have_free_slots(groups, rate_per_s):
    late = placed = remote = 0
    for seed in range(3):
        deployment = Deployment(groups, rate_per_s, random.Random(seed))
        deployment.run(25.0)
        late += deployment.waiting
        placed += deployment.placed
        remote += deployment.remote
    assert placed > 1_000
    assert late <= MAX_LATE_SHARE * placed
    # Random routing would send two thirds to another data centre.
    assert remote < 0.4 * placed


def test_full_group_is_avoided_for_a_remote_one():
    selector = Selector(random.Random(1), "here")
    selector.update_groups(
        [
            RoutableGroup("near", "s", 1, "here", SLOTS),
            RoutableGroup("far", "s", 1, "there", SLOTS),
        ]
    )
    selector.update_peer_running("near", SLOTS, 10.0)
    selector.update_peer_running("far", SLOTS - 1, 10.0)
    request = RoutingRequest("r", "s", "normal", 1)
    assert {selector.choose(request, 10.1) for _ in range(10)} == {"far"}


def test_expired_peer_counts_do_not_affect_choice():
    selector = Selector(random.Random(1))
    selector.update_groups(RoutableGroup(f"g{n}", "s", 1, "", SLOTS) for n in range(2))
    selector.update_peer_running("g0", SLOTS, 10.0)
    selector.update_peer_running("g1", 0, 10.0)
    request = RoutingRequest("r", "s", "normal", 1)
    assert {selector.choose(request, 10.5) for _ in range(20)} == {"g1"}
    assert selector.choose(request, 20.0) == "g0"


def test_describe_reports_running_counts_and_their_age():
    selector = Selector(random.Random(1))
    selector.update_groups([RoutableGroup("g", "s", 1, "", SLOTS)])
    request = RoutingRequest("r", "s", "normal", 1)
    selector.record_sent(request, "g", 9.9)
    selector.update_peer_running("g", 4, 10.0)
    assert selector.describe("g", 10.05) == {
        "running_here": 1,
        "running_elsewhere": 4,
        "elsewhere_age_ms": 50,
    }
    assert selector.describe("g", 20.0)["running_elsewhere"] is None
