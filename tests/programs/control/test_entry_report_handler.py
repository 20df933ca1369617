"""Handling of entry reports: host freshness and which reports get answers."""

from types import SimpleNamespace

import pytest

from chestnutvale.membership.announcement_content import content_digest
from chestnutvale.membership.group_attempts import GroupAttempts
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.programs.control.const import DEMAND_VIEWS_PER_S
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.evacuations_pb2 import SetEvacuation
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup
from chestnutvale.schema.membership_pb2 import Announcement, Heard, Holding, Load
from chestnutvale.schema.peer_pb2 import (
    CrashSuspicion,
    Departure,
    EndpointLimit,
    EntryReport,
    Envelope,
    GroupLoad,
    WorkspaceDemand,
)
from chestnutvale.schema.raft_pb2 import Members


class Transport:
    """Records handlers and sent messages."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def register_handler(self, body, handler):
        self.handlers[body] = handler

    def send(self, recipient_id, address, body, message, **options):
        self.sent.append((recipient_id, body, message))
        return True


class HandlerFixture:
    """An entry report handler with a controlled clock."""

    def __init__(self):
        self.now_s = 100.0
        self.has_lease = True
        self.transport = Transport()
        self.table = MembershipTable(detection_timeout_s=3.0)
        self.state = ControlState()
        self.log = log = SimpleNamespace(
            is_leader=True,
            term=1,
            applied_index=1,
            has_applied_earlier_terms=True,
            leader_id="c1",
            members=Members(voters=["c1#1"], addresses={"c1#1": "10.0.0.1:1"}),
            has_lease=lambda now_s: self.has_lease,
        )
        clock = SimpleNamespace(now_s=lambda: self.now_s, unix_ms=lambda: 1)
        self.handler = EntryReportHandler(
            self.transport,
            log,
            self.state,
            self.table,
            ViewPublisher("life"),
            clock,
        )
        # Unless a test begins another term, this control has led for long.
        self.handler.begin_term(0.0)

    def report(self, sent_at_s, heard=(), nonce=1, entry_id="e1", **fields):
        report = EntryReport(
            reply_address="10.0.0.1:1",
            nonce=nonce,
            sent_at_ms=round(sent_at_s * 1_000),
            heard=heard,
            **fields,
        )
        envelope = Envelope(
            sender_id=entry_id, sender_incarnation="i1", entry_report=report
        )
        self.transport.handlers["entry_report"](envelope)


@pytest.fixture
def handler_fixture():
    return HandlerFixture()


def test_a_delayed_report_does_not_make_a_host_fresh(handler_fixture):
    handler_fixture.report(7.0)
    handler_fixture.now_s += 8.0
    # The entry sent it 0.5 s after the first report, but it arrived 7.5 s late.
    handler_fixture.report(
        7.5, [Heard(host_id="a", boot_id="b", sequence=1, age_ms=100)]
    )
    assert not handler_fixture.table.is_fresh("a", handler_fixture.now_s)
    handler_fixture.report(
        15.0, [Heard(host_id="a", boot_id="b", sequence=2, age_ms=100)]
    )
    assert handler_fixture.table.is_fresh("a", handler_fixture.now_s)


def test_pause_of_streams_and_announcements_does_not_lose_a_member(handler_fixture):
    last_announcement = Heard(host_id="a", boot_id="b", sequence=1, age_ms=900)
    handler_fixture.report(0.0, [last_announcement])
    for silence_s, is_lost in ((0.5, False), (1.1, False), (1.8, False), (2.1, True)):
        handler_fixture.now_s = 100.0 + silence_s
        stalled = GroupLoad(
            group_id="g", silence_ms=round(1_000 * silence_s), stalled=True
        )
        handler_fixture.report(silence_s, running=[stalled])
        found = handler_fixture.table.is_silent_in_stalled_group(
            "a", "g", handler_fixture.now_s
        )
        assert found == is_lost


def test_a_departure_that_an_entry_learned_holds_at_the_control(handler_fixture):
    content = Announcement(host_id="a", boot_id="b")
    heard = [Heard(host_id="a", boot_id="b", sequence=1, changed=content)]
    handler_fixture.report(1.0, heard)
    departures = [Departure(host_id="a", boot_id="b")]
    handler_fixture.report(1.5, departures=departures)
    assert handler_fixture.table.host("a").announcement.leaving
    heard[0].sequence = 2
    handler_fixture.report(2.0, heard)
    assert handler_fixture.table.host("a").announcement.leaving


class ServingFixture(HandlerFixture):
    """A group that serves, and two entries that have got its first view."""

    def __init__(self):
        super().__init__()
        group = Group(group_id="g", service="s", phase="forming", pooled=True)
        group.members.add(host_id="a", boot_id="b", address="10.0.0.2:1")
        self.put_group(group)
        group.phase = "serving"
        self.put_group(group)
        holding = Holding(group_id="g", epoch=1, phase="open")
        content = Announcement(host_id="a", boot_id="b", opens=True, holding=holding)
        self.heard = [Heard(host_id="a", boot_id="b", sequence=1, changed=content)]
        self.report_of("e1", heard=self.heard)
        self.report_of("e2")
        self.group = group

    def put_group(self, group):
        before = self.state.groups.groups.get("g")
        epoch = before.epoch if before is not None else 0
        command = PutGroup(group=group, expected_epoch=epoch)
        assert self.state.groups.put_group(command, 0).outcome == "done"
        self.log.applied_index += 1

    def report_of(self, entry_id, view_version=0, running=0, **fields):
        load = GroupLoad(group_id="g", load=Load(running=running))
        self.report(
            self.now_s,
            entry_id=entry_id,
            view_source="life" if view_version else "",
            view_version=view_version,
            running=[load] if running else [],
            **fields,
        )

    def is_complete(self):
        return self.table.attempts_at("a").is_complete


class DrainFixture(ServingFixture):
    """A group that drains after two entries have got its first view."""

    def __init__(self):
        super().__init__()
        self.group.phase = "draining"
        self.put_group(self.group)
        self.handler.publish_changes()
        self.drain_version = self.handler.view_version


def test_load_is_complete_once_all_entries_know_that_a_group_drains():
    # Guards against a release that cuts the streams of an entry whose view is late.
    fixture = DrainFixture()
    assert fixture.drain_version > 0
    fixture.report_of("e1", fixture.drain_version)
    fixture.report_of("e2", fixture.drain_version - 1)
    assert not fixture.is_complete()
    fixture.report_of("e2", fixture.drain_version)
    assert fixture.is_complete()


def test_attempts_of_a_silent_entry_delay_a_drain_for_a_limited_time():
    fixture = DrainFixture()
    fixture.report_of("e2", fixture.drain_version, running=2)
    for now_s, is_complete in ((104.0, False), (114.9, False), (115.1, True)):
        fixture.now_s = now_s
        fixture.report_of("e1", fixture.drain_version, heard=fixture.heard)
        assert fixture.table.host("a").load.running == 0
        assert fixture.is_complete() == is_complete


def test_callers_wait_for_discovered_groups_unless_all_are_evacuated(handler_fixture):
    # Guards against calls that wait for hosts of a new leader although none may serve.
    fixture = handler_fixture
    fixture.table.extend_detection_timeout(110.0, 100.0)
    for name in ("a", "b"):
        group = Group(group_id=name, service="s", phase="forming", data_centre=name)
        group.members.add(host_id=f"h-{name}", boot_id="b")
        fixture.state.groups.put_group(PutGroup(group=group), 0)
    found = []
    for nonce, name in enumerate(("", "a", "b"), 1):
        fixture.state.evacuations.apply(SetEvacuation(data_centre=name), 1)
        fixture.report(float(nonce), nonce=nonce)
        found.append(fixture.transport.sent[-1][-1].discovering)
    assert found == [True, True, False]


def test_views_count_the_groups_that_a_new_leader_has_yet_to_hear(handler_fixture):
    """Entries take groups whose hosts are not heard yet for lost capacity."""
    fixture = handler_fixture
    fixture.log.term = 2
    for name in ("a", "b"):
        group = Group(group_id=name, service="s", phase="forming", plain=True)
        group.members.add(host_id=f"h-{name}", boot_id="b")
        fixture.state.groups.put_group(PutGroup(group=group), 0)
        formed = fixture.state.groups.groups[name]
        serving = Group()
        serving.CopyFrom(formed)
        serving.phase = "serving"
        change = PutGroup(group=serving, expected_epoch=formed.epoch)
        fixture.state.groups.put_group(change, 0)
    found = []
    content = Announcement(host_id="h-a", boot_id="b")
    heard = Heard(host_id="h-a", boot_id="b", sequence=1, changed=content)
    for nonce, (now_s, hosts) in enumerate(
        ((100.0, []), (100.5, [heard]), (101.5, [])), 1
    ):
        fixture.now_s = now_s
        fixture.report(now_s - 99.0, hosts, nonce=nonce)
        view = fixture.transport.sent[-1][-1]
        found.append([(item.service, item.count) for item in view.awaited_groups])
    # Calls must not wait for a group whose host stays silent.
    assert found == [[("s", 2)], [("s", 1)], []]
    assert view.discovering


def test_new_leader_answers_once_it_has_applied_its_log(handler_fixture):
    """A view without the groups of the log takes all groups from the entries."""
    fixture = handler_fixture
    fixture.log.term = 2
    fixture.log.has_applied_earlier_terms = False
    fixture.report(1.0, nonce=5)
    assert fixture.transport.sent == []
    fixture.log.has_applied_earlier_terms = True
    fixture.report(1.1, nonce=6)
    assert fixture.transport.sent[-1][-1].discovering


def test_only_a_leader_with_its_lease_answers(handler_fixture):
    handler_fixture.has_lease = False
    handler_fixture.report(1.0, nonce=5)
    assert handler_fixture.transport.sent == []
    handler_fixture.has_lease = True
    handler_fixture.report(1.5, nonce=6)
    [(recipient, body, view)] = handler_fixture.transport.sent
    assert (recipient, body, view.nonce) == ("e1", "control_view", 6)


def test_evidence_of_crashes_reaches_other_entries_without_a_leader(handler_fixture):
    handler_fixture.has_lease = False
    suspicion = CrashSuspicion(
        fingerprint=1, group_id="g", crashed_at_unix_ms=1, part_hashes=[2, 3]
    )
    for entry_id, suspicions in (("e1", [suspicion]), ("e2", [])):
        report = EntryReport(suspicions=suspicions, wants_controls=True)
        envelope = Envelope(sender_id=entry_id, entry_report=report)
        handler_fixture.transport.handlers["entry_report"](envelope)
    recipient, _, view = handler_fixture.transport.sent[-1]
    assert (recipient, view.source) == ("e2", "")
    assert list(view.suspicions) == [suspicion]


def test_demand_is_sent_less_often_to_each_of_many_entries(handler_fixture):
    demand = WorkspaceDemand(service="s", workspace="w", tokens=5)
    views = {f"e{number}": [] for number in range(141)}
    for _ in range(20):
        handler_fixture.now_s += 0.5
        for entry_id, has_demand in views.items():
            report = EntryReport(reply_address="10.0.0.1:1", demands=[demand])
            envelope = Envelope(sender_id=entry_id, entry_report=report)
            handler_fixture.transport.sent.clear()
            handler_fixture.transport.handlers["entry_report"](envelope)
            (*_, view) = handler_fixture.transport.sent[-1]
            has_demand.append(bool(view.demands))
    sent_count = sum(sum(has_demand) for has_demand in views.values())
    assert sent_count <= 1.2 * DEMAND_VIEWS_PER_S * 20 * 0.5
    assert min(sum(has_demand) for has_demand in views.values()) >= 3


def views_to(fixture, entry_id):
    return [
        view for recipient, _, view in fixture.transport.sent if recipient == entry_id
    ]


def test_a_limit_reaches_all_entries_once_with_shares_that_add_up(handler_fixture):
    for number in range(3):
        handler_fixture.report(1.0, entry_id=f"e{number}")
    handler_fixture.transport.sent.clear()
    limit = EndpointLimit(host_id="h", boot_id="b", limit_per_s=2.0, age_ms=10)
    handler_fixture.report(1.5, entry_id="e0", limits=[limit])
    lists = [views_to(handler_fixture, f"e{n}")[-1].limits for n in range(3)]
    assert [item[0].limit_per_s for item in lists] == [2.0] * 3
    assert sorted(item[0].share_per_s for item in lists) == [0.0, 1.0, 1.0]
    version = views_to(handler_fixture, "e0")[-1].limits_version
    handler_fixture.transport.sent.clear()
    handler_fixture.report(
        2.0, entry_id="e0", limits_version=version, view_source="life"
    )
    assert not views_to(handler_fixture, "e0")[-1].limits


def test_an_isolated_entry_gets_the_addresses_of_entries_that_are_not(handler_fixture):
    handler_fixture.report(1.0, entry_id="e0", relay_address="10.0.0.1:2")
    handler_fixture.report(
        1.0, entry_id="e1", relay_address="10.0.0.2:2", is_isolated=True
    )
    handler_fixture.report(
        1.0, entry_id="e2", relay_address="10.0.0.3:2", draining=True
    )
    handler_fixture.transport.sent.clear()
    handler_fixture.report(
        1.5, entry_id="e1", relay_address="10.0.0.2:2", is_isolated=True
    )
    assert list(views_to(handler_fixture, "e1")[-1].peers) == ["10.0.0.1:2"]
    handler_fixture.report(1.5, entry_id="e0", relay_address="10.0.0.1:2")
    assert not views_to(handler_fixture, "e0")[-1].peers


def test_attempts_of_a_silent_entry_still_count_at_a_silent_member():
    # Guards against a dissolved group whose calls an entry that is late still runs.
    fixture = DrainFixture()
    fixture.report_of("e2", fixture.drain_version, running=2)
    fixture.now_s = 104.0
    fixture.report_of("e1", fixture.drain_version, heard=fixture.heard)
    assert fixture.table.attempts_at("a").running == 2


def test_counts_from_before_a_member_was_missing_are_incomplete():
    # Guards against a group dissolved under a call sent just before the new view came.
    fixture = ServingFixture()
    serving_version = fixture.handler.view_version
    fixture.now_s = 102.9
    for entry_id in ("e1", "e2"):
        fixture.report_of(entry_id, serving_version)
    assert fixture.is_complete()
    fixture.now_s = 103.1
    fixture.handler.publish_changes()
    missing_version = fixture.handler.view_version
    assert missing_version > serving_version
    assert not fixture.is_complete()
    fixture.report_of("e1", missing_version)
    assert not fixture.is_complete()
    revision = fixture.table.revision
    fixture.report_of("e2", missing_version)
    assert fixture.table.attempts_at("a") == GroupAttempts(0, is_complete=True)
    # The next round of decisions must not wait for its usual interval.
    assert fixture.table.revision > revision


def test_group_whose_removal_is_proposed_does_not_serve_again():
    # Guards against requests sent to a group that a member's return saves too late.
    fixture = ServingFixture()
    fixture.now_s = 103.1
    fixture.handler.publish_changes()
    fixture.handler.withhold("g")
    fixture.heard[0].sequence = 2
    fixture.report_of("e1", heard=fixture.heard)
    fixture.handler.publish_changes()
    (view,) = fixture.handler.group_views()
    assert (view.serving, view.reason) == (False, "the group is being dissolved")
    fixture.now_s += 2.0
    fixture.heard[0].sequence = 3
    fixture.report_of("e1", heard=fixture.heard)
    (view,) = fixture.handler.group_views()
    assert not view.serving
    # The removal was refused.
    for _ in range(3):
        fixture.now_s += 2.0
        fixture.heard[0].sequence += 1
        fixture.report_of("e1", heard=fixture.heard)
        fixture.handler.publish_changes()
    (view,) = fixture.handler.group_views()
    assert view.serving


def test_counts_of_an_earlier_term_are_no_knowledge_of_a_new_leader():
    # Guards against a release that cuts the streams of which this term has no report.
    fixture = DrainFixture()
    for entry_id in ("e1", "e2"):
        fixture.report_of(entry_id, fixture.drain_version)
    assert fixture.is_complete()
    fixture.log.term = 2
    fixture.handler.begin_term(fixture.now_s)
    assert not fixture.is_complete()


def test_counts_are_incomplete_until_each_entry_has_reported_in_the_term():
    # Guards against a release that cuts the streams of an entry that is late.
    fixture = DrainFixture()
    for entry_id in ("e1", "e2"):
        fixture.report_of(entry_id, fixture.drain_version)
    fixture.log.term = 2
    fixture.now_s = 101.0
    fixture.handler.begin_term(fixture.now_s)
    fixture.report_of("e1", fixture.drain_version)
    assert not fixture.is_complete()
    for now_s, is_complete in ((114.9, False), (116.1, True)):
        fixture.now_s = now_s
        fixture.report_of("e1", fixture.drain_version, heard=fixture.heard)
        assert fixture.is_complete() == is_complete


def test_leader_that_stood_still_calls_no_member_missing_without_its_lease(
    handler_fixture,
):
    fixture = handler_fixture
    group = Group(
        group_id="g",
        service="s",
        phase="serving",
        plain=True,
        members=[GroupMember(host_id="a", boot_id="b")],
    )
    fixture.state.groups.groups["g"] = group

    def announce():
        sequence = round(10 * fixture.now_s)
        content = Announcement(
            host_id="a", boot_id="b", sequence=sequence, kind="service", service="s"
        )
        heard = Heard(
            host_id="a",
            boot_id="b",
            sequence=sequence,
            changed=content,
            content_digest=content_digest(content),
        )
        fixture.report(fixture.now_s, [heard])
        fixture.handler.publish_changes()

    announce()
    (view,) = fixture.handler.group_views()
    assert view.serving
    version = fixture.handler.view_version
    fixture.now_s += 6.0
    fixture.has_lease = False
    fixture.handler.publish_changes()
    fixture.has_lease = True
    announce()
    assert fixture.handler.view_version == version
