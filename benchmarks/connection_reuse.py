"""Simulate how many connections entries open to endpoints, by their idle timeout.

Each entry has a pool of its own, which a restart empties; calls choose endpoints at
random. Run with ``python -m benchmarks.connection_reuse``.
"""

import random
from collections import defaultdict

import defopt
from tabulate import tabulate

from chestnutvale.programs.entry.routed.const import (
    DEFAULT_IDLE_TIMEOUT_S,
    IDLE_MARGIN_S,
)

IDLE_TIMEOUTS_S = (5.0, DEFAULT_IDLE_TIMEOUT_S, 30.0, 60.0)


def count_opened(
    idle_s: float,
    entries: int,
    endpoints: int,
    requests: int,
    restarts: int,
    duration_s: float,
    answer_s: float,
) -> int:
    """Return how many connections are opened for the requests of a run."""
    rng = random.Random(1)
    moments = [
        (rng.uniform(0.0, duration_s), rng.randrange(entries), rng.randrange(endpoints))
        for _ in range(requests)
    ]
    moments += [
        (rng.uniform(0.0, duration_s), rng.randrange(entries), -1)
        for _ in range(restarts)
    ]
    # End of the last answer on each connection, by entry and endpoint.
    pools: dict[int, dict[int, list[float]]] = defaultdict(dict)
    opened = 0
    for now_s, entry, endpoint in sorted(moments):
        if endpoint < 0:
            pools.pop(entry, None)
            continue
        kept = [
            end_s
            for end_s in pools[entry].get(endpoint, ())
            if end_s > now_s or now_s - end_s < idle_s
        ]
        idle = [end_s for end_s in kept if end_s <= now_s]
        if idle:
            kept.remove(max(idle))
        else:
            opened += 1
        kept.append(now_s + rng.expovariate(1.0 / answer_s))
        pools[entry][endpoint] = kept
    return opened


def main(
    *,
    entries: int = 126,
    endpoints: int = 31,
    requests: int = 17_858,
    restarts: int = 176,
    duration_s: float = 50.0,
    answer_s: float = 0.9,
) -> None:
    """Print the opened connections by idle timeout.

    Parameters
    ----------
    entries : int
        Number of entries.
    endpoints : int
        Number of endpoints.
    requests : int
        Requests in the run.
    restarts : int
        Restarts of entries in the run.
    duration_s : float
        Length of the run.
    answer_s : float
        Mean duration of an answer.
    """
    rows = [
        [
            timeout_s,
            *(
                count_opened(
                    timeout_s - IDLE_MARGIN_S,
                    entries,
                    endpoints,
                    requests,
                    count,
                    duration_s,
                    answer_s,
                )
                for count in (restarts, 0)
            ),
        ]
        for timeout_s in IDLE_TIMEOUTS_S
    ]
    print(tabulate(rows, ["idle timeout s", "opened", "without restarts"]))


if __name__ == "__main__":
    defopt.run(main)
