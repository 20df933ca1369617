"""Tests of the lease log, the reports and the report interval of an entry."""

import math
import random
from types import SimpleNamespace

import eventlet
import logbook
import pytest
from eventlet.green import socket

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.configuration.lookup import hash_key
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.entry.const import STALL_CHECK_INTERVAL_S
from chestnutvale.programs.entry.control_link import ControlLink
from chestnutvale.programs.entry.demand_exchange import DemandExchange
from chestnutvale.programs.entry.running_attempts import RunningAttempts
from chestnutvale.routing.stall_detection import StallAggregator, StallDetector
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group
from chestnutvale.schema.membership_pb2 import Announcement
from chestnutvale.schema.peer_pb2 import ControlView, CrashSuspicion, Envelope
from chestnutvale.schema.settings_pb2 import EntrySettings
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    chunk,
    event,
    open_call,
    routed_entry,
    stream_head,
)
from tests.programs.entry.test_entry_context import make_context
from tests.programs.entry.test_group_router import ManualClock

CONTROL = "control-1"


class FakeTransport:
    """Collects reports; the test passes views to the handlers."""

    def __init__(self):
        self.reports = []
        self.handlers = {}

    def register_handler(self, body, handler):
        self.handlers[body] = handler

    def send(self, peer_id, address, body, message, expiry_ms):
        self.reports.append(message)


@pytest.fixture
def entry():
    settings = EntrySettings(entry_id="entry-1", report_interval_ms=100)
    settings.controls.add(id=CONTROL, address="127.0.0.1:1")
    clock, transport = ManualClock(), FakeTransport()
    rng = random.Random(1)
    collector = AnnouncementCollector()
    suspicions = SuspicionTracker(ban_after=1)
    running, stall_detector = RunningAttempts(), StallDetector()
    link = ControlLink(
        settings,
        transport,
        EntryView(),
        collector,
        suspicions,
        CacheEventQueue(),
        DemandExchange(AdmissionController(rng)),
        clock,
        rng,
        running,
        stall_detector,
    )
    return SimpleNamespace(
        link=link,
        transport=transport,
        clock=clock,
        collector=collector,
        suspicions=suspicions,
        running=running,
        stall_detector=stall_detector,
    )


def answer_last_report(entry, control_id, term):
    """Answer the last report with an empty view, as a leader does."""
    nonce = entry.transport.reports[-1].nonce
    view = ControlView(
        term=term, source=control_id, nonce=nonce, view_version=1, whole=True
    )
    envelope = Envelope(sender_id=control_id, control_view=view)
    entry.transport.handlers["control_view"](envelope)


def get_lease_changes(handler):
    return [
        (record.extra["held"], record.extra["control"])
        for record in handler.records
        if record.message == "serving_lease"
    ]


def test_lease_changes_are_logged_once(entry):
    with logbook.TestHandler() as handler:
        entry.link._report_once()
        assert get_lease_changes(handler) == []
        answer_last_report(entry, CONTROL, term=1)
        entry.link._report_once()
        assert get_lease_changes(handler) == [(True, CONTROL)]
        entry.clock.time_s += 3.0
        for _ in range(3):
            entry.link._report_once()
    assert get_lease_changes(handler) == [(True, CONTROL), (False, CONTROL)]


def test_new_leader_receives_hosts_that_went_silent_before(entry):
    announcement = Announcement(
        host_id="h1",
        boot_id="b1",
        sequence=1,
        address="10.0.0.1:80",
        data_centre="a",
        fabric_domain="f",
        kind="engine",
        accelerators=8,
    )
    entry.collector.announce(announcement, entry.clock.now_s())
    entry.link._report_once()
    answer_last_report(entry, CONTROL, term=1)
    entry.link._report_once()
    entry.clock.time_s += 2.5
    entry.link._report_once()
    assert not entry.transport.reports[-1].heard
    answer_last_report(entry, "control-2", term=2)
    entry.link._report_once()
    table = MembershipTable(detection_timeout_s=3.0)
    table.merge_entry_report("entry-1", entry.transport.reports[-1].heard, 10.0)
    assert table.host("h1").announcement.fabric_domain == "f"
    assert table.is_fresh("h1", 10.4)
    assert not table.is_fresh("h1", 10.6)


