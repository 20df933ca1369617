"""Simulates entries whose requests share a prompt part that crashes endpoints."""

import heapq
import itertools
import random
from types import SimpleNamespace

import attrs
import pytest

from chestnutvale.attempts import const
from chestnutvale.attempts.events import ChooseGroup, GroupChosen
from chestnutvale.attempts.prompt_parts import hash_shared_parts
from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.attempts.suspicion_aggregator import SuspicionAggregator
from chestnutvale.programs.entry.context import CallRequest
from chestnutvale.programs.entry.group_chooser import GroupChooser
from chestnutvale.programs.entry.routed.const import BAN_AFTER_CRASHES
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.peer_pb2 import GroupView

START_UNIX_MS = 1_790_000_000_000
ENTRIES = 12
GROUPS = 20
REQUESTS_PER_S = 33.0
CRASHING_SHARE = 0.4
MESSAGE_DELAY_MS = 100
RESTART_MS = 3_000
MAX_ATTEMPTS = 2
DURATION_MS = 14_000
# Delay after the fifth crash from which the limits apply.
CONTACT_MS = 3_000
MAX_LATE_SENDS = 3
MIN_HARMLESS_SHARE = 0.5
CRASHING_PART = "c4a5"
FIRST_PART = "f1"
OTHER_PARTS = [f"{number:02x}" for number in range(8)]


@attrs.define(eq=False)
class SimulatedCall:
    """A call and its last attempt."""

    number: int
    entry: int
    is_crashing: bool
    chooser: GroupChooser
    accepted_ms: int
    attempts: int = 0
    has_begun: bool = False
    group_id: str = ""
    epoch: int = 0
    excluded: set = attrs.field(factory=set)

    @property
    def attempt_id(self):
        return f"{self.number}.{self.attempts}"


