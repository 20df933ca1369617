"""Tests of routing by the entry's view: prefixes, broken groups and leases."""

import json
import random

import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.emulator.answer_text import hash_prefixes as hash_engine_prefixes
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.programs.entry.answer_speed import measure_speed
from chestnutvale.programs.entry.context import AttemptReport, CallRequest
from chestnutvale.programs.entry.group_router import GroupRouter, hash_prefixes
from chestnutvale.programs.entry.openai_api import parse_generation
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group
from chestnutvale.schema.membership_pb2 import CacheEvents, Load
from chestnutvale.schema.peer_pb2 import (
    CacheNews,
    ControlView,
    Envelope,
    GroupCacheEvents,
    GroupLoad,
    GroupView,
)

PROMPT = b"a long prompt that many calls share. " * 20


class ManualClock(SystemClock):
    def __init__(self):
        self.time_s = 100.0

    def now_s(self):
        return self.time_s


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def router(clock):
    view = EntryView(lease_s=3.0)
    router = GroupRouter(view, Selector(random.Random(4)), lambda _: 100, clock)
    message = ControlView(nonce=1, source="s", view_version=1, whole=True, term=1)
    for number in range(1, 5):
        group = Group(group_id=f"g{number}", service="llm", epoch=number, version="1")
        message.groups.append(GroupView(group=group, serving=number != 4))
    view.record_report_sent(1, clock.now_s())
    view.install_view(message, clock.now_s())
    router.install(message)
    return router


def make_idle_loads():
    load = Load(kv_capacity_tokens=100_000)
    names = ("g1", "g2", "g3")
    return ControlView(loads=[GroupLoad(group_id=name, load=load) for name in names])


def make_request(request_id="r1", prompt=b""):
    return CallRequest(request_id, "w", "llm", "normal", prompt, 10, "", 200.0)


@pytest.mark.parametrize(
    ("form", "body"),
    [
        ("completion", {"prompt": "once upon a time " * 30}),
        ("chat", {"messages": [{"role": "user", "content": "tell me " * 40}]}),
    ],
)
def test_entry_and_engine_hash_the_same_prefixes(form, body):
    call = parse_generation(form, json.dumps({"model": "llm", **body}).encode())
    expected = hash_engine_prefixes(body.get("prompt") or body["messages"])
    assert expected
    assert list(hash_prefixes(call.prompt_bytes())) == expected


def test_calls_go_to_group_with_cached_prefix(router, clock):
    events = CacheEvents(first_sequence=1, last_sequence=1, added=hash_prefixes(PROMPT))
    news = CacheNews(events=[GroupCacheEvents(group_id="g2", epoch=2, events=events)])
    router.receive_cache_events(Envelope(cache_news=news))
    router.install(make_idle_loads())
    chosen = set()
    for number in range(30):
        request = make_request(f"r{number}", PROMPT)
        chosen.add(router.choose(request, frozenset(), "").group.group_id)
        router.report(AttemptReport(request, "g2", 2, "whole", "", 5.0, 10))
        clock.time_s += 0.05
        router.install(make_idle_loads())
    assert chosen == {"g2"}


def test_events_of_an_older_epoch_are_ignored(router):
    events = CacheEvents(first_sequence=1, last_sequence=1, added=[1])
    news = CacheNews(events=[GroupCacheEvents(group_id="g2", epoch=1, events=events)])
    router.receive_cache_events(Envelope(cache_news=news))
    assert router._selector.prefixes.held("g2", (1,)) == 0


def test_group_with_broken_attempt_is_avoided_then_used_again(router, clock):
    request = make_request()
    router.choose(request, frozenset(), "")
    router.report(AttemptReport(request, "g1", 1, "broken", "closed", None, 0))
    excluded = frozenset({"g2", "g3"})
    chosen = {
        router.choose(make_request(f"r{n}"), frozenset(), "").group.group_id
        for n in range(40)
    }
    assert chosen == {"g2", "g3"}
    assert router.choose(make_request(), excluded, "").group.group_id == "g1"
    clock.time_s += 1.5
    chosen = {
        router.choose(make_request(f"s{n}"), frozenset(), "").group.group_id
        for n in range(60)
    }
    assert "g1" in chosen


