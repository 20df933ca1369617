"""Measures the cost of requests that crash groups, by protection policy.

Twelve entries send calls to the groups of one service. A few requests crash each
group that runs them, and their callers keep retrying them. Normal calls, which the
output lists as innocent, run concurrently, and some groups fail for other reasons.
"""

import heapq
import itertools
import random
import statistics
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import defopt

from chestnutvale.attempts.const import BAN_MS, MAX_ATTEMPTS
from chestnutvale.attempts.suspicion import (
    Banned,
    Clear,
    Suspected,
    SuspicionTracker,
    Verdict,
)
from chestnutvale.attempts.suspicion_aggregator import SuspicionAggregator

ENTRIES = 12
GROUPS = 15
FABRIC_DOMAINS = 5
# Mean number of concurrent calls of a group, and their mean duration.
CALLS_PER_GROUP = 20
MEAN_CALL_MS = 10_000
REPAIR_MS = 30_000
RETRY_DELAY_MS = 2_000
CRASH_MIN_MS = 100
# Entries detect a crash within this time.
CRASH_DETECTION_SPREAD_MS = 50
# Delay from an entry to the control, and again from there to all entries.
REPORT_DELAY_MS = 30
DURATION_MS = 600_000
CRASHING_REQUESTS = 5
# Fingerprint of the first crashing request; normal ones are numbered from 1.
FIRST_CRASHING_FINGERPRINT = 1 << 40


@attrs.define(eq=False)
class Call:
    """One call of a caller.

    Attributes
    ----------
    fingerprint : int
        Fingerprint of the request.
    entry : int
        Entry that handles the call.
    remaining_ms : float
        Remaining work in milliseconds.
    crashes_groups : bool
        Whether the request crashes each group that runs it.
    attempts : int
        Number of attempts so far.
    group : str
        Group of the last attempt; empty before the first one.
    started_ms : float
        Start of the last attempt in milliseconds.
    excluded : set of str
        Groups that failed under the call.
    """

    fingerprint: int
    entry: int
    remaining_ms: float
    crashes_groups: bool
    attempts: int = 0
    group: str = ""
    started_ms: float = 0.0
    excluded: set[str] = attrs.field(factory=set)

    @property
    def attempt_id(self) -> str:
        """Identifier of the last attempt."""
        return f"{id(self)}.{self.attempts}"


class Policy(Protocol):
    """Policy that decides whether and where a call may run."""

    def judge(self, call: Call, groups: list[str], now_ms: int) -> Verdict:
        """Return the decision on a call."""

    def record_started(self, call: Call, epoch: int, domain: str) -> None:
        """Record the start of an attempt."""

    def record_crashed(self, call: Call, now_ms: int) -> None:
        """Record a crash of the group of a call."""

    def record_completed(self, call: Call, now_ms: int) -> None:
        """Record a call that completed."""


class NoProtection:
    """Applies no protection beyond the limit on attempts."""

    def judge(self, call: Call, groups: list[str], now_ms: int) -> Verdict:
        """Allow each call on any group."""
        return Clear()

    def record_started(self, call: Call, epoch: int, domain: str) -> None:
        """Do nothing."""

    def record_crashed(self, call: Call, now_ms: int) -> None:
        """Do nothing."""

    def record_completed(self, call: Call, now_ms: int) -> None:
        """Do nothing."""


class CrashCountPolicy(NoProtection):
    """Bans requests after a number of group crashes, on all entries at once.

    Parameters
    ----------
    crashes : int
        Crashes of different groups after which a request is banned.
    """

    def __init__(self, crashes: int) -> None:
        self._crashes = crashes
        self._groups: dict[int, dict[str, int]] = {}

    def judge(self, call: Call, groups: list[str], now_ms: int) -> Verdict:
        """Ban a request that ran in enough groups when they crashed."""
        crash_times_ms = self._groups.get(call.fingerprint, {})
        recent = [at_ms for at_ms in crash_times_ms.values() if at_ms + BAN_MS > now_ms]
        if len(recent) >= self._crashes:
            return Banned(max(recent) + BAN_MS)
        return Clear()

    def record_crashed(self, call: Call, now_ms: int) -> None:
        """Count the crash against the request of the call."""
        self._groups.setdefault(call.fingerprint, {})[call.group] = now_ms

    def record_completed(self, call: Call, now_ms: int) -> None:
        """Clear the crashes of a request that completed."""
        self._groups.pop(call.fingerprint, None)