class Simulation:
    """Entries, a control and groups with simulated time in milliseconds."""

    def __init__(
        self,
        seed,
        leaderless_ms=0,
        other_parts=2,
        crashing_share=CRASHING_SHARE,
        groups=GROUPS,
        requests_per_s=REQUESTS_PER_S,
        harmless_until_ms=0,
        duration_ms=DURATION_MS,
    ):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.calls = []
        self.crashes_ms = []
        self.crashing_sends_ms = []
        self._leaderless_ms = leaderless_ms
        self._other_parts = other_parts
        self._crashing_share = crashing_share
        self._requests_per_s = requests_per_s
        self._harmless_until_ms = harmless_until_ms
        self._duration_ms = duration_ms
        self._queue = []
        self._sequence = itertools.count()
        self._epochs = {f"g{number:02}": 1 for number in range(groups)}
        self._up_at_ms = dict.fromkeys(self._epochs, 0)
        self._running = {group_id: set() for group_id in self._epochs}
        self._control = SuspicionAggregator()
        self.trackers = [
            SuspicionTracker(BAN_AFTER_CRASHES, self.rng) for _ in range(ENTRIES)
        ]
        self._contexts = [self._make_context(tracker) for tracker in self.trackers]
        for number, tracker in enumerate(self.trackers):
            tracker.notify = lambda number=number: self._schedule_report(number)

    def _make_context(self, tracker):
        clock = SimpleNamespace(now_s=lambda: self.now_ms / 1_000, unix_ms=self.unix_ms)
        return SimpleNamespace(
            clock=clock,
            suspicions=tracker,
            serving_groups=lambda service, version: sorted(self._epochs),
            has_lease=lambda now_s: True,
            has_crashed=lambda group, is_engine: True,
            is_evacuated=lambda endpoint: False,
            choose_group=self._choose_group,
            earliest_return_s=lambda service: None,
            next_send_s=lambda service: None,
            is_isolated=False,
            group_epoch=self._epochs.get,
        )

    def unix_ms(self):
        return START_UNIX_MS + self.now_ms

    def schedule(self, delay_ms, action, *arguments):
        at_ms = self.now_ms + round(delay_ms)
        heapq.heappush(self._queue, (at_ms, next(self._sequence), action, arguments))

    def run(self):
        self._send_next_request()
        while self._queue and self._queue[0][0] < self._duration_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)

    def _send_next_request(self):
        is_crashing = self.rng.random() < self._crashing_share
        parts = [FIRST_PART, *self.rng.sample(OTHER_PARTS, self._other_parts)]
        if is_crashing:
            parts.insert(self.rng.randrange(1, len(parts) + 1), CRASHING_PART)
        number = len(self.calls) + 1
        part_hashes = hash_shared_parts("llm", [*parts, f"{number:x}"])
        entry = self.rng.randrange(ENTRIES)
        request = CallRequest(f"{number}", "w", "llm", "normal", b"", 10, "", 1e9)
        chooser = GroupChooser(
            self._contexts[entry], request, number, lambda wait_s: True, part_hashes
        )
        call = SimulatedCall(number, entry, is_crashing, chooser, self.now_ms)
        self.calls.append(call)
        self._start_attempt(call)
        interval_ms = self.rng.expovariate(self._requests_per_s / 1_000)
        self.schedule(interval_ms, self._send_next_request)

    def _choose_group(self, request, excluded, version):
        available = [
            group_id
            for group_id, up_at_ms in self._up_at_ms.items()
            if up_at_ms <= self.now_ms and group_id not in excluded
        ]
        if not available:
            return None
        group_id = self.rng.choice(available)
        member = GroupMember(host_id=group_id, address="10.0.0.1:1", rank=0)
        epoch = self._epochs[group_id]
        group = Group(group_id=group_id, epoch=epoch, version="1", members=[member])
        return GroupView(group=group, serving=True)

    def _start_attempt(self, call):
        event = call.chooser.choose(ChooseGroup(frozenset(call.excluded), ""))
        if not isinstance(event, GroupChosen):
            return
        call.attempts += 1
        call.group_id, call.epoch = event.group_id, event.epoch
        call.chooser.attempt_started(call.attempt_id)
        self._running[call.group_id].add(call)
        if call.is_crashing:
            self.crashing_sends_ms.append(self.now_ms)
        self.schedule(self.rng.uniform(100, 200), self._begin, call, call.attempts)

    def _is_running(self, call, attempts):
        return call.attempts == attempts and call in self._running[call.group_id]

    def _begin(self, call, attempts):
        if not self._is_running(call, attempts):
            return
        call.has_begun = call.has_begun or attempts == 1
        if call.is_crashing and self.now_ms >= self._harmless_until_ms:
            self.schedule(self.rng.uniform(39, 110), self._crash, call, attempts)
        else:
            self.schedule(
                const.HARMLESS_WRITING_MS, self._record_harmless, call, attempts
            )
            self.schedule(self.rng.uniform(300, 2_500), self._complete, call, attempts)

    def _record_harmless(self, call, attempts):
        if self._is_running(call, attempts):
            call.chooser.answer_progressed(call.attempt_id)

    def _complete(self, call, attempts):
        if not self._is_running(call, attempts):
            return
        self._running[call.group_id].remove(call)
        tracker = self.trackers[call.entry]
        tracker.answer_completed(call.attempt_id, self.unix_ms())

    def _crash(self, call, attempts):
        if self._is_running(call, attempts):
            self.crashes_ms.append(self.now_ms)
            self.crash_group(call.group_id)

    def crash_group(self, group_id):
        if self._up_at_ms[group_id] > self.now_ms:
            return
        self._epochs[group_id] += 1
        self._up_at_ms[group_id] = self.now_ms + RESTART_MS
        broken, self._running[group_id] = self._running[group_id], set()
        for call in sorted(broken, key=lambda call: call.number):
            call.excluded.add(group_id)
            call.chooser.check_for_crash(call.attempt_id)
            if call.attempts < MAX_ATTEMPTS:
                self._start_attempt(call)

    def _schedule_report(self, entry):
        leader_at_ms = self._find_leader_return_ms()
        delay_ms = max(MESSAGE_DELAY_MS, leader_at_ms - self.now_ms)
        self.schedule(delay_ms, self._deliver_report, entry)

    def _find_leader_return_ms(self):
        if not self.crashes_ms or not self._leaderless_ms:
            return 0
        return self.crashes_ms[0] + self._leaderless_ms

    def _deliver_report(self, entry):
        now_unix_ms = self.unix_ms()
        reports = self.trackers[entry].reports(now_unix_ms)
        if self._control.merge(reports, now_unix_ms):
            evidence = self._control.recent_evidence(now_unix_ms)
            self.schedule(MESSAGE_DELAY_MS, self._deliver_evidence, evidence)

    def _deliver_evidence(self, evidence):
        for tracker in self.trackers:
            tracker.merge(evidence, self.unix_ms())

    # Results.

    def count_late_sends(self):
        if len(self.crashes_ms) < 5:
            return 0
        limit_ms = self.crashes_ms[4] + CONTACT_MS
        return sum(sent_ms > limit_ms for sent_ms in self.crashing_sends_ms)

    def find_harmless_share(self):
        crashes_ms = self.crashes_ms
        from_ms = (crashes_ms[4] if len(crashes_ms) >= 5 else 0) + 2 * CONTACT_MS
        harmless = [
            call
            for call in self.calls
            if not call.is_crashing
            and from_ms <= call.accepted_ms <= self._duration_ms - 1_000
        ]
        assert len(harmless) > 20
        return sum(call.has_begun for call in harmless) / len(harmless)


