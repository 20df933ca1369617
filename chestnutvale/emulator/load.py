"""Program that offers a seeded open-loop load to the entries and reports on it."""

import json
import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs
import defopt
import eventlet
import urllib3
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from chestnutvale.emulator.caller import Answer, Caller
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.runtime import setup_eventlet
from chestnutvale.emulator.text import expected_text

LOWEST_US = 1
HIGHEST_US = 600 * 1_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000
US_PER_MS = 1_000
MAX_PROMPT_WORDS = 400
REQUEST_TIMEOUT_S = 120.0


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
    source = random.Random(plan.seed)
    workspaces = sorted(plan.keys)
    at_s = 0.0
    number = 0
    while True:
        at_s += source.expovariate(plan.rate_per_s)
        if at_s > plan.duration_s:
            return
        number += 1
        tokens = max(1, round(source.expovariate(1 / plan.mean_tokens)))
        hangs_up = source.random() < plan.hang_up_share
        words = min(
            MAX_PROMPT_WORDS, max(1, round(source.gauss(1, 0.3) * plan.prompt_words))
        )
        yield PlannedRequest(
            at_s=at_s,
            entry=source.choice(plan.entries),
            workspace=source.choice(workspaces),
            priority=_pick_priority(plan, source.random()),
            prompt=f"request {number} of seed {plan.seed}:" + " word" * words,
            max_tokens=max(1, round(tokens * (plan.asked_factor if hangs_up else 1))),
            hang_up_after_tokens=tokens if hangs_up else 0,
        )


def _pick_priority(plan: LoadPlan, drawn: float) -> str:
    if drawn < plan.urgent_share:
        return "urgent"
    if drawn < plan.urgent_share + plan.batch_share:
        return "batch"
    return "normal"


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@attrs.define
class LoadResult:
    """What became of a load.

    Attributes
    ----------
    outcomes : Counter
        Requests by how they ended.
    first_token, between_tokens, whole_answer : HdrHistogram
        Times in microseconds.
    tokens_count : int
        Tokens that arrived.
    late_s : float
        Largest delay of the load tool itself in seconds.
    """

    outcomes: Counter[str] = attrs.field(factory=Counter)
    by_priority: dict[str, HdrHistogram] = attrs.field(factory=dict)
    first_token: HdrHistogram = attrs.field(factory=make_histogram)
    between_tokens: HdrHistogram = attrs.field(factory=make_histogram)
    whole_answer: HdrHistogram = attrs.field(factory=make_histogram)
    tokens_count: int = 0
    late_s: float = 0.0
    elapsed_s: float = 0.0

    def record(self, request: PlannedRequest, answer: Answer) -> None:
        """Count one answer.

        Parameters
        ----------
        request : PlannedRequest
            What was asked.
        answer : Answer
            What came.
        """
        self.outcomes[judge(request, answer)] += 1
        self.tokens_count += len(answer.text.split())
        if not answer.first_s:
            return
        first_us = _to_us(answer.first_s - answer.begun_s)
        self.first_token.record_value(first_us)
        own = self.by_priority.setdefault(request.priority, make_histogram())
        own.record_value(first_us)
        for gap_s in answer.gaps_s:
            self.between_tokens.record_value(_to_us(gap_s))
        if answer.is_whole:
            self.whole_answer.record_value(_to_us(answer.ended_s - answer.begun_s))

    def to_dict(self) -> dict[str, Any]:
        """Return the result as a JSON object; times in milliseconds."""
        histograms = {
            "first_token_ms": self.first_token,
            "between_tokens_ms": self.between_tokens,
            "whole_answer_ms": self.whole_answer,
        }
        for priority, histogram in sorted(self.by_priority.items()):
            histograms[f"first_token_{priority}_ms"] = histogram
        return {
            "outcomes": dict(sorted(self.outcomes.items())),
            "requests_per_s": self.outcomes.total() / max(self.elapsed_s, 1e-9),
            "tokens_per_s": self.tokens_count / max(self.elapsed_s, 1e-9),
            "tool_late_ms": self.late_s * 1e3,
            **{name: summarise(h) for name, h in histograms.items()},
        }


def _to_us(duration_s: float) -> int:
    return min(HIGHEST_US, max(LOWEST_US, round(duration_s * US_PER_S)))


def summarise(histogram: HdrHistogram) -> dict[str, float]:
    """Return count and percentiles of a histogram in milliseconds."""
    found = {"count": float(histogram.get_total_count())}
    for percentile in PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        found[f"p{percentile:g}"] = value_us / US_PER_MS
    return found


def judge(request: PlannedRequest, answer: Answer) -> str:
    """Say how a request ended, with the emulated engines' text as the measure.

    Parameters
    ----------
    request : PlannedRequest
        What was asked.
    answer : Answer
        What came.

    Returns
    -------
    str
        ``whole``, ``wrong``, ``hung up``, ``broken``, or the problem's code.
    """
    wanted = expected_text(request.prompt, request.max_tokens)
    if not wanted.startswith(answer.text):
        return "wrong"
    if answer.is_whole:
        return "whole" if answer.text == wanted else "wrong"
    if answer.problem:
        code = answer.problem.get("code", "problem")
        return f"{code} ({answer.outcome})"
    if request.hang_up_after_tokens and answer.text:
        return "hung up"
    return f"broken {answer.failure}".strip()


