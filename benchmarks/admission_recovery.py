"""Measures recovery after a burst of four times the capacity, with retries.

Run with ``python -m benchmarks.admission_recovery``.
"""

import random
from multiprocessing import Pool

import attrs
import defopt

from benchmarks.admission_overload import CAPACITY_CALLS_PER_S, DEPLOYMENTS, POLICIES
from benchmarks.models.bench import Policy, Simulation
from benchmarks.models.load import Call, make_calls
from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.pacing import RetryPacer
from chestnutvale.routing.selector import Selector

BASE_LOAD_SHARE = 0.7
BURST = (40.0, 60.0, 4.0 / BASE_LOAD_SHARE)
RUN_END_S = 200.0
WINDOW_S = 5.0
RECOVERED_SHARE = 0.95


@attrs.define
class FixedPacer(RetryPacer):
    """Returns the same retry delay to every refused caller."""

    fixed_s: float = 1.0

    def retry_after_s(self, *args: float) -> float:
        """Return the fixed delay in seconds."""
        return self.fixed_s


@attrs.define
class BacklogPacer(RetryPacer):
    """Returns the time to drain the current backlog, without booking a slot."""

    def retry_after_s(
        self, now_s: float, backlog_tokens: float, cost: int, drain_rate: float
    ) -> float:
        """Return the drain time in seconds with jitter, ignoring earlier refusals."""
        return self.add_jitter(backlog_tokens / drain_rate)


def make_pacer_policy(pacer_class: type[RetryPacer]) -> Policy:
    """Return the policy of the project with this retry pacer."""

    def make_admission(rng: random.Random) -> AdmissionController:
        return AdmissionController(rng, make_pacer=pacer_class)

    return Policy(pacer_class.__name__, make_admission, Selector)


VARIANTS = POLICIES | {
    "fixed_1s": make_pacer_policy(FixedPacer),
    "unbooked": make_pacer_policy(BacklogPacer),
}


def run(case: tuple[str, str, int]) -> str:
    """Run one case (deployment, policy, seed) and return its line of output."""
    deployment, policy, seed = case
    calls_per_s = CAPACITY_CALLS_PER_S * BASE_LOAD_SHARE
    calls = make_calls(
        DEPLOYMENTS[deployment], calls_per_s, RUN_END_S, seed, burst=BURST
    )
    simulation = Simulation(VARIANTS[policy], calls, RUN_END_S, seed).run()
    counters = simulation.counters
    burst_calls = [c for c in calls if BURST[0] <= c.arrival_s < BURST[1]]
    in_time = sum(call.outcome == "good" for call in burst_calls) / len(burst_calls)
    offers_by_second = counters.offered_by_second
    peak_offers = max(
        offers_by_second[s] for s in range(int(BURST[1]), int(RUN_END_S) - 20)
    )
    offers_per_call = sum(offers_by_second[s] for s in range(60, 120)) / sum(
        60 <= call.arrival_s < 120 for call in calls
    )
    return (
        f"{deployment:10} {policy:12} {seed:4} recovered after "
        f"{_recovery_s(calls):6.1f} s  burst in time {in_time:.3f}  "
        f"offers/s at most after burst {peak_offers:4}  "
        f"offers per new call in the minute after {offers_per_call:.2f}  "
        f"tries per burst call "
        f"{sum(c.tries for c in burst_calls) / len(burst_calls):.2f}"
    )


def main(
    *,
    policies: str = "chosen,unbooked,fixed_1s,fcfs,no_limit",
    deployments: str = "overnight,bookings",
    seeds: str = "1,2,3",
    processes: int = 3,
) -> None:
    """Print a line for each run; options with several values are comma-separated."""
    cases = [
        (deployment, policy, int(seed))
        for deployment in deployments.split(",")
        for policy in policies.split(",")
        for seed in seeds.split(",")
    ]
    with Pool(processes) as pool:
        print("\n".join(pool.map(run, cases, chunksize=1)))


def _recovery_s(calls: list[Call]) -> float:
    # Recovered after the last window with too small a share answered in time.
    end_s = BURST[1]
    last_s = end_s
    while end_s < RUN_END_S - 90.0:
        window = [c for c in calls if end_s <= c.arrival_s < end_s + WINDOW_S]
        in_time = sum(call.outcome == "good" for call in window)
        end_s += WINDOW_S
        if window and in_time < RECOVERED_SHARE * len(window):
            last_s = end_s
    return last_s - BURST[1]


if __name__ == "__main__":
    defopt.run(main)
