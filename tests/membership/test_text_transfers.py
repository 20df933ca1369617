"""Distribution of a large text to many entries over the leader's link."""

import heapq
import itertools
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.membership.const import ENTRY_RETENTION_S
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.text_transfers import TextTransfers
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.configuration_pb2 import ApplyText, Route, Text
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport, Envelope
from chestnutvale.schema.raft_pb2 import Members

ENTRIES = 126
LINK_BYTES_PER_S = 170e6 / 8
ENTRY_LINK_BYTES_PER_S = 7e6 / 8
ELECTION_TIMEOUT_S = 0.5
# A heartbeat that waits longer than this on the leader's link may cost the leadership.
MAX_LINK_WAIT_S = ELECTION_TIMEOUT_S / 2
# The bound of the target size within which a change is in force everywhere.
IN_FORCE_S = 5.0
# The bound of the platform for an entry that is in touch.
PLATFORM_IN_FORCE_S = 2.5
LEASE_S = 3.75
REPORT_INTERVAL_S = 0.5
NO_LEASE_REPORT_INTERVAL_S = 0.1
ROUND_INTERVAL_S = 0.1
LATENCY_S = 0.002


def make_text(number, routes, name_bits=60):
    rng = random.Random(number)
    names = (f"{rng.getrandbits(name_bits):x}" for _ in itertools.count())
    return Text(
        number=number,
        routes=[
            Route(name=next(names), host=next(names), path_prefix=next(names))
            for _ in range(routes)
        ],
    )


