"""Handling of entry reports: host freshness and which reports get answers."""

from types import SimpleNamespace

import pytest

from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.programs.control.const import DEMAND_VIEWS_PER_S
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.membership_pb2 import Heard
from chestnutvale.schema.peer_pb2 import EntryReport, Envelope, WorkspaceDemand
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
        log = SimpleNamespace(
            is_leader=True,
            term=1,
            applied_index=1,
            leader_id="c1",
            members=Members(voters=["c1#1"], addresses={"c1#1": "10.0.0.1:1"}),
            has_lease=lambda now_s: self.has_lease,
        )
        clock = SimpleNamespace(now_s=lambda: self.now_s, unix_ms=lambda: 1)
        self.entry_handler = EntryReportHandler(
            self.transport,
            log,
            ControlState(),
            self.table,
            ViewPublisher("life"),
            clock,
        )

    def report(self, sent_at_s, heard=(), nonce=1):
        report = EntryReport(
            reply_address="10.0.0.1:1",
            nonce=nonce,
            sent_at_ms=round(sent_at_s * 1_000),
            heard=heard,
        )
        envelope = Envelope(
            sender_id="e1", sender_incarnation="i1", entry_report=report
        )
        self.transport.handlers["entry_report"](envelope)


@pytest.fixture
def entry_handler():
    return HandlerFixture()


def test_report_that_was_held_back_does_not_freshen_a_host(entry_handler):
    entry_handler.report(7.0)
    entry_handler.now_s += 8.0
    # The entry sent it 0.5 s after the first report, but it arrived 7.5 s late.
    entry_handler.report(7.5, [Heard(host_id="a", boot_id="b", sequence=1, age_ms=100)])
    assert not entry_handler.table.is_fresh("a", entry_handler.now_s)
    entry_handler.report(
        15.0, [Heard(host_id="a", boot_id="b", sequence=2, age_ms=100)]
    )
    assert entry_handler.table.is_fresh("a", entry_handler.now_s)


def test_only_a_leader_with_its_lease_answers(entry_handler):
    entry_handler.has_lease = False
    entry_handler.report(1.0, nonce=5)
    assert entry_handler.transport.sent == []
    entry_handler.has_lease = True
    entry_handler.report(1.5, nonce=6)
    [(recipient, body, view)] = entry_handler.transport.sent
    assert (recipient, body, view.nonce) == ("e1", "control_view", 6)


def test_demand_is_told_less_often_to_each_of_many_entries(entry_handler):
    demand = WorkspaceDemand(service="s", workspace="w", tokens=5)
    views = {f"e{number}": [] for number in range(141)}
    for _ in range(20):
        entry_handler.now_s += 0.5
        for entry_id, seen in views.items():
            report = EntryReport(reply_address="10.0.0.1:1", demands=[demand])
            envelope = Envelope(sender_id=entry_id, entry_report=report)
            entry_handler.transport.sent.clear()
            entry_handler.transport.handlers["entry_report"](envelope)
            (*_, view) = entry_handler.transport.sent[-1]
            seen.append(bool(view.demands))
    told = sum(sum(seen) for seen in views.values())
    assert told <= 1.2 * DEMAND_VIEWS_PER_S * 20 * 0.5
    assert min(sum(seen) for seen in views.values()) >= 3
