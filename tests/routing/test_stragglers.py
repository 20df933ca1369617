"""Tests that stragglers lose traffic and regain it after recovery."""

import random
from collections import Counter

import pytest

from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.selector import Selector
from chestnutvale.routing.stragglers import StragglerDetector
from chestnutvale.schema.membership_pb2 import Load

NAMES = [f"g{n}" for n in range(6)]
IDLE = dict.fromkeys(NAMES, 0.0)


def make_watch(slow_s, samples=100):
    watch = StragglerDetector()
    for number in range(samples):
        for name in NAMES:
            watch.observe(name, slow_s if name == "g0" else 0.5, number / 10)
    return watch


def test_share_falls_gradually_and_never_below_the_probe():
    shares = [
        make_watch(slow_s).shares(IDLE, 10.0)["g0"] for slow_s in (0.5, 1.0, 2.0, 60.0)
    ]
    assert shares[0] == 1.0
    assert shares == sorted(shares, reverse=True)
    assert 0.1 < shares[2] < shares[1] < 1.0
    assert shares[3] == pytest.approx(0.05, abs=0.001)


def test_one_slow_answer_does_not_push_a_group_out():
    watch = make_watch(0.5)
    watch.observe("g0", 2.0, 11.0)
    assert watch.shares(IDLE, 11.0)["g0"] > 0.7


def test_all_slow_are_all_kept():
    watch = StragglerDetector()
    for name in NAMES:
        watch.observe(name, 30.0, 0.0)
    assert watch.shares(IDLE, 1.0) == dict.fromkeys(NAMES, 1.0)


def test_idle_straggler_regains_traffic():
    watch = make_watch(60.0)
    assert watch.shares(IDLE, 70.0)["g0"] > 2 * watch.shares(IDLE, 10.0)["g0"]


def test_recovered_group_gets_its_traffic_back():
    watch = make_watch(60.0)
    for number in range(60):
        watch.observe("g0", 0.5, 20.0 + number)
    assert watch.shares(IDLE, 80.0)["g0"] == 1.0


def place(selector, count, now_s):
    chosen = Counter()
    for number in range(count):
        request = RoutingRequest(f"{now_s}-{number}", "llm", "normal", 100)
        chosen[selector.choose(request, now_s)] += 1
    return chosen


def make_selector(seed=1, count=6):
    selector = Selector(random.Random(seed))
    selector.update_groups(RoutableGroup(f"g{n}", "llm", 1) for n in range(count))
    for n in range(count):
        selector.update_load(f"g{n}", Load(kv_capacity_tokens=10_000), 0.0)
    return selector


def test_group_that_stopped_answering_loses_traffic():
    selector = make_selector()
    for name in NAMES:
        request = RoutingRequest(name, "llm", "normal", 100)
        selector.record_sent(request, name, 0.0)
        if name != "g0":
            selector.record_first_token(name, 0.1)
    chosen = place(selector, 600, 20.0)
    assert 0 < chosen["g0"] < 30
    selector.record_first_token("g0", 20.0)
    selector.record_finished("g0", 20.0)
    assert place(selector, 600, 200.0)["g0"] > chosen["g0"]


def test_entries_do_not_all_choose_the_least_loaded_group():
    chosen = Counter()
    for entry in range(12):
        selector = make_selector(seed=entry, count=15)
        for n in range(15):
            load = Load(kv_capacity_tokens=10_000, kv_used_tokens=5000 + 400 * n)
            selector.update_load(f"g{n}", load, 1.0)
        for number in range(5):
            request = RoutingRequest(f"{number}", "llm", "normal", 500)
            group = selector.choose(request, 1.5)
            selector.record_sent(request, group, 1.5)
            chosen[group] += 1
    assert max(chosen.values()) <= 15


def test_load_outweighs_prefix_hit():
    selector = make_selector()
    selector.prefixes.apply_cache_events("g2", 1, 1, [7], [])
    request = RoutingRequest("r", "llm", "normal", 500, prefixes=(7,))
    assert selector.choose(request, 0.0) == "g2"
    load = Load(kv_capacity_tokens=10_000, kv_used_tokens=9500, waiting=5)
    selector.update_load("g2", load, 1.0)
    assert selector.choose(request, 1.0) != "g2"


def test_late_report_does_not_replace_a_newer_one():
    selector = make_selector(count=2)
    full = Load(kv_capacity_tokens=10_000, kv_used_tokens=9900)
    selector.update_load("g0", full, 10.0, 0.2)
    selector.update_load("g0", Load(kv_capacity_tokens=10_000), 10.1, 5.0)
    assert place(selector, 50, 10.2) == {"g1": 50}
