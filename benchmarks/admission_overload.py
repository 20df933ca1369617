"""Measures admission below and above capacity, with baselines in the same run.

Run with ``python -m benchmarks.admission_overload``.
"""

from multiprocessing import Pool

import attrs
import defopt

from benchmarks.models.baselines import FirstComeFirstServed
from benchmarks.models.bench import Policy, Simulation
from benchmarks.models.figures import RunMetrics, average_by_name, format_table, measure
from benchmarks.models.load import BOOKINGS, OVERNIGHT, make_calls
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.routing.selector import Selector

# Capacity of the 15 model engines.
CAPACITY_CALLS_PER_S = 46.0
MEASURE_START_S = 30.0
MEASURE_END_S = 150.0
DEPLOYMENTS = {"overnight": OVERNIGHT, "bookings": BOOKINGS}
# The same load from workspaces of equal size, so that goodput is comparable.
EVEN_DEPLOYMENTS = {
    f"{name}_even": attrs.evolve(
        deployment, name=f"{name}_even", workspace_sizes=(1,) * 10
    )
    for name, deployment in DEPLOYMENTS.items()
}
DEPLOYMENTS |= EVEN_DEPLOYMENTS
POLICIES = {
    "chosen": Policy("chosen", AdmissionController, Selector),
    "fcfs": Policy("fcfs", lambda rng: FirstComeFirstServed("predicted"), Selector),
    "max_tokens": Policy(
        "max_tokens", lambda rng: FirstComeFirstServed("max_tokens"), Selector
    ),
    "no_limit": Policy(
        "no_limit", lambda rng: FirstComeFirstServed("nothing"), Selector
    ),
}


def run(case: tuple[str, str, float, int]) -> tuple[str, RunMetrics]:
    """Run one case: deployment, policy, multiple of capacity, seed."""
    deployment, policy, multiple, seed = case
    calls_per_s = CAPACITY_CALLS_PER_S * multiple
    calls = make_calls(DEPLOYMENTS[deployment], calls_per_s, MEASURE_END_S + 10, seed)
    simulation = Simulation(POLICIES[policy], calls, MEASURE_END_S + 90, seed).run()
    metrics = measure(simulation, MEASURE_START_S, MEASURE_END_S)
    return f"{deployment} {policy} {multiple}x", metrics


def main(
    *,
    policies: str = "chosen,fcfs,max_tokens,no_limit",
    multiples: str = "0.5,1,2,4",
    deployments: str = "overnight,bookings",
    seeds: str = "1,2,3",
    processes: int = 3,
) -> None:
    """Print means over the seeds; options with several values are comma-separated."""
    cases = [
        (deployment, policy, float(multiple), int(seed))
        for deployment in deployments.split(",")
        for multiple in multiples.split(",")
        for policy in policies.split(",")
        for seed in seeds.split(",")
    ]
    with Pool(processes) as pool:
        print(format_table(average_by_name(pool.map(run, cases, chunksize=1))))


if __name__ == "__main__":
    defopt.run(main)
