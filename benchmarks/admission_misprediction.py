"""Measures KV memory when answers suddenly grow to three times their length.

Run with ``python -m benchmarks.admission_misprediction``.
"""

from multiprocessing import Pool

import attrs
import defopt

from benchmarks.admission_overload import CAPACITY_RATE, DEPLOYMENTS, POLICIES
from benchmarks.models.bench import Policy, Simulation
from benchmarks.models.figures import RunMetrics, average_by_name, format_table, measure
from benchmarks.models.load import make_calls
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.kv_overcommit import KvOvercommit
from chestnutvale.admission.messages import ServiceCapacity
from chestnutvale.routing.selector import Selector

MULTIPLE = 1.2
CHANGE_S = 50.0
GROWTH = 3
START_S = 50.0
STOP_S = 110.0


@attrs.define
class FixedCommitment(KvOvercommit):
    """Always one reserved token for one token of memory."""

    def update(
        self, capacity: ServiceCapacity, total_demand: float, now_s: float
    ) -> None:
        """Learn nothing."""


class Unlearning(AdmissionController):
    """Does not learn how far the memory carries."""

    def configure(self, *args: object) -> None:
        """Replace what the services learn with."""
        super().configure(*args)
        for service in self._services.values():
            service.kv_overcommit = FixedCommitment()


class Unfollowing(AdmissionController):
    """Keeps a reservation as it was predicted."""

    def progress(self, request_id: str, output_tokens: int) -> None:
        """Take no notice of progress."""


class Neither(Unlearning, Unfollowing):
    """Neither learns nor follows."""


def make_policy(make: type[AdmissionController]) -> Policy:
    """Return a policy with another controller."""
    return Policy(make.__name__, make, Selector)


VARIANTS = {
    "chosen": POLICIES["chosen"],
    "no learnt factor": make_policy(Unlearning),
    "no growing reservation": make_policy(Unfollowing),
    "neither": make_policy(Neither),
    "fcfs": POLICIES["fcfs"],
    "no_limit": POLICIES["no_limit"],
}


def run(case: tuple[str, str, int]) -> tuple[str, RunMetrics]:
    """Run one case: deployment, variant, seed."""
    deployment, variant, seed = case
    rate = CAPACITY_RATE * MULTIPLE
    calls = make_calls(DEPLOYMENTS[deployment], rate, STOP_S, seed)
    for call in calls:
        if call.arrival_s >= CHANGE_S:
            grown = min(GROWTH * call.output_tokens, call.max_tokens, 2000)
            call.output_tokens = grown
    simulation = Simulation(VARIANTS[variant], calls, STOP_S + 60, seed).run()
    return f"{deployment} {variant}", measure(simulation, START_S, STOP_S)


def main(
    *, deployments: str = "overnight,bookings", seeds: str = "1,2", processes: int = 3
) -> None:
    """Print a table of means over the seeds; lists are separated by commas."""
    cases = [
        (deployment, variant, int(seed))
        for deployment in deployments.split(",")
        for variant in VARIANTS
        for seed in seeds.split(",")
    ]
    with Pool(processes) as pool:
        print(format_table(average_by_name(pool.map(run, cases, chunksize=1))))


if __name__ == "__main__":
    defopt.run(main)