class LoadRunner:
    """Offers a load and collects the result.

    Parameters
    ----------
    plan : LoadPlan
        The load.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._result = LoadResult()
        self._http = urllib3.PoolManager(
            maxsize=256, retries=False, timeout=REQUEST_TIMEOUT_S
        )

    def run(self) -> LoadResult:
        """Offer the load and wait for the last answer.

        Returns
        -------
        LoadResult
            What became of it.
        """
        begun_s = time.monotonic()
        pool = eventlet.GreenPool(100_000)
        for request in plan_requests(self._plan):
            due_s = begun_s + request.at_s
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            self._result.late_s = max(self._result.late_s, time.monotonic() - due_s)
            pool.spawn_n(self._send, request)
        pool.waitall()
        self._result.elapsed_s = time.monotonic() - begun_s
        return self._result

    def _send(self, request: PlannedRequest) -> None:
        key = self._plan.keys[request.workspace]
        headers = {"X-Priority": request.priority}
        if self._plan.deadline_ms:
            headers["X-Deadline-Ms"] = str(self._plan.deadline_ms)

        def go_on(answer: Answer) -> bool:
            limit = request.hang_up_after_tokens
            return not limit or len(answer.text.split()) < limit

        caller = Caller(request.entry, key, self._http)
        answer = caller.generate(
            self._plan.service,
            request.prompt,
            request.max_tokens,
            headers=headers,
            on_token=go_on,
        )
        self._result.record(request, answer)


def format_table(data: dict[str, Any]) -> str:
    """Return the result as tables for a reader."""
    outcomes = tabulate(data["outcomes"].items(), ["outcome", "requests"])
    rows = [
        [name.removesuffix("_ms"), *(round(v, 2) for v in value.values())]
        for name, value in data.items()
        if name.endswith("_ms") and isinstance(value, dict)
    ]
    times = tabulate(rows, ["time in ms", "count", "p50", "p95", "p99"])
    rates = (
        f"{data['requests_per_s']:.1f} requests/s, {data['tokens_per_s']:.0f} tokens/s"
    )
    return f"{outcomes}\n\n{times}\n\n{rates}"


def parse_keys(keys: list[str]) -> dict[str, str]:
    """Read ``workspace=key`` arguments.

    Parameters
    ----------
    keys : list of str
        The arguments.

    Returns
    -------
    dict of str to str
        Key of each workspace.

    Raises
    ------
    EmulatorError
        If an argument has another form.
    """
    parsed: dict[str, str] = {}
    for argument in keys:
        workspace, sign, key = argument.partition("=")
        if not (workspace and sign and key):
            raise EmulatorError("a key must be WORKSPACE=KEY", step="arguments")
        parsed[workspace] = key
    return parsed


def run(
    *,
    entries: list[str],
    keys: list[str],
    service: str = "chestnut-llm",
    rate_per_s: float = 10.0,
    duration_s: float = 10.0,
    mean_tokens: int = 100,
    asked_factor: float = 4.0,
    urgent_share: float = 0.2,
    batch_share: float = 0.3,
    hang_up_share: float = 0.1,
    deadline_ms: int = 0,
    prompt_words: int = 50,
    seed: int = 1,
    format: str = "table",
) -> None:
    """Offer a load to entries before emulated engines and report on it.

    Parameters
    ----------
    entries : list[str]
        IP number and port of each entry.
    keys : list[str]
        Workspaces and their keys, each as WORKSPACE=KEY.
    service : str
        The model service.
    rate_per_s : float
        Requests offered each second.
    duration_s : float
        Time for which new requests are offered.
    mean_tokens : int
        Mean length of an answer.
    asked_factor : float
        By how much a caller that hangs up asked for more than it reads.
    urgent_share : float
        Share of urgent requests.
    batch_share : float
        Share of batch requests.
    hang_up_share : float
        Share of callers that hang up in the middle.
    deadline_ms : int
        Deadline that callers state; 0 states none.
    prompt_words : int
        Mean length of a prompt.
    seed : int
        Seed of all random choices.
    format : str
        ``table`` or ``json``.
    """
    setup_eventlet()
    plan = LoadPlan(
        entries=entries,
        keys=parse_keys(keys),
        service=service,
        rate_per_s=rate_per_s,
        duration_s=duration_s,
        mean_tokens=mean_tokens,
        asked_factor=asked_factor,
        urgent_share=urgent_share,
        batch_share=batch_share,
        hang_up_share=hang_up_share,
        deadline_ms=deadline_ms,
        prompt_words=prompt_words,
        seed=seed,
    )
    data = LoadRunner(plan).run().to_dict()
    print(json.dumps(data, indent=2) if format == "json" else format_table(data))


def main() -> None:
    """Run the console script."""
    defopt.run(run)
