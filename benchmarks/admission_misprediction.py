"""Measures KV memory when output lengths suddenly triple.

Run with ``python -m benchmarks.admission_misprediction``.
"""

from multiprocessing import Pool

import attrs
import defopt

from benchmarks.admission_overload import CAPACITY_CALLS_PER_S, DEPLOYMENTS, POLICIES
from benchmarks.models.bench import Policy, Simulation
from benchmarks.models.figures import RunMetrics, average_by_name, format_table, measure
from benchmarks.models.load import make_calls
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.kv_overcommit import KvOvercommit
from chestnutvale.admission.messages import ServiceCapacity
from chestnutvale.routing.selector import Selector

CAPACITY_MULTIPLE = 1.2
OUTPUT_GROWTH_START_S = 50.0
OUTPUT_GROWTH_FACTOR = 3
MEASURE_START_S = 50.0
MEASURE_END_S = 110.0


@attrs.define
class FixedOvercommit(KvOvercommit):
    """Always reserves one token for one token of KV memory."""

    def update(
        self, capacity: ServiceCapacity, total_demand: float, now_s: float
    ) -> None:
        """Leave the ratio unchanged."""


class FixedOvercommitController(AdmissionController):
    """Does not adapt how far the KV memory is overcommitted."""

    def configure(self, *args: object) -> None:
        """Configure the services with a fixed overcommit ratio."""
        super().configure(*args)
        for service in self._services.values():
            service.kv_overcommit = FixedOvercommit()


class FixedReservationController(AdmissionController):
    """Keeps each reservation at its predicted size."""

    def progress(self, request_id: str, output_tokens: int) -> None:
        """Ignore progress, so that the reservation does not grow."""


class FixedController(FixedOvercommitController, FixedReservationController):
    """Adapts neither the overcommit ratio nor the reservations."""


def make_policy(controller_class: type[AdmissionController]) -> Policy:
    """Return a policy with this admission controller."""
    return Policy(controller_class.__name__, controller_class, Selector)


VARIANTS = {
    "chosen": POLICIES["chosen"],
    "no learnt factor": make_policy(FixedOvercommitController),
    "no growing reservation": make_policy(FixedReservationController),
    "neither": make_policy(FixedController),
    "fcfs": POLICIES["fcfs"],
    "no_limit": POLICIES["no_limit"],
}


def run(case: tuple[str, str, int]) -> tuple[str, RunMetrics]:
    """Run one case: deployment, variant, seed."""
    deployment, variant, seed = case
    calls_per_s = CAPACITY_CALLS_PER_S * CAPACITY_MULTIPLE
    calls = make_calls(DEPLOYMENTS[deployment], calls_per_s, MEASURE_END_S, seed)
    for call in calls:
        if call.arrival_s >= OUTPUT_GROWTH_START_S:
            grown = min(
                OUTPUT_GROWTH_FACTOR * call.output_tokens, call.max_tokens, 2000
            )
            call.output_tokens = grown
    simulation = Simulation(VARIANTS[variant], calls, MEASURE_END_S + 60, seed).run()
    return f"{deployment} {variant}", measure(
        simulation, MEASURE_START_S, MEASURE_END_S
    )


def main(
    *, deployments: str = "overnight,bookings", seeds: str = "1,2", processes: int = 3
) -> None:
    """Print means over the seeds; options with several values are comma-separated."""
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