class SuspicionPolicy:
    """Uses the trackers and aggregator of the project, with message delays.

    Parameters
    ----------
    schedule : callable
        Takes a delay in milliseconds and a callback that gets the time.
    isolate_suspects : bool
        Whether suspected requests run isolated; otherwise they run on any group.
    """

    def __init__(
        self, schedule: Callable[..., None], isolate_suspects: bool = True
    ) -> None:
        self._schedule = schedule
        self._isolate_suspects = isolate_suspects
        self._trackers = [SuspicionTracker() for _ in range(ENTRIES)]
        self._aggregator = SuspicionAggregator()

    def judge(self, call: Call, groups: list[str], now_ms: int) -> Verdict:
        """Return the decision of the tracker of the entry."""
        tracker = self._trackers[call.entry]
        verdict = tracker.judge(call.fingerprint, groups, now_ms)
        if isinstance(verdict, Suspected) and not self._isolate_suspects:
            return Clear()
        return verdict

    def record_started(self, call: Call, epoch: int, domain: str) -> None:
        """Record the start in the tracker of the entry."""
        self._trackers[call.entry].attempt_started(
            call.attempt_id,
            call.fingerprint,
            call.group,
            epoch,
            domain,
            int(call.started_ms),
        )

    def record_crashed(self, call: Call, now_ms: int) -> None:
        """Record the crash in the tracker of the entry and send its reports."""
        self._trackers[call.entry].group_crashed(call.attempt_id, now_ms)
        self._report(call.entry, now_ms)

    def record_completed(self, call: Call, now_ms: int) -> None:
        """Record the completion in the tracker of the entry."""
        self._trackers[call.entry].answer_completed(call.attempt_id, now_ms)
        self._report(call.entry, now_ms)

    def _report(self, entry: int, now_ms: int) -> None:
        reports = self._trackers[entry].reports(now_ms)
        if reports:
            self._schedule(
                REPORT_DELAY_MS, lambda at_ms: self._forward_reports(reports, at_ms)
            )

    def _forward_reports(self, reports: list[Any], now_ms: int) -> None:
        if not self._aggregator.merge(reports, now_ms):
            return
        recent = self._aggregator.recent_evidence(now_ms)
        self._schedule(
            REPORT_DELAY_MS, lambda at_ms: self._merge_evidence(recent, at_ms)
        )

    def _merge_evidence(self, recent: list[Any], now_ms: int) -> None:
        for tracker in self._trackers:
            tracker.merge(recent, now_ms)


