"""How limits are divided among the entries."""

import random
from collections import Counter

import pytest

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.const import (
    MIN_DIVISION_INTERVAL_S,
    MIN_RATE_PER_S,
    MIN_SHARE_PER_S,
)
from chestnutvale.rate_limits.division import (
    EndpointPlace,
    LimitedEndpoint,
    divide_limits,
    division_interval_s,
)

ENTRIES = {f"entry-{number}": f"dc-{number % 3}" for number in range(12)}


def make_limited(count, rate_per_s, service="llm"):
    return [
        LimitedEndpoint(
            Incarnation(f"h{number}", "b"), EndpointPlace(service, "dc-1"), rate_per_s
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("rate_per_s", [0.0, 0.3, 1.2, 2.3, 7.0, 300.0])
def test_shares_add_up_to_the_limit_and_none_is_small(rate_per_s):
    for shares in divide_limits(make_limited(5, rate_per_s), ENTRIES).values():
        limit_per_s = max(rate_per_s, MIN_RATE_PER_S)
        assert sum(shares.values()) == pytest.approx(limit_per_s)
        assert min(shares.values()) >= min(limit_per_s, MIN_SHARE_PER_S)


def test_entries_get_about_equal_sums_within_a_service():
    sums = Counter()
    for shares in divide_limits(make_limited(30, 2.0), ENTRIES).values():
        sums.update(shares)
    assert set(sums.values()) == {5.0}


def test_equal_inputs_in_any_order_give_equal_shares():
    limited = make_limited(9, 2.5)
    expected = divide_limits(limited, ENTRIES)
    rng = random.Random(1)
    entries = list(ENTRIES.items())
    rng.shuffle(limited)
    rng.shuffle(entries)
    assert divide_limits(limited, dict(entries)) == expected


def test_entries_of_the_same_data_centre_come_first():
    for shares in divide_limits(make_limited(2, 2.0), ENTRIES).values():
        assert {ENTRIES[entry_id] for entry_id in shares} == {"dc-1"}


def test_without_entries_there_are_no_shares():
    assert divide_limits(make_limited(1, 2.0), {}) == {Incarnation("h0", "b"): {}}


def test_many_limits_and_entries_are_divided_less_often():
    assert division_interval_s(14, 12) == MIN_DIVISION_INTERVAL_S
    assert 0.5 < division_interval_s(127, 340) < 1.0
