"""Tests of the group selector."""

import random
from collections import Counter

import pytest

from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.membership_pb2 import CacheEvents, Load


@pytest.fixture
def selector():
    """Return a selector with four idle groups."""
    made = Selector(random.Random(1))
    made.update_groups(RoutableGroup(f"g{n}", "llm", 1) for n in range(4))
    for n in range(4):
        made.update_load(f"g{n}", Load(kv_capacity_tokens=10_000), 0.0)
    return made


def make_request(request_id="r", **more):
    values = {"priority": "normal", "predicted_tokens": 500} | more
    return RoutingRequest(request_id, "llm", **values)


def test_own_sends_count_until_a_report_covers_them(selector):
    for n in range(400):
        request = make_request(str(n))
        group = selector.choose(request, 1.0)
        selector.record_sent(request, group, 1.0)
    counts = [len(selector._loads[f"g{n}"].in_flight) for n in range(4)]
    assert max(counts) - min(counts) <= 4


def test_excluded_groups_are_not_chosen(selector):
    request = make_request(excluded_groups=frozenset({"g0", "g1", "g2"}))
    assert {selector.choose(request, 0.0) for _ in range(20)} == {"g3"}
    request = make_request(excluded_groups=frozenset({"g0", "g1", "g2", "g3"}))
    assert selector.choose(request, 0.0) is None


def test_gap_in_cache_events_drops_prefixes(selector):
    def note(first, last, added):
        events = CacheEvents(first_sequence=first, last_sequence=last, added=added)
        selector.note_cache_events("g2", events, 0.0)

    request = make_request(prefixes=(7, 8))
    note(1, 2, [7, 8])
    assert {selector.choose(request, 0.0) for _ in range(20)} == {"g2"}
    note(5, 5, [9])
    assert selector.prefixes.held("g2", (7, 8)) == 0
    assert len({selector.choose(request, 0.0) for _ in range(20)}) > 1


def test_group_gone_is_not_chosen(selector):
    selector.update_groups([RoutableGroup("g1", "llm", 2)])
    assert selector.choose(make_request(), 0.0) == "g1"


def test_sends_without_reports_do_not_add_up(selector):
    for n in range(200):
        request = make_request(str(n))
        selector.record_sent(request, "g0", float(n))
        selector.record_finished(str(n), n + 0.5)
    assert selector._loads["g0"].pressure(500, 512.0) < 1.0


def test_plain_service_goes_where_fewest_calls_run():
    selector = Selector(random.Random(1))
    selector.update_groups(RoutableGroup(f"g{n}", "llm", 1) for n in range(2))
    for n in range(6):
        selector.record_sent(make_request(str(n)), "g0", 0.0)
    assert {selector.choose(make_request("r"), 60.0) for _ in range(20)} == {"g1"}


def test_of_equally_loaded_groups_near_ones_are_chosen():
    selector = Selector(random.Random(3), "here")
    groups = [
        RoutableGroup(f"g{n}", "s", 1, "here" if n < 2 else "there") for n in range(8)
    ]
    selector.update_groups(groups)
    chosen = []
    for number in range(200):
        request = RoutingRequest(f"r{number}", "s", "normal", 1)
        name = selector.choose(request, float(number))
        selector.record_sent(request, name, float(number))
        selector.record_finished(request.request_id, number + 0.5)
        for group in groups:
            selector.update_load(group.group_id, Load(), number + 0.9, 0.0)
        chosen.append(name)
    near = sum(name in ("g0", "g1") for name in chosen)
    assert near > 150


def test_local_groups_are_not_overloaded():
    selector = Selector(random.Random(3), "here")
    groups = [RoutableGroup("near", "s", 1, "here")]
    groups += [RoutableGroup(f"far{n}", "s", 1, "there") for n in range(3)]
    selector.update_groups(groups)
    counts = Counter()
    for number in range(40):
        request = RoutingRequest(f"r{number}", "s", "normal", 1)
        name = selector.choose(request, 0.0)
        selector.record_sent(request, name, 0.0)
        counts[name] += 1
    assert counts["near"] <= 14
    assert min(counts.values()) >= 7
