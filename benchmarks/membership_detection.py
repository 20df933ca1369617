"""Detection time and false detections under pauses and lost messages.

Run ``python -m benchmarks.membership_detection``.
"""

import random

import attrs

from benchmarks.groups_driver import make_hosts
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.table import MembershipTable

HOSTS = 60
ENTRIES = 3
DURATION_S = 1_200.0
TICK_S = 0.1
PAUSE_EVERY_S = 120.0
PAUSE_MEAN_S = 1.0
DEATH_EVERY_S = 10.0
DEAD_FOR_S = 15.0


@attrs.frozen
class Setting:
    """Intervals and timeout of one trial, in seconds."""

    announce_s: float
    report_s: float
    timeout_s: float


SETTINGS = (
    Setting(0.5, 0.25, 1.5),
    Setting(1.0, 0.5, 2.0),
    Setting(1.0, 0.5, 3.0),
    Setting(1.0, 0.5, 5.0),
    Setting(2.0, 0.5, 6.0),
)
LOSSES = (0.0, 0.02, 0.1)


@attrs.define
class _Host:
    """Truth about one host, and what the table said of it last."""

    next_s: float
    paused_until_s: float = 0.0
    pause_began_s: float = 0.0
    dead_until_s: float = 0.0
    died_s: float = 0.0
    is_missing: bool = False
    is_death_found: bool = True


@attrs.define
class Outcome:
    """Counts of one trial."""

    times_s: list[float] = attrs.field(factory=list)
    long_pauses: int = 0
    false: int = 0


def run(setting: Setting, loss: float, seed: int = 1) -> Outcome:
    """Play one trial.

    Parameters
    ----------
    setting : Setting
        Intervals and timeout.
    loss : float
        Share of announcements, and of reports, that are lost.
    seed : int
        Seed of all chance.

    Returns
    -------
    Outcome
        Detection times of deaths, and missing judgements of living hosts.
    """
    source = random.Random(seed)
    fakes = make_hosts(3, HOSTS // 3)
    truth = {key: _Host(source.random() * setting.announce_s) for key in fakes}
    entries = [AnnouncementCollector(setting.timeout_s) for _ in range(ENTRIES)]
    table = MembershipTable(setting.timeout_s)
    outcome = Outcome()
    now_s, next_death_s = 0.0, 30.0
    report_s = [index * setting.report_s / ENTRIES for index in range(ENTRIES)]
    while now_s < DURATION_S:
        now_s += TICK_S
        if now_s >= next_death_s:
            next_death_s += DEATH_EVERY_S
            _kill(source, truth, now_s)
        for key, host in truth.items():
            if source.random() < TICK_S / PAUSE_EVERY_S and now_s > host.paused_until_s:
                host.pause_began_s = now_s
                host.paused_until_s = now_s + source.expovariate(1 / PAUSE_MEAN_S)
            if now_s < max(host.paused_until_s, host.dead_until_s, host.next_s):
                continue
            host.next_s = now_s + setting.announce_s
            said = fakes[key].announce(now_s)
            if source.random() >= loss:
                source.choice(entries).announce(said, now_s)
        for index, collector in enumerate(entries):
            if now_s < report_s[index]:
                continue
            report_s[index] += setting.report_s
            heard = collector.drain_report(now_s)
            if source.random() >= loss:
                table.merge_entry_report(f"e{index}", heard, now_s)
        if now_s > 10.0:
            _judge(truth, table, now_s, outcome, setting)
    return outcome


def _kill(source: random.Random, truth: dict[str, _Host], now_s: float) -> None:
    alive = [
        host
        for host in truth.values()
        if now_s > max(host.dead_until_s + 10.0, host.paused_until_s)
        and not host.is_missing
    ]
    host = source.choice(alive)
    host.died_s = now_s
    host.dead_until_s = now_s + DEAD_FOR_S
    host.is_death_found = False


def _judge(
    truth: dict[str, _Host],
    table: MembershipTable,
    now_s: float,
    outcome: Outcome,
    setting: Setting,
) -> None:
    for key, host in truth.items():
        is_missing = not table.is_fresh(key, now_s)
        if is_missing and not host.is_missing:
            if now_s < host.dead_until_s and not host.is_death_found:
                host.is_death_found = True
                outcome.times_s.append(now_s - host.died_s)
            elif now_s - host.dead_until_s < setting.timeout_s:
                # It has just come back and was not heard yet.
                pass
            elif (
                host.paused_until_s - host.pause_began_s
                >= setting.timeout_s - (setting.announce_s)
                and now_s - host.paused_until_s < setting.announce_s + setting.report_s
            ):
                outcome.long_pauses += 1
            else:
                outcome.false += 1
        host.is_missing = is_missing


def main() -> None:
    """Print one row for each setting and loss."""
    print(
        "announce s | report s | timeout s | loss | deaths found | median s | p99 s | "
        "long pauses found | false per host-hour"
    )
    host_hours = HOSTS * DURATION_S / 3_600
    for setting in SETTINGS:
        for loss in LOSSES:
            outcome = run(setting, loss)
            times_s = sorted(outcome.times_s)
            print(
                f"{setting.announce_s} | {setting.report_s} | {setting.timeout_s} | "
                f"{loss:.0%} | {len(times_s)} | {times_s[len(times_s) // 2]:.1f} | "
                f"{times_s[int(0.99 * len(times_s))]:.1f} | {outcome.long_pauses} | "
                f"{outcome.false / host_hours:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
