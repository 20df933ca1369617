"""Measures the admission of a fleet of many entries that share few groups.

Run with ``python -m benchmarks.admission_fleet``.
"""

import random
from collections import Counter, defaultdict
from multiprocessing import Pool

import defopt

from benchmarks.models.fleet import Fleet, FleetSimulation, MakeController
from benchmarks.models.fleet_load import FleetCall, FleetLoad
from chestnutvale.admission.controller import AdmissionController

FLEETS = {
    "26x3": Fleet(26, 3, 10),
    "24x12": Fleet(24, 12, 15),
    "126x6": Fleet(126, 6, 15),
    "126x12": Fleet(126, 12, 15),
    "142x3": Fleet(142, 3, 10),
    "142x6": Fleet(142, 6, 10),
    "126x6-leaderless": Fleet(126, 6, 15, leaderless=(6.0, 12.0)),
    "142x3-leaderless": Fleet(142, 3, 10, leaderless=(6.0, 12.0)),
    "126x6-skewed": Fleet(126, 6, 15, skew=0.8),
}
LATE_VALUE = 0.25


def make_lending_controller(rng: random.Random) -> AdmissionController:
    """Return a controller that lends places."""
    return AdmissionController(rng, lends_places=True)


POLICIES: dict[str, MakeController] = {
    "present": AdmissionController,
    "lent": make_lending_controller,
}
CULPRIT = "w3"
LARGEST = "w0"


def run(case: tuple[str, str, float, int, bool]) -> str:
    """Run one case and return its line of output.

    A case is a fleet, a policy, a load, a seed, and whether to list who pays.
    """
    fleet_name, policy, load, seed, with_payers = case
    fleet = FLEETS[fleet_name]
    offered = FleetLoad(load * fleet.capacity, burst_workspace=CULPRIT)
    calls = offered.make_calls(random.Random(seed))
    simulation = FleetSimulation(fleet, calls, POLICIES[policy], seed).run()
    counters = simulation.counters
    by_rank = [_summarise([c for c in calls if c.rank == r]) for r in range(3)]
    ranks = "  ".join(f"{s:.3f} {t:.3f} {v:.3f}" for s, t, v in by_rank)
    busy = counters.busy_s / (calls[-1].arrival_s * fleet.capacity)
    retried = counters.retried
    returns = "/".join(
        f"{_ratio(retried[early, 'served'], retried[early, 'refused']):.2f}"
        for early in (False, True)
    )
    culprit, others = _split_by_workspace(calls)
    detail = _describe_payers(calls) if with_payers else ""
    return (
        f"{fleet_name:17} {policy:10} {load:4.2f} {seed:2}  {ranks}  busy {busy:.2f} "
        f"over {counters.most_over:3} refusals {sum(counters.refusals.values()):5} "
        f"late {counters.late_refusals:4} "
        f"free {counters.refused_while_free:5} at one {counters.refused_at_one:5} "
        f"free {counters.refused_at_one_while_free:5} returns {returns} "
        f"culprit {culprit:.3f} others {others:.3f}"
        f"{detail}"
    )


def main(
    *,
    fleets: str = ",".join(FLEETS),
    policies: str = ",".join(POLICIES),
    loads: str = "0.6,0.9",
    seeds: str = "1",
    processes: int = 3,
    payers: bool = False,
) -> None:
    """Print a line for each run; options with several values are comma-separated.

    The three columns of each rank are the shares of its calls that were served and
    served in time, and the value per call. With `payers`, a line for each kind of
    workspace and rank follows: its calls, and the same three columns.
    """
    cases = [
        (fleet, policy, float(load), int(seed), payers)
        for fleet in fleets.split(",")
        for load in loads.split(",")
        for policy in policies.split(",")
        for seed in seeds.split(",")
    ]
    with Pool(processes) as pool:
        for line in pool.imap(run, cases, chunksize=1):
            print(line, flush=True)


def _summarise(calls: list[FleetCall]) -> tuple[float, float, float]:
    outcomes = Counter(call.outcome for call in calls)
    count = max(1, len(calls))
    in_time, late = outcomes["in_time"], outcomes["late"]
    return (
        (in_time + late) / count,
        in_time / count,
        (in_time + LATE_VALUE * late) / count,
    )


def _split_by_workspace(calls: list[FleetCall]) -> tuple[float, float]:
    """Return the value per call of the workspace with the burst, and of all others."""
    grouped = defaultdict(list)
    for call in calls:
        grouped[call.workspace == CULPRIT].append(call)
    return _summarise(grouped[True])[2], _summarise(grouped[False])[2]


def _describe_payers(calls: list[FleetCall]) -> str:
    grouped = defaultdict(list)
    for call in calls:
        kinds = {CULPRIT: "burst", LARGEST: "largest"}
        grouped[kinds.get(call.workspace, "others"), call.rank].append(call)
    lines = []
    for (kind, rank), group in sorted(grouped.items()):
        served, in_time, value = _summarise(group)
        lines.append(
            f"\n    {kind:8} rank {rank}  {len(group):5} {served:.3f} {in_time:.3f} "
            f"{value:.3f}"
        )
    return "".join(lines)


def _ratio(part: int, rest: int) -> float:
    return part / (part + rest) if part + rest else 0.0


if __name__ == "__main__":
    defopt.run(main)
