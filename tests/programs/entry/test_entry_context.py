"""Tests how installed views and leases affect waiting and running calls."""

import random

import eventlet
import pytest

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.clock import SystemClock
from chestnutvale.membership.endpoint_notices import EndpointNotice, Incarnation
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.programs.entry.admission_gate import AdmissionGate
from chestnutvale.programs.entry.context import AttemptReport, CallRequest
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.exceptions import EndlessAnswerError
from chestnutvale.programs.entry.group_router import GroupRouter
from chestnutvale.routing.const import (
    ENDLESS_ANSWERS_TO_PAUSE,
    ISOLATION_CONFIRMATION_S,
    ISOLATION_ENDPOINTS,
    MIN_ENDLESS_ANSWER_PAUSE_S,
)
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.configuration_pb2 import Service, Text, Workspace
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.membership_pb2 import Load
from chestnutvale.schema.peer_pb2 import ControlView, GroupLoad, GroupView
from tests.programs.entry.test_group_router import ManualClock


class FakeCommitClient:
    """A commit client that only accepts the leader; the tests commit nothing."""

    def set_leader(self, control_id):
        self.leader = control_id


def make_context(clock):
    rng = random.Random(1)
    view = EntryView(lease_s=100.0)
    gate = AdmissionGate(AdmissionController(rng), clock)
    router = GroupRouter(view, Selector(rng), gate.predicted_tokens, clock)
    context = EntryContext(
        "e1", "i1", view, gate, router, FakeCommitClient(), clock, rng
    )
    return context, view, gate


def make_view(version, serving, reason="x"):
    group = Group(group_id="g1", service="llm", epoch=1)
    text = Text(number=1)
    text.services["llm"].CopyFrom(Service(kind="model", groups=1, hosts_per_group=1))
    text.workspaces["w"].CopyFrom(Workspace(weight=1))
    return ControlView(
        nonce=version,
        source="s",
        term=1,
        view_version=version,
        whole=True,
        configuration_number=1,
        text=text,
        groups=[
            GroupView(group=group, serving=serving, reason="" if serving else reason)
        ],
        loads=[GroupLoad(group_id="g1", load=Load(kv_capacity_tokens=400))],
    )


def make_call(number):
    return CallRequest(f"r{number}", "w", "llm", "normal", b"", 20, "", 500.0)


def receive_view(context, view, message, clock):
    view.record_report_sent(message.nonce, clock.now_s())
    view.install_view(message, clock.now_s())
    context.install(message, "c1")


def test_waiting_calls_are_refused_when_no_group_serves():
    clock = ManualClock()
    context, view, gate = make_context(clock)
    receive_view(context, view, make_view(1, serving=True), clock)
    tickets = [
        gate.offer(CallRequest(f"r{n}", "w", "llm", "normal", b"", 200, "", 500.0))
        for n in range(6)
    ]
    assert any(ticket.decision_event.ready() for ticket in tickets)
    waiting = [ticket for ticket in tickets if not ticket.decision_event.ready()]
    assert waiting
    receive_view(context, view, make_view(2, serving=False), clock)
    assert all(ticket.decision_event.ready() for ticket in waiting)
    refusals = [ticket.wait() for ticket in waiting]
    assert {refusal.code for refusal in refusals} == {"no_capacity"}
    assert all(refusal.retry_after_s > 0 for refusal in refusals)


class FakeAttempt:
    """An attempt that records whether it was aborted."""

    def __init__(self):
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True


@pytest.mark.parametrize(
    ("reason", "is_reported"),
    [
        ("member h1 is missing", True),
        ("member h1 was restarted", True),
        ("member missing-1 is leaving", False),
        ("the group is draining", False),
        ("the data centre is missing is evacuated", False),
    ],
)
def test_view_that_calls_a_member_lost_ends_no_attempt(reason, is_reported):
    # Guards against streams that are cut at all entries while announcements are late.
    clock = ManualClock()
    context, view, _ = make_context(clock)
    receive_view(context, view, make_view(1, serving=True), clock)
    attempt, reports = FakeAttempt(), []
    context.running.add("g1", 1, attempt, lambda *report: reports.append(report))
    receive_view(context, view, make_view(2, serving=False, reason=reason), clock)
    assert not attempt.is_aborted
    assert bool(reports) is is_reported
    assert sum(context.lost_group_reports.values()) == is_reported


