"""Even load on old counts, in a simulation of all entries and on single choices."""

import random
from collections import Counter
from statistics import fmean

import attrs
import pytest

from benchmarks.models.even_load import EvenLoadSimulation, Scenario
from chestnutvale.membership.const import LOAD_EXPIRY_S
from chestnutvale.routing.const import MAX_LOGGED_CANDIDATES, NEW_GROUP_S
from chestnutvale.routing.estimates import fill_evenly
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.policies.even_load import EvenLoadPolicy
from chestnutvale.routing.policies.least_loaded import LeastLoadedPolicy
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.membership_pb2 import Load

PLACES = 15
ENTRIES = 126
NOW_S = 100.0
OLD_COUNTS = Scenario(
    entries=ENTRIES, groups=40, places=PLACES, count_age_s=0.6, length_s=22.0
)


def simulate(policy, scenario, seeds=(1, 2, 3, 4)):
    runs = [EvenLoadSimulation(scenario, lambda _: policy, n).run() for n in seeds]
    return {
        field.name: fmean(getattr(run, field.name) for run in runs)
        for field in attrs.fields(type(runs[0]))
    }


@pytest.fixture(scope="module")
def even():
    return simulate(EvenLoadPolicy(), OLD_COUNTS)


@pytest.fixture(scope="module")
def default():
    return simulate(LeastLoadedPolicy(), OLD_COUNTS)


def test_old_counts_do_not_cause_herding(even, default):
    """Entries that act on the same old counts overload the same groups in turn."""
    assert even["spread"] < 0.9 * default["spread"]
    assert even["most_per_s"] < 0.9 * default["most_per_s"]


def test_fewer_requests_meet_a_full_group_while_another_has_room(even, default):
    """Requests wait at full groups although other places are idle."""
    assert even["full_share"] < 0.9 * default["full_share"]
    assert even["first_event_p95_s"] < 0.8 * default["first_event_p95_s"]
    assert even["remote_share"] <= default["remote_share"]


def test_group_that_returns_empty_is_not_flooded():
    """All entries learn of an empty group at the same moment and send there."""
    scenario = attrs.evolve(OLD_COUNTS, restart_s=(10.0, 14.0))
    after_return = simulate(EvenLoadPolicy(), scenario)["most_after_return"]
    assert after_return <= PLACES * 0.75


def test_load_does_not_oscillate_between_data_centres():
    """Data centres with even demand swap their load in turn."""
    scenario = attrs.evolve(OLD_COUNTS, wave_amplitude=0.0, count_age_s=0.3)
    figures = simulate(EvenLoadPolicy(), scenario)
    per_slice = figures["requests"] / (4 * (scenario.length_s - scenario.warm_s))
    share = figures["remote_share"]
    # Independent requests vary by this much.
    independent = (share * (1.0 - share) / per_slice) ** 0.5
    assert figures["remote_swing"] < 1.8 * independent


def make_selector(groups, counts, now_s=NOW_S, **more):
    selector = Selector(random.Random(5), "z0", EvenLoadPolicy(), ENTRIES, **more)
    selector.update_groups(groups, now_s - 10.0)
    # Two rounds, so that the interval of the counts is known.
    for time_s in (now_s - 0.6, now_s - 0.3):
        for name, count in counts.items():
            selector.update_peer_running(name, count, time_s)
    return selector


def make_groups(count, zones=1):
    return [
        RoutableGroup(f"g{n}", "s", 1, f"z{n % zones}", PLACES) for n in range(count)
    ]


def draw(selector, now_s=NOW_S, number=2_000):
    requests = (RoutingRequest(str(n), "s", "normal", 1) for n in range(number))
    return Counter(selector.choose(request, now_s) for request in requests)


def test_slow_group_gets_less_than_its_places():
    """A group at a fifth of the speed gets as many requests as a fast one."""
    names = {f"g{n}": 9 for n in range(8)}
    selector = make_selector(make_groups(8), names)
    for name in names:
        for _ in range(6):
            selector.speeds.observe(name, 1.0, 0.2 if name == "g3" else 0.04)
    counts = draw(selector)
    assert counts["g3"] < 0.3 * fmean(counts[name] for name in names if name != "g3")


def test_recovered_group_gets_its_share_again():
    """A group that was slow once is avoided for ever."""
    selector = make_selector(make_groups(8), {f"g{n}": 9 for n in range(8)})
    for name in (f"g{n}" for n in range(8)):
        selector.speeds.observe(name, 1.0, 0.2 if name == "g3" else 0.04)
    for _ in range(40):
        selector.speeds.observe("g3", 1.0, 0.04)
    assert selector.speeds.slowness([f"g{n}" for n in range(8)])["g3"] < 1.1


