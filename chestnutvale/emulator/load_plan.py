"""The requests of a seeded open-loop load."""

import random
from collections.abc import Iterator

import attrs

MAX_PROMPT_WORDS = 400


@attrs.frozen
class LoadPlan:
    """An offered load.

    Attributes
    ----------
    entries : list of str
        IP number and port of each entry.
    keys : dict of str to str
        Key of each workspace.
    service : str
        The model service.
    rate_per_s : float
        Requests offered each second, whatever becomes of earlier ones.
    duration_s : float
        Time for which new requests are offered, in seconds.
    mean_tokens : int
        Mean length of an answer.
    asked_factor : float
        By how much callers ask for more than the answer they read.
    urgent_share, batch_share : float
        Shares of requests with these priorities.
    hang_up_share : float
        Share of callers that hang up in the middle of the answer.
    deadline_ms : int
        Deadline that callers state; 0 states none.
    prompt_words : int
        Mean length of a prompt in words.
    seed : int
        Seed of all random choices.
    """

    entries: list[str]
    keys: dict[str, str]
    service: str
    rate_per_s: float
    duration_s: float
    mean_tokens: int
    asked_factor: float
    urgent_share: float
    batch_share: float
    hang_up_share: float
    deadline_ms: int
    prompt_words: int
    seed: int


@attrs.frozen
class PlannedRequest:
    """One request of the load; ``hang_up_after_tokens`` is 0 for none."""

    at_s: float
    entry: str
    workspace: str
    priority: str
    prompt: str
    max_tokens: int
    hang_up_after_tokens: int


def plan_requests(plan: LoadPlan) -> Iterator[PlannedRequest]:
    """Yield the requests of a load in order of time; the same for the same seed.

    Parameters
    ----------
    plan : LoadPlan
        The load.

    Yields
    ------
    PlannedRequest
        A request.
    """
    random_source = random.Random(plan.seed)
    workspaces = sorted(plan.keys)
    at_s = 0.0
    number = 0
    while True:
        at_s += random_source.expovariate(plan.rate_per_s)
        if at_s > plan.duration_s:
            return
        number += 1
        tokens = max(1, round(random_source.expovariate(1 / plan.mean_tokens)))
        hangs_up = random_source.random() < plan.hang_up_share
        words = min(
            MAX_PROMPT_WORDS,
            max(1, round(random_source.gauss(1, 0.3) * plan.prompt_words)),
        )
        yield PlannedRequest(
            at_s=at_s,
            entry=random_source.choice(plan.entries),
            workspace=random_source.choice(workspaces),
            priority=_pick_priority(plan, random_source.random()),
            prompt=f"request {number} of seed {plan.seed}:" + " word" * words,
            max_tokens=max(1, round(tokens * (plan.asked_factor if hangs_up else 1))),
            hang_up_after_tokens=tokens if hangs_up else 0,
        )


def _pick_priority(plan: LoadPlan, random_value: float) -> str:
    if random_value < plan.urgent_share:
        return "urgent"
    if random_value < plan.urgent_share + plan.batch_share:
        return "batch"
    return "normal"
