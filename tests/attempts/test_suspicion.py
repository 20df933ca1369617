"""Tests that crashing requests are banned, and concurrent requests are not."""

import pytest

from chestnutvale.attempts import const
from chestnutvale.attempts.suspicion import (
    Banned,
    Clear,
    Suspected,
    SuspicionTracker,
    fingerprint_of,
)
from chestnutvale.attempts.suspicion_aggregator import SuspicionAggregator
from chestnutvale.schema.peer_pb2 import CrashSuspicion

NOW = 1_790_000_000_000
LATER = NOW + const.EVIDENCE_SETTLE_MS
GROUPS = [f"g{i}" for i in range(6)]
GUILTY = 99


def crash(tracker, group, at, *fingerprints, domain="", ran_ms=500, epoch=1):
    for fingerprint in fingerprints:
        attempt_id = f"{fingerprint}.{group}"
        tracker.attempt_started(
            attempt_id, fingerprint, group, epoch, domain or group, at - ran_ms
        )
    for fingerprint in fingerprints:
        tracker.group_crashed(f"{fingerprint}.{group}", at)


def judge(tracker, fingerprint, at):
    return tracker.judge(fingerprint, GROUPS, at)


@pytest.fixture
def tracker():
    return SuspicionTracker()


def test_second_crash_on_another_group_bans_for_a_stated_time(tracker):
    crash(tracker, "g0", NOW, GUILTY, 1, 2)
    assert isinstance(judge(tracker, GUILTY, LATER), Suspected)
    second = NOW + 2_000
    crash(tracker, "g1", second, GUILTY, 3)
    assert isinstance(judge(tracker, GUILTY, second), Suspected)
    end = second + const.BAN_MS
    settled = second + const.EVIDENCE_SETTLE_MS
    assert judge(tracker, GUILTY, settled) == Banned(end)
    assert judge(tracker, GUILTY, end - 1) == Banned(end)
    tracker.merge([], end)
    assert judge(tracker, GUILTY, end) == Clear()


def test_other_suspects_are_cleared_once_the_cause_is_found(tracker):
    crash(tracker, "g0", NOW, GUILTY, 1, 2)
    crash(tracker, "g1", NOW + 2_000, GUILTY, 3)
    at = NOW + 2_000 + const.EVIDENCE_SETTLE_MS
    assert [judge(tracker, f, at) for f in (1, 2, 3)] == [Clear()] * 3


def test_third_crash_separates_two_suspects(tracker):
    crash(tracker, "g0", NOW, GUILTY, 1)
    crash(tracker, "g1", NOW + 2_000, GUILTY, 1)
    at = NOW + 3_000
    assert isinstance(judge(tracker, GUILTY, at), Suspected)
    assert isinstance(judge(tracker, 1, at), Suspected)
    assert judge(tracker, 1, at).group_id != judge(tracker, GUILTY, at).group_id
    crash(tracker, "g2", NOW + 4_000, GUILTY, 5)
    at = NOW + 5_000
    assert isinstance(judge(tracker, GUILTY, at), Banned)
    assert judge(tracker, 1, at) == Clear()


def test_same_group_crashing_again_is_one_group(tracker):
    crash(tracker, "g0", NOW, GUILTY, epoch=1)
    crash(tracker, "g0", NOW + 2_000, GUILTY, epoch=2)
    assert isinstance(judge(tracker, GUILTY, NOW + 5_000), Suspected)


def test_fabric_domain_fault_incriminates_no_request(tracker):
    crash(tracker, "g0", NOW, 1, 2, domain="d")
    crash(tracker, "g1", NOW + 700, 1, 3, domain="d")
    crash(tracker, "g2", NOW + 900, 4, domain="d")
    assert judge(tracker, 1, NOW + 5_000) == Clear()


def test_two_crashes_do_not_ban_a_request_that_ran_longer(tracker):
    for number, group in enumerate(GROUPS[:3]):
        ran_ms = const.QUICK_CRASH_MS + 1
        crash(tracker, group, NOW + number * 20_000, 1, ran_ms=ran_ms)
        verdict = judge(tracker, 1, NOW + number * 20_000 + 1_000)
        assert isinstance(verdict, Banned) == (number == 2)


