"""Traffic of groups that were cold."""

import random
from collections import Counter

import pytest

from chestnutvale.routing.const import SLOW_START_S, SLOW_START_SHARE
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.selector import Selector
from chestnutvale.routing.slow_start import SlowStart
from chestnutvale.schema.membership_pb2 import Load


def test_the_share_ramps_up_after_the_cold_time():
    slow_start = SlowStart()
    assert slow_start.share("g", 0.0) == 1.0
    slow_start.update(["g"], 0.0)
    assert slow_start.share("g", 9.0) == SLOW_START_SHARE
    slow_start.update([], 10.0)
    assert slow_start.share("g", 10.0) == SLOW_START_SHARE
    half = slow_start.share("g", 10.0 + SLOW_START_S / 2)
    assert half == pytest.approx((1.0 + SLOW_START_SHARE) / 2)
    assert slow_start.share("g", 10.0 + SLOW_START_S) == 1.0


def test_a_group_that_turns_cold_again_ramps_again():
    slow_start = SlowStart()
    slow_start.update(["g"], 0.0)
    slow_start.update([], 3.0)
    slow_start.update(["g"], 4.0)
    slow_start.update([], 7.0)
    assert slow_start.is_starting("g", 7.5)
    assert not slow_start.is_starting("g", 7.0 + SLOW_START_S)


def test_groups_that_are_long_warm_are_forgotten():
    # Guards against memory that grows with each group that was ever cold.
    slow_start = SlowStart()
    for number in range(50):
        slow_start.update([f"g{number}"], 10.0 * number)
    assert len(slow_start._ended_at_s) == 1


@pytest.mark.parametrize("entries", [24, 126])
def test_a_group_that_has_become_warm_does_not_attract_all_entries(entries):
    # Guards against the thundering herd: the group is empty, and the counts of the
    # other entries are old.
    names = [f"g{number}" for number in range(14)]

    def count(is_ramped):
        chosen = Counter()
        for number in range(entries):
            selector = Selector(random.Random(number))
            selector.update_groups(
                RoutableGroup(name, "llm", 1, slots=15) for name in names
            )
            for name in names:
                running = 0 if name == "g0" else 12
                selector.update_load(name, Load(running=running), 0.0)
            if is_ramped:
                selector.update_cold(["g0"], 0.0)
                selector.update_cold([], 3.0)
            for request in range(20):
                item = RoutingRequest(str(request), "llm", "normal", 1)
                chosen[selector.choose(item, 3.0)] += 1
        return chosen["g0"] / (20 * entries)

    assert count(is_ramped=True) <= 0.65 * count(is_ramped=False)


def test_latencies_while_cold_make_no_straggler():
    # Guards against traffic that stays away long after a worker is fast again.
    selector = Selector(random.Random(1))
    names = [f"g{number}" for number in range(4)]
    selector.update_groups(RoutableGroup(name, "llm", 1) for name in names)
    selector.update_cold(["g0"], 0.0)
    for number in range(40):
        for name in names:
            request = RoutingRequest(f"{name} {number}", "llm", "normal", 1)
            selector.record_sent(request, name, 0.0)
            latency_s = 3.0 if name == "g0" else 0.2
            selector.record_first_token(request.request_id, latency_s)
            selector.record_finished(request.request_id, latency_s)
    selector.update_cold([], 3.0)
    shares = selector._service_shares("llm", 3.0 + SLOW_START_S)
    assert shares == dict.fromkeys(names, 1.0)
