"""Distribution of running attempt counts from the leader to the entries."""

from types import SimpleNamespace

import pytest

from chestnutvale.membership.attempt_counts import AttemptCounts
from chestnutvale.programs.control.load_exchange import LoadExchange
from chestnutvale.schema.groups_pb2 import Group
from chestnutvale.schema.peer_pb2 import Envelope, RunningCounts


class Scene:
    """A control with two entries and two groups."""

    def __init__(self):
        self.now_s = 100.0
        self.sent = []
        self.handlers = {}
        self.log = SimpleNamespace(is_leader=True, has_lease=lambda now_s: True)
        groups = {"g1": Group(epoch=7), "g2": Group(epoch=9)}
        self.entry_handler = SimpleNamespace(
            attempt_counts=AttemptCounts(),
            live_addresses=lambda now_s: {"e1": "e1:1", "e2": "e2:1"},
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

    def hear(self, entry_id, **counts):
        epochs = [int(name[1:]) for name in counts]
        message = RunningCounts(epochs=epochs, counts=counts.values())
        envelope = Envelope(sender_id=entry_id, running_counts=message)
        self.handlers["running_counts"](envelope)

    def told(self):
        self.exchange.run_round()
        told = {
            name: dict(zip(message.epochs, message.counts, strict=True))
            for name, message in self.sent
        }
        self.sent.clear()
        return told


@pytest.fixture
def scene():
    return Scene()


def test_each_entry_hears_of_the_others_only(scene):
    scene.hear("e1", e7=2)
    scene.hear("e2", e7=1, e9=4)
    assert scene.told() == {"e1": {7: 1, 9: 4}, "e2": {7: 2}}


def test_groups_that_are_gone_are_left_out(scene):
    scene.hear("e1", e7=2, e8=5)
    assert scene.told()["e2"] == {7: 2}


def test_nothing_is_told_too_often_or_again_without_change(scene):
    scene.hear("e1", e7=2)
    assert scene.told()
    scene.hear("e1", e7=3)
    assert not scene.told()
    scene.now_s += 0.11
    assert scene.told()
    scene.now_s += 0.11
    assert not scene.told()
    # Unchanged counts are resent, as an entry ignores counts after about a second.
    scene.now_s += 0.5
    assert scene.told()


def test_only_a_leader_tells(scene):
    scene.hear("e1", e7=2)
    scene.log.is_leader = False
    assert not scene.told()


def test_a_message_that_does_not_fit_changes_nothing(scene):
    message = RunningCounts(epochs=[7, 9], counts=[3])
    envelope = Envelope(sender_id="e1", running_counts=message)
    scene.handlers["running_counts"](envelope)
    assert scene.told()["e2"] == {7: 3}