def test_dissolved_group_ends_no_attempt():
    # Guards against streams that are cut before their endpoint has got its order.
    clock = ManualClock()
    context, view, _ = make_context(clock)
    receive_view(context, view, make_view(1, serving=True), clock)
    attempt, reports = FakeAttempt(), []
    context.running.add("g1", 1, attempt, lambda *report: reports.append(report))
    message = ControlView(nonce=2, source="s", term=1, view_version=2, base_version=1)
    message.removed_group_ids.append("g1")
    receive_view(context, view, message, clock)
    assert not attempt.is_aborted
    assert len(reports) == 1


def test_view_of_an_older_version_reports_no_group_as_lost():
    clock = ManualClock()
    context, view, _ = make_context(clock)
    receive_view(context, view, make_view(3, serving=True), clock)
    attempt, reports = FakeAttempt(), []
    context.running.add("g1", 1, attempt, lambda *report: reports.append(report))
    old = make_view(2, serving=False, reason="member h1 is missing")
    old.removed_group_ids.append("g1")
    receive_view(context, view, old, clock)
    assert not attempt.is_aborted
    assert reports == []


def test_evacuation_stops_sending_and_keeps_streams():
    # Guards against requests at the moment of sending, and against cut streams.
    clock = ManualClock()
    context, view, gate = make_context(clock)
    message = make_view(1, serving=True)
    message.groups[0].group.members.add(host_id="h", boot_id="b", address="a:1")
    receive_view(context, view, message, clock)
    attempt = FakeAttempt()
    context.running.add("g1", 1, attempt)
    endpoint = Incarnation("h", "b")
    assert context.may_send(endpoint)
    stop = ControlView(nonce=2, source="s", term=1, view_version=2, base_version=1)
    stop.groups.add(group=message.groups[0].group, evacuated=True, reason="evacuated")
    receive_view(context, view, stop, clock)
    assert not context.may_send(endpoint)
    assert context.choose_group(make_call(1), frozenset(), "") is None
    assert not attempt.is_aborted
    # With all data centres evacuated, calls are refused at once.
    refusal = gate.offer(make_call(2)).wait()
    assert refusal.code == "no_capacity"
    assert refusal.retry_after_s > 0
    finish = ControlView(nonce=3, source="s", term=1, view_version=3, base_version=2)
    finish.groups.add(group=message.groups[0].group, serving=True)
    receive_view(context, view, finish, clock)
    assert context.may_send(endpoint)
    assert context.choose_group(make_call(3), frozenset(), "")


def test_streams_of_an_evacuated_group_hold_no_places_elsewhere():
    # Guards against places of the other data centres that stay empty meanwhile.
    clock = ManualClock()
    context, view, gate = make_context(clock)
    message = make_view(1, serving=True)
    del message.loads[:]
    message.text.services["llm"].limits.max_running_requests = 20
    message.groups.add(group=Group(group_id="g2", service="llm", epoch=2), serving=True)
    receive_view(context, view, message, clock)
    tickets = [gate.offer(make_call(number)) for number in range(60)]
    admitted = [item for item in tickets if item.decision_event.ready()]
    waiting = [item for item in tickets if item not in admitted]
    assert len(admitted) > 40
    assert waiting
    attempts = [FakeAttempt() for _ in admitted]
    for number, attempt in enumerate(attempts):
        context.running.add(f"g{1 + number % 2}", 1 + number % 2, attempt)
    stop = ControlView(nonce=2, source="s", term=1, view_version=2, base_version=1)
    stop.groups.add(group=message.groups[0].group, evacuated=True, reason="evacuated")
    receive_view(context, view, stop, clock)
    assert not any(item.decision_event.ready() for item in waiting)
    # A call that ends at g2 makes room there; one that ends at g1 does not.
    for number, expected in ((0, 0), (1, 1), (2, 1), (3, 2)):
        context.running.remove(attempts[number])
        group_id = f"g{1 + number % 2}"
        context.report_attempt(
            AttemptReport(make_call(number), group_id, 1, "whole", "", None, 0)
        )
        admitted[number].release(0)
        assert sum(item.decision_event.ready() for item in waiting) == expected


