"""Randomised schedules of non-repeatable calls with crashes and lost messages.

Guards against running a call twice and against reporting a wrong outcome. Entries may
be killed at each step; commits and sends may be lost, delayed or duplicated.
"""

import random

import pytest

from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallerDisconnected,
    ChooseGroup,
    Finish,
    GroupChosen,
    NoGroupAvailable,
    StartAttempt,
    Started,
    Tick,
)
from chestnutvale.attempts.retry_budget import AttemptBudgets
from chestnutvale.attempts.service_call import ServiceCall
from chestnutvale.attempts.service_events import (
    ClaimAnswered,
    ClaimNotProposed,
    ClaimUnknown,
    Connected,
    EndpointAnswered,
    Reply,
    SendRequest,
    SubmitClaim,
    SubmitOutcome,
    SubmitRelease,
)
from chestnutvale.ledger.const import CLAIM_GRACE_MS, PHASE_RUNNING
from chestnutvale.ledger.state import LedgerState
from chestnutvale.schema.ledger_pb2 import (
    AbandonClaims,
    Claim,
    ExpireClaims,
    RecordedAnswer,
    RecordOutcome,
    ReleaseClaim,
)

SCHEDULES = 2_000
KEYS = ("k1", "k2")
CALL_S = 20.0
UNKNOWN = object()


