"""Retry-After of refused callers: when a place is likely, for those who can use it."""

import random

import pytest

from chestnutvale.admission.const import RETRY_AFTER_JITTER, RETRY_AFTER_MIN_S
from chestnutvale.admission.pacing import RetryPacer

DRAIN_RATE = 2.0
PATIENCE_S = 5.0


@pytest.fixture
def pacer():
    return RetryPacer(random.Random(2))


def refuse(pacer, now_s, patience_s=PATIENCE_S):
    return pacer.retry_after_s(now_s, 0.0, 1, DRAIN_RATE, now_s + patience_s)


def test_each_refused_caller_gets_a_later_turn(pacer):
    waits_s = [refuse(pacer, 10.0) for _ in range(8)]
    assert waits_s[-1] > waits_s[0]
    assert waits_s[-1] <= RETRY_AFTER_JITTER * 8 / DRAIN_RATE


def test_callers_that_give_up_before_their_turn_reserve_nothing(pacer):
    # A second of heavy overload: 200 callers, of whom ten have a turn in time.
    waits_s = [refuse(pacer, 10.0 + number / 200) for number in range(200)]
    assert max(waits_s) <= RETRY_AFTER_JITTER * (PATIENCE_S + 1 / DRAIN_RATE)


def test_the_next_refusal_after_an_overload_is_not_told_to_wait_for_it(pacer):
    for number in range(200):
        refuse(pacer, 10.0 + number / 200)
    after_s = 10.0 + 1.0 + PATIENCE_S + 1 / DRAIN_RATE
    assert refuse(pacer, after_s) <= RETRY_AFTER_JITTER * RETRY_AFTER_MIN_S


def test_a_patient_caller_still_reserves_its_turn(pacer):
    for _ in range(20):
        refuse(pacer, 10.0)
    first_s, second_s = (refuse(pacer, 10.0, patience_s=60.0) for _ in range(2))
    assert first_s > PATIENCE_S / 2
    assert second_s > PATIENCE_S / 2
