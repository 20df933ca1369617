"""Seeded requests of the two deployments."""

import math
import random

import attrs

ENTRIES = 12
MEAN_OF_MEDIAN_OUTPUT_TOKENS = 150.0


@attrs.define(eq=False)
class Call:
    """One caller's request over all its tries.

    Attributes
    ----------
    call_id : int
        Number of the call.
    arrival_s, deadline_s : float
        When it is first made, and when its answer must be whole.
    workspace, priority : str
        Who calls, and how urgent it is.
    prompt_tokens, prefix_tokens, output_tokens, max_tokens : int
        Sizes; `output_tokens` is what the engine will really generate.
    prefix : int
        Fingerprint of the shared start of the prompt.
    entry : int
        Entry that the balancer gives it to.
    tries : int
        Tries made.
    outcome : str
        ``""`` while open, then ``"good"``, ``"late"`` or ``"refused"``.
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
    """What differs between the two deployments.

    Attributes
    ----------
    name : str
        Name in the reports.
    priority_shares : dict of str to float
        Share of calls by priority.
    deadlines_s : dict of str to float
        Seconds that each priority has.
    workspace_sizes : tuple of float
        Relative size of each workspace.
    burst_interval_s, burst_length_s, burst_factor : float
        Bursts of urgent calls.
    max_tokens : int
        What callers ask for.
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
    """Return calls at `rate` a second until `end_s`.

    Parameters
    ----------
    deployment : Deployment
        Whose load.
    rate : float
        Mean calls a second.
    end_s : float
        Seconds of load.
    seed : int
        Seed of everything raw_medians.
    burst : tuple of float, optional
        Start, end and factor of a burst of all classes.
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
    # Every seed asks for the same work: the mean over calls is fixed.
    raw_medians = [rng.uniform(60, 260) for _ in names]
    workspace_sizes = deployment.workspace_sizes
    mean = sum(map(math.prod, zip(workspace_sizes, raw_medians, strict=True))) / sum(
        workspace_sizes
    )
    scale = MEAN_OF_MEDIAN_OUTPUT_TOKENS / mean
    return {name: scale * value for name, value in zip(names, raw_medians, strict=True)}


def _entry_weights(rng: random.Random) -> list[float]:
    # Long-lived connections leave some callers on a few entries only.
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