class SimulatedSystem:
    """A ledger, an endpoint and entries, driven by one random schedule."""

    def __init__(self, seed, make_call=ServiceCall, ledger=None):
        self.rng = random.Random(seed)
        self.make_call = make_call
        self.ledger = ledger or LedgerState()
        self.now_s = 1_000.0
        self.incarnations = {f"e{i}": 1 for i in range(3)}
        # Steps that may run next: greenlets of entries, and delayed messages.
        self.threads = []
        self.late = []
        self.runs = {}
        self.replies_sent = []
        self.released = set()

    def apply(self, command):
        apply = getattr(self.ledger, f"apply_{command[0]}")
        return apply(command[1], int(self.now_s * 1_000))

    def commit(self, command):
        """Commit, lose, delay or duplicate; return UNKNOWN if the result is lost."""
        fate = self.rng.choice(["ok", "ok", "ok", "unsaid", "lost", "late", "double"])
        if fate in ("ok", "unsaid", "double"):
            result = self.apply(command)
            if fate == "double":
                self.late.append(lambda: self.apply(command))
            return UNKNOWN if fate == "unsaid" else result
        if fate == "late":
            self.late.append(lambda: self.apply(command))
        return UNKNOWN

    def start_call(self, key, body):
        entry = self.rng.choice(list(self.incarnations))
        incarnation = self.incarnations[entry]
        call_id = (
            f"{entry}-{incarnation}-{len(self.replies_sent)}-{self.rng.getrandbits(40)}"
        )
        call = self.make_call(
            call_id,
            self.now_s + CALL_S,
            AttemptBudgets(),
            repeatable=False,
            has_key=True,
        )
        claim = Claim(
            workspace="ws",
            service="app",
            key=key,
            body_sha256=body,
            claim_id=call_id,
            entry_id=entry,
            entry_incarnation=str(incarnation),
            deadline_unix_ms=int((self.now_s + CALL_S) * 1_000),
        )
        self.threads.append(
            (entry, incarnation, self.run_call(call, claim, entry, incarnation))
        )

    def run_call(self, call, claim, entry, incarnation):
        """Perform the effects of a call; the entry may be killed at each yield."""
        effects = call.handle(Started(), self.now_s)
        while effects:
            effect = effects.pop(0)
            if not isinstance(effect, SubmitRelease | Finish | Reply):
                yield
            event = self.perform(effect, claim, entry, incarnation)
            if not call.is_answered:
                if self.now_s >= call.next_tick_s:
                    effects += call.handle(Tick(), self.now_s)
                elif self.rng.random() < 0.03:
                    effects += call.handle(CallerDisconnected(), self.now_s)
            if event is not None:
                effects += self.send_at_once(
                    call.handle(event, self.now_s), call, claim
                )

    def send_at_once(self, effects, call, claim):
        """Send in the same step, as no greenlet switch occurs before the send."""
        following = []
        for effect in effects:
            if isinstance(effect, SendRequest):
                event = self.send(effect, claim)
                following += call.handle(event, self.now_s)
            else:
                following.append(effect)
        return following

    def perform(self, effect, claim, entry, incarnation):
        if isinstance(effect, SubmitClaim):
            if self.rng.random() < 0.05:
                return ClaimNotProposed()
            result = self.commit(("claim", claim))
            if result is UNKNOWN:
                return ClaimUnknown()
            return ClaimAnswered(result.outcome, result.answer)
        if isinstance(effect, ChooseGroup):
            is_found = self.rng.random() < 0.9
            return GroupChosen("g", 1, "") if is_found else NoGroupAvailable(1.0)
        if isinstance(effect, StartAttempt):
            if self.rng.random() < 0.2:
                return AttemptRefused(effect.attempt_id, "unreachable")
            return Connected(effect.attempt_id, self.rng.random() < 0.9)
        if isinstance(effect, SubmitOutcome):
            outcome = RecordOutcome(claim_id=claim.claim_id, answer=effect.answer)
            self.write(("record_outcome", outcome), entry, incarnation)
        elif isinstance(effect, SubmitRelease):
            release = ReleaseClaim(claim_id=claim.claim_id)
            self.write(("release_claim", release), entry, incarnation)
        elif isinstance(effect, Reply | Finish):
            self.replies_sent.append((claim, effect, self.run_count(claim.key)))
        return None

    def write(self, command, entry, incarnation):
        """Retry a write until it is committed, as the entry's writer does."""

        def run():
            while self.commit(command) is UNKNOWN:
                yield
            if command[0] == "release_claim":
                self.released.add(command[1].claim_id)

        self.threads.append((entry, incarnation, run()))

    def send(self, effect, claim):
        fate = self.rng.choice(["ok", "ok", "silent", "never", "late"])
        answer = RecordedAnswer(status=201, body=claim.claim_id.encode())
        if fate in ("ok", "silent"):
            self.run_endpoint(claim)
        if fate == "late":
            self.late.append(lambda: self.run_endpoint(claim))
        if fate == "ok":
            return EndpointAnswered(effect.attempt_id, answer)
        return AttemptBroken(effect.attempt_id, fate)

    def run_endpoint(self, claim):
        self.runs.setdefault(claim.key, []).append(claim)

    def run_count(self, key):
        return len(self.runs.get(key, ()))

    def kill_entry(self):
        entry = self.rng.choice(list(self.incarnations))
        self.incarnations[entry] += 1
        self.threads = [t for t in self.threads if self.incarnations[t[0]] == t[1]]
        self.late.append(lambda: self.abandon(entry, self.incarnations[entry]))

    def abandon(self, entry, live):
        message = AbandonClaims(entry_id=entry, live_incarnation=str(live))
        self.apply(("abandon_claims", message))

    def step(self):
        choice = self.rng.random()
        if choice < 0.1 and len(self.replies_sent) < 30:
            body = "b2" if self.rng.random() < 0.1 else "b1"
            self.start_call(self.rng.choice(KEYS), body)
        elif choice < 0.15:
            self.kill_entry()
        elif choice < 0.2:
            # A live entry that was partitioned or suspended is declared lost.
            self.abandon(self.rng.choice(list(self.incarnations)), "none")
        elif choice < 0.3 and self.late:
            self.late.pop(self.rng.randrange(len(self.late)))()
        elif choice < 0.35:
            self.now_s += self.rng.choice([1.0, CALL_S, 2 * CALL_S])
            self.expire()
        elif self.threads:
            self.step_thread(self.rng.choice(self.threads))

    def step_thread(self, thread):
        try:
            next(thread[2])
        except StopIteration:
            self.threads.remove(thread)

    def expire(self):
        now_unix_ms = int(self.now_s * 1_000)
        self.apply(("expire_claims", ExpireClaims(now_unix_ms=now_unix_ms)))

    def run(self):
        for _ in range(150):
            self.step()
        while self.threads or self.late:
            if self.late:
                self.late.pop(0)()
            if self.threads:
                self.step_thread(self.rng.choice(self.threads))
        self.now_s += CALL_S + CLAIM_GRACE_MS / 1_000
        self.expire()

    def check(self):
        for key, runs in self.runs.items():
            assert len(runs) <= 1, f"{key} ran {len(runs)} times"
        ran = {claim.claim_id for runs in self.runs.values() for claim in runs}
        for claim, effect, runs_then in self.replies_sent:
            if isinstance(effect, Reply):
                assert effect.answer.body.decode() in ran
                assert self.runs[claim.key][0].body_sha256 == claim.body_sha256
            elif effect.failure.outcome == "not_run":
                assert claim.claim_id not in ran
                assert runs_then == 0 or effect.failure.code == "key_mismatch"
        records = self.ledger.to_snapshot().records
        assert PHASE_RUNNING not in {r.phase for r in records}
        assert self.released.isdisjoint(r.claim.claim_id for r in records)


