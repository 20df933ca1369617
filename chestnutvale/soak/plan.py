"""Draws what happens in a run, and when, from its seed."""

import random

import attrs

from chestnutvale.soak.const import PAUSE_DURATIONS_S
from chestnutvale.soak.text import TextChange, draw_change

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
class RestartEntry:
    """Stop an entry with SIGTERM and start it again; ``index`` chooses it."""

    index: int


@attrs.frozen
class RestartControl:
    """Stop a control with SIGTERM and start it again.

    Attributes
    ----------
    index : int
        Chooses the control.
    leader : bool
        Whether the leader is taken instead.
    """

    index: int
    leader: bool


@attrs.frozen
class PauseGroups:
    """Pause all hosts of some groups; they go on as if nothing had been.

    Attributes
    ----------
    indices : tuple of int
        Choose the groups; empty for all.
    duration_s : float
        Length of the pause in seconds.
    by_signal : bool
        Whether processes of groups of one host are suspended with SIGSTOP, rather
        than paused by a fault of the engine.
    """

    indices: tuple[int, ...]
    duration_s: float
    by_signal: bool


@attrs.frozen
class SuspendDaemon:
    """Suspend an entry or a control for ``duration_s`` seconds, as a late process."""

    index: int
    duration_s: float
    control: bool


Action = ApplyTexts | RestartEntry | RestartControl | PauseGroups | SuspendDaemon


@attrs.frozen
class PlannedStep:
    """An action and its time in seconds after the start of the run."""

    at_s: float
    action: Action


def draw_plan(seed: int, length_s: float) -> list[PlannedStep]:
    """Draw the steps of a run.

    Changes, restarts, pauses and late processes are drawn independently of each
    other, so that they come in series and overlap.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    length_s : float
        Length of the run in seconds.

    Returns
    -------
    list of PlannedStep
        The steps in order of time.
    """
    tracks = [
        ("texts", _draw_texts, 1.0, 4.0),
        ("restarts", _draw_restart, 2.0, 6.0),
        ("pauses", _draw_pause, 5.0, 9.0),
        ("late", _draw_suspension, 3.0, 8.0),
    ]
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
        tuple(draw_change(rng, large=kind == "large") for _ in range(count))
    )


def _draw_restart(rng: random.Random) -> Action:
    index = rng.randrange(1_000)
    kind = rng.choice(["entry", "entry", "control", "leader"])
    if kind == "entry":
        return RestartEntry(index)
    return RestartControl(index, leader=kind == "leader")


def _draw_pause(rng: random.Random) -> Action:
    count = rng.choice([0, 0, 1, 1, 2, 3])
    return PauseGroups(
        tuple(rng.randrange(1_000) for _ in range(count)),
        rng.choice(PAUSE_DURATIONS_S),
        by_signal=rng.random() < 0.5,
    )


def _draw_suspension(rng: random.Random) -> Action:
    return SuspendDaemon(
        rng.randrange(1_000), round(rng.uniform(0.2, 1.0), 2), rng.random() < 0.5
    )
