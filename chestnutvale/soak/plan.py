"""Draws what happens in a run, and when, from its seed."""

import random

import attrs

from chestnutvale.soak.const import PAUSE_DURATIONS_S
from chestnutvale.soak.text import TextChange

ROLE_ENTRY = "entry"
ROLE_CONTROL = "control"
ROLE_LEADER = "leader"
# Indices are drawn below this number and taken modulo the number of what they choose.
MAX_INDEX = 1_000
STORM_TEXTS = 6
STORM_GAP_S = 0.4
FIRST_STEP_S = 2.0
# No step begins so shortly before the end of a run.
QUIET_END_S = 5.0


@attrs.frozen
class ApplyTexts:
    """Apply texts one after another, ``gap_s`` seconds apart."""

    changes: tuple[TextChange, ...]
    gap_s: float = STORM_GAP_S


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


Action = (
    ApplyTexts
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

    Changes, signals, restarts, pauses, late processes and faults are drawn
    independently of each other, so that they come in series and overlap.

    Parameters
    ----------
    seed : int
        Seed of the run.
    length_s : float
        Length of the run in seconds.
    has_faults : bool, optional
        Whether daemons are killed and connections reset, too.

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
    ]
    if has_faults:
        tracks.append(("faults", _draw_fault, 4.0, 10.0))
    steps: list[PlannedStep] = []
    for name, draw_action, min_gap_s, max_gap_s in tracks:
        rng = random.Random(f"{seed} {name}")
        at_s = FIRST_STEP_S + rng.uniform(0.0, min_gap_s)
        while at_s < length_s - QUIET_END_S:
            steps.append(PlannedStep(at_s, draw_action(rng)))
            at_s += rng.uniform(min_gap_s, max_gap_s)
    return sorted(steps, key=lambda step: step.at_s)


def _draw_texts(rng: random.Random) -> Action:
    kind = rng.choice(["small", "small", "large", "storm"])
    count = STORM_TEXTS if kind == "storm" else 1
    return ApplyTexts(
        tuple(
            TextChange(rng.randrange(MAX_INDEX), kind == "large") for _ in range(count)
        )
    )


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