def check_schedules(count=SCHEDULES, make_ledger=LedgerState, **kwargs):
    replies = 0
    for seed in range(count):
        system = SimulatedSystem(seed, ledger=make_ledger(), **kwargs)
        system.run()
        system.check()
        replies += sum(isinstance(e, Reply) for _, e, _ in system.replies_sent)
    return replies


def test_history_holds_under_all_schedules():
    assert check_schedules() > SCHEDULES


class SendsOnUnknownClaim(ServiceCall):
    """Fault: treats a claim with unknown commit as held."""

    def _on_claim_unknown(self, event, now_s):
        return self._on_claim_answered(ClaimAnswered("claimed"), now_s)


class ReportsNotRunBeforeClaim(ServiceCall):
    """Fault: reports `not_run` for the key before the ledger has answered."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._outcome = "not_run"


class RetriesAfterSend(ServiceCall):
    """Fault: retries a call that broke after it was sent."""

    def _on_broken(self, event, now_s):
        self._is_sent = False
        budget = self._budgets.retries
        return self._retry_elsewhere(budget, "broken", event.reason, now_s)


class ReleasesAfterSend(ServiceCall):
    """Fault: releases the claim at the deadline although the call was sent."""

    lingers = False


class FreesAbandonedKeys(LedgerState):
    """Fault: lets a call with a key of a lost entry run again."""

    def apply_abandon_claims(self, message, at_unix_ms):
        for record in self._table.all_records():
            if record.claim.entry_id == message.entry_id:
                self._table.remove(record)


class ForgetsReleases(LedgerState):
    """Fault: accepts a delayed duplicate of a released claim."""

    def _record_release(self, claim_id, at_unix_ms):
        pass


class IgnoresBodies(LedgerState):
    """Fault: returns the answer to a request with a different body."""

    def apply_claim(self, message, at_unix_ms):
        copy = Claim()
        copy.CopyFrom(message)
        copy.body_sha256 = "same"
        return super().apply_claim(copy, at_unix_ms)


class NeverOverdue(LedgerState):
    """Fault: never expires the claim of an entry whose loss went undetected."""

    def apply_expire_claims(self, message, at_unix_ms):
        pass


@pytest.mark.parametrize(
    "changes",
    [
        {"make_call": SendsOnUnknownClaim},
        {"make_call": ReportsNotRunBeforeClaim},
        {"make_call": RetriesAfterSend},
        {"make_call": ReleasesAfterSend},
        {"make_ledger": FreesAbandonedKeys},
        {"make_ledger": ForgetsReleases},
        {"make_ledger": IgnoresBodies},
        {"make_ledger": NeverOverdue},
    ],
    ids=lambda changes: next(iter(changes.values())).__name__,
)
def test_check_fails_without_the_mechanism(changes):
    with pytest.raises(AssertionError):
        check_schedules(**changes)
