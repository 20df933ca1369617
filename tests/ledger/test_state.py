"""Ledger state: exclusive claims, size limits, expiry and snapshots."""

import pytest

from chestnutvale.ledger import const
from chestnutvale.ledger.records import MAX_STALE_HEAP_ENTRIES, LedgerBounds
from chestnutvale.ledger.state import LedgerState
from chestnutvale.schema.ledger_pb2 import (
    AbandonClaims,
    Claim,
    ExpireClaims,
    LedgerSnapshot,
    RecordedAnswer,
    RecordOutcome,
    ReleaseClaim,
)

NOW = 1_790_000_000_000
DEADLINE = NOW + 10_000


def make_claim(claim_id="c1", **changes):
    fields = {
        "workspace": "ws",
        "service": "app",
        "key": "k",
        "body_sha256": "b1",
        "claim_id": claim_id,
        "entry_id": "e1",
        "entry_incarnation": "i1",
        "deadline_unix_ms": DEADLINE,
    }
    return Claim(**{**fields, **changes})


def claim(state, *args, at=NOW, **changes):
    return state.apply_claim(make_claim(*args, **changes), at).outcome


def record(state, claim_id="c1", body=b"a"):
    answer = RecordedAnswer(status=201, body=body)
    message = RecordOutcome(claim_id=claim_id, answer=answer)
    return state.apply_record_outcome(message, NOW).outcome


def release(state, claim_id="c1", at=NOW):
    return state.apply_release_claim(ReleaseClaim(claim_id=claim_id), at).outcome


def expire(state, now):
    state.apply_expire_claims(ExpireClaims(now_unix_ms=now), now)


@pytest.fixture
def state():
    return LedgerState()


def test_one_claim_holds_a_key_and_may_ask_again(state):
    assert claim(state) == const.CLAIM_CLAIMED
    assert claim(state) == const.CLAIM_CLAIMED
    assert claim(state, "c2") == const.CLAIM_RUNNING
    assert claim(state, "c2", body_sha256="b2") == const.CLAIM_MISMATCH
    assert claim(state, "c2", workspace="other") == const.CLAIM_CLAIMED
    assert claim(state, "c3", service="other") == const.CLAIM_CLAIMED


def test_claim_id_can_not_hold_two_keys(state):
    claim(state)
    assert claim(state, key="other") == const.CLAIM_INVALID


def test_first_recorded_answer_stays(state):
    claim(state)
    record(state)
    record(state, body=b"b")
    result = state.apply_claim(make_claim("c2"), NOW)
    assert (result.outcome, result.answer.body) == (const.CLAIM_RECORDED, b"a")
    assert release(state) == const.CLAIM_INVALID
    assert claim(state, "c3") == const.CLAIM_RECORDED


def test_released_claim_frees_the_key_and_never_comes_back(state):
    claim(state)
    assert release(state) == const.CLAIM_DONE
    assert claim(state) == const.CLAIM_RELEASED
    assert claim(state, "c2") == const.CLAIM_CLAIMED
    assert release(state, "c3") == const.CLAIM_DONE
    assert claim(state, "c3", key="late") == const.CLAIM_RELEASED
    expire(state, NOW + const.RELEASED_RETENTION_MS)
    assert claim(state, "c3", key="late") == const.CLAIM_CLAIMED


def test_abandoned_claims_are_unknown_and_may_still_be_recorded(state):
    claim(state)
    claim(state, "c2", key="k2", entry_incarnation="i2")
    claim(state, "c3", key="k3", entry_id="e2")
    state.apply_abandon_claims(AbandonClaims(entry_id="e1", live_incarnation="i2"), NOW)
    assert claim(state, "c4") == const.CLAIM_UNKNOWN
    assert claim(state) == const.CLAIM_UNKNOWN
    assert claim(state, "c4", key="k2") == const.CLAIM_RUNNING
    assert claim(state, "c4", key="k3") == const.CLAIM_RUNNING
    assert state.running_claim_holders() == {("e1", "i2"), ("e2", "i1")}
    record(state)
    assert claim(state, "c4") == const.CLAIM_RECORDED


