"""Compares what callers get while groups are lost and replaced."""

import random
from collections.abc import Callable, Collection
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import defopt
from tabulate import tabulate

from benchmarks.models.entry_fleet import EntryFleet, Outcome, Scenario
from chestnutvale.admission.messages import AdmissionRequest
from chestnutvale.admission.service import ServiceAdmission
from chestnutvale.programs.entry.group_capacity import GroupCapacity
from chestnutvale.programs.entry.group_router import GroupRouter


class StalledCountedCapacity(GroupCapacity):
    """Counts stalled groups as capacity, although no new call is sent to them."""

    def _find_uncounted(self, stalled: Collection[str], now_s: float) -> frozenset[str]:
        return frozenset()


class StalledCountedRouter(GroupRouter):
    """Reports the capacity of all serving groups."""

    capacity_class = StalledCountedCapacity


class TargetIgnoredAdmission(ServiceAdmission):
    """Lets calls wait until they would miss their target even if they began at once."""

    def _latest_start_s(self, request: AdmissionRequest, now_s: float) -> float:
        return request.start_by_s


POLICIES: dict[str, dict[str, Callable[..., object]]] = {
    "chosen": {},
    "stalled_counted": {"make_router": StalledCountedRouter},
    "target_ignored": {"make_service": TargetIgnoredAdmission},
}
LOADS = (0.7, 1.0, 1.4, 2.0)


def simulate(seed: int, policy: str, scenario: Scenario) -> Outcome:
    """Run one scenario with one policy and return what callers got."""
    return EntryFleet(scenario, seed, **POLICIES[policy]).run()


def draw_scenario(seed: int, utilisation: float) -> Scenario:
    """Draw a deployment; all policies get the same ones."""
    rng = random.Random(seed)
    return Scenario(
        entries=rng.choice((6, 12, 18, 24)),
        groups=rng.choice((4, 6, 8, 12)),
        slots=rng.choice((6, 9, 13, 15)),
        mean_answer_s=rng.uniform(0.6, 2.0),
        target_s=rng.uniform(0.15, 0.4),
        loss_interval_s=rng.uniform(2.0, 5.0),
        utilisation=utilisation,
    )


def main(*, seeds: int = 20, policies: str = "", processes: int = 4) -> None:
    """Print a table of policies.

    Parameters
    ----------
    seeds : int
        Number of drawn deployments for each load.
    policies : str
        Names separated by commas; empty for all.
    processes : int
        Number of processes.
    """
    names = policies.split(",") if policies else list(POLICIES)
    rows = []
    with ProcessPoolExecutor(processes) as pool:
        for load in LOADS:
            scenarios = [draw_scenario(seed, load) for seed in range(seeds)]
            for name in names:
                total = Outcome()
                run = partial(simulate, policy=name)
                for outcome in pool.map(
                    _call, [(run, n, s) for n, s in enumerate(scenarios)]
                ):
                    total.add(outcome)
                rows.append(
                    (
                        load,
                        name,
                        total.value_share,
                        total.in_time / total.offered,
                        total.late / total.offered,
                        total.unserved / total.offered,
                        total.refusals / total.offered,
                    )
                )
    headers = ("load", "policy", "value", "in time", "late", "unserved", "refusals")
    print(tabulate(rows, headers, floatfmt=".3f"))


def _call(job: tuple[Callable[..., Outcome], int, Scenario]) -> Outcome:
    run, seed, scenario = job
    return run(seed, scenario=scenario)


if __name__ == "__main__":
    defopt.run(main)
