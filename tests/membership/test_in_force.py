"""Simulated text updates at entries under late messages and leader changes."""

import heapq
import itertools
import random
from types import SimpleNamespace

import pytest

from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport

LEASE_S = 2.0
REPORT_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 0.05
DURATION_S = 60.0
ENTRY_COUNT = 3


class LeaseFromReceiptView(EntryView):
    """Fault: counts the lease from the receipt of the answer."""

    def _extend_lease(self, view):
        self._lease_until_s = max(self._lease_until_s, self.now_s + self.lease_s)

    def install_view(self, view, now_s):
        self.now_s = now_s
        return super().install_view(view, now_s)


class LeaseWithoutTextView(EntryView):
    """Fault: extends the lease even if the view lacked the text."""

    def _extend_lease(self, view):
        sent_at_s = self._sent_at_s.get(view.nonce)
        if sent_at_s is not None:
            self._lease_until_s = max(self._lease_until_s, sent_at_s + self.lease_s)


class AnyTextView(EntryView):
    """Fault: installs any text, also one with a lower number."""

    def _install_text(self, view):
        if view.HasField("text"):
            self._text = view.text


class Control:
    """One control with its applied text and the end of its leader lease."""

    def __init__(self, name, checks_lease):
        self.publisher = ViewPublisher(name)
        self.source = SimpleNamespace(text=Text())
        self.table = MembershipTable()
        self.term = 0
        self.leader_lease_until_s = 0.0
        self.checks_lease = checks_lease

    def start_leading(self, term, number):
        self.term = term
        self.leader_lease_until_s = float("inf")
        self.source.text = Text(number=number)

    def answer(self, entry_id, report, now_s):
        is_leader = self.term > 0
        if not is_leader or (self.checks_lease and now_s >= self.leader_lease_until_s):
            return None
        self.table.merge_entry_report(entry_id, [], now_s)
        self.publisher.refresh(GroupsState(), self.table, now_s)
        return self.publisher.answer(
            entry_id, report, self.source, self.table, self.term, now_s
        )


