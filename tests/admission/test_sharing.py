"""Tests of dividing capacity between workspaces and entries."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.admission.demand import DemandTable, largest_demands
from chestnutvale.admission.messages import Demand
from chestnutvale.admission.sharing import (
    DivisionPolicy,
    divide_above_floors,
    divide_between_entries,
    divide_capacity,
)

NAMES = ("a", "b", "c", "d")
weights_of = st.fixed_dictionaries({name: st.floats(0.1, 10.0) for name in NAMES})
demands_of = st.fixed_dictionaries({name: st.integers(0, 10**6) for name in NAMES})


@seed(63)
@settings(database=None, deadline=None, max_examples=200)
@given(st.floats(1.0, 1e6), demands_of, weights_of)
def test_division_is_max_min_fair(capacity, demands, weights):
    shares = divide_capacity(capacity, demands, weights)
    total = sum(shares.values())
    assert total == pytest.approx(min(capacity, sum(demands.values())))
    for name in NAMES:
        assert shares[name] <= demands[name] + 1e-6
        if shares[name] < demands[name] * (1 - 1e-9) - 1e-6:
            level = shares[name] / weights[name]
            for other in NAMES:
                assert shares[other] / weights[other] <= level * (1 + 1e-6) + 1e-6


@seed(65)
@settings(database=None, deadline=None, max_examples=200)
@given(st.floats(1.0, 1e6), demands_of, demands_of, weights_of)
def test_division_above_floors_is_fair(capacity, floors, more, weights):
    scale = min(1.0, capacity / max(1, sum(floors.values())))
    floors = {name: scale * floors[name] for name in NAMES}
    demands = {name: floors[name] + more[name] for name in NAMES}
    shares = divide_above_floors(capacity, floors, demands, weights)
    assert sum(shares.values()) == pytest.approx(min(capacity, sum(demands.values())))
    for name in NAMES:
        assert floors[name] - 1e-6 <= shares[name] <= demands[name] + 1e-6
        if shares[name] >= demands[name] - 1e-6:
            continue
        level = shares[name] / weights[name]
        for other in NAMES:
            if shares[other] > floors[other] * (1 + 1e-9) + 1e-6:
                assert shares[other] / weights[other] <= level * (1 + 1e-6) + 1e-6


report_of = st.fixed_dictionaries(
    {
        name: st.builds(
            lambda name, urgent, more: Demand("llm", name, urgent + more, urgent),
            st.just(name),
            st.integers(0, 10**5),
            st.integers(0, 10**6),
        )
        for name in NAMES
    }
)


def add_up(reports):
    table = DemandTable()
    for number, report in enumerate(reports):
        table.record_report(str(number), report.values(), 0.0)
    return {demand.workspace: demand for demand in table.totals(0.0)}


@seed(64)
@settings(database=None, deadline=None, max_examples=200)
@given(st.floats(1.0, 1e6), st.lists(report_of, min_size=1, max_size=12), weights_of)
def test_parts_of_all_entries_fit_the_capacity(capacity, reports, weights):
    total = add_up(reports)
    parts = [
        divide_between_entries(
            capacity, own, total, weights, len(reports), DivisionPolicy()
        )
        for own in reports
    ]
    assert sum(sum(part.values()) for part in parts) == pytest.approx(capacity)
    for part in parts:
        assert sum(part.values()) >= 0.1 * capacity / len(reports)


def make_parts(*reports, urgent_share=0.7):
    reports = [
        {name: Demand("llm", name, *tokens) for name, tokens in report.items()}
        for report in reports
    ]
    total = add_up(reports)
    weights = {"a": 1.0, "b": 1.0}
    return [
        divide_between_entries(
            10_000, own, total, weights, 2, DivisionPolicy(urgent_share)
        )
        for own in reports
    ]


def test_part_follows_the_demand_of_the_entry():
    busy, idle = make_parts({"a": (90_000,)}, {"a": (10_000,), "b": (1000,)})
    # 15% of the capacity is divided evenly, the rest by demand.
    assert busy == pytest.approx({"a": 0.85 * 9000 * 0.9 + 375, "b": 375})
    assert idle == pytest.approx({"a": 0.85 * 9000 * 0.1 + 375, "b": 850 + 375})


def test_urgent_demand_goes_before_the_fair_share():
    urgent, batch = make_parts({"a": (90_000, 6500)}, {"b": (90_000,)})
    # Urgent demand of workspace a exceeds its half; workspace b gets the rest.
    assert urgent == pytest.approx({"a": 0.85 * 6500 + 375, "b": 375})
    assert batch == pytest.approx({"a": 375, "b": 0.85 * 3500 + 375})


def test_demand_table_sums_live_entries():
    table = DemandTable(expiry_s=3.0)
    table.record_report("e1", [Demand("llm", "a", 10)], 0.0)
    table.record_report("e2", [Demand("llm", "a", 5), Demand("app", "a", 1)], 2.0)
    table.record_report("e1", [Demand("llm", "a", 7)], 1.0)
    assert set(table.totals(2.5)) == {Demand("llm", "a", 12), Demand("app", "a", 1)}
    assert set(table.totals(4.5)) == {Demand("llm", "a", 5), Demand("app", "a", 1)}


def test_report_holds_the_largest_demands():
    demands = [Demand("llm", f"w{n}", n) for n in range(100)]
    assert largest_demands(demands, max_count=2) == [demands[99], demands[98]]
