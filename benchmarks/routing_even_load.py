"""Measures how even load is when entries choose groups on old counts.

Run with ``python -m benchmarks.routing_even_load``.
"""

from multiprocessing import Pool
from statistics import fmean

import attrs
import defopt
from tabulate import tabulate

from benchmarks.models.even_load import (
    EvenLoadSimulation,
    Figures,
    PolicyMaker,
    Scenario,
)
from chestnutvale.routing.policies.even_load import EvenLoadPolicy
from chestnutvale.routing.policies.least_loaded import LeastLoadedPolicy

RESTART_S = (15.0, 20.0)
SCENARIOS = {
    "24 entries, 0.1 s": Scenario(restart_s=RESTART_S),
    "24 entries, 10 groups, 0.3 s": Scenario(
        groups=10, slow_groups=1, count_age_s=0.3, restart_s=RESTART_S
    ),
    "126 entries, 0.3 s": Scenario(
        entries=126, groups=40, places=15, count_age_s=0.3, restart_s=RESTART_S
    ),
    "126 entries, 14 groups, 0.3 s": Scenario(
        entries=126, groups=14, places=15, count_age_s=0.3, restart_s=RESTART_S
    ),
    "126 entries, 0.6 s": Scenario(
        entries=126, groups=40, places=15, count_age_s=0.6, restart_s=RESTART_S
    ),
    "126 entries, 0.3 s, 4 s without counts": Scenario(
        entries=126, groups=40, places=15, count_age_s=0.3, outage_s=(25.0, 29.0)
    ),
}
POLICIES: dict[str, PolicyMaker] = {
    "least_loaded": lambda n: LeastLoadedPolicy(),
    "even_load": lambda n: EvenLoadPolicy(),
}
# Of these figures the largest of all seeds is shown, of others the mean.
LARGEST = ("most_per_s", "most_after_return")


def run(case: tuple[str, str, int]) -> Figures:
    """Run one case: scenario, policy, seed."""
    scenario_name, policy, seed = case
    scenario = SCENARIOS[scenario_name]
    return EvenLoadSimulation(scenario, POLICIES[policy], seed).run()


def summarise(runs: list[Figures]) -> list[float]:
    """Return one row of the table."""
    values = {
        field.name: [getattr(figures, field.name) for figures in runs]
        for field in attrs.fields(Figures)
    }
    return [
        max(items) if name in LARGEST else fmean(items)
        for name, items in values.items()
    ]


def main(
    *, policies: str = "", scenarios: str = "", seeds: int = 3, processes: int = 2
) -> None:
    """Print a table for each scenario; names are separated by semicolons."""
    chosen = policies.split(";") if policies else list(POLICIES)
    headers = ["policy", *(field.name for field in attrs.fields(Figures))]
    with Pool(processes) as pool:
        for scenario in scenarios.split(";") if scenarios else SCENARIOS:
            rows = []
            for policy in chosen:
                cases = [(scenario, policy, seed + 1) for seed in range(seeds)]
                rows.append([policy, *summarise(pool.map(run, cases, chunksize=1))])
            print(f"\n{scenario}\n")
            print(tabulate(rows, headers, tablefmt="github", floatfmt=".3f"))


if __name__ == "__main__":
    defopt.run(main)
