"""Draws what happens in a run, and when, from its seed."""

import random

import attrs

from chestnutvale.soak.const import PAUSE_DURATIONS_S
from chestnutvale.soak.text import (
    CHANGES,
    EXCLUSIVE_CHANGES,
    FAULT_NAMES,
    TextChange,
)

ROLE_ENTRY = "entry"
ROLE_CONTROL = "control"
ROLE_LEADER = "leader"
TEXT_LARGE = "large"
TEXT_STORM = "storm"
TEXT_RACE = "race"
TEXT_FAULTY = "faulty"
TEXT_OLD = "old"
# Indices are drawn below this number and taken modulo the number of what they choose.
MAX_INDEX = 1_000
STORM_TEXTS = 6
STORM_GAP_S = 0.4
FIRST_STEP_S = 2.0
# No step begins so shortly before the end of a run.
QUIET_END_S = 5.0


@attrs.frozen
class ApplyTexts:
    """Apply texts one after another, ``gap_s`` seconds apart, or all at once."""

    changes: tuple[TextChange, ...]
    gap_s: float = STORM_GAP_S
    is_race: bool = False


@attrs.frozen
class ApplyFaultyText:
    """Send the leader a text that must be refused."""

    change: TextChange
    fault: str


@attrs.frozen
class ResendText:
    """Apply a text again that was accepted before."""

    index: int


@attrs.frozen
class RestartDaemon:
    """Stop an entry, a control or the leader with SIGTERM and start it again."""

    index: int
    role: str


@attrs.frozen
class PauseGroups:
    """Pause all hosts of some groups, or of all if none is chosen by an index.

    Groups of one host may be suspended by a signal, others have a fault injected.
    """

    indices: tuple[int, ...]
    duration_s: float
    by_signal: bool


@attrs.frozen
class SuspendDaemon:
    """Suspend an entry or a control for a while, as a late process."""

    index: int
    role: str
    duration_s: float


@attrs.frozen
class ReloadDaemons:
    """Tell some daemons with SIGHUP that their settings have changed."""

    indices: tuple[int, ...]


@attrs.frozen
class ReleaseEntries:
    """Stop a share of the entries at the same time and start them again."""

    index: int
    share: float


@attrs.frozen
class KillDaemon:
    """Kill an entry or a control and start it again."""

    index: int
    role: str


@attrs.frozen
class ResetLinks:
    """Reset some of the connections of callers."""


@attrs.frozen
class LoseAnnouncements:
    """Lose what some engine hosts, or all, announce while they serve on."""

    indices: tuple[int, ...]
    duration_s: float


@attrs.frozen
class ReleaseHost:
    """Let an engine host announce that it leaves, stop it once idle, and start it."""

    index: int
    duration_s: float


@attrs.frozen
class AddHost:
    """Start another engine host."""


@attrs.frozen
class CrashHost:
    """Kill an engine host and start it again at the same address."""

    index: int
    duration_s: float


Action = (
    ApplyTexts
    | ApplyFaultyText
    | ResendText
    | LoseAnnouncements
    | ReleaseHost
    | AddHost
    | CrashHost
    | RestartDaemon
    | PauseGroups
    | SuspendDaemon
    | ReloadDaemons
    | ReleaseEntries
    | KillDaemon
    | ResetLinks
)


@attrs.frozen
class PlannedStep:
    """An action and its time in seconds after the start of the run."""

    at_s: float
    action: Action


def draw_plan(
    seed: int, length_s: float, has_faults: bool = False
) -> list[PlannedStep]:
    """Draw the steps of a run.

    Changes, signals, restarts, pauses, late processes, hosts that come and go and
    faults are drawn independently of each other, so that they come in series and
    overlap.

    Parameters
    ----------
    seed : int
        Seed of the run.
    length_s : float
        Length of the run in seconds.
    has_faults : bool, optional
        Whether daemons and hosts are killed and connections reset, too.

    Returns
    -------
    list of PlannedStep
        The steps in order of their times.
    """
    tracks = [
        ("texts", _draw_texts, 1.0, 4.0),
        ("restarts", _draw_restart, 2.0, 6.0),
        ("pauses", _draw_pause, 5.0, 9.0),
        ("late", _draw_suspension, 3.0, 8.0),
        ("reloads", _draw_reload, 2.0, 8.0),
        ("releases", _draw_release, 6.0, 15.0),
        ("announcements", _draw_announcement_loss, 5.0, 9.0),
        ("hosts", _draw_host_change, 4.0, 9.0),
    ]
    if has_faults:
        tracks.append(("faults", _draw_fault, 4.0, 10.0))
        tracks.append(("crashes", _draw_crash, 6.0, 12.0))
    steps: list[PlannedStep] = []
    for name, draw_action, min_gap_s, max_gap_s in tracks:
        rng = random.Random(f"{seed} {name}")
        at_s = FIRST_STEP_S + rng.uniform(0.0, min_gap_s)
        while at_s < length_s - QUIET_END_S:
            steps.append(PlannedStep(at_s, draw_action(rng)))
            at_s += rng.uniform(min_gap_s, max_gap_s)
    return sorted(steps, key=lambda step: step.at_s)