@pytest.mark.parametrize("leaderless_ms", [0, 2_000])
def test_part_that_crashed_five_groups_reaches_no_more_of_them(leaderless_ms):
    for seed in range(5):
        simulation = Simulation(seed, leaderless_ms)
        simulation.run()
        assert len(simulation.crashes_ms) >= BAN_AFTER_CRASHES
        assert simulation.count_late_sends() <= MAX_LATE_SENDS
        assert simulation.find_harmless_share() >= MIN_HARMLESS_SHARE


@pytest.mark.parametrize(
    "variant",
    [
        {"harmless_until_ms": 2_000},
        {"groups": 3, "requests_per_s": 9.0, "duration_ms": 30_000},
        {"groups": 6, "requests_per_s": 15.0, "other_parts": 1},
        {"requests_per_s": 8.0, "duration_ms": 30_000},
        {"other_parts": 0},
        {"other_parts": 6},
    ],
)
def test_part_stays_banned_in_other_fleets_and_loads(variant):
    for seed in range(5):
        simulation = Simulation(seed, **variant)
        simulation.run()
        assert simulation.count_late_sends() <= MAX_LATE_SENDS
        assert simulation.find_harmless_share() >= MIN_HARMLESS_SHARE


def test_groups_that_crash_together_twice_ban_no_shared_part():
    for seed in range(5):
        simulation = Simulation(seed, crashing_share=0.0)
        for at_ms in (2_000, 6_000):
            for group_id in [f"g{number:02}" for number in range(GROUPS)]:
                delay_ms = simulation.rng.uniform(0, 300)
                simulation.schedule(at_ms + delay_ms, simulation.crash_group, group_id)
        simulation.run()
        late = [c for c in simulation.calls if 9_500 <= c.accepted_ms <= 13_000]
        assert len(late) > 50
        assert all(call.has_begun for call in late)


def crash(tracker, at_unix_ms, group_id, *part_hashes, started_unix_ms=None):
    attempt_id = f"{at_unix_ms}.1"
    started_unix_ms = started_unix_ms or at_unix_ms - 100
    tracker.attempt_started(
        attempt_id, at_unix_ms, group_id, 1, "", started_unix_ms, part_hashes
    )
    tracker.group_crashed(attempt_id, at_unix_ms)


@pytest.fixture
def tracker():
    return SuspicionTracker(BAN_AFTER_CRASHES, random.Random(1))


def is_banned(tracker, at_unix_ms, *part_hashes):
    return tracker.part_bans.find_refusal(part_hashes, at_unix_ms) is not None


SETTLED = START_UNIX_MS + 2_000 + const.PART_EVIDENCE_SETTLE_MS


def test_parts_that_ran_in_the_same_crashes_are_only_refused_together(tracker):
    for number in range(3):
        crash(tracker, START_UNIX_MS + number * 1_000, f"g{number}", 1, 2, 10 + number)
    assert is_banned(tracker, SETTLED, 1, 2, 99)
    assert not is_banned(tracker, SETTLED, 1, 99)
    assert not is_banned(tracker, SETTLED, 2, 99)
    crash(tracker, START_UNIX_MS + 2_100, "g4", 2, 77)
    settled = SETTLED + 100
    assert is_banned(tracker, settled, 2, 99)
    assert not is_banned(tracker, settled, 1, 99)


