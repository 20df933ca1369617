"""Host announcements at a control and their reports to the other controls."""

from types import SimpleNamespace

import pytest

from chestnutvale.consensus.members import peer_addresses
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


class Network:
    """Delivers messages between the announcement handlers of several controls."""

    def __init__(self):
        self.handlers = {}
        self.now_s = 100.0

    def add(self, control_id, members=MEMBERS):
        handlers = {}
        self.handlers[control_id] = handlers

        def send(recipient_id, address, body, message):
            envelope = Envelope(sender_id=control_id)
            getattr(envelope, body).CopyFrom(message)
            self.handlers[recipient_id][body](envelope)

        transport = SimpleNamespace(register_handler=handlers.__setitem__, send=send)
        log = SimpleNamespace(
            members=members, known_addresses=lambda: peer_addresses(MEMBERS)
        )
        table = MembershipTable(3.0)
        clock = SimpleNamespace(now_s=lambda: self.now_s)
        return HostAnnouncementHandler(control_id, transport, log, table, clock), table


def make(sequence, **fields):
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
    return network.add("c1"), network.add("c2")


def send_report(handler):
    handler._request_report()
    handler._run_round()


def test_all_controls_know_a_host_that_one_of_them_hears(controls):
    (handler, _), (_, other_table) = controls
    handler.announce(make(1))
    send_report(handler)
    assert other_table.is_fresh("h1", 100.0)
    assert other_table.host("h1").is_content_current


def test_an_unchanged_host_stays_fresh_everywhere(controls, network):
    (handler, _), (_, other_table) = controls
    for sequence in range(1, 6):
        handler.announce(make(sequence))
        send_report(handler)
        network.now_s += 1.2
    assert other_table.is_fresh("h1", network.now_s)


def test_a_control_that_lacks_a_host_is_told_of_it_whole(controls, network):
    (handler, _), _ = controls
    handler.announce(make(1))
    send_report(handler)
    # The other control restarts and gets a report without the full announcement.
    _, table = network.add("c2")
    network.now_s += 1.2
    handler.announce(make(2))
    send_report(handler)
    assert not table.host("h1").is_content_current
    send_report(handler)
    assert table.host("h1").is_content_current


def test_a_host_that_leaves_does_not_come_back_by_a_late_word(controls):
    (handler, table), (_, other_table) = controls
    handler.announce(make(1))
    assert handler.leave("h1")
    handler.announce(make(7))
    send_report(handler)
    assert table.host("h1").announcement.leaving
    assert other_table.host("h1").announcement.leaving


def test_a_host_that_nobody_knows_can_t_leave(controls):
    (handler, _), _ = controls
    assert not handler.leave("h9")


def test_a_control_that_lost_its_disk_tells_the_others_what_it_hears(network):
    handler, _ = network.add("c1", members=Members())
    _, other_table = network.add("c2")
    handler.announce(make(1))
    send_report(handler)
    assert other_table.is_fresh("h1", 100.0)
