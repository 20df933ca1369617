"""Views that a control publishes and an entry installs."""

from types import SimpleNamespace

import pytest

from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.cold_state import NO_COLD_RULE
from chestnutvale.membership.entry_view import EntryView, InstallVerdict
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import (
    Group,
    GroupMember,
    PutGroup,
    RemoveGroup,
)
from chestnutvale.schema.membership_pb2 import Holding, Load
from chestnutvale.schema.peer_pb2 import EntryReport


class ViewFixture:
    """One control, one entry and a serving group of one host."""

    def __init__(self, announcement):
        self.make = announcement
        self.collector = AnnouncementCollector()
        self.table = MembershipTable(detection_timeout_s=3.0)
        self.state = GroupsState()
        self.publisher = ViewPublisher("life-1")
        self.entry = EntryView(lease_s=2.0)
        self.text = SimpleNamespace(text=Text(number=4))
        self.sequence = 0
        self.evacuated = frozenset()
        self.cold_rule = NO_COLD_RULE
        member = GroupMember(host_id="a", boot_id="boot-1", address="10.0.0.1:8000")
        group = Group(group_id="g", service="s", members=[member], phase="forming")
        self.epoch = self.state.put_group(PutGroup(group=group), 0).epoch
        group.phase = "serving"
        self.state.put_group(PutGroup(group=group, expected_epoch=self.epoch), 0)

    def announce_host(self, now_s, **fields):
        self.sequence += 1
        holding = Holding(group_id="g", service="s", epoch=self.epoch, phase="ready")
        fields = {"holding": holding, **fields}
        self.collector.announce(self.make(sequence=self.sequence, **fields), now_s)

    def send_report(self, nonce, now_s, term=1, publisher=None):
        report = EntryReport(
            reply_address="10.1.0.1:1",
            nonce=nonce,
            configuration_number=self.entry.number,
            view_version=self.entry.version,
            view_source=self.entry.source,
            heard=self.collector.drain_report(now_s),
        )
        self.entry.record_report_sent(nonce, now_s)
        self.table.merge_entry_report("e1", report.heard, now_s)
        publisher = publisher or self.publisher
        publisher.refresh(self.state, self.table, now_s, self.evacuated, self.cold_rule)
        return publisher.answer("e1", report, self.text, self.table, term, now_s)


@pytest.fixture
def fixture(announcement):
    return ViewFixture(announcement)


def test_the_lease_runs_from_the_sending_of_the_report(fixture):
    fixture.announce_host(0.0)
    view = fixture.send_report(7, 0.0)
    assert view.whole
    assert fixture.entry.install_view(view, 1.9) is InstallVerdict.INSTALLED
    assert [item.group.group_id for item in fixture.entry.serving_groups("s", 1.9)]
    assert not fixture.entry.has_lease(2.0)
    fixture.entry.install_view(view, 5.0)
    assert not fixture.entry.has_lease(5.0)
    view.nonce = 99
    fixture.entry.install_view(view, 5.0)
    assert not fixture.entry.has_lease(5.0)
    assert fixture.entry.number == 4


def test_a_push_stops_a_group_but_extends_no_lease(fixture):
    fixture.announce_host(0.0)
    fixture.entry.install_view(fixture.send_report(1, 0.0), 0.0)
    fixture.entry.install_view(fixture.send_report(2, 0.5), 0.5)
    assert fixture.publisher.refresh(fixture.state, fixture.table, 3.1) == ["g"]
    fixture.table.merge_entry_report("e1", [], 3.1)
    pushes = fixture.publisher.build_pushes(fixture.text, fixture.table, 1, 3.1)
    assert [push.entry_id for push in pushes] == ["e1"]
    fixture.entry.install_view(pushes[0].view, 3.1)
    assert not fixture.entry.has_lease(3.1)
    assert fixture.entry.group("g").reason == "member a is missing"


def test_a_lower_version_installs_no_groups(fixture):
    fixture.announce_host(0.0)
    late_view = fixture.send_report(1, 0.0)
    fixture.announce_host(0.5, leaving=True)
    fixture.entry.install_view(fixture.send_report(2, 0.5), 0.5)
    assert fixture.entry.install_view(late_view, 0.6) is InstallVerdict.OLD_VERSION
    assert fixture.entry.serving_groups("s", 0.6) == []


def test_a_view_of_a_deposed_leader_is_ignored(fixture):
    fixture.announce_host(0.0)
    late_view = fixture.send_report(1, 0.0)
    fixture.announce_host(0.5, leaving=True)
    successor = ViewPublisher("life-2")
    fixture.entry.install_view(
        fixture.send_report(2, 0.5, term=2, publisher=successor), 0.5
    )
    assert fixture.entry.install_view(late_view, 0.6) is InstallVerdict.OLD_TERM
    assert fixture.entry.serving_groups("s", 0.6) == []


def test_changes_on_a_base_that_the_entry_lacks_are_refused(fixture):
    fixture.announce_host(0.0)
    fixture.entry.install_view(fixture.send_report(1, 0.0), 0.0)
    fixture.announce_host(0.5, leaving=True)
    changes = fixture.send_report(2, 0.5)
    assert not changes.whole
    restarted = EntryView(lease_s=2.0)
    restarted.record_report_sent(2, 0.5)
    assert restarted.install_view(changes, 0.6) is InstallVerdict.GAP
    assert not restarted.has_lease(0.6)


def test_no_lease_without_the_text_in_force(fixture):
    fixture.announce_host(0.0)
    view = fixture.send_report(1, 0.0)
    view.ClearField("text")
    fixture.entry.install_view(view, 0.1)
    assert not fixture.entry.has_lease(0.1)


