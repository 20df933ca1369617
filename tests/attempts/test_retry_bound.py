"""Tests of the limit on retries over all entries."""

import pytest

from chestnutvale.attempts.retry_budget import SharedRetryBound


@pytest.mark.parametrize("entries", [1, 13, 141])
def test_entries_together_keep_the_bound_in_any_window(entries):
    bound = SharedRetryBound(share=0.2, reserve=200.0, window_s=10.0)
    budgets = [bound.make_budgets() for _ in range(entries)]
    calls = 0
    spent_at = []
    for step in range(300):
        now_s = step / 10
        for budget in budgets:
            bound.divide(budget, entries)
            budget.retries.refill(0.1)
            budget.count_call()
            calls += 1
            # Every call fails, and each entry uses its whole retry budget.
            while budget.reroutes.try_retry():
                spent_at.append(now_s)
    calls_in_window = calls / 3
    for start in range(20):
        spent = sum(start <= at < start + 10 for at in spent_at)
        # Each entry may always make one retry, however many share the reserve.
        assert spent <= 0.2 * calls_in_window + 200.0 + entries + 1


def test_both_kinds_of_retries_draw_on_one_budget():
    budgets = SharedRetryBound(0.2, 4.0, 10.0).make_budgets()
    # A new entry starts with an empty budget, as it does not know the entry count yet.
    assert not budgets.retries.try_retry()
    budgets.retries.refill(10.0)
    assert budgets.retries.try_retry()
    assert budgets.reroutes.try_retry()
    assert not budgets.retries.try_retry()