def test_requests_stay_near_until_waits_differ():
    """Equal load sends paid traffic to other data centres."""
    light = make_selector(make_groups(6, 3), {f"g{n}": 6 for n in range(6)})
    assert set(draw(light)) <= {"g0", "g3"}


def test_share_that_leaves_grows_with_the_wait_here():
    """Spilling over jumps from nothing to everything at a threshold."""
    shares = []
    for here in range(8, 17, 2):
        counts = {f"g{n}": here if n in (0, 3) else 8 for n in range(6)}
        drawn = draw(make_selector(make_groups(6, 3), counts))
        shares.append(1.0 - (drawn["g0"] + drawn["g3"]) / drawn.total())
    assert shares == sorted(shares)
    assert shares[0] < 0.1
    assert shares[-1] > 0.6
    assert any(0.1 < share < 0.9 for share in shares)


def test_new_group_counts_as_loaded_as_the_others_at_first():
    """A new group without counts gets the requests of all entries."""
    selector = make_selector(make_groups(8), {f"g{n}": 9 for n in range(7)})
    selector.update_groups(make_groups(9), NOW_S)
    drawn = draw(selector)
    assert 0 < drawn["g8"] < 2 * drawn.total() / 9
    for name in (f"g{n}" for n in range(9)):
        selector.update_peer_running(
            name, 0 if name == "g8" else 9, NOW_S + NEW_GROUP_S
        )
    later = draw(selector, NOW_S + NEW_GROUP_S + 0.1)
    assert later["g8"] > drawn["g8"]


@pytest.mark.parametrize("age_s", [None, LOAD_EXPIRY_S + 0.1])
def test_own_sends_decide_without_counts(age_s):
    """Missing or expired counts let an entry repeat the same choice."""
    selector = Selector(random.Random(2), "z0", EvenLoadPolicy(), ENTRIES)
    selector.update_groups(make_groups(2), 0.0)
    if age_s is not None:
        selector.update_peer_running("g0", 14, NOW_S - age_s)
        selector.update_peer_running("g1", 0, NOW_S - age_s)
    for n in range(8):
        request = RoutingRequest(str(n), "s", "normal", 1)
        placement = selector.place(request, NOW_S)
        assert placement.reason == "no_counts"
        selector.record_sent(request, placement.group_id, NOW_S)
    assert [len(selector._loads[f"g{n}"].in_flight) for n in range(2)] == [4, 4]


def test_few_entries_with_fresh_counts_choose_as_by_default():
    """A deployment whose counts are fresh loses by drawing groups at random."""
    selectors = [
        Selector(random.Random(3), "z0", policy, 12)
        for policy in (EvenLoadPolicy(), LeastLoadedPolicy())
    ]
    for selector in selectors:
        selector.update_groups(make_groups(9, 3), 0.0)
        for name in (f"g{n}" for n in range(9)):
            selector.update_peer_running(name, 1, NOW_S - 0.1)
            selector.update_peer_running(name, int(name[1:]), NOW_S - 0.05)
    for n in range(100):
        request = RoutingRequest(str(n), "s", "normal", 1)
        chosen = {selector.choose(request, NOW_S) for selector in selectors}
        assert len(chosen) == 1
    assert set(selectors[0].choice_counts) == {"even_load:fresh_counts"}


def test_reported_memory_is_left_to_the_default():
    """Requests are counted although the engine reports its memory."""
    selector = make_selector(make_groups(3), {f"g{n}": 14 for n in range(3)})
    selector.update_load("g1", Load(kv_capacity_tokens=1_000), NOW_S)
    request = RoutingRequest("r", "s", "normal", 1)
    assert selector.place(request, NOW_S).reason == "other_load"


def test_logged_choice_is_bounded():
    """A deployment with many groups logs all of them with each request."""
    selector = make_selector(make_groups(60), {f"g{n}": 9 for n in range(60)})
    placement = selector.place(RoutingRequest("r", "s", "normal", 1), NOW_S)
    logged = placement.describe()
    assert (logged["policy"], logged["candidates"]) == ("even_load", 60)
    assert len(logged["costs"]) == MAX_LOGGED_CANDIDATES


@pytest.mark.parametrize("count", [0.0, 1.0, 7.5, 100.0])
def test_filling_levels_the_used_share(count):
    """Expected sends are lost, doubled, or sent to groups above the level."""
    running, places = [3.0, 0.0, 12.0, 6.0], [10.0, 5.0, 10.0, 20.0]
    filled = fill_evenly(running, places, count)
    assert sum(filled) == pytest.approx(count)
    used = [(r + f) / p for r, f, p in zip(running, filled, places, strict=True)]
    level = max((u for u, f in zip(used, filled, strict=True) if f > 0), default=0.0)
    assert all(u >= level - 1e-9 for u in used)
