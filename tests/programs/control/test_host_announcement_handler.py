"""Host announcements at a control and their reports to the other controls."""

from types import SimpleNamespace

import pytest

from chestnutvale.consensus.members import peer_addresses
from chestnutvale.membership.entry_roster import EntryRoster
from chestnutvale.membership.exceptions import (
    DepartureNotRecordedError,
    OldSequenceError,
)
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.host_announcement_handler import (
    HostAnnouncementHandler,
)
from chestnutvale.schema.membership_pb2 import Announcement
from chestnutvale.schema.peer_pb2 import Envelope
from chestnutvale.schema.raft_pb2 import Members

MEMBERS = Members(
    voters=["c1#a", "c2#b"],
    addresses={"c1#a": "10.0.0.1:1", "c2#b": "10.0.0.2:1"},
)

DEADLINE_S = 200.0


class FakeRecorder:
    """Acknowledges each departure unless it has an error to raise."""

    def __init__(self):
        self.confirmed = []
        self.error = None
        self.recent_host_ids = set()

    def confirm(self, departure, deadline_s):
        if self.error is not None:
            raise self.error
        self.confirmed.append((departure.host_id, departure.boot_id))

    def was_recorded_since(self, host_id, age_s):
        return host_id in self.recent_host_ids


class Network:
    """Delivers messages between the announcement handlers of several controls."""

    def __init__(self):
        self.handlers = {}
        self.starts = 0
        self.now_s = 100.0

    def add_control(self, control_id, members=MEMBERS, roster=None, is_leader=False):
        handlers = {}
        self.handlers[control_id] = handlers
        self.starts += 1
        incarnation = f"{control_id}-{self.starts}"

        def send(recipient_id, address, body, message):
            envelope = Envelope(sender_id=control_id, sender_incarnation=incarnation)
            getattr(envelope, body).CopyFrom(message)
            self.handlers[recipient_id][body](envelope)

        transport = SimpleNamespace(register_handler=handlers.__setitem__, send=send)
        log = SimpleNamespace(
            members=members,
            known_addresses=lambda: peer_addresses(MEMBERS),
            is_leader=is_leader,
            term=1,
        )
        table = MembershipTable(3.0)
        clock = SimpleNamespace(now_s=lambda: self.now_s)
        self.recorder = FakeRecorder()
        handler = HostAnnouncementHandler(
            control_id, transport, log, table, self.recorder, clock, roster
        )
        return handler, table


def make_announcement(sequence, **fields):
    return Announcement(
        host_id="h1",
        boot_id="b1",
        sequence=sequence,
        address="10.0.1.1:80",
        data_centre="a",
        fabric_domain="d",
        kind="engine",
        **fields,
    )


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def controls(network):
    return network.add_control("c1"), network.add_control("c2")


def send_report(handler):
    handler._request_report()
    handler._run_round()


def test_a_host_of_one_control_is_known_to_all(controls):
    (handler, _), (_, other_table) = controls
    handler.announce(make_announcement(1), DEADLINE_S)
    send_report(handler)
    assert other_table.is_fresh("h1", 100.0)
    assert other_table.host("h1").is_content_current


def test_an_unchanged_host_stays_fresh_everywhere(controls, network):
    (handler, _), (_, other_table) = controls
    for sequence in range(1, 6):
        handler.announce(make_announcement(sequence), DEADLINE_S)
        send_report(handler)
        network.now_s += 1.2
    assert other_table.is_fresh("h1", network.now_s)


def test_a_control_without_the_announcement_gets_it_in_full(controls, network):
    (handler, _), _ = controls
    handler.announce(make_announcement(1), DEADLINE_S)
    send_report(handler)
    # The other control restarts and gets a report without the full announcement.
    _, table = network.add_control("c2")
    network.now_s += 1.2
    handler.announce(make_announcement(2), DEADLINE_S)
    send_report(handler)
    assert not table.host("h1").is_content_current
    send_report(handler)
    assert table.host("h1").is_content_current


