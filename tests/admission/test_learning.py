"""Tests of the estimates: answer length, KV overcommit, waits and Retry-After."""

import random

import pytest

from chestnutvale.admission.kv_overcommit import KvOvercommit
from chestnutvale.admission.messages import Admit, Queue, Refuse, ServiceCapacity
from chestnutvale.admission.pacing import RetryPacer
from chestnutvale.admission.prediction import TokenPredictor


def test_prediction_follows_a_change_and_the_workspace():
    predictor = TokenPredictor()
    for _ in range(200):
        predictor.observe("a", "batch", 1000)
        predictor.observe("b", "batch", 20)
    assert 1000 <= predictor.predict("a", "batch", 4096) <= 1250
    assert predictor.predict("b", "batch", 4096) <= 25
    assert predictor.predict("a", "batch", 300) == 300
    for _ in range(200):
        predictor.observe("a", "batch", 50)
    assert predictor.predict("a", "batch", 4096) <= 63


def test_length_of_cancelled_answer_is_recorded(make_controller, make_request):
    controller = make_controller(capacity=100_000)
    for n in range(20):
        controller.offer(make_request(str(n), max_tokens=4096), 0.0)
        controller.progress(str(n), 40)
        controller.withdraw(str(n), 1.0)
    (effect,) = controller.offer(make_request("last", max_tokens=4096), 2.0)
    assert effect.predicted_tokens <= 150


def test_outgrown_prediction_holds_new_requests_back(make_controller, make_request):
    controller = make_controller(capacity=1000)
    controller.offer(make_request("long", max_tokens=800), 0.0)
    controller.progress("long", 790)
    effects = controller.offer(make_request("next"), 1.0)
    assert effects == [Queue("next")]
    assert controller.release("long", 800, 2.0) == [Admit("next", 200)]


def run_overcommit(kv_overcommit, use, demand, seconds, waiting=0, start_s=0.0):
    for number in range(2 * seconds):
        capacity = ServiceCapacity(1, 10_000, int(use * 10_000), 10, waiting)
        kv_overcommit.update(capacity, demand, start_s + number / 2)
    return kv_overcommit.factor


def test_overcommit_falls_with_full_memory_and_recovers():
    kv_overcommit = KvOvercommit()
    low = run_overcommit(kv_overcommit, 0.97, 50_000, 10)
    assert low < 0.5
    assert run_overcommit(kv_overcommit, 0.5, 50_000, 10, start_s=10.0) > low + 0.2
    idle = run_overcommit(kv_overcommit, 0.1, 100, 300, start_s=20.0)
    assert idle == pytest.approx(1.0, abs=0.01)


def test_overcommit_falls_when_requests_wait_in_engines():
    assert run_overcommit(KvOvercommit(), 0.5, 50_000, 10, waiting=5) < 0.5


def test_unreachable_deadline_is_refused_at_once(make_controller, make_request):
    controller = make_controller(capacity=200)
    for n in range(10):
        controller.offer(make_request(f"seen{n}"), 0.0)
        controller.release(f"seen{n}", 100, 10.0)
    controller.offer(make_request("running"), 20.0)
    controller.offer(make_request("waiting", deadline_s=1e3), 20.0)
    (refusal,) = controller.offer(make_request("late", deadline_s=31.0), 20.0)
    assert refusal.code == "deadline_unreachable"
    # The backlog of two requests takes about 20 s.
    assert 20.0 <= refusal.retry_after_s <= 30.0


def test_waiting_request_is_refused_once_deadline_is_unreachable(
    make_controller, make_request
):
    controller = make_controller(capacity=200)
    for n in range(10):
        controller.offer(make_request(f"seen{n}"), 0.0)
        controller.release(f"seen{n}", 100, 10.0)
    controller.offer(make_request("running"), 20.0)
    assert controller.offer(make_request("next", deadline_s=41.0), 20.0) == [
        Queue("next")
    ]
    assert controller.tick(30.0) == []
    (refusal,) = controller.tick(35.0)
    assert isinstance(refusal, Refuse)


def test_stale_estimate_causes_no_refusals(make_controller, make_request):
    controller = make_controller(capacity=10_000)
    for n in range(10):
        controller.offer(make_request(f"slow{n}"), 0.0)
        controller.release(f"slow{n}", 100, 100.0)
    (effect,) = controller.offer(make_request("fresh", deadline_s=210.0), 200.0)
    assert isinstance(effect, Admit)


def test_retries_are_spread_at_the_drain_rate():
    pacer = RetryPacer(random.Random(5))
    returns = [pacer.retry_after_s(0.0, 1000, 100, 1000.0, 1e9) for _ in range(300)]
    per_second = [sum(s <= r < s + 1 for r in returns) for s in range(90)]
    # The drain rate admits ten such callers per second.
    assert max(per_second) <= 20
    assert min(returns) >= 1.0


def test_equal_estimates_are_spread_by_jitter():
    pacer = RetryPacer(random.Random(5))
    times = [pacer.add_jitter(10.0) for _ in range(200)]
    assert min(times) < 10.5 < 14.5 < max(times)
    assert min(times) >= 10.0 and max(times) <= 15.0