class Simulation:
    """Entries and controls; messages between them are delayed, duplicated or lost."""

    def __init__(self, seed, view=EntryView, checks_lease=True, sends_text=True):
        self.sends_text = sends_text
        self.rng = random.Random(seed)
        self.view = view
        self.now_s = 0.0
        self.queue = []
        self.item_numbers = itertools.count()
        self.controls = [Control(f"c{n}", checks_lease) for n in range(3)]
        self.leader_index = 0
        self.term = 1
        self.accepted_texts = [(0.0, 0)]
        self.entries = {f"e{n}": view(LEASE_S) for n in range(ENTRY_COUNT)}
        self.frozen_until_s = dict.fromkeys(self.entries, 0.0)
        self.last_numbers = dict.fromkeys(self.entries, 0)
        self.checks_with_lease = 0
        self.controls[0].start_leading(1, 0)

    def schedule(self, delay_s, action, *arguments):
        item = (self.now_s + delay_s, next(self.item_numbers), action, arguments)
        heapq.heappush(self.queue, item)

    def send(self, action, *arguments):
        copies = self.rng.choice([0, 1, 1, 1, 1, 2])
        for _ in range(copies):
            is_late = self.rng.random() < 0.2
            self.schedule(
                self.rng.uniform(0.0, 4.0 if is_late else 0.05), action, *arguments
            )

    def report(self, entry_id, every=True):
        entry = self.entries[entry_id]
        if self.now_s >= self.frozen_until_s[entry_id]:
            nonce = self.rng.getrandbits(60) + 1
            entry.record_report_sent(nonce, self.now_s)
            report = EntryReport(
                reply_address="10.0.0.1:1",
                nonce=nonce,
                configuration_number=entry.number,
                view_version=entry.version,
                view_source=entry.source,
            )
            for index in range(len(self.controls)):
                self.send(self.receive_report, index, entry_id, report)
        self.schedule(REPORT_INTERVAL_S, self.report, entry_id)

    def receive_report(self, index, entry_id, report):
        view = self.controls[index].answer(entry_id, report, self.now_s)
        if view is not None:
            if not self.sends_text and self.rng.random() < 0.5:
                view.ClearField("text")
            data = view.SerializeToString()
            self.send(self.receive_view, entry_id, data)

    def receive_view(self, entry_id, data):
        wait_s = self.frozen_until_s[entry_id] - self.now_s
        if wait_s > 0:
            self.schedule(wait_s, self.receive_view, entry_id, data)
            return
        self.entries[entry_id].install_view(ControlView.FromString(data), self.now_s)

    def accept_text(self):
        number = self.accepted_texts[-1][1] + 1
        self.accepted_texts.append((self.now_s, number))
        self.controls[self.leader_index].source.text = Text(number=number)
        self.schedule(self.rng.uniform(0.3, 3.0), self.accept_text)

    def change_leader(self):
        # The old leader's lease expires before another one can commit, and the old
        # leader does not know that it was replaced.
        self.controls[self.leader_index].leader_lease_until_s = self.now_s
        others = [n for n in range(len(self.controls)) if n != self.leader_index]
        self.leader_index = self.rng.choice(others)
        self.term += 1
        self.controls[self.leader_index].start_leading(
            self.term, self.accepted_texts[-1][1]
        )
        self.schedule(self.rng.uniform(2.0, 8.0), self.change_leader)

    def inject_fault(self):
        entry_id = self.rng.choice(sorted(self.entries))
        if self.rng.random() < 0.5:
            self.frozen_until_s[entry_id] = self.now_s + self.rng.uniform(0.5, 5.0)
        else:
            self.entries[entry_id] = self.view(LEASE_S)
        self.schedule(self.rng.uniform(1.0, 4.0), self.inject_fault)

    def check_entries(self):
        due_number = max(
            n for at_s, n in self.accepted_texts if at_s <= self.now_s - LEASE_S
        )
        for entry_id, entry in self.entries.items():
            if self.now_s < self.frozen_until_s[entry_id]:
                continue
            if not entry.has_lease(self.now_s):
                continue
            self.checks_with_lease += 1
            assert entry.number >= due_number, "an accepted text is not in force"
            assert entry.number >= self.last_numbers[entry_id], (
                "an older text replaced a newer one"
            )
            self.last_numbers[entry_id] = entry.number
        self.schedule(CHECK_INTERVAL_S, self.check_entries)

    def run(self):
        for entry_id in self.entries:
            self.schedule(self.rng.random(), self.report, entry_id)
        for action in (self.accept_text, self.change_leader, self.inject_fault):
            self.schedule(self.rng.uniform(0.5, 2.0), action)
        self.schedule(LEASE_S, self.check_entries)
        while self.now_s < DURATION_S:
            self.now_s, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)


@pytest.mark.parametrize("seed", range(12))
def test_accepted_text_is_in_force_after_the_lease_and_never_goes_back(seed):
    simulation = Simulation(seed)
    simulation.run()
    assert simulation.accepted_texts[-1][1] > 20
    assert simulation.checks_with_lease > 500


def test_answer_without_its_text_gives_no_lease():
    simulation = Simulation(1, sends_text=False)
    simulation.run()
    assert simulation.checks_with_lease > 0


@pytest.mark.parametrize(
    "fault",
    [
        {"view": LeaseFromReceiptView},
        {"view": LeaseWithoutTextView, "sends_text": False},
        {"view": AnyTextView},
        {"checks_lease": False},
    ],
    ids=["lease-from-receipt", "lease-without-text", "any-text", "no-leader-lease"],
)
def test_check_fails_without_the_mechanism(fault):
    failures = 0
    for seed in range(12):
        try:
            Simulation(seed, **fault).run()
        except AssertionError:
            failures += 1
    assert failures > 0