def test_whole_answer_clears_at_all_entries(tracker):
    crash(tracker, "g0", NOW, 1, 2)
    other = SuspicionTracker()
    other.merge(tracker.reports(NOW), NOW)
    tracker.attempt_started("1.b", 1, "g1", 1, "g1", NOW)
    tracker.answer_completed("1.b", NOW + 1_000)
    late = tracker.reports(NOW + 1_000)
    assert judge(tracker, 1, NOW + 1_000) == Clear()
    for order in (late, late[::-1]):
        other.merge(order, NOW + 1_000)
        assert judge(other, 1, NOW + 1_000) == Clear()
        assert isinstance(judge(other, 2, NOW + 1_000), Suspected)


def test_aggregator_merges_evidence_of_entries():
    entries = [SuspicionTracker(), SuspicionTracker(), SuspicionTracker()]
    aggregator = SuspicionAggregator()
    for at, group, entry in ((NOW, "g0", 0), (NOW + 2_000, "g1", 1)):
        crash(entries[entry], group, at, GUILTY)
        assert aggregator.merge(entries[entry].reports(at), at)
        assert not aggregator.merge(entries[entry].reports(at), at)
    at = NOW + 3_000
    entries[2].merge(aggregator.all_evidence(at), at)
    assert isinstance(judge(entries[2], GUILTY, at), Banned)
    late = NOW + 60_000
    assert aggregator.recent_evidence(late) == []
    assert len(aggregator.all_evidence(late)) == 2
    assert aggregator.all_evidence(at + const.EVIDENCE_RETENTION_MS) == []


def test_suspects_run_at_separate_groups_equal_for_all_entries():
    entries = [SuspicionTracker(), SuspicionTracker()]
    crash(entries[0], "g0", NOW, 1, 2, 3, ran_ms=9_000)
    crash(entries[1], "g0", NOW + 20, GUILTY, 5, ran_ms=100)
    for entry, other in (entries, entries[::-1]):
        entry.merge(other.reports(NOW), NOW)
    verdicts = [[judge(e, f, LATER) for f in (1, 2, 3, 5, GUILTY)] for e in entries]
    assert verdicts[0] == verdicts[1]
    assert len({v.group_id for v in verdicts[0]}) == 5
    assert "g0" not in {v.group_id for v in verdicts[0]}


def test_more_suspects_than_groups_take_turns_newest_first(tracker):
    for fingerprint in range(1, 8):
        crash(tracker, "g0", NOW, fingerprint, ran_ms=fingerprint * 1_000)
    times = [judge(tracker, f, LATER).not_before_unix_ms for f in range(1, 8)]
    first = NOW + const.EVIDENCE_SETTLE_MS
    assert times == [first] * 5 + [first + const.SUSPECT_ROUND_MS] * 2


def test_suspect_that_tried_every_group_has_no_group(tracker):
    crash(tracker, "g0", NOW, 1, 2)
    crash(tracker, "g1", NOW, 1, 2)
    assert tracker.judge(1, ["g0", "g1"], LATER).group_id == ""


def test_evidence_is_bounded(tracker):
    for number in range(const.MAX_CRASHES + 10):
        group = f"x{number}"
        piece = CrashSuspicion(
            fingerprint=1, group_id=group, crashed_at_unix_ms=NOW + number
        )
        tracker.merge([piece], NOW)
    assert len(tracker.evidence.crashes()) == const.MAX_CRASHES


def test_fingerprint_is_that_of_the_work():
    body = {"model": "m", "messages": [{"role": "user", "content": "a"}], "user": "u"}
    same = {"stream": True, "messages": body["messages"], "model": "m"}
    other = {**body, "messages": [{"role": "user", "content": "b"}]}
    assert fingerprint_of("s", body) == fingerprint_of("s", same)
    assert fingerprint_of("s", body) != fingerprint_of("s", other)
    assert fingerprint_of("s", body) != fingerprint_of("t", body)