def test_stalled_group_does_not_cut_streams_that_cannot_move():
    clock = ManualClock()
    context, view, _ = make_context(clock)
    receive_view(context, view, make_view(1, serving=True), clock)
    attempt = FakeAttempt()
    context.running.add("g1", 1, attempt)
    message = make_view(2, serving=True)
    message.stalled_group_ids.append("g1")
    receive_view(context, view, message, clock)
    assert view.newly_stalled == {"g1"}
    assert not attempt.is_aborted


def test_call_waits_for_first_lease_after_start():
    clock = SystemClock()
    context, view, _ = make_context(clock)
    message = make_view(1, serving=True)
    eventlet.spawn_after(0.1, receive_view, context, view, message, clock)
    started_at_s = clock.now_s()
    assert context.wait_for_first_lease(started_at_s + 1.0)
    assert clock.now_s() - started_at_s < 0.5


def test_wait_for_first_lease_ends_at_deadline():
    clock = SystemClock()
    context, _, _ = make_context(clock)
    started_at_s = clock.now_s()
    assert not context.wait_for_first_lease(started_at_s + 0.1)
    assert clock.now_s() - started_at_s < 0.5


def test_call_does_not_wait_after_lease_was_lost():
    clock = ManualClock()
    context, view, _ = make_context(clock)
    receive_view(context, view, make_view(1, serving=True), clock)
    clock.time_s += 1_000.0
    assert not context.wait_for_first_lease(clock.now_s() + 5.0)


def make_plain_view(count):
    text = Text(number=1)
    text.services["app"].CopyFrom(Service(kind="plain", hosts_per_group=1))
    groups = [
        Group(
            group_id=f"app@h{number}",
            service="app",
            epoch=number,
            plain=True,
            members=[GroupMember(host_id=f"h{number}", boot_id="b1", address="a:1")],
        )
        for number in range(1, count + 1)
    ]
    return ControlView(
        nonce=1,
        source="s",
        term=1,
        view_version=1,
        whole=True,
        configuration_number=1,
        text=text,
        groups=[GroupView(group=group, serving=True) for group in groups],
    )


def make_plain_context(count):
    clock = ManualClock()
    context, view, gate = make_context(clock)
    receive_view(context, view, make_plain_view(count), clock)
    return context, gate, clock


def make_plain_call(number):
    return CallRequest(f"r{number}", "w", "app", "normal", b"", 0, "", 500.0)


def test_a_departure_is_passed_on_once_and_never_chosen_again():
    context, _, clock = make_plain_context(2)
    passed_on = []
    context.on_departure = lambda: passed_on.append(clock.now_s())
    leaving = Incarnation("h1", "b1")
    context.record_notice(leaving, EndpointNotice(is_leaving=True))
    context.record_notice(leaving, EndpointNotice(is_leaving=True))
    assert len(passed_on) == 1
    chosen = {
        context.choose_group(make_plain_call(n), frozenset(), "").group.group_id
        for n in range(20)
    }
    assert chosen == {"app@h2"}


def test_a_paused_endpoint_is_no_last_resort():
    context, gate, _ = make_plain_context(1)
    context.record_notice(Incarnation("h1", "b1"), EndpointNotice(pause_s=5.0))
    assert context.choose_group(make_plain_call(1), frozenset(), "") is None
    refusal = gate.offer(make_plain_call(2)).wait()
    assert refusal.code == "no_capacity"
    assert 5.0 <= refusal.retry_after_s <= 10.0
    assert context.earliest_return_s("app") == pytest.approx(5.0)


def test_waiting_calls_are_refused_when_the_last_endpoint_pauses():
    context, gate, _ = make_plain_context(1)
    tickets = [gate.offer(make_plain_call(n)) for n in range(100)]
    waiting = [ticket for ticket in tickets if not ticket.decision_event.ready()]
    assert waiting
    context.record_notice(Incarnation("h1", "b1"), EndpointNotice(pause_s=5.0))
    assert all(ticket.wait().code == "no_capacity" for ticket in waiting)


def test_capacity_returns_with_the_end_of_a_pause():
    context, gate, clock = make_plain_context(1)
    context.record_notice(Incarnation("h1", "b1"), EndpointNotice(pause_s=0.05))
    clock.time_s += 0.1
    eventlet.sleep(0.1)
    assert gate.offer(make_plain_call(1)).wait() is None


def report_plain_attempt(context, number, result, code=""):
    report = AttemptReport(
        make_plain_call(number), "app@h1", 1, result, code, first_byte_ms=None, tokens=0
    )
    context.report_attempt(report)