class Trial:
    """One seeded run of one policy.

    Parameters
    ----------
    seed : int
        Seed of the load and of the faults.
    faults_per_minute : float
        Rate of other faults; one in ten affects the whole fabric domain.
    crash_max_ms : float
        Maximum time in milliseconds from the start of a crashing request to the
        crash.
    """

    def __init__(
        self, seed: int, faults_per_minute: float, crash_max_ms: float
    ) -> None:
        self._crash_max_ms = crash_max_ms
        self._rng = random.Random(seed)
        self._faults_per_minute = faults_per_minute
        self._queue: list[tuple[float, int, Callable[[int], None]]] = []
        self._sequence = itertools.count()
        self._now_ms = 0
        self._epochs = {f"g{i:02}": 1 for i in range(GROUPS)}
        self._down_until_ms = dict.fromkeys(self._epochs, 0)
        self._running: dict[str, set[Call]] = {g: set() for g in self._epochs}
        self.policy: Policy = NoProtection()
        self.counts: Counter[str] = Counter()
        self.delayed_ms: list[float] = []

    def schedule(self, delay_ms: float, action: Callable[[int], None]) -> None:
        """Schedule an action.

        Parameters
        ----------
        delay_ms : float
            Delay in milliseconds.
        action : callable
            Called with the simulated time in milliseconds.
        """
        at_ms = self._now_ms + delay_ms
        heapq.heappush(self._queue, (at_ms, next(self._sequence), action))

    def run(self) -> None:
        """Run the simulation to its end."""
        self._schedule_normal_call()
        for number in range(CRASHING_REQUESTS):
            start_ms = 20_000 + number * 60_000
            self.schedule(
                start_ms,
                lambda _, n=number: self._send_crashing_call(
                    FIRST_CRASHING_FINGERPRINT + n
                ),
            )
        if self._faults_per_minute:
            self._schedule_unrelated_fault()
        while self._queue and self._queue[0][0] < DURATION_MS:
            at_ms, _, action = heapq.heappop(self._queue)
            self._now_ms = int(at_ms)
            action(self._now_ms)

    def _schedule_normal_call(self) -> None:
        rate = GROUPS * CALLS_PER_GROUP / MEAN_CALL_MS
        self.schedule(self._rng.expovariate(rate), lambda _: self._send_normal_call())

    def _send_normal_call(self) -> None:
        self.counts["innocent"] += 1
        remaining_ms = self._rng.expovariate(1 / MEAN_CALL_MS)
        entry = self._rng.randrange(ENTRIES)
        self._route(Call(self.counts["innocent"], entry, remaining_ms, False))
        self._schedule_normal_call()

    def _send_crashing_call(self, fingerprint: int) -> None:
        self.counts["guilty sends"] += 1
        self._route(Call(fingerprint, self._rng.randrange(ENTRIES), MEAN_CALL_MS, True))

    def _schedule_unrelated_fault(self) -> None:
        delay_ms = self._rng.expovariate(self._faults_per_minute / 60_000)
        self.schedule(delay_ms, lambda _: self._inject_unrelated_fault())

    def _inject_unrelated_fault(self) -> None:
        group = self._rng.choice(list(self._epochs))
        affected = [group]
        if self._rng.random() < 0.1:
            domain = self._domain(group)
            affected = [g for g in self._epochs if self._domain(g) == domain]
        for name in affected:
            delay_ms = self._rng.uniform(0, 1_000)
            self.schedule(delay_ms, lambda _, g=name: self._crash(g, "other crashes"))
        self._schedule_unrelated_fault()

    def _domain(self, group: str) -> str:
        return f"d{int(group[1:]) % FABRIC_DOMAINS}"

    def _available_groups(self) -> list[str]:
        return [g for g, until in self._down_until_ms.items() if until <= self._now_ms]

    def _route(self, call: Call, delayed_ms: float = 0.0) -> None:
        available = self._available_groups()
        verdict = self.policy.judge(call, available, self._now_ms)
        if isinstance(verdict, Banned):
            self._end_call(call, "refused")
            return
        groups = [g for g in available if g not in call.excluded]
        if isinstance(verdict, Suspected):
            wait_ms = verdict.not_before_unix_ms - self._now_ms
            if wait_ms > 0:
                delayed_ms += wait_ms
                self.schedule(wait_ms, lambda _: self._route(call, delayed_ms))
                return
            groups = [verdict.group_id] if verdict.group_id in groups else []
        if not groups or call.attempts >= MAX_ATTEMPTS:
            self._end_call(call, "failed")
            return
        if delayed_ms and not call.crashes_groups:
            self.delayed_ms.append(delayed_ms)
        self._start_attempt(call, self._rng.choice(groups))

    def _start_attempt(self, call: Call, group: str) -> None:
        call.attempts += 1
        call.group = group
        call.started_ms = self._now_ms
        self._running[group].add(call)
        attempt = call.attempts
        self.policy.record_started(call, self._epochs[group], self._domain(group))
        if call.crashes_groups:
            delay_ms = self._rng.uniform(CRASH_MIN_MS, self._crash_max_ms)
            self.schedule(delay_ms, lambda _: self._crash_group_of(call, attempt))
        else:
            self.schedule(
                call.remaining_ms, lambda _: self._complete_call(call, attempt)
            )

    def _crash_group_of(self, call: Call, attempt: int) -> None:
        if call in self._running[call.group] and call.attempts == attempt:
            self._crash(call.group, "crashes")

    def _crash(self, group: str, kind: str) -> None:
        if self._down_until_ms[group] > self._now_ms:
            return
        self.counts[kind] += 1
        self._down_until_ms[group] = self._now_ms + REPAIR_MS
        self._epochs[group] += 1
        interrupted, self._running[group] = self._running[group], set()
        for call in sorted(interrupted, key=lambda c: (c.fingerprint, c.entry)):
            call.remaining_ms -= self._now_ms - call.started_ms
            call.excluded.add(group)
            if not call.crashes_groups:
                self.counts["innocent breaks"] += 1
            delay_ms = self._rng.uniform(0, CRASH_DETECTION_SPREAD_MS)
            self.schedule(delay_ms, lambda _, c=call: self._handle_crash(c))

    def _handle_crash(self, call: Call) -> None:
        self.policy.record_crashed(call, self._now_ms)
        self._route(call)

    def _complete_call(self, call: Call, attempt: int) -> None:
        if call in self._running[call.group] and call.attempts == attempt:
            self._running[call.group].discard(call)
            self.policy.record_completed(call, self._now_ms)
            self.counts["innocent whole"] += 1

    def _end_call(self, call: Call, result: str) -> None:
        if call.crashes_groups:
            self.counts[f"guilty {result}"] += 1
            self.schedule(
                RETRY_DELAY_MS, lambda _: self._send_crashing_call(call.fingerprint)
            )
        else:
            self.counts[f"innocent {result}"] += 1


