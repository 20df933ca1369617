"""Shares of cold endpoints in the views of a control."""

import pytest

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.programs.control.limit_divider import LimitDivider
from chestnutvale.rate_limits.cold_bound import ColdBound
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.evacuations_pb2 import SetEvacuation
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup
from chestnutvale.schema.membership_pb2 import Announcement, Heard
from chestnutvale.schema.peer_pb2 import ColdShare
from tests.programs.control.test_entry_report_handler import HandlerFixture

HEAD = Incarnation("a", "b1")


class ColdFixture(HandlerFixture):
    """A control with a group of a plain service, whose host becomes cold."""

    def __init__(self, cold_requests_per_s=17.0):
        super().__init__()
        self.sequence = 0
        handler = self.handler
        self.state = handler._state
        self.log = handler._log
        text = Text(number=1)
        text.services["s"].CopyFrom(
            Service(
                kind="plain",
                cold_requests_per_s=cold_requests_per_s,
                cold_start_ms=3_000,
            )
        )
        self.state.configuration = FixedText(text)
        member = GroupMember(host_id="a", boot_id="b1", address="10.0.0.9:1")
        group = Group(
            group_id="g", service="s", members=[member], plain=True, phase="forming"
        )
        groups = self.state.groups
        epoch = groups.put_group(PutGroup(group=group), 0).epoch
        group.phase = "serving"
        groups.put_group(PutGroup(group=group, expected_epoch=epoch), 0)
        handler.limits = LimitDivider(
            self.log,
            self.state,
            self.table,
            handler._publisher,
            handler._clock,
            ColdBound(1.5, 5.0),
            lease_s=2.0,
        )

    def hear(self, cold_remaining_ms=0):
        self.sequence += 1
        content = Announcement(
            host_id="a",
            boot_id="b1",
            address="10.0.0.9:1",
            kind="service",
            service="s",
            data_centre="d1",
            cold_remaining_ms=cold_remaining_ms,
        )
        heard = Heard(
            host_id="a", boot_id="b1", sequence=self.sequence, changed=content
        )
        self.table.merge_control_report("c1", [heard], self.now_s)
        self.handler.publish_changes()

    def report_all(self, count=12, obeys=True):
        """Send a report of each entry, which acknowledges the newest list it got."""
        versions = {
            entry_id: message.limits_version
            for entry_id, _, message in self.transport.sent
            if message.limits_version
        }
        for number in range(count):
            entry_id = f"e{number}"
            self.report(
                self.now_s,
                entry_id=entry_id,
                obeys_cold_shares=obeys,
                data_centre="d1",
                view_source="life",
                limits_version=versions.get(entry_id, 0),
            )

    def exchange(self, rounds=3):
        for _ in range(rounds):
            self.report_all()
            self.now_s += 0.2

    def slots(self):
        """Return the slots of each entry in the newest list that it got."""
        found = {}
        for entry_id, body, message in self.transport.sent:
            if body == "control_view" and message.limits_version:
                found[entry_id] = sum(item.slots for item in message.cold_shares)
        return {entry_id: count for entry_id, count in found.items() if count}


class FixedText:
    """A configuration with one text."""

    def __init__(self, text):
        self.text = text
        self.number = text.number


@pytest.fixture
def cold():
    return ColdFixture()


def test_a_host_that_becomes_cold_gets_shares_at_few_entries(cold):
    cold.hear()
    cold.report_all()
    assert not cold.slots()
    cold.now_s += 1.0
    cold.hear(3_000)
    cold.exchange()
    assert len(cold.slots()) == 9
    (share, *_) = [
        item for _, _, message in cold.transport.sent for item in message.cold_shares
    ]
    assert (share.host_id, share.boot_id) == ("a", "b1")
    assert 9 * share.rate_per_s == pytest.approx(17.0)


def test_no_view_shows_the_group_as_serving_and_ordinary(cold):
    # Guards against a view that says that a group serves before one says it is cold.
    cold.hear(3_000)
    cold.report_all()
    shown = [
        group
        for _, _, message in cold.transport.sent
        for group in message.groups
        if group.serving
    ]
    assert shown
    assert all(group.is_cold and group.needs_cold_share for group in shown)


def test_the_shares_end_with_the_cold_time(cold):
    cold.hear()
    cold.report_all()
    cold.now_s += 2.5
    cold.hear(1_000)
    cold.exchange()
    assert cold.slots()
    cold.now_s += 0.5
    cold.hear()
    cold.exchange()
    assert not cold.slots()


def test_entries_of_older_builds_get_no_slots(cold):
    # Guards against slots that are lost at entries which do not know them.
    cold.hear()
    cold.report_all(obeys=False)
    cold.now_s += 1.0
    cold.hear(3_000)
    cold.report_all(obeys=False)
    assert not cold.slots()


def test_a_new_leader_keeps_the_slots_that_entries_report(cold):
    # Guards against slots that a new leader grants while others still hold them.
    cold.hear(3_000)
    held = [ColdShare(host_id="a", boot_id="b1", slots=1)]
    cold.report(cold.now_s, entry_id="e1", obeys_cold_shares=True, cold_shares=held)
    cold.now_s += 0.2
    cold.report_all()
    assert cold.slots() == {"e1": 1}


def test_without_a_bound_there_are_no_shares():
    cold = ColdFixture(cold_requests_per_s=0.0)
    cold.hear(3_000)
    cold.report_all()
    shown = [group for _, _, view in cold.transport.sent for group in view.groups]
    assert all(group.is_cold and not group.needs_cold_share for group in shown)
    assert not cold.slots()


def test_the_end_of_an_evacuation_makes_the_group_cold(cold):
    cold.hear()
    cold.report_all()
    cold.now_s += 1.0
    # By the wall clock the evacuation ended long ago, as if that clock had stepped.
    evacuations = cold.state.evacuations
    evacuations.apply(SetEvacuation(data_centre="d1"), 0)
    evacuations.apply(SetEvacuation(data_centre="d1", finish=True), 1)
    cold.handler.publish_changes()
    (view,) = cold.handler.group_views()
    assert view.needs_cold_share
    cold.now_s += 1.2
    cold.hear()
    (view,) = cold.handler.group_views()
    assert not view.is_cold
