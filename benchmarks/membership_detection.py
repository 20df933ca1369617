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
MEAN_PAUSE_INTERVAL_S = 120.0
MEAN_PAUSE_S = 1.0
DEATH_INTERVAL_S = 10.0
DEATH_DURATION_S = 15.0


@attrs.frozen
class DetectionSettings:
    """Announcement and report intervals and detection timeout, in seconds."""

    announce_interval_s: float
    report_interval_s: float
    timeout_s: float


SETTINGS = (
    DetectionSettings(0.5, 0.25, 1.5),
    DetectionSettings(1.0, 0.5, 2.0),
    DetectionSettings(1.0, 0.5, 3.0),
    DetectionSettings(1.0, 0.5, 5.0),
    DetectionSettings(2.0, 0.5, 6.0),
)
LOSSES = (0.0, 0.02, 0.1)


@attrs.define
class _HostState:
    """Actual state of a host, and whether the table last had it as missing."""

    next_s: float
    paused_until_s: float = 0.0
    pause_start_s: float = 0.0
    dead_until_s: float = 0.0
    death_s: float = 0.0
    is_missing: bool = False
    is_death_found: bool = True


@attrs.define
class DetectionCounts:
    """Counts of one trial."""

    detection_times_s: list[float] = attrs.field(factory=list)
    long_pauses: int = 0
    false_detections: int = 0


def run(setting: DetectionSettings, loss: float, seed: int = 1) -> DetectionCounts:
    """Simulate one trial.

    Parameters
    ----------
    setting : Setting
        Intervals and timeout.
    loss : float
        Fraction of announcements, and of reports, that are lost.
    seed : int
        Seed of all random draws.

    Returns
    -------
    Outcome
        Detection times of deaths, and false detections of live hosts.
    """
    rng = random.Random(seed)
    fake_hosts = make_hosts(3, HOSTS // 3)
    host_states = {
        key: _HostState(rng.random() * setting.announce_interval_s)
        for key in fake_hosts
    }
    entries = [AnnouncementCollector(setting.timeout_s) for _ in range(ENTRIES)]
    table = MembershipTable(setting.timeout_s)
    counts = DetectionCounts()
    now_s, next_death_s = 0.0, 30.0
    next_report_s = [
        index * setting.report_interval_s / ENTRIES for index in range(ENTRIES)
    ]
    while now_s < DURATION_S:
        now_s += TICK_S
        if now_s >= next_death_s:
            next_death_s += DEATH_INTERVAL_S
            _kill_host(rng, host_states, now_s)
        for key, host in host_states.items():
            if (
                rng.random() < TICK_S / MEAN_PAUSE_INTERVAL_S
                and now_s > host.paused_until_s
            ):
                host.pause_start_s = now_s
                host.paused_until_s = now_s + rng.expovariate(1 / MEAN_PAUSE_S)
            if now_s < max(host.paused_until_s, host.dead_until_s, host.next_s):
                continue
            host.next_s = now_s + setting.announce_interval_s
            announcement = fake_hosts[key].announce(now_s)
            if rng.random() >= loss:
                rng.choice(entries).announce(announcement, now_s)
        for index, collector in enumerate(entries):
            if now_s < next_report_s[index]:
                continue
            next_report_s[index] += setting.report_interval_s
            heard = collector.drain_report(now_s)
            if rng.random() >= loss:
                table.merge_entry_report(f"e{index}", heard, now_s)
        if now_s > 10.0:
            _count_detections(host_states, table, now_s, counts, setting)
    return counts


def _kill_host(
    rng: random.Random, host_states: dict[str, _HostState], now_s: float
) -> None:
    candidates = [
        host
        for host in host_states.values()
        if now_s > max(host.dead_until_s + 10.0, host.paused_until_s)
        and not host.is_missing
    ]
    host = rng.choice(candidates)
    host.death_s = now_s
    host.dead_until_s = now_s + DEATH_DURATION_S
    host.is_death_found = False


def _count_detections(
    host_states: dict[str, _HostState],
    table: MembershipTable,
    now_s: float,
    counts: DetectionCounts,
    setting: DetectionSettings,
) -> None:
    for key, host in host_states.items():
        is_missing = not table.is_fresh(key, now_s)
        if is_missing and not host.is_missing:
            if now_s < host.dead_until_s and not host.is_death_found:
                host.is_death_found = True
                counts.detection_times_s.append(now_s - host.death_s)
            elif now_s - host.dead_until_s < setting.timeout_s:
                # It has just restarted and has not been heard yet.
                pass
            elif (
                host.paused_until_s - host.pause_start_s
                >= setting.timeout_s - (setting.announce_interval_s)
                and now_s - host.paused_until_s
                < setting.announce_interval_s + setting.report_interval_s
            ):
                counts.long_pauses += 1
            else:
                counts.false_detections += 1
        host.is_missing = is_missing


def main() -> None:
    """Print one row for each combination of settings and loss."""
    print(
        "announce s | report s | timeout s | loss | deaths found | median s | p99 s | "
        "long pauses found | false per host-hour"
    )
    host_hours = HOSTS * DURATION_S / 3_600
    for setting in SETTINGS:
        for loss in LOSSES:
            counts = run(setting, loss)
            times_s = sorted(counts.detection_times_s)
            print(
                f"{setting.announce_interval_s} | {setting.report_interval_s} | "
                f"{setting.timeout_s} | {loss:.0%} | {len(times_s)} | "
                f"{times_s[len(times_s) // 2]:.1f} | "
                f"{times_s[int(0.99 * len(times_s))]:.1f} | {counts.long_pauses} | "
                f"{counts.false_detections / host_hours:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