def test_endpoint_that_sends_endless_answers_is_not_tried_for_a_while():
    # Guards against a faulty endpoint that takes the memory and time of each call.
    context, gate, clock = make_plain_context(1)
    for number in range(ENDLESS_ANSWERS_TO_PAUSE):
        assert context.may_send(Incarnation("h1", "b1"))
        report_plain_attempt(context, number, "broken", EndlessAnswerError.code)
    assert not context.may_send(Incarnation("h1", "b1"))
    assert gate.offer(make_plain_call(9)).wait().code == "no_capacity"
    clock.time_s += MIN_ENDLESS_ANSWER_PAUSE_S
    assert context.may_send(Incarnation("h1", "b1"))


def test_broken_and_whole_answers_pause_no_endpoint():
    context, _, _ = make_plain_context(1)
    for number in range(2 * ENDLESS_ANSWERS_TO_PAUSE):
        report_plain_attempt(context, 2 * number, "broken", EndlessAnswerError.code)
        report_plain_attempt(context, 2 * number + 1, "whole")
        report_plain_attempt(context, 2 * number + 1, "broken", "endpoint_broken")
    assert context.may_send(Incarnation("h1", "b1"))


def test_the_dump_lists_notices():
    context, _, _ = make_plain_context(2)
    context.record_notice(Incarnation("h1", "b1"), EndpointNotice(pause_s=5.0))
    assert [item["host"] for item in context.describe_notices()] == ["h1"]


def test_call_waits_for_first_group_while_hosts_are_discovered():
    clock = SystemClock()
    context, view, _ = make_context(clock)
    early = make_view(1, serving=False)
    early.discovering = True
    receive_view(context, view, early, clock)
    late = make_view(2, serving=True)
    eventlet.spawn_after(0.1, receive_view, context, view, late, clock)
    started_at_s = clock.now_s()
    context.wait_for_groups("llm", started_at_s + 1.0)
    assert context.serving_groups("llm", "") == ["g1"]
    assert clock.now_s() - started_at_s < 0.5


@pytest.mark.parametrize("is_discovering", [True, False])
def test_wait_for_groups_ends_with_discovery_or_deadline(is_discovering):
    clock = SystemClock()
    context, view, _ = make_context(clock)
    message = make_view(1, serving=False)
    message.discovering = is_discovering
    receive_view(context, view, message, clock)
    started_at_s = clock.now_s()
    context.wait_for_groups("llm", started_at_s + 0.2)
    waited_s = clock.now_s() - started_at_s
    assert waited_s < 0.1 or (is_discovering and waited_s < 0.4)


def test_calls_stay_if_no_other_entry_reaches_the_endpoints():
    clock = ManualClock()
    context, view, _ = make_context(clock)
    for number in range(ISOLATION_ENDPOINTS + 1):
        context.record_connect(f"10.0.0.{number}:1", is_open=False)
        clock.time_s += ISOLATION_CONFIRMATION_S
    assert context.is_isolated
    receive_view(context, view, make_view(1, serving=True), clock)
    assert context.reaches_no_endpoint
    assert not context.is_isolated
    message = make_view(2, serving=True)
    message.peers.append("10.0.0.9:2")
    receive_view(context, view, message, clock)
    assert context.is_isolated
    assert context.peers == ["10.0.0.9:2"]


def test_dissolution_that_several_views_report_counts_once():
    # A view repeats what the entry has not yet confirmed.
    clock = ManualClock()
    context, view, _ = make_context(clock)
    receive_view(context, view, make_view(1, serving=True), clock)
    context.running.add("g1", 1, FakeAttempt(), lambda report: None)
    for version in (2, 3):
        message = ControlView(
            nonce=version, source="s", term=1, view_version=version, base_version=1
        )
        message.removed_group_ids.append("g1")
        receive_view(context, view, message, clock)
    assert sum(context.lost_group_reports.values()) == 1


def test_group_that_a_whole_view_leaves_out_is_reported_as_dissolved():
    clock = ManualClock()
    context, view, _ = make_context(clock)
    receive_view(context, view, make_view(1, serving=True), clock)
    reports = []
    context.running.add("g1", 1, FakeAttempt(), reports.append)
    whole = make_view(2, serving=True)
    del whole.groups[:], whole.loads[:]
    receive_view(context, view, whole, clock)
    assert view.group("g1") is None
    assert len(reports) == 1