def test_outcome_without_an_answer_is_unknown(state):
    claim(state)
    state.apply_record_outcome(RecordOutcome(claim_id="c1"), NOW)
    assert claim(state, "c2") == const.CLAIM_UNKNOWN


def test_overdue_claim_is_unknown_and_the_key_is_forgotten_at_its_time(state):
    claim(state)
    overdue = DEADLINE + const.CLAIM_GRACE_MS
    assert not state.needs_expiry(overdue - 1)
    assert state.needs_expiry(overdue)
    expire(state, overdue - 1)
    assert claim(state, "c2") == const.CLAIM_RUNNING
    expire(state, overdue)
    assert claim(state, "c2") == const.CLAIM_UNKNOWN
    end = NOW + const.KEY_RETENTION_MS
    assert claim(state, "c2", at=end - 1) == const.CLAIM_UNKNOWN
    fresh = {"deadline_unix_ms": end + 1}
    assert claim(state, "c2", at=end, **fresh) == const.CLAIM_CLAIMED
    expire(state, end + const.KEY_RETENTION_MS)
    assert (state.record_count, state.size_bytes) == (0, 0)


@pytest.mark.parametrize("deadline", [0, 2**63])
def test_claim_without_a_sane_deadline_is_bounded(state, deadline):
    claim(state, deadline_unix_ms=deadline)
    expire(state, NOW + const.MAX_CLAIM_DURATION_MS + const.CLAIM_GRACE_MS)
    assert claim(state, "c2") == const.CLAIM_UNKNOWN


@pytest.mark.parametrize(
    "changes",
    [{"key": ""}, {"key": "k" * 257}, {"workspace": ""}, {"claim_id": ""}],
)
def test_invalid_claim_is_refused(state, changes):
    assert claim(state, **changes) == const.CLAIM_INVALID
    assert state.record_count == 0


def test_large_body_is_dropped_and_marked_as_dropped(state):
    claim(state)
    record(state, body=b"x" * (const.MAX_ANSWER_BYTES + 1))
    answer = state.apply_claim(make_claim("c2"), NOW).answer
    assert (answer.status, answer.body, answer.body_dropped) == (201, b"", True)


def test_bounds_hold_and_leave_room_for_other_workspaces():
    bounds = LedgerBounds(max_records=4, max_bytes=10_000, max_workspace_share=0.5)
    state = LedgerState(bounds)
    outcomes = [claim(state, f"c{i}", key=f"k{i}") for i in range(3)]
    assert outcomes == [const.CLAIM_CLAIMED] * 2 + [const.CLAIM_FULL]
    assert claim(state, "d", workspace="other") == const.CLAIM_CLAIMED
    record(state, "c0", body=b"x" * 8_000)
    answer = state.apply_claim(make_claim("e", key="k0"), NOW).answer
    assert answer.body_dropped
    assert state.size_bytes < 10_000
    release(state, "c1")
    assert claim(state, "f", key="k5") == const.CLAIM_CLAIMED


def test_snapshot_keeps_everything(state):
    claim(state)
    claim(state, "c2", key="k2")
    record(state)
    release(state, "c9")
    data = state.to_snapshot().SerializeToString()
    copy = LedgerState.from_snapshot(LedgerSnapshot.FromString(data))
    assert copy.to_snapshot() == state.to_snapshot()
    assert copy.size_bytes == state.size_bytes
    assert claim(copy, "c9", key="k9") == const.CLAIM_RELEASED
    claim(copy, "c3", key="k3")
    assert state.record_count == 2


def test_released_keys_leave_nothing_behind(state):
    for number in range(5_000):
        claim(state, f"c{number}", key=f"k{number % 7}")
        release(state, f"c{number}")
    assert state.record_count == 0
    assert len(state._table._expiry_heap) <= MAX_STALE_HEAP_ENTRIES
    assert not state.running_claim_holders()


def test_claim_repeated_after_expiry_gets_the_full_retention(state):
    claim(state)
    end = NOW + const.KEY_RETENTION_MS
    assert claim(state, at=end) == const.CLAIM_RELEASED
    fresh = {"deadline_unix_ms": end + 1}
    assert claim(state, at=end, **fresh) == const.CLAIM_CLAIMED
    expire(state, end)
    assert claim(state, "c2", at=end) == const.CLAIM_RUNNING
