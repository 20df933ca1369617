"""Write random short days for the users' bench, with disruptions of the controls.

Each day changes the configuration while controls, disks and settings are disrupted, and
ends with a final fault right after an acknowledgement. A seed gives the same day again:
``.venv/bin/python script/short_days.py FOLDER --first-seed 1 --count 20``.
"""

import random
import sys
from pathlib import Path
from typing import Any

import defopt
import tomli_w

MIN_LENGTH_S = 5.0
MAX_LENGTH_S = 14.0
MIN_FAULTS = 3
MAX_FAULTS = 6
ROUTES_OF_A_LARGE_CHANGE = 1_400

Disruption = dict[str, Any]


def draw_closing(rng: random.Random) -> Disruption:
    """Draw the final fault.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.

    Returns
    -------
    dict
        The field ``closing`` of a day.
    """
    kind, how = rng.choice(
        [
            ("wipe_after_ack", "aimed all synced"),
            ("wipe_after_ack", "aimed all synced"),
            ("wipe_after_ack", "oldest"),
            ("wipe_after_ack", "timed"),
            ("power_off_all", ""),
            ("kill_all", ""),
        ]
    )
    closing = {"kind": kind, "down_s": round(rng.uniform(0.5, 1.5), 2)}
    return closing | ({"how": how} if how else {})


def draw_changes(rng: random.Random, length_s: float, large: bool) -> list[Disruption]:
    """Draw changes of the configuration and planned work on controls.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    length_s : float
        Length of the day in seconds.
    large : bool
        Whether changes that add many routes may be among them.

    Returns
    -------
    list of dict
        The field ``plan`` of a day.
    """
    storm = {
        "kind": "config_storm",
        "gap_s": round(rng.uniform(0.25, 0.6), 2),
        "for_s": round(length_s, 1),
    }
    choices: list[Disruption] = [
        {"kind": "config_race", "count": 3, "gap_s": 0.8},
        {"kind": "replace_core", "how": "planned", "x": rng.choice([1.0, 2.0, 4.0])},
        {"kind": "seed_turnover"},
        {"kind": "roll_term", "on": "core", "share": 1.0, "x": 1.0, "gap_s": 1.5},
        {"kind": "revoke", "count": 2, "gap_s": 0.7},
    ]
    if large:
        change = {"kind": "big_config", "count": ROUTES_OF_A_LARGE_CHANGE}
        choices += [dict(change), dict(change)]
    changes = [storm, *rng.sample(choices, rng.randint(1, 3))]
    return [_place(rng, change, length_s / 2) for change in changes]


def draw_faults(rng: random.Random, length_s: float, zones: bool) -> list[Disruption]:
    """Draw faults of controls, their disks and their links.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    length_s : float
        Length of the day in seconds.
    zones : bool
        Whether the deployment tolerates the loss of a zone.

    Returns
    -------
    list of dict
        The field ``faults`` of a day.
    """
    for_s = round(rng.uniform(0.5, 4.0), 1)
    choices: list[Disruption] = [
        {"kind": "after_ack_wipe", "for_s": 1.0},
        {"kind": "after_ack_wipe", "for_s": 1.0, "how": "oldest"},
        {"kind": "after_ack_kill", "for_s": for_s},
        {"kind": "replace_core", "x": rng.choice([0.5, 1.0, 2.0])},
        {"kind": "replace_core", "how": "oldest", "x": 1.0},
        {"kind": "node_kill", "on": "core", "count": 1, "how": "leader race"},
        {"kind": "node_kill", "on": "core", "count": 1, "how": "power wipe follower"},
        {"kind": "node_kill", "on": "core", "count": 2, "how": "power oldest"},
        {"kind": "node_freeze", "on": "core", "count": 1, "how": "leader"},
        {"kind": "node_freeze", "on": "core", "count": 1, "how": "renewed race hard"},
        {"kind": "herd_kill", "on": "core", "how": "power"},
        {"kind": "core_cut", "how": "leader race"},
        {"kind": "core_cut", "how": "behind"},
        {"kind": "core_cut", "how": "split"},
        {"kind": "core_cut", "how": "seeds"},
        {"kind": "disk_full", "count": 1},
        {"kind": "disk_slow", "count": 2, "x": 30.0},
        {"kind": "disk_stall", "count": 1},
        {"kind": "seed_turnover"},
        {"kind": "ack_lost", "x": 0.6},
    ]
    if zones:
        choices += [{"kind": "zone_loss"}, {"kind": "zone_cut"}]
    faults = rng.sample(choices, rng.randint(MIN_FAULTS, MAX_FAULTS))
    return [_place(rng, {"for_s": for_s} | fault, length_s) for fault in faults]


def draw_day(seed: int, *, zones: bool, large: bool) -> Disruption:
    """Draw a day.

    Parameters
    ----------
    seed : int
        Seed of the day, also of its traffic.
    zones : bool
        Whether zones may be lost or cut off.
    large : bool
        Whether changes that add many routes may be among them.

    Returns
    -------
    dict
        The day as the bench reads it.
    """
    rng = random.Random(seed)
    length_s = round(rng.uniform(MIN_LENGTH_S, MAX_LENGTH_S), 1)
    return {
        "name": f"short-{seed}",
        "seed": seed,
        "length_s": length_s,
        "closing": draw_closing(rng),
        "plan": draw_changes(rng, length_s, large),
        "faults": draw_faults(rng, length_s, zones),
    }


def _place(rng: random.Random, disruption: Disruption, latest_s: float) -> Disruption:
    """Set the time at which a disruption begins."""
    return {"at": round(rng.uniform(0.5, latest_s), 2)} | disruption


def write_days(
    folder: Path,
    *,
    first_seed: int = 1,
    count: int = 1,
    zones: bool = False,
    large: bool = False,
) -> None:
    """Write days into a folder.

    Parameters
    ----------
    folder : Path
        Folder for the files, which is created if needed.
    first_seed : int
        Seed of the first day; the others follow.
    count : int
        Number of days.
    zones : bool
        Include the loss of zones, which not every deployment tolerates.
    large : bool
        Include changes that add many routes.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(first_seed, first_seed + count):
        path = folder / f"short-{seed}.toml"
        path.write_text(tomli_w.dumps(draw_day(seed, zones=zones, large=large)))
        print(path)


def main() -> int:
    """Run the program; return its exit code."""
    defopt.run(write_days)
    return 0


if __name__ == "__main__":
    sys.exit(main())
