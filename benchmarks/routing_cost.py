"""Measures the CPU time of a decision by number of groups and queued requests.

Absolute times depend on the machine; only ratios within one run are comparable.
Run with ``python -m benchmarks.routing_cost``.
"""

import random
import time
from collections.abc import Callable

import defopt

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.admission.messages import (
    AdmissionRequest,
    ServiceCapacity,
    ServiceLimits,
)
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.membership_pb2 import Load

ITERATIONS = 4_000
ROUNDS = 5
CALLS_PER_S = 40.0


def measure_choice_us(groups: int) -> float:
    """Return the CPU time in microseconds to choose a group and record its events."""
    selector = Selector(random.Random(1))
    selector.update_groups(RoutableGroup(f"g{n}", "llm", 1) for n in range(groups))
    for n in range(groups):
        selector.update_load(f"g{n}", Load(kv_capacity_tokens=10**6), 0.0)
        selector.prefixes.apply_cache_events(f"g{n}", 1, 1, range(100), [])

    def run() -> None:
        for number in range(ITERATIONS):
            now_s = number / CALLS_PER_S
            request = RoutingRequest(str(number), "llm", "normal", 500, (5, 50, 500))
            group = selector.choose(request, now_s)
            selector.record_sent(request, group, now_s)
            selector.record_first_token(request.request_id, now_s + 0.1)
            selector.record_finished(request.request_id, now_s + 0.1)

    return _best_us(run, ITERATIONS)


def measure_admission_us(waiting: int, workspaces: int) -> float:
    """Return the CPU time in microseconds of an offer and a release.

    Parameters
    ----------
    waiting : int
        Number of queued requests.
    workspaces : int
        Number of workspaces that the requests come from.
    """
    controller = AdmissionController(random.Random(1))
    limits = ServiceLimits(queue_requests=10_000, workspace_queue_requests=10_000)
    weights = {f"w{n}": 1.0 for n in range(workspaces)}
    controller.configure(weights, {"llm": limits})
    controller.set_capacity("llm", ServiceCapacity(36, 300 * 50), 0.0)
    running: list[str] = []
    number = 0

    def offer() -> None:
        nonlocal number
        number += 1
        request = AdmissionRequest(
            str(number), "llm", f"w{number % workspaces}", "normal", 200, 100, 1e9
        )
        effects = controller.offer(request, number / CALLS_PER_S)
        running.extend(e.request_id for e in effects if hasattr(e, "predicted_tokens"))

    def run() -> None:
        for _ in range(ITERATIONS):
            offer()
            done = running.pop(0)
            effects = controller.release(done, 100, number / CALLS_PER_S)
            running.extend(e.request_id for e in effects)

    for _ in range(50 + waiting):
        offer()
    return _best_us(run, ITERATIONS)


def main() -> None:
    """Print the CPU time of each decision."""
    for groups in (3, 15, 36, 144):
        print(f"choose among {groups:4} groups: {measure_choice_us(groups):7.1f} us")
    for waiting, workspaces in ((0, 10), (1000, 10), (1000, 100)):
        spent_us = measure_admission_us(waiting, workspaces)
        print(f"admit with {waiting:5} waiting of {workspaces:4}: {spent_us:7.1f} us")


def _best_us(run: Callable[[], None], count: int) -> float:
    times = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        run()
        times.append(time.process_time() - started_s)
    return min(times) / count * 1e6


if __name__ == "__main__":
    defopt.run(main)