def test_a_control_that_starts_learns_the_hosts_of_the_others(controls, network):
    # Guards against a new leader that knows only the hosts that it heard itself.
    (handler, _), _ = controls
    handler.announce(make_announcement(1), DEADLINE_S)
    send_report(handler)
    network.now_s += 1.0
    started, table = network.add_control("c2")
    started._run_round()
    handler._run_round()
    handler._run_round()
    record = table.host("h1")
    assert record.is_content_current
    assert record.heard_at_s == pytest.approx(100.0, abs=0.01)
    # The host has not announced itself again, so nothing more is reported.
    started._run_round()
    handler._run_round()
    assert record.boot_order.sequence == 1


def test_a_late_announcement_does_not_revoke_leaving(controls):
    (handler, table), (_, other_table) = controls
    handler.announce(make_announcement(1), DEADLINE_S)
    assert handler.leave("h1", DEADLINE_S)
    handler.announce(make_announcement(7), DEADLINE_S)
    send_report(handler)
    assert table.host("h1").announcement.leaving
    assert other_table.host("h1").announcement.leaving


def test_an_unknown_host_cannot_leave(controls):
    (handler, _), _ = controls
    assert not handler.leave("h9", DEADLINE_S)


def test_a_control_that_lost_its_disk_reports_to_the_others(network):
    handler, _ = network.add_control("c1", members=Members())
    _, other_table = network.add_control("c2")
    handler.announce(make_announcement(1), DEADLINE_S)
    send_report(handler)
    assert other_table.is_fresh("h1", 100.0)


def test_only_departures_wait_for_the_log(network):
    handler, _ = network.add_control("c1")
    handler.announce(make_announcement(1), DEADLINE_S)
    assert not network.recorder.confirmed
    handler.announce(make_announcement(2, leaving=True), DEADLINE_S)
    assert handler.leave("h1", DEADLINE_S)
    assert network.recorder.confirmed == [("h1", "b1")] * 2


def test_departure_that_is_not_recorded_is_in_force_but_not_acknowledged(network):
    handler, table = network.add_control("c1")
    handler.announce(make_announcement(1), DEADLINE_S)
    network.recorder.error = DepartureNotRecordedError("no leader")
    with pytest.raises(DepartureNotRecordedError):
        handler.leave("h1", DEADLINE_S)
    assert table.host("h1").announcement.leaving


def test_resent_departure_is_not_acknowledged_as_an_old_announcement(network):
    # Guards against a copy of a heartbeat that is acknowledged unseen.
    handler, _ = network.add_control("c1")
    network.recorder.error = DepartureNotRecordedError("no leader")
    for _ in range(2):
        with pytest.raises(DepartureNotRecordedError):
            handler.announce(make_announcement(2, leaving=True), DEADLINE_S)
    network.recorder.error = None
    with pytest.raises(OldSequenceError):
        handler.announce(make_announcement(2, leaving=True), DEADLINE_S)
    assert network.recorder.confirmed == [("h1", "b1")]


def test_unknown_host_with_a_recent_record_may_leave_again(network):
    handler, table = network.add_control("c1")
    network.recorder.recent_host_ids.add("h1")
    assert handler.leave("h1", DEADLINE_S)
    assert table.host("h1") is None


def test_departure_that_arrives_late_holds_for_its_boot(network):
    # Guards against an acknowledged departure that no control knows.
    handler, table = network.add_control("c1")
    handler.announce(make_announcement(5), DEADLINE_S)
    with pytest.raises(OldSequenceError):
        handler.announce(make_announcement(4, leaving=True), DEADLINE_S)
    assert network.recorder.confirmed == [("h1", "b1")]
    assert table.host("h1").announcement.leaving


def test_leader_tells_the_other_controls_which_entries_it_hears():
    # Guards against a new leader that counts the attempts of some entries as all.
    network = Network()
    rosters = [EntryRoster(), EntryRoster()]
    leader, _ = network.add_control("c1", roster=rosters[0], is_leader=True)
    network.add_control("c2", roster=rosters[1])
    rosters[0].begin_term(1, 0.0)
    rosters[0].record_report("e1", network.now_s)
    leader._run_round()
    rosters[1].begin_term(2, network.now_s + 1.0)
    rosters[1].record_report("e2", network.now_s + 1.1)
    assert rosters[1].has_unheard(network.now_s + 1.2)
    rosters[1].record_report("e1", network.now_s + 1.3)
    assert not rosters[1].has_unheard(network.now_s + 1.4)