def test_a_view_holds_changes_and_changed_loads_only(fixture):
    fixture.announce_host(0.0, load=Load(running=1))
    fixture.entry.install_view(fixture.send_report(1, 0.0), 0.0)
    assert fixture.entry.load("g").running == 1
    fixture.announce_host(0.5, load=Load(running=1))
    view = fixture.send_report(2, 0.5)
    assert not view.groups and not view.loads and not view.HasField("text")
    fixture.announce_host(1.0, load=Load(running=2))
    fixture.entry.install_view(fixture.send_report(3, 1.0), 1.0)
    assert fixture.entry.load("g").running == 2


def test_a_removed_group_is_removed_at_the_entry(fixture):
    fixture.announce_host(0.0)
    fixture.entry.install_view(fixture.send_report(1, 0.0), 0.0)
    fixture.state.groups.clear()
    view = fixture.send_report(2, 0.5)
    assert list(view.removed_group_ids) == ["g"]
    fixture.entry.install_view(view, 0.5)
    assert fixture.entry.groups() == []


def test_views_omit_loads_that_entries_count(fixture):
    fixture.announce_host(0.0)
    assert fixture.table.merge_entry_report(
        "e1", fixture.collector.drain_report(0.0), 0.0
    )
    assert fixture.table.record_running_attempts("a", 7)
    assert not fixture.send_report(1, 0.1).loads


def put_test_group(fixture, phase, epoch=0, group_id="late", pooled=True):
    members = [
        GroupMember(host_id=name, boot_id="b", address="10.0.0.2:1", rank=rank)
        for rank, name in enumerate("bcd")
    ]
    group = Group(group_id=group_id, service="s", members=members, phase=phase)
    group.pooled = pooled
    command = PutGroup(group=group, expected_epoch=epoch)
    return fixture.state.put_group(command, 0).epoch


def test_views_omit_a_group_before_it_serves(fixture):
    fixture.announce_host(0.0)
    fixture.entry.install_view(fixture.send_report(1, 0.0), 0.0)
    version = fixture.publisher.version
    epoch = put_test_group(fixture, "forming")
    view = fixture.send_report(2, 0.1)
    assert (view.view_version, len(view.groups)) == (version, 0)
    # The operators' status must still show the group.
    group_ids = {view.group.group_id for view in fixture.publisher.group_views()}
    assert group_ids == {"g", "late"}
    fixture.state.remove_group(RemoveGroup(group_id="late", expected_epoch=epoch), 0)
    assert fixture.send_report(3, 0.2).view_version == version
    assert {v.group.group_id for v in fixture.publisher.group_views()} == {"g"}


def test_views_list_only_the_head_of_a_pooled_group(fixture):
    fixture.announce_host(0.0)
    put_test_group(fixture, "serving", put_test_group(fixture, "forming"))
    view = fixture.send_report(1, 0.0)
    assert [item.group.group_id for item in view.groups] == ["g"]
    for name in "bcd":
        host_announcement = fixture.make(
            host_id=name,
            boot_id="b",
            holding=Holding(group_id="late", service="s", phase="ready"),
        )
        host_announcement.holding.epoch = fixture.state.groups["late"].epoch
        fixture.collector.announce(host_announcement, 0.1)
    fixture.entry.install_view(fixture.send_report(2, 0.1), 0.1)
    late_view = fixture.entry.group("late")
    assert late_view.serving
    assert [member.host_id for member in late_view.group.members] == ["b"]
    assert len(fixture.state.groups["late"].members) == 3


def test_a_group_in_an_evacuated_data_centre_does_not_serve(fixture):
    # Guards against requests there, and against a finish that reaches no entry.
    fixture.announce_host(0.0)
    fixture.entry.install_view(fixture.send_report(1, 0.0), 0.0)
    fixture.evacuated = frozenset({"d1"})
    fixture.entry.install_view(fixture.send_report(2, 0.1), 0.1)
    view = fixture.entry.group("g")
    assert (view.serving, view.evacuated) == (False, True)
    assert view.reason == "the data centre d1 is evacuated"
    # Another control that takes over publishes the same.
    successor = ViewPublisher("life-2")
    whole = fixture.send_report(3, 0.2, term=2, publisher=successor)
    # Calls that chose the group by an earlier view ask for it when they are sent.
    assert [(item.serving, item.evacuated) for item in whole.groups] == [(False, True)]
    fixture.evacuated = frozenset({"dc-8"})
    fixture.entry.install_view(fixture.send_report(4, 0.3), 0.3)
    view = fixture.entry.group("g")
    assert (view.serving, view.evacuated, view.reason) == (True, False, "")


def test_a_lost_member_of_an_evacuated_group_is_published(fixture):
    # Guards against streams that wait for a dead endpoint until they time out.
    fixture.announce_host(0.0)
    fixture.entry.install_view(fixture.send_report(1, 0.0), 0.0)
    fixture.evacuated = frozenset({"d1"})
    fixture.entry.install_view(fixture.send_report(2, 0.1), 0.1)
    fixture.entry.install_view(fixture.send_report(3, 5.0), 5.0)
    view = fixture.entry.group("g")
    assert (view.evacuated, view.reason) == (True, "member a is missing")


def test_an_evacuated_group_of_an_older_build_is_found_by_its_head(fixture):
    # Guards against groups without a recorded data centre that keep serving.
    fixture.announce_host(0.0)
    assert not fixture.state.groups["g"].data_centre
    fixture.evacuated = frozenset({"d1"})
    fixture.send_report(1, 0.0)
    assert fixture.publisher.group_views()[0].evacuated