def make_policies() -> dict[str, Callable[[Trial], Policy]]:
    """Return the policy factories by label."""
    return {
        "no protection": lambda trial: NoProtection(),
        "ban all that ran in 1 crash": lambda trial: CrashCountPolicy(1),
        "ban after 2 crashes": lambda trial: CrashCountPolicy(2),
        "evidence, not kept apart": lambda trial: SuspicionPolicy(
            trial.schedule, False
        ),
        "evidence, kept apart": lambda trial: SuspicionPolicy(trial.schedule),
    }


def main(
    *,
    seeds: int = 10,
    faults_per_minute: float = 0.0,
    crash_max_ms: float = 1_500.0,
) -> None:
    """Print the cost of each policy.

    Parameters
    ----------
    seeds : int
        Number of runs of each policy.
    faults_per_minute : float
        Rate of other faults.
    crash_max_ms : float
        Maximum time in milliseconds from the start of a crashing request to the
        crash.
    """
    print(
        f"{seeds} seeds, {CRASHING_REQUESTS} crashing requests each, crashes within "
        f"{crash_max_ms:.0f} ms, {faults_per_minute} other faults a minute"
    )
    for name, make_policy in make_policies().items():
        total: Counter[str] = Counter()
        delayed_ms: list[float] = []
        max_crashes = 0
        for seed in range(seeds):
            trial = Trial(seed, faults_per_minute, crash_max_ms)
            trial.policy = make_policy(trial)
            trial.run()
            total += trial.counts
            delayed_ms += trial.delayed_ms
            max_crashes = max(max_crashes, trial.counts["crashes"])
        crashing_requests = seeds * CRASHING_REQUESTS
        median_ms = statistics.median(delayed_ms) if delayed_ms else 0.0
        print(
            f"{name:28} crashes per crashing request "
            f"{total['crashes'] / crashing_requests:6.2f} "
            f"(worst run {max_crashes / CRASHING_REQUESTS:.1f}), innocents: "
            f"{total['innocent breaks'] / seeds:8.1f} breaks a run, "
            f"{total['innocent refused']} refused, {total['innocent failed']} failed "
            f"of {total['innocent']}, held {len(delayed_ms)} "
            f"(median {median_ms:.0f} ms, most {max(delayed_ms, default=0):.0f} ms)"
        )


if __name__ == "__main__":
    defopt.run(main)