def test_entry_without_lease_reports_more_often(entry):
    entry.link._settings.report_interval_ms = 1_000
    assert entry.link.report_interval_s() <= 0.2
    entry.link._report_once()
    answer_last_report(entry, CONTROL, term=1)
    assert entry.link.report_interval_s() == 1.0
    entry.clock.time_s += 3.0
    assert entry.link.report_interval_s() <= 0.2


def make_suspicion(entry):
    return CrashSuspicion(
        fingerprint=1, group_id="g", crashed_at_unix_ms=entry.clock.unix_ms()
    )


@pytest.mark.parametrize("serving", [True, False])
def test_group_that_stops_serving_is_reported_on_at_once(entry, serving):
    # Guards against a lost group whose hosts are idle until the next usual report.
    entry.link._report_once()
    answer_last_report(entry, CONTROL, term=1)
    entry.link._report_once()
    view = ControlView(term=1, source=CONTROL, base_version=1, view_version=2)
    view.groups.add(group=Group(group_id="g"), serving=serving)
    entry.transport.handlers["control_view"](
        Envelope(sender_id=CONTROL, control_view=view)
    )
    assert entry.link._report_trigger.ready() == (not serving)


def test_evidence_from_a_follower_is_merged(entry):
    entry.link._report_once()
    view = ControlView(suspicions=[make_suspicion(entry)])
    envelope = Envelope(sender_id="control-2", control_view=view)
    entry.transport.handlers["control_view"](envelope)
    assert len(entry.suspicions.evidence.crashes_of(1)) == 1


def test_new_leader_gets_the_evidence_of_older_bans(entry):
    entry.link._report_once()
    answer_last_report(entry, CONTROL, term=1)
    entry.suspicions.merge([make_suspicion(entry)], entry.clock.unix_ms())
    entry.clock.time_s += 60.0
    entry.link._report_once()
    assert not entry.transport.reports[-1].suspicions
    answer_last_report(entry, "control-2", term=2)
    entry.link._report_once()
    assert [s.fingerprint for s in entry.transport.reports[-1].suspicions] == [1]


def test_entry_that_lost_its_lease_asks_for_a_whole_view(entry):
    entry.link._report_once()
    answer_last_report(entry, CONTROL, term=1)
    entry.link._report_once()
    assert entry.transport.reports[-1].view_source == CONTROL
    entry.clock.time_s += 3.0
    entry.link._report_once()
    assert entry.transport.reports[-1].view_source == ""


@pytest.mark.parametrize("has_arrived", [True, False])
@pytest.mark.parametrize("step", ["report", "check"])
def test_group_whose_events_wait_to_be_read_is_not_reported_as_stalled(
    entry, step, has_arrived
):
    stream, endpoint = socket.socketpair()

    def read_stream():
        stream.recv(1)
        entry.stall_detector.record_events("r.1", entry.clock.now_s())

    entry.stall_detector.record_sent("r.1", "g1", entry.clock.now_s())
    entry.running.add("g1", 1, object())
    task = eventlet.spawn(read_stream)
    eventlet.sleep(0)
    entry.clock.time_s += 2.0
    if has_arrived:
        endpoint.sendall(b"x")
    if step == "check":
        entry.link._check_stalls()
        is_stalled = entry.link.stalls == 1
    else:
        entry.link.trigger_report()
        entry.link._report_once()
        is_stalled = entry.transport.reports[-1].running[0].stalled
    task.kill()
    assert is_stalled is not has_arrived


