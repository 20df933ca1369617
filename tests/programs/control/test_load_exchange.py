"""Distribution of running attempt counts from the leader to the entries."""

from types import SimpleNamespace

import pytest

from chestnutvale.membership.attempt_counts import AttemptCounts
from chestnutvale.programs.control.load_exchange import LoadExchange
from chestnutvale.schema.groups_pb2 import Group
from chestnutvale.schema.peer_pb2 import Envelope, RunningCounts, ServiceFlow


class LoadExchangeFixture:
    """A control with two entries and two groups."""

    def __init__(self):
        self.now_s = 100.0
        self.sent = []
        self.handlers = {}
        self.all_lend_places = True
        self.log = SimpleNamespace(is_leader=True, has_lease=lambda now_s: True)
        groups = {"g1": Group(epoch=7), "g2": Group(epoch=9)}
        self.entry_handler = SimpleNamespace(
            attempt_counts=AttemptCounts(),
            live_addresses=lambda now_s: {"e1": "e1:1", "e2": "e2:1"},
            all_lend_places=lambda now_s: self.all_lend_places,
        )
        transport = SimpleNamespace(
            register_handler=self.handlers.__setitem__,
            send=lambda name, address, body, message: self.sent.append((name, message)),
        )
        self.exchange = LoadExchange(
            transport,
            self.log,
            SimpleNamespace(groups=SimpleNamespace(groups=groups)),
            self.entry_handler,
            SimpleNamespace(now_s=lambda: self.now_s),
        )

    def receive_counts(self, entry_id, **counts):
        epochs = [int(name[1:]) for name in counts]
        message = RunningCounts(epochs=epochs, counts=counts.values())
        envelope = Envelope(sender_id=entry_id, running_counts=message)
        self.handlers["running_counts"](envelope)

    def sent_counts(self):
        self.exchange.run_round()
        sent_counts = {
            name: dict(zip(message.epochs, message.counts, strict=True))
            for name, message in self.sent
        }
        self.sent.clear()
        return sent_counts


@pytest.fixture
def exchange_fixture():
    return LoadExchangeFixture()


def test_each_entry_gets_the_counts_of_the_others(exchange_fixture):
    exchange_fixture.receive_counts("e1", e7=2)
    exchange_fixture.receive_counts("e2", e7=1, e9=4)
    assert exchange_fixture.sent_counts() == {"e1": {7: 1, 9: 4}, "e2": {7: 2}}


def test_removed_groups_are_omitted(exchange_fixture):
    exchange_fixture.receive_counts("e1", e7=2, e8=5)
    assert exchange_fixture.sent_counts()["e2"] == {7: 2}


def test_counts_are_sent_at_the_interval_and_if_changed(exchange_fixture):
    exchange_fixture.receive_counts("e1", e7=2)
    assert exchange_fixture.sent_counts()
    exchange_fixture.receive_counts("e1", e7=3)
    assert not exchange_fixture.sent_counts()
    exchange_fixture.now_s += 0.11
    assert exchange_fixture.sent_counts()
    exchange_fixture.now_s += 0.11
    assert not exchange_fixture.sent_counts()
    # Unchanged counts are resent, as an entry ignores counts after about a second.
    exchange_fixture.now_s += 0.5
    assert exchange_fixture.sent_counts()


def test_only_a_leader_sends_counts(exchange_fixture):
    exchange_fixture.receive_counts("e1", e7=2)
    exchange_fixture.log.is_leader = False
    assert not exchange_fixture.sent_counts()


def test_an_epoch_without_a_count_is_ignored(exchange_fixture):
    message = RunningCounts(epochs=[7, 9], counts=[3])
    envelope = Envelope(sender_id="e1", running_counts=message)
    exchange_fixture.handlers["running_counts"](envelope)
    assert exchange_fixture.sent_counts()["e2"] == {7: 3}


@pytest.mark.parametrize("all_lend_places", [True, False])
def test_flows_are_summed_only_if_all_entries_lend(exchange_fixture, all_lend_places):
    # Guards against sums without the calls of entries of an older build.
    exchange_fixture.all_lend_places = all_lend_places
    for entry_id, offered_per_s in (("e1", 4.0), ("e2", 2.0)):
        flow = ServiceFlow(service="s", offered_per_s=offered_per_s, admitted_per_s=1.0)
        message = RunningCounts(epochs=[7], counts=[1], flows=[flow])
        envelope = Envelope(sender_id=entry_id, running_counts=message)
        exchange_fixture.handlers["running_counts"](envelope)
    exchange_fixture.exchange.run_round()
    totals = [
        [(f.service, f.offered_per_s, f.admitted_per_s) for f in message.flows]
        for _, message in exchange_fixture.sent
    ]
    assert totals == [[("s", 6.0, 2.0)] if all_lend_places else []] * 2
