"""Seeded request load of the simulated deployments."""

import math
import random

import attrs

ENTRIES = 12
MEAN_OF_MEDIAN_OUTPUT_TOKENS = 150.0


@attrs.define(eq=False)
class Call:
    """A request of a caller, over all its tries.

    Attributes
    ----------
    call_id : int
        Number of the call.
    arrival_s, deadline_s : float
        Times in seconds of the first try, and by which the answer must be complete.
    workspace, priority : str
        Workspace of the caller, and priority of the request.
    prompt_tokens, prefix_tokens, output_tokens, max_tokens : int
        Sizes; `output_tokens` is what the engine will actually generate.
    prefix : int
        Fingerprint of the shared prefix of the prompt.
    entry : int
        Index of the entry that the load balancer chooses.
    tries : int
        Number of tries.
    outcome : str
        ``""`` while the call is open, then ``"good"``, ``"late"`` or ``"refused"``.
    finished_s, first_token_s : float
        Times in seconds of the outcome and of the first token; 0 until then.
    """

    call_id: int
    arrival_s: float
    deadline_s: float
    workspace: str
    priority: str
    prompt_tokens: int
    prefix_tokens: int
    output_tokens: int
    max_tokens: int
    prefix: int
    entry: int
    tries: int = 0
    outcome: str = ""
    finished_s: float = 0.0
    first_token_s: float = 0.0


@attrs.frozen
class Deployment:
    """Load parameters of a deployment.

    Attributes
    ----------
    name : str
        Name in the reports.
    priority_shares : dict of str to float
        Share of calls by priority.
    deadlines_s : dict of str to float
        Time in seconds for the answer, by priority.
    workspace_sizes : tuple of float
        Relative size of each workspace.
    burst_interval_s, burst_length_s, burst_factor : float
        Interval and length in seconds of the bursts of urgent calls, and the factor
        of the rate in a burst.
    max_tokens : int
        Output limit that callers set.
    """

    name: str
    priority_shares: dict[str, float]
    deadlines_s: dict[str, float]
    workspace_sizes: tuple[float, ...]
    burst_interval_s: float
    burst_length_s: float
    burst_factor: float
    max_tokens: int


OVERNIGHT = Deployment(
    "overnight",
    {"urgent": 0.02, "normal": 0.18, "batch": 0.8},
    {"urgent": 20.0, "normal": 30.0, "batch": 90.0},
    (30, 10, 5, 2, 2, 1, 1, 1, 1, 1),
    1e9,
    0.0,
    1.0,
    4096,
)
BOOKINGS = Deployment(
    "bookings",
    {"urgent": 0.25, "normal": 0.55, "batch": 0.2},
    {"urgent": 20.0, "normal": 30.0, "batch": 90.0},
    (20, 12, 8, 2, 2, 1, 1, 1, 1, 1),
    40.0,
    10.0,
    4.0,
    1024,
)


def make_calls(
    deployment: Deployment,
    rate: float,
    end_s: float,
    seed: int,
    burst: tuple[float, float, float] | None = None,
) -> list[Call]:
    """Generate calls at a mean rate.

    Parameters
    ----------
    deployment : Deployment
        Parameters of the load.
    rate : float
        Mean number of calls per second.
    end_s : float
        End of the load in seconds.
    seed : int
        Seed of all random draws.
    burst : tuple of float, optional
        Start and end in seconds, and rate factor, of a burst of all priorities.

    Returns
    -------
    list of Call
        Calls in order of arrival.
    """
    rng = random.Random(seed)
    names = [f"w{number}" for number in range(len(deployment.workspace_sizes))]
    medians = _output_medians(rng, deployment, names)
    entry_weights = {name: _entry_weights(rng) for name in names}
    calls: list[Call] = []
    now_s = 0.0
    peak_rate = rate * (burst[2] if burst else 1.0) * max(1.0, deployment.burst_factor)
    while now_s < end_s:
        now_s += rng.expovariate(peak_rate)
        priority = _draw_priority(rng, deployment.priority_shares)
        current_rate = rate * _rate_factor(deployment, priority, now_s, burst)
        if rng.random() > current_rate / peak_rate:
            continue
        name = rng.choices(names, deployment.workspace_sizes)[0]
        prefix_number = min(int(rng.paretovariate(0.8)), 20)
        prefix_tokens = 300
        prompt = prefix_tokens + int(rng.lognormvariate(math.log(150), 0.7))
        # Urgent callers want short answers.
        median = medians[name] * (0.5 if priority == "urgent" else 1.0)
        output = int(rng.lognormvariate(math.log(median), 0.8)) + 1
        calls.append(
            Call(
                len(calls),
                now_s,
                now_s + deployment.deadlines_s[priority],
                name,
                priority,
                min(prompt, 3000),
                prefix_tokens,
                min(output, deployment.max_tokens, 2000),
                deployment.max_tokens,
                _prefix_id(name, prefix_number),
                rng.choices(range(ENTRIES), entry_weights[name])[0],
            )
        )
    return calls


def _prefix_id(name: str, number: int) -> int:
    return int(name[1:]) * 100 + number


def _output_medians(
    rng: random.Random, deployment: Deployment, names: list[str]
) -> dict[str, float]:
    # The mean over calls is fixed, so that every seed requests the same work.
    raw_medians = [rng.uniform(60, 260) for _ in names]
    workspace_sizes = deployment.workspace_sizes
    mean = sum(map(math.prod, zip(workspace_sizes, raw_medians, strict=True))) / sum(
        workspace_sizes
    )
    scale = MEAN_OF_MEDIAN_OUTPUT_TOKENS / mean
    return {name: scale * value for name, value in zip(names, raw_medians, strict=True)}


def _entry_weights(rng: random.Random) -> list[float]:
    # Callers with long-lived connections reach only a few of the entries.
    return [rng.paretovariate(0.9) for _ in range(ENTRIES)]


def _draw_priority(rng: random.Random, priority_shares: dict[str, float]) -> str:
    return rng.choices(list(priority_shares), list(priority_shares.values()))[0]


def _rate_factor(
    deployment: Deployment,
    priority: str,
    now_s: float,
    burst: tuple[float, float, float] | None,
) -> float:
    factor = 1.0
    if burst and burst[0] <= now_s < burst[1]:
        factor = burst[2]
    if priority == "urgent" and deployment.burst_factor > 1.0:
        in_burst = now_s % deployment.burst_interval_s < deployment.burst_length_s
        burst_share = deployment.burst_length_s / deployment.burst_interval_s
        off_burst_factor = (1 - deployment.burst_factor * burst_share) / (
            1 - burst_share
        )
        factor *= deployment.burst_factor if in_burst else max(0.1, off_burst_factor)
    return factor
