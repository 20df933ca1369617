"""Tests of continuous batching with finite memory."""

import random

import pytest

from chestnutvale.emulator.answer_text import expected_text, hash_prefixes
from chestnutvale.emulator.batch_engine import BatchEngine, EngineModel, Generation


def make_generation(
    name, priority="normal", prompt_tokens=10, length=5, hashes=(), first=0
):
    return Generation(name, priority, prompt_tokens, list(hashes), first, length)


def run_until_idle(engine, limit=10_000):
    order = []
    for _ in range(limit):
        order.extend(request.attempt_id for request in engine.step().finished)
        if engine.is_idle:
            return order
    raise AssertionError("the engine never became idle")


def test_urgent_request_preempts_a_batch_request():
    engine = BatchEngine(EngineModel(max_running_requests=1))
    engine.submit(make_generation("slow", "batch", length=50))
    engine.step()
    engine.submit(make_generation("fast", "urgent"))
    assert run_until_idle(engine) == ["fast", "slow"]
    assert engine.preempted_count == 1


@pytest.mark.parametrize("seed", range(5))
def test_memory_limit_holds_and_every_request_finishes(seed):
    random_source = random.Random(seed)
    engine = BatchEngine(EngineModel(kv_capacity_tokens=300, prefill_budget_tokens=64))
    submitted_ids = set()
    finished = []
    for number in range(40):
        request = make_generation(
            f"r{number}",
            random_source.choice(["urgent", "normal", "batch"]),
            random_source.randrange(1, 100),
            random_source.randrange(1, 100),
        )
        assert engine.can_accept(request)
        engine.submit(request)
        submitted_ids.add(request.attempt_id)
        finished.extend(request.attempt_id for request in engine.step().finished)
        assert engine.used_tokens <= 300
    finished.extend(run_until_idle(engine))
    assert sorted(finished) == sorted(submitted_ids)
    assert engine.preempted_count > 0


def test_cached_prefix_needs_no_second_prefill_and_is_dropped_under_pressure():
    hashes = hash_prefixes("x" * 640)
    model = EngineModel(kv_capacity_tokens=400, prefill_budget_tokens=20)
    engine = BatchEngine(model)
    engine.submit(make_generation("a", prompt_tokens=160, hashes=hashes))
    steps_without_cache = count_steps_until_idle(engine)
    engine.submit(make_generation("b", prompt_tokens=160, hashes=hashes))
    assert count_steps_until_idle(engine) < steps_without_cache
    added, _ = engine.cache.pop_changes()
    assert added == hashes
    engine.submit(make_generation("c", prompt_tokens=350))
    run_until_idle(engine)
    assert engine.cache.pop_changes()[1]


def count_steps_until_idle(engine):
    steps = 0
    while not engine.is_idle:
        engine.step()
        steps += 1
    return steps


def test_cancel_frees_memory_and_a_request_that_can_never_fit_is_refused():
    engine = BatchEngine(EngineModel(kv_capacity_tokens=100))
    engine.submit(make_generation("a", prompt_tokens=50, length=40))
    engine.step()
    assert engine.used_tokens > 0
    assert engine.cancel("a")
    assert not engine.cancel("a")
    assert engine.used_tokens == 0
    assert not engine.can_accept(make_generation("b", prompt_tokens=80, length=40))


def test_prefix_hashes_chain_whole_blocks():
    long = "y" * 200
    assert hash_prefixes(long) == hash_prefixes(long + "tail")[:3]
    assert len(hash_prefixes(long)) == 3
    assert hash_prefixes("z" + long[1:])[1] != hash_prefixes(long)[1]
    assert expected_text("p", 4) == expected_text("p", 9)[: len(" xxxx" * 4)]