def test_harmless_writing_clears_earlier_crashes_but_no_later_one(tracker):
    for number in range(3):
        at_unix_ms = START_UNIX_MS + number * 500
        crash(tracker, at_unix_ms, f"g{number}", 1)
        tracker.attempt_started("s.1", 9, "g9", 1, "", at_unix_ms, (1,))
        tracker.answer_progressed("s.1", at_unix_ms + 200)
    assert not is_banned(tracker, SETTLED, 1)
    for number in range(3):
        crash(tracker, START_UNIX_MS + 1_300 + number * 300, f"g{3 + number}", 1)
    assert is_banned(tracker, SETTLED, 1)


def test_part_written_harmlessly_after_a_crash_is_cleared_when_the_evidence_arrives(
    tracker,
):
    other = SuspicionTracker(BAN_AFTER_CRASHES)
    for number in range(3):
        crash(other, START_UNIX_MS + number * 200, f"g{number}", 1)
    tracker.attempt_started("s.1", 9, "g9", 1, "", START_UNIX_MS, (1,))
    tracker.answer_progressed("s.1", START_UNIX_MS + 500)
    tracker.merge(other.reports(START_UNIX_MS + 600), START_UNIX_MS + 600)
    assert not is_banned(tracker, SETTLED, 1)
    other.merge(tracker.reports(START_UNIX_MS + 700), START_UNIX_MS + 700)
    assert not is_banned(other, SETTLED, 1)


def test_attempt_that_wrote_harmlessly_is_no_suspect_of_a_later_crash(tracker):
    for number in range(3):
        at_unix_ms = START_UNIX_MS + number * 500
        attempt_id = f"{number}.1"
        tracker.attempt_started(
            attempt_id, 9 + number, f"g{number}", 1, "", at_unix_ms - 400, (1,)
        )
        tracker.answer_progressed(attempt_id, at_unix_ms - 100)
        tracker.group_crashed(attempt_id, at_unix_ms)
    assert not is_banned(tracker, SETTLED, 1)


def test_crashes_of_one_group_ban_later_than_those_of_several(tracker):
    for number in range(const.BAN_CRASHES_ONE_GROUP):
        at_unix_ms = START_UNIX_MS + number * 500
        assert not is_banned(tracker, at_unix_ms, 1)
        tracker.attempt_started("a.1", 1, "g", number, "", at_unix_ms - 100, (1,))
        tracker.group_crashed("a.1", at_unix_ms)
    assert is_banned(tracker, SETTLED, 1)


def test_crash_reported_by_a_clock_ahead_can_be_cleared(tracker):
    ahead = SuspicionTracker(BAN_AFTER_CRASHES)
    for number in range(3):
        crash(ahead, START_UNIX_MS + 3_600_000 + number, f"g{number}", 1)
    tracker.merge(ahead.reports(START_UNIX_MS), START_UNIX_MS)
    tracker.attempt_started("s.1", 9, "g9", 1, "", START_UNIX_MS, (1,))
    tracker.answer_progressed("s.1", START_UNIX_MS + 200)
    assert not tracker.part_bans.evidence.suspected_parts([1])


def test_flood_of_other_crashes_does_not_end_a_ban(tracker):
    for number in range(3):
        crash(tracker, START_UNIX_MS + number * 1_000, f"g{number}", 1)
    assert is_banned(tracker, SETTLED, 1)
    control = SuspicionAggregator()
    control.merge(tracker.reports(SETTLED), SETTLED)
    for number in range(2 * const.MAX_CRASHES):
        parts = range(1_000 + number * 50, 1_050 + number * 50)
        crash(tracker, SETTLED + number, f"x{number}", *parts)
        if number % 100 == 0:
            control.merge(tracker.reports(SETTLED + number), SETTLED + number)
    assert is_banned(tracker, SETTLED + 1_000, 1)
    assert control.parts.suspected_parts([1]) == [1]
    crashes = {p.group_id for p in tracker.part_bans.evidence.to_suspicions()}
    assert len(crashes) == const.MAX_CRASHES


