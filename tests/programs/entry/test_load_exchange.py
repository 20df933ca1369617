"""Tests of the exchange of running attempts between an entry and the others."""

from types import SimpleNamespace

import eventlet
import pytest

from chestnutvale.admission.service_flow import ServiceFlow
from chestnutvale.programs.entry.load_exchange import LoadExchange
from chestnutvale.programs.entry.running_attempts import RunningAttempts
from chestnutvale.schema.groups_pb2 import Group
from chestnutvale.schema.peer_pb2 import Envelope, GroupView, RunningCounts


class SimulatedEntry:
    """An exchange over two serving groups of one service, and one that does not."""

    def __init__(self):
        self.now_s = 100.0
        self.sent = []
        self.handlers = {}
        self.peer_updates = []
        self.flows = []
        self.fleet_flows = []
        self.leader = ("c1", "10.0.0.1:1")
        groups = [
            GroupView(group=Group(group_id="g1", service="s", epoch=7), serving=True),
            GroupView(group=Group(group_id="g2", service="s", epoch=9), serving=True),
            GroupView(group=Group(group_id="g3", service="s", epoch=11)),
        ]
        self.running = RunningAttempts()
        context = SimpleNamespace(
            running=self.running,
            flows=lambda now_s: self.flows,
            update_peer_running=self.update_peer_running,
        )
        transport = SimpleNamespace(
            register_handler=self.handlers.__setitem__,
            send=lambda *arguments: self.sent.append(arguments),
        )
        self.view = SimpleNamespace(entry_count=13, groups=lambda: groups)
        self.exchange = LoadExchange(
            transport,
            self.view,
            context,
            lambda: self.leader,
            SimpleNamespace(now_s=lambda: self.now_s),
        )

    def update_peer_running(self, groups, services, flows):
        self.peer_updates.append((groups, dict(services)))
        self.fleet_flows = flows

    def run_and_get_counts(self):
        self.exchange.run_round()
        sent, self.sent = self.sent, []
        return [dict(zip(m.epochs, m.counts, strict=True)) for *_, m in sent]


@pytest.fixture
def simulated_entry():
    return SimulatedEntry()


def test_changed_counts_are_sent_at_limited_rate(simulated_entry):
    assert simulated_entry.run_and_get_counts() == []
    simulated_entry.running.add("g1", 7, "a1")
    assert simulated_entry.run_and_get_counts() == [{7: 1}]
    simulated_entry.running.add("g1", 7, "a2")
    assert simulated_entry.run_and_get_counts() == []
    simulated_entry.now_s += 0.11
    assert simulated_entry.run_and_get_counts() == [{7: 2}]
    simulated_entry.running.remove("a1")
    simulated_entry.running.remove("a2")
    simulated_entry.now_s += 0.11
    assert simulated_entry.run_and_get_counts() == [{}]
    simulated_entry.now_s += 5.0
    assert simulated_entry.run_and_get_counts() == []


def test_counts_are_sent_once_leader_is_known(simulated_entry):
    simulated_entry.leader = None
    simulated_entry.running.add("g1", 7, "a1")
    assert simulated_entry.run_and_get_counts() == []
    simulated_entry.leader = ("c2", "10.0.0.2:1")
    assert simulated_entry.run_and_get_counts() == [{7: 1}]


def test_unlisted_groups_have_no_attempts_at_peers(simulated_entry):
    message = RunningCounts(epochs=[9, 11, 99], counts=[4, 5, 6])
    simulated_entry.handlers["running_counts"](Envelope(running_counts=message))
    assert simulated_entry.peer_updates == [({"g1": 0, "g2": 4}, {"s": 4})]


@pytest.mark.parametrize(("entry_count", "pause_s"), [(13, 0.05), (400, 0.5)])
def test_rounds_are_as_rare_as_the_exchange_needs(
    simulated_entry, entry_count, pause_s
):
    simulated_entry.view.entry_count = entry_count
    assert simulated_entry.exchange.find_pause_s() == pytest.approx(pause_s)


def test_idle_exchange_waits_for_an_attempt_and_sends_its_end(simulated_entry):
    """Else the others count an attempt too late, or after it has ended."""
    rounds = []
    run_round = simulated_entry.exchange.run_round
    simulated_entry.exchange.run_round = lambda: (rounds.append(1), run_round())
    simulated_entry.exchange.find_pause_s = lambda: 0.001
    task = eventlet.spawn(simulated_entry.exchange.run)
    eventlet.sleep(0.02)
    assert not rounds
    simulated_entry.running.add("g1", 7, "a1")
    eventlet.sleep(0.005)
    assert [message.counts for *_, message in simulated_entry.sent] == [[1]]
    simulated_entry.running.remove("a1")
    simulated_entry.now_s += 0.11
    eventlet.sleep(0.02)
    assert not simulated_entry.sent[-1][-1].counts
    ended = len(rounds)
    eventlet.sleep(0.02)
    assert len(rounds) == ended
    task.kill()


def test_calls_that_are_all_refused_are_reported(simulated_entry):
    # Guards against a fleet that lends no places because nothing runs yet.
    simulated_entry.flows = [ServiceFlow("s", 4.0, 0.0)]
    simulated_entry.exchange.run_round()
    (*_, message) = simulated_entry.sent.pop()
    assert [(f.service, f.offered_per_s) for f in message.flows] == [("s", 4.0)]
    simulated_entry.now_s += 0.6
    simulated_entry.exchange.run_round()
    assert len(simulated_entry.sent) == 1
    simulated_entry.handlers["running_counts"](Envelope(running_counts=message))
    assert simulated_entry.fleet_flows == [ServiceFlow("s", 4.0, 0.0)]