def _draw_texts(rng: random.Random) -> Action:
    kind = rng.choice(
        ["", "", "", TEXT_LARGE, TEXT_STORM, TEXT_RACE, TEXT_FAULTY, TEXT_OLD]
    )
    if kind == TEXT_OLD:
        return ResendText(rng.randrange(MAX_INDEX))
    if kind == TEXT_FAULTY:
        return ApplyFaultyText(_draw_change(rng), rng.choice(FAULT_NAMES))
    if kind == TEXT_LARGE:
        change = TextChange(rng.randrange(MAX_INDEX), ("workspaces", "routes"))
        return ApplyTexts((change,))
    count = {TEXT_STORM: STORM_TEXTS, TEXT_RACE: 2}.get(kind, 1)
    changes = tuple(_draw_change(rng) for _ in range(count))
    return ApplyTexts(changes, is_race=kind == TEXT_RACE)


def _draw_change(rng: random.Random) -> TextChange:
    kinds = rng.sample(sorted(CHANGES), rng.randint(1, 3))
    exclusive = [kind for kind in kinds if kind in EXCLUSIVE_CHANGES]
    kinds = [kind for kind in kinds if kind not in exclusive[1:]]
    return TextChange(rng.randrange(MAX_INDEX), tuple(kinds))


def _draw_restart(rng: random.Random) -> Action:
    role = rng.choice([ROLE_ENTRY, ROLE_ENTRY, ROLE_CONTROL, ROLE_LEADER])
    return RestartDaemon(rng.randrange(MAX_INDEX), role)


def _draw_pause(rng: random.Random) -> Action:
    count = rng.choice([0, 0, 1, 1, 2, 3])
    return PauseGroups(
        tuple(rng.randrange(MAX_INDEX) for _ in range(count)),
        rng.choice(PAUSE_DURATIONS_S),
        by_signal=rng.random() < 0.5,
    )


def _draw_suspension(rng: random.Random) -> Action:
    return SuspendDaemon(
        rng.randrange(MAX_INDEX),
        rng.choice([ROLE_ENTRY, ROLE_CONTROL, ROLE_LEADER]),
        rng.uniform(0.2, 1.0),
    )


def _draw_reload(rng: random.Random) -> Action:
    return ReloadDaemons(tuple(rng.randrange(MAX_INDEX) for _ in range(4)))


def _draw_release(rng: random.Random) -> Action:
    return ReleaseEntries(rng.randrange(MAX_INDEX), rng.choice([0.2, 0.45]))


def _draw_fault(rng: random.Random) -> Action:
    kind = rng.choice([ROLE_ENTRY, ROLE_CONTROL, ROLE_LEADER, ""])
    return KillDaemon(rng.randrange(MAX_INDEX), kind) if kind else ResetLinks()


def _draw_announcement_loss(rng: random.Random) -> Action:
    count = rng.choice([0, 1, 1, 2])
    indices = tuple(rng.randrange(MAX_INDEX) for _ in range(count))
    return LoseAnnouncements(indices, rng.choice(PAUSE_DURATIONS_S))


def _draw_host_change(rng: random.Random) -> Action:
    if rng.random() < 0.2:
        return AddHost()
    return ReleaseHost(rng.randrange(MAX_INDEX), rng.uniform(0.0, 4.0))


def _draw_crash(rng: random.Random) -> Action:
    return CrashHost(rng.randrange(MAX_INDEX), rng.uniform(0.0, 4.0))