def test_new_leader_learns_a_ban_that_is_older_than_the_repeated_evidence(tracker):
    for number in range(3):
        crash(tracker, START_UNIX_MS + number * 1_000, f"g{number}", 1, 2 + number)
    later_unix_ms = SETTLED + 60_000
    assert tracker.reports(later_unix_ms) == []
    tracker.repeat_bans(later_unix_ms)
    leader = SuspicionAggregator()
    leader.merge(tracker.reports(later_unix_ms), later_unix_ms)
    assert leader.parts.suspected_parts([1, 2]) == [1]
    new_entry = SuspicionTracker(BAN_AFTER_CRASHES)
    new_entry.merge(leader.all_evidence(later_unix_ms), later_unix_ms)
    assert is_banned(new_entry, later_unix_ms, 1)


def test_entry_that_returns_learns_of_clears_that_it_missed(tracker):
    leader = SuspicionAggregator()
    other = SuspicionTracker(BAN_AFTER_CRASHES)
    for number in range(3):
        crash(tracker, START_UNIX_MS + number * 1_000, f"g{number}", 1)
    leader.merge(tracker.reports(SETTLED), SETTLED)
    other.merge(leader.recent_evidence(SETTLED), SETTLED)
    other.attempt_started("s.1", 9, "g9", 1, "", SETTLED, (1,))
    other.answer_progressed("s.1", SETTLED)
    leader.merge(other.reports(SETTLED), SETTLED)
    later_unix_ms = SETTLED + 60_000
    assert is_banned(tracker, later_unix_ms, 1)
    tracker.merge(leader.all_evidence(later_unix_ms), later_unix_ms)
    assert not is_banned(tracker, later_unix_ms, 1)


def ban_part(tracker, part, count=3):
    for number in range(count):
        crash(tracker, START_UNIX_MS + number * 1_000, f"g{number}", part)
    assert is_banned(tracker, SETTLED, part)
    return START_UNIX_MS + (count - 1) * 1_000


def find_trials(tracker, from_unix_ms, until_unix_ms, part):
    trials = []
    for at_unix_ms in range(from_unix_ms, until_unix_ms, 100):
        if not is_banned(tracker, at_unix_ms, part):
            trials.append(at_unix_ms)
            tracker.attempt_started("t.1", 9, "g9", 1, "", at_unix_ms, (part,))
    return trials


def test_ban_ends_by_a_trial_that_is_harmless(tracker):
    last_unix_ms = ban_part(tracker, 1)
    ban_end_unix_ms = last_unix_ms + const.PART_BAN_MS
    trial_end_unix_ms = ban_end_unix_ms + const.PART_TRIAL_SPREAD_MS
    [trial_unix_ms] = find_trials(tracker, SETTLED, trial_end_unix_ms, 1)
    assert trial_unix_ms >= ban_end_unix_ms
    tracker.answer_progressed("t.1", trial_unix_ms + 300)
    assert not is_banned(tracker, trial_unix_ms + 301, 1)


def test_crash_of_a_trial_renews_the_ban_at_once(tracker):
    last_unix_ms = ban_part(tracker, 1)
    until_unix_ms = last_unix_ms + const.PART_BAN_MS + const.PART_TRIAL_SPREAD_MS
    [trial_unix_ms] = find_trials(tracker, SETTLED, until_unix_ms, 1)
    tracker.group_crashed("t.1", trial_unix_ms + 200)
    from_unix_ms = trial_unix_ms + 200
    assert find_trials(tracker, from_unix_ms, from_unix_ms + const.PART_BAN_MS, 1) == []
    counts = tracker.part_bans.counts
    assert (counts["banned"], counts["trial"]) == (1, 1)
    assert counts["refused"] > 1_000


def test_answer_that_began_before_the_crashes_clears_nothing_at_its_end(tracker):
    tracker.attempt_started("s.1", 9, "g9", 1, "", START_UNIX_MS - 900, (1,))
    tracker.answer_progressed("s.1", START_UNIX_MS - 500)
    ban_part(tracker, 1)
    tracker.answer_completed("s.1", SETTLED)
    assert is_banned(tracker, SETTLED, 1)


def test_ban_holds_while_the_clock_has_stepped_back(tracker):
    ban_part(tracker, 1)
    stepped_unix_ms = SETTLED - 10_000
    crash(tracker, stepped_unix_ms, "g8", 2)
    assert is_banned(tracker, stepped_unix_ms + 200, 1)
