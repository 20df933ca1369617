"""Plan of a seeded open-loop load."""

import random
from collections.abc import Iterator

import attrs

MAX_PROMPT_WORDS = 400


@attrs.frozen
class LoadPlan:
    """Parameters of a load.

    Attributes
    ----------
    entries : list of str
        IP address and port of each entry.
    keys : dict of str to str
        API key of each workspace.
    service : str
        Name of the model service.
    rate_per_s : float
        Mean number of requests sent per second, whatever becomes of earlier ones.
    duration_s : float
        Time in seconds during which new requests are sent.
    mean_tokens : int
        Mean length in tokens of the part of an answer that is read.
    asked_factor : float
        Factor by which callers that disconnect early request more tokens than they
        read.
    urgent_share, batch_share : float
        Shares of requests with these priorities, from 0 to 1.
    hang_up_share : float
        Share of callers that disconnect before the end of the answer, from 0 to 1.
    deadline_ms : int
        Deadline in milliseconds that requests state; 0 for none.
    prompt_words : int
        Mean length of a prompt in words.
    seed : int
        Seed of the random choices.
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
    """One request of a load.

    Attributes
    ----------
    at_s : float
        Time of sending in seconds from the start of the load.
    entry : str
        IP address and port of the entry.
    workspace, priority, prompt : str
        Workspace that sends the request, its priority and its prompt.
    max_tokens : int
        Requested maximum length of the answer in tokens.
    hang_up_after_tokens : int
        Tokens after which the caller disconnects; 0 if it reads to the end.
    """

    at_s: float
    entry: str
    workspace: str
    priority: str
    prompt: str
    max_tokens: int
    hang_up_after_tokens: int


def plan_requests(plan: LoadPlan) -> Iterator[PlannedRequest]:
    """Yield the requests of a load in the order of sending.

    The same plan always yields the same requests.

    Parameters
    ----------
    plan : LoadPlan
        Parameters of the load.

    Yields
    ------
    PlannedRequest
        The next request.
    """
    random_source = random.Random(plan.seed)
    workspaces = sorted(plan.keys)
    at_s = 0.0
    request_number = 0
    while True:
        at_s += random_source.expovariate(plan.rate_per_s)
        if at_s > plan.duration_s:
            return
        request_number += 1
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
            prompt=f"request {request_number} of seed {plan.seed}:" + " word" * words,
            max_tokens=max(1, round(tokens * (plan.asked_factor if hangs_up else 1))),
            hang_up_after_tokens=tokens if hangs_up else 0,
        )


def _pick_priority(plan: LoadPlan, random_value: float) -> str:
    if random_value < plan.urgent_share:
        return "urgent"
    if random_value < plan.urgent_share + plan.batch_share:
        return "batch"
    return "normal"
