"""Measures group selection near capacity, with baselines in the same run.

Run with ``python -m benchmarks.routing_choice``.
"""

from multiprocessing import Pool

import defopt

from benchmarks.admission_overload import CAPACITY_CALLS_PER_S, DEPLOYMENTS
from benchmarks.models.baselines import LeastReportedLoad, RoundRobin
from benchmarks.models.bench import Faults, Policy, Simulation
from benchmarks.models.figures import RunMetrics, average_by_name, format_table, measure
from benchmarks.models.load import make_calls
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.routing.selector import Selector

MEASURE_START_S = 30.0
MEASURE_END_S = 120.0
POLICIES = {
    "chosen": Selector,
    "round_robin": RoundRobin,
    "least_reported": LeastReportedLoad,
}
FAULTS = {
    "healthy": Faults(),
    "two slow": Faults(slow=(3, 7), start_s=20.0),
    "two frozen": Faults(slow=(3, 7), slow_speed=0.0, start_s=40.0, restore_s=80.0),
    "third fails": Faults(failed=(0, 3, 6, 9, 12), start_s=60.0),
}


def run(case: tuple[str, str, str, float, int]) -> tuple[str, RunMetrics]:
    """Run one case: deployment, faults, policy, multiple of capacity, seed."""
    deployment, faults, name, multiple, seed = case
    calls_per_s = CAPACITY_CALLS_PER_S * multiple
    calls = make_calls(DEPLOYMENTS[deployment], calls_per_s, MEASURE_END_S + 10, seed)
    policy = Policy(name, AdmissionController, POLICIES[name])
    simulation = Simulation(
        policy, calls, MEASURE_END_S + 60, seed, faults=FAULTS[faults]
    ).run()
    row = f"{deployment} {multiple}x {faults} {name}"
    return row, measure(simulation, MEASURE_START_S, MEASURE_END_S)


def main(
    *,
    policies: str = "chosen,round_robin,least_reported",
    multiples: str = "0.6,1",
    deployments: str = "overnight,bookings",
    faults: str = "healthy,two slow,two frozen,third fails",
    seeds: str = "1,2",
    processes: int = 3,
) -> None:
    """Print means over the seeds; options with several values are comma-separated."""
    cases = [
        (deployment, fault, policy, float(multiple), int(seed))
        for deployment in deployments.split(",")
        for fault in faults.split(",")
        for multiple in multiples.split(",")
        for policy in policies.split(",")
        for seed in seeds.split(",")
    ]
    with Pool(processes) as pool:
        print(format_table(average_by_name(pool.map(run, cases, chunksize=1))))


if __name__ == "__main__":
    defopt.run(main)