def test_failed_or_stalled_group_is_a_last_resort_but_no_alternative(router, clock):
    request = CallRequest("r0", "w", "llm", "normal", PROMPT, 10, "", 500.0)
    excluded, stalled = frozenset({"g1"}), frozenset({"g2"})
    assert router.has_alternative(request, excluded, "1", stalled)
    assert not router.has_alternative(request, excluded, "2", frozenset())
    router.report(AttemptReport(request, "g3", 3, "broken", "x", None, 0))
    assert not router.has_alternative(request, excluded, "1", stalled)
    assert router.choose(request, excluded, "1", stalled) is not None
    clock.time_s += 1.5
    assert router.has_alternative(request, excluded, "1", stalled)


def test_no_group_is_chosen_without_lease_or_candidate(router, clock):
    all_groups = frozenset({"g1", "g2", "g3"})
    assert router.choose(make_request(), all_groups, "") is None
    assert router.choose(make_request(), frozenset(), "2") is None
    clock.time_s += 3.1
    assert router.choose(make_request(), frozenset(), "") is None


def test_capacity_is_sum_of_serving_groups(router):
    view = router._view
    view._loads["g1"] = Load(kv_capacity_tokens=100, running=1, waiting=2)
    view._loads["g2"] = Load(kv_capacity_tokens=300, kv_used_tokens=50)
    view._loads["g4"] = Load(kv_capacity_tokens=900)
    capacity = router.capacity.by_service()["llm"]
    assert (capacity.groups, capacity.kv_capacity_tokens) == (3, 400)
    assert (capacity.largest_group_tokens, capacity.kv_used_tokens) == (300, 50)
    assert (capacity.running, capacity.waiting) == (1, 2)


def test_stalled_group_is_no_capacity_unless_it_is_the_only_one(router):
    """Calls admitted for a stalled group queue inside the engines of the others."""
    running = {"g1": 13, "g2": 9}
    capacity = router.capacity.by_service(stalled=frozenset({"g1"}))["llm"]
    assert capacity.groups == 2
    assert router.capacity.count_shared_running(running, frozenset({"g1"})) == {
        "llm": 9
    }
    every = frozenset({"g1", "g2", "g3"})
    assert router.capacity.by_service(stalled=every)["llm"].groups == 3
    assert router.capacity.count_shared_running(running, every) == {"llm": 22}


def test_complete_answers_measure_the_speed_of_their_group(router, clock):
    """A slow group counts as fast because its answers are not measured."""
    names = ("g1", "g2", "g3")
    for number in range(12):
        request = make_request(f"r{number}")
        excluded = frozenset(names) - {names[number % 3]}
        group = router.choose(request, excluded, "").group
        clock.time_s += 0.4 if group.group_id == "g1" else 0.08
        report = AttemptReport(
            request, group.group_id, group.epoch, "whole", "", 10.0, 20
        )
        router.report(report)
    slowness = router._selector.speeds.slowness(names)
    assert slowness["g1"] > 3.0
    assert slowness["g2"] == pytest.approx(1.0)
    assert slowness["g3"] == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("first_byte_ms", "tokens", "unit_s"), [(None, 0, 2.0), (500.0, 3, None)]
)
def test_speed_of_plain_calls_and_short_streams(first_byte_ms, tokens, unit_s):
    """The few tokens of a short stream arrive together and look infinitely fast."""
    report = AttemptReport(make_request(), "g1", 1, "whole", "", first_byte_ms, tokens)
    assert measure_speed(report, 2.0) == (2.0, unit_s)


def test_choice_is_described_and_counted(router):
    """An operator can't tell which policy chose a group, and why."""
    assert router.describe_choice() == {}
    router.choose(make_request(), frozenset({"g2", "g3"}), "")
    described = router.describe_choice()
    assert (described["policy"], described["candidates"]) == ("least_loaded", 1)
    assert described["costs"] == {"g1": 0.0}
    assert router.choice_counts == {"least_loaded:only_candidate": 1}


def test_new_number_of_places_counts_from_the_text_on(router, clock):
    # Guards against choices by the places of a former text, for as long as no group
    # changes.
    text = Text(number=1)
    text.services["llm"].limits.max_running_requests = 7
    view = ControlView(source="s", view_version=1, base_version=1, term=1, text=text)
    router._view.install_view(view, clock.now_s())
    router.install(view)
    assert {group.slots for group in router._selector._groups.values()} == {7}