class Fleet:
    """A leader whose messages wait for each other on its link, and its entries."""

    def __init__(self, entries=ENTRIES, *, reads_compressed=True):
        self.now_s = 0.0
        self.link_free_s = 0.0
        self.entry_free_s = {}
        self.longest_wait_s = 0.0
        self.texts_sent = 0
        self.has_lease = True
        self.dead = set()
        self.incarnations = {}
        self.entries = {f"e{n:03d}": EntryView(lease_s=LEASE_S) for n in range(entries)}
        self._reads_compressed = reads_compressed
        self._nonces = itertools.count(1)
        self._order = itertools.count()
        self._events = []
        self.state = ControlState()
        self._handle_report = None
        self.start_leader()
        for name in self.entries:
            self.schedule(random.Random(name).random() * 0.1, self.report, name)
        self.schedule(0.0, self.publish)

    def start_leader(self):
        log = SimpleNamespace(
            is_leader=True,
            term=1,
            applied_index=1,
            has_applied_earlier_terms=True,
            leader_id="c1",
            members=Members(voters=["c1#1"], addresses={"c1#1": "10.0.0.1:1"}),
            has_lease=lambda now_s: self.has_lease,
        )
        clock = SimpleNamespace(now_s=lambda: self.now_s, unix_ms=lambda: 1)
        self.table = MembershipTable()
        self.publisher = ViewPublisher(f"life-{self.now_s}")
        self.handler = EntryReportHandler(
            self, log, self.state, self.table, self.publisher, clock
        )

    def register_handler(self, body, handler):
        if body == "entry_report":
            self._handle_report = handler

    def send(self, recipient_id, address, body, message, **options):
        view = ControlView()
        view.CopyFrom(message)
        self.link_free_s = max(self.link_free_s, self.now_s)
        self.link_free_s += view.ByteSize() / LINK_BYTES_PER_S
        self.longest_wait_s = max(self.longest_wait_s, self.link_free_s - self.now_s)
        self.texts_sent += view.HasField("text") or bool(view.compressed_text)
        arrival_s = max(self.link_free_s, self.entry_free_s.get(recipient_id, 0.0))
        arrival_s += view.ByteSize() / ENTRY_LINK_BYTES_PER_S
        self.entry_free_s[recipient_id] = arrival_s
        delay_s = arrival_s - self.now_s + LATENCY_S
        self.schedule(delay_s, self.receive, recipient_id, view)
        return True

    def schedule(self, delay_s, action, *arguments):
        event = (self.now_s + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def apply(self, text):
        self.state.configuration.apply_text(ApplyText(text=text), 0)

    def publish(self):
        self.table.remove_expired(self.now_s)
        self.handler.publish_changes()
        self.schedule(ROUND_INTERVAL_S, self.publish)

    def report(self, name):
        self.send_report(name)
        has_lease = self.entries[name].has_lease(self.now_s)
        interval_s = REPORT_INTERVAL_S if has_lease else NO_LEASE_REPORT_INTERVAL_S
        self.schedule(interval_s, self.report, name)

    def send_report(self, name):
        if name in self.dead:
            return
        entry = self.entries[name]
        nonce = next(self._nonces)
        entry.record_report_sent(nonce, self.now_s)
        report = EntryReport(
            reply_address="10.0.0.1:1",
            nonce=nonce,
            configuration_number=entry.number,
            view_version=entry.version,
            view_source=entry.source,
            sent_at_ms=round(self.now_s * 1_000),
            reads_compressed_text=self._reads_compressed,
        )
        envelope = Envelope(
            sender_id=name,
            sender_incarnation=f"i{self.incarnations.get(name, 0)}",
            entry_report=report,
        )
        self.schedule(LATENCY_S, self.deliver, envelope)

    def deliver(self, envelope):
        self._handle_report(envelope)

    def restart(self, name):
        self.dead.discard(name)
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.entries[name] = EntryView(lease_s=LEASE_S)

    def receive(self, name, view):
        if name in self.dead:
            return
        entry = self.entries[name]
        number = entry.number
        entry.install_view(view, self.now_s)
        if entry.number != number:
            self.send_report(name)

    def run(self, until_s):
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = until_s

    def living(self):
        return [entry for name, entry in self.entries.items() if name not in self.dead]

    def assert_in_force(self, number):
        assert {entry.number for entry in self.living()} == {number}
        assert all(entry.has_lease(self.now_s) for entry in self.living())


@pytest.mark.parametrize("routes", [240, 1_640, 4_640])
@pytest.mark.parametrize("reads_compressed", [True, False])
def test_text_that_all_entries_lack_does_not_delay_heartbeats(routes, reads_compressed):
    fleet = Fleet(reads_compressed=reads_compressed)
    fleet.apply(make_text(1, routes))
    fleet.run(IN_FORCE_S)
    fleet.assert_in_force(1)
    assert fleet.longest_wait_s < MAX_LINK_WAIT_S


def test_large_text_is_in_force_in_time_behind_the_slow_links_of_entries():
    fleet = Fleet()
    fleet.apply(make_text(1, 240))
    fleet.run(2.0)
    # The text of a document of 2 MB.
    fleet.apply(make_text(2, 7_240, name_bits=32))
    fleet.run(fleet.now_s + PLATFORM_IN_FORCE_S)
    fleet.assert_in_force(2)
    assert fleet.longest_wait_s < MAX_LINK_WAIT_S


def test_storm_of_large_texts_does_not_delay_heartbeats():
    fleet = Fleet()
    fleet.apply(make_text(1, 1_640))
    fleet.run(IN_FORCE_S)
    for number in range(2, 14):
        fleet.apply(make_text(number, 1_640))
        fleet.run(fleet.now_s + 0.33)
    fleet.run(fleet.now_s + IN_FORCE_S)
    fleet.assert_in_force(13)
    assert fleet.longest_wait_s < MAX_LINK_WAIT_S


def test_new_leader_sends_no_text_to_entries_that_have_it():
    fleet = Fleet()
    fleet.apply(make_text(1, 1_640))
    fleet.run(IN_FORCE_S)
    fleet.start_leader()
    sent_before = fleet.texts_sent
    fleet.run(fleet.now_s + 2.0)
    fleet.assert_in_force(1)
    assert fleet.texts_sent == sent_before


def test_entries_that_fall_silent_do_not_keep_the_text_from_others():
    fleet = Fleet(reads_compressed=False)
    fleet.apply(make_text(1, 240))
    fleet.run(2.0)
    # As many as a data centre has, and first in order.
    fleet.dead = set(list(fleet.entries)[: ENTRIES // 3])
    fleet.apply(make_text(2, 1_640))
    fleet.run(fleet.now_s + IN_FORCE_S)
    fleet.assert_in_force(2)
    assert fleet.longest_wait_s < MAX_LINK_WAIT_S


def test_each_entry_gets_a_text_once():
    fleet = Fleet()
    fleet.apply(make_text(1, 1_640))
    fleet.run(IN_FORCE_S)
    assert fleet.texts_sent == ENTRIES


def test_entry_that_restarts_gets_a_text_without_waiting_for_a_retry():
    fleet = Fleet()
    fleet.apply(make_text(1, 1_640))
    fleet.run(2.0)
    # Two texts are on their way to the entry while it is down.
    fleet.dead = {"e000"}
    fleet.apply(make_text(2, 1_640))
    fleet.run(3.2)
    fleet.restart("e000")
    fleet.run(3.7)
    fleet.assert_in_force(2)


def test_followers_forget_entries_that_are_gone_for_long():
    fleet = Fleet(entries=2)
    fleet.has_lease = False
    fleet.run(1.0)
    assert set(fleet.publisher._held_texts) == {"e000", "e001"}
    fleet.dead = {"e000"}
    fleet.run(1.0 + ENTRY_RETENTION_S + 1.0)
    assert set(fleet.publisher._held_texts) == {"e001"}


ENTRY_IDS = st.sampled_from(["e1", "e2", "e3", "e4"])
STEPS = st.one_of(
    st.tuples(st.just("begin"), ENTRY_IDS, st.integers(1, 3), st.integers(1, 120)),
    st.tuples(st.just("confirm"), ENTRY_IDS, st.integers(1, 3)),
    st.tuples(st.just("forget"), ENTRY_IDS),
    st.tuples(st.just("retain"), st.sets(ENTRY_IDS)),
    st.tuples(st.just("wait"), st.floats(0.0, 3.0)),
)


@given(st.lists(STEPS, max_size=40))
def test_unconfirmed_bytes_stay_within_the_limit(steps):
    limit_bytes = 200
    transfers = TextTransfers(max_unconfirmed_bytes=limit_bytes, retry_s=1.0)
    now_s = 0.0
    # Size and time of the newest text of each entry that may still be on its way.
    sent = {}
    for name, *arguments in steps:
        if name == "wait":
            now_s += arguments[0]
        elif name == "begin":
            entry_id, number, size_bytes = arguments
            if transfers.begin(entry_id, number, size_bytes, now_s):
                sent[entry_id] = (number, size_bytes, now_s)
        elif name == "confirm":
            entry_id, number = arguments
            if transfers.confirm(entry_id, number):
                assert sent.pop(entry_id)[0] <= number
        elif name == "forget":
            transfers.forget(*arguments)
            sent.pop(arguments[0], None)
        else:
            transfers.retain(list(arguments[0]))
            sent = {key: value for key, value in sent.items() if key in arguments[0]}
        fresh = [size for _, size, at_s in sent.values() if now_s < at_s + 1.0]
        assert sum(fresh) <= limit_bytes
    # Once all have timed out, every entry may get a text again.
    now_s += 100.0
    assert all(transfers.begin(f"e{n}", 9, 50, now_s) for n in range(1, 5))
