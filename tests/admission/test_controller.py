"""Tests of the admission controller."""

from chestnutvale.admission.messages import (
    Admit,
    Queue,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)


def test_admits_up_to_the_capacity_and_queues_the_rest(make_controller, make_request):
    controller = make_controller(capacity=1000)
    effects = [controller.offer(make_request(str(n)), 0.0) for n in range(6)]
    assert [type(e[-1]) for e in effects] == [Admit] * 5 + [Queue]
    assert controller.release("0", 100, 1.0) == [Admit("5", 200)]


def test_urgent_goes_first(make_controller, make_request):
    controller = make_controller(capacity=200)
    controller.offer(make_request("running"), 0.0)
    controller.offer(make_request("normal"), 0.0)
    controller.offer(make_request("urgent", priority="urgent"), 0.0)
    assert controller.release("running", 100, 1.0) == [Admit("urgent", 200)]


def test_full_queue_evicts_from_the_longest_queue(make_controller, make_request):
    limits = ServiceLimits(queue_requests=4)
    controller = make_controller(capacity=200, limits=limits)
    for n in range(5):
        controller.offer(make_request(f"a{n}"), 0.0)
    effects = controller.offer(make_request("b", workspace="b"), 0.0)
    assert effects[0].request_id == "a4"
    assert effects[0].code == "queue_full"
    assert effects[1] == Queue("b")


def test_withdrawn_request_frees_its_reservation(make_controller, make_request):
    controller = make_controller(capacity=200)
    controller.offer(make_request("one"), 0.0)
    controller.offer(make_request("two"), 0.0)
    assert controller.withdraw("one", 1.0) == [Admit("two", 200)]
    assert controller.withdraw("two", 1.0) == []
    assert controller.demand() == []


def test_no_group_refuses_waiting_and_new_requests(make_controller, make_request):
    controller = make_controller(capacity=200)
    controller.offer(make_request("one"), 0.0)
    controller.offer(make_request("two"), 0.0)
    controller.set_capacity("llm", ServiceCapacity(0, 0), 1.0)
    (refusal,) = controller.tick(1.0)
    assert isinstance(refusal, Refuse)
    assert refusal.request_id == "two"
    assert controller.offer(make_request("three"), 1.0)[0].code == "no_capacity"


def test_second_request_under_one_id_is_refused(make_controller, make_request):
    controller = make_controller()
    controller.offer(make_request("one"), 0.0)
    assert controller.offer(make_request("one"), 0.0)[0].code == "duplicate_request"
    assert controller.release("one", 10, 1.0) == []


def test_predicts_from_what_was_used(make_controller, make_request):
    controller = make_controller(capacity=100_000)
    for n in range(40):
        controller.offer(make_request(str(n), max_tokens=8000), 0.0)
        controller.release(str(n), 50, 1.0)
    (effect,) = controller.offer(make_request("last", max_tokens=8000), 2.0)
    assert 150 <= effect.predicted_tokens <= 165


def test_urgent_is_admitted_before_queued_batch(make_controller, make_request):
    controller = make_controller(capacity=2000)
    for n in range(20):
        controller.offer(make_request(f"batch{n}", priority="batch"), 0.0)
    urgent = make_request("urgent", priority="urgent")
    assert controller.offer(urgent, 1.0) == [Admit("urgent", 200)]
    second = make_request("second", priority="urgent")
    assert controller.offer(second, 1.0) == [Queue("second")]
    assert controller.release("batch0", 100, 2.0) == [Admit("second", 200)]


def test_urgent_evicts_batch_of_its_workspace(make_controller, make_request):
    limits = ServiceLimits(workspace_queue_requests=2)
    controller = make_controller(capacity=200, limits=limits)
    for n in range(3):
        controller.offer(make_request(f"batch{n}", priority="batch"), 0.0)
    urgent = make_request("urgent", priority="urgent")
    refusal, queued = controller.offer(urgent, 1.0)
    assert (refusal.request_id, refusal.code) == ("batch2", "queue_full")
    assert queued == Queue("urgent")


def test_lost_load_reports_do_not_turn_tokens_into_slots(make_controller, make_request):
    controller = make_controller(capacity=10_000)
    for n in range(20):
        controller.offer(make_request(str(n)), 0.0)
    controller.set_capacity("llm", ServiceCapacity(1, 0), 1.0)
    assert controller.offer(make_request("next"), 1.0) == [Admit("next", 200)]


def test_prompt_larger_than_any_group_is_refused_for_good(
    make_controller, make_request
):
    controller = make_controller()
    capacity = ServiceCapacity(2, 10_000, largest_group_tokens=5000)
    controller.set_capacity("llm", capacity, 0.0)
    (refusal,) = controller.offer(make_request("one", prompt_tokens=5001), 0.0)
    assert (refusal.code, refusal.retry_after_s) == ("request_too_large", 0.0)


def test_waits_end_while_the_answer_can_still_begin_in_time(
    make_controller, make_request
):
    """A call that starts just before its target begins after it."""
    controller = make_controller(capacity=200)
    for number in range(40):
        name = f"past-{number}"
        controller.offer(make_request(name), 0.0)
        controller.observe_first_event("llm", 0.07)
        controller.release(name, 100, 0.4)
    controller.offer(make_request("running"), 1.0)
    start = {"start_by_s": 1.5, "target_s": 1.5}
    assert controller.offer(make_request("a", **start), 1.0) == [Queue("a")]
    assert controller.tick(1.4) == []
    (refusal,) = controller.tick(1.45)
    assert refusal.code == "deadline_unreachable"
    late = {"start_by_s": 2.5, "target_s": 1.5}
    assert controller.offer(make_request("b", **late), 2.0) == [Queue("b")]
    assert controller.tick(2.45) == []


def test_an_entry_that_has_just_started_refuses_by_no_estimate(
    make_controller, make_request
):
    """The default of the time that places are held refuses all calls after a start."""
    controller = make_controller(capacity=400)
    patience = {"start_by_s": 0.2, "target_s": 0.2}
    offered = [
        controller.offer(make_request(str(number), **patience), 0.0)[-1]
        for number in range(6)
    ]
    kinds = [type(effect) for effect in offered]
    assert kinds == [Admit, Admit, Queue, Queue, Refuse, Refuse]