@pytest.mark.parametrize("seed", range(20))
def test_stalls_are_detected_within_one_check_interval(entry, seed):
    """Else a call stays at a stalled group for longer than the checks promise."""
    rng = random.Random(seed)
    detector, clock = entry.stall_detector, entry.clock
    check_at_s, stalled_since_s = clock.now_s(), None
    next_event_s, active = math.inf, False
    for step in range(2_000):
        clock.time_s += 0.005
        now_s = clock.now_s()
        if not active and rng.random() < 0.01:
            detector.record_sent(f"r.{step}", "g1", now_s)
            active, next_event_s = f"r.{step}", now_s + rng.uniform(0.0, 1.5)
        elif active and now_s >= next_event_s:
            detector.record_events(active, now_s)
            next_event_s = now_s + rng.uniform(0.0, 0.6)
            if rng.random() < 0.2:
                detector.forget_attempt(active)
                active = False
        is_stalled = bool(detector.stalled_groups(now_s))
        if not is_stalled:
            stalled_since_s = None
        elif stalled_since_s is None:
            stalled_since_s = now_s
        if now_s >= check_at_s:
            entry.link._check_stalls()
            check_at_s = now_s + entry.link.find_stall_pause_s()
        if stalled_since_s is not None and not entry.link._reported_stalled:
            assert now_s - stalled_since_s <= STALL_CHECK_INTERVAL_S + 0.006
    assert entry.link.stalls


def test_idle_entry_checks_for_stalls_less_often_than_four_times_a_second(entry):
    """An idle entry must stay cheap, as there are more than a hundred of them."""
    assert entry.link.find_stall_pause_s() > 0.25


def test_text_is_in_force_as_a_whole_although_a_view_lacks_its_base():
    # Guards against calls that find their route in one text and their key in another.
    clock = ManualClock()
    context, entry_view, gate = make_context(clock)
    link = ControlLink(
        EntrySettings(entry_id="entry-1"),
        FakeTransport(),
        entry_view,
        AnnouncementCollector(),
        context.suspicions,
        CacheEventQueue(),
        DemandExchange(gate.controller),
        clock,
        random.Random(1),
    )
    link.add_view_listener(context.install)
    link.on_text_change = context.install_text
    text = Text(number=2)
    text.workspaces["w"].key_sha256.append(hash_key("new"))
    view = ControlView(
        term=1, source=CONTROL, view_version=9, base_version=8, text=text
    )
    view.configuration_number = text.number
    link._receive_view(Envelope(sender_id=CONTROL, control_view=view))
    assert context.text.number == context.lookup.number == 2
    assert context.authenticate({"HTTP_AUTHORIZATION": "Bearer new"}) == "w"


def test_group_whose_only_stream_is_held_is_not_reported_as_working(entry):
    # Guards against a stall or a lost member that a held attempt hides.
    silent, late = ScriptedEndpoint(), ScriptedEndpoint()

    def send_one_event_and_stall(sock, request):
        sock.sendall(stream_head() + chunk(event(1)))
        eventlet.sleep(3.0)

    silent.default = send_one_event_and_stall
    late.default = lambda sock, request: eventlet.sleep(3.0)
    with routed_entry(silent, late) as routed:
        routed.context.running = entry.running
        routed.context.stall_detector = entry.stall_detector
        sock = open_call(routed.address, "/gen/x", b"p", X_Model="m")
        eventlet.sleep(1.5)
        assert late.requests
        now_s = entry.clock.time_s = routed.context.clock.now_s()
        entry.link._report_once()
        sock.close()
    (load,) = (x for x in entry.transport.reports[-1].running if x.group_id == "gpu1")
    aggregator = StallAggregator()
    aggregator.record_report("entry-2", {"gpu1": 1.5}, frozenset({"gpu1"}), now_s)
    aggregator.record_report(
        "entry-1",
        {"gpu1": load.silence_ms / 1_000},
        frozenset({"gpu1"} if load.stalled else ()),
        now_s,
        frozenset({"gpu1"} if load.unheard else ()),
    )
    assert aggregator.stalled_groups(now_s) == {"gpu1"}
    assert aggregator.active_groups(now_s) == frozenset()
