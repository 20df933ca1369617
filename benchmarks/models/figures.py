"""Turns the calls of a run into figures."""

from collections import Counter
from statistics import mean

import attrs

from benchmarks.models.bench import Bench
from benchmarks.models.load import Call
from chestnutvale.admission.sharing import divide_capacity


@attrs.frozen
class Figures:
    """Figures of one run.

    Attributes
    ----------
    goodput : float
        Calls answered whole and in time, a second.
    good_tokens : float
        Prompt and output tokens of those calls, in thousands a second.
    urgent_good, normal_good, batch_good : float
        Share of each class that was answered in time.
    first_p50_s, first_p95_s, first_p99_s : float
        Seconds from the first try of an urgent call to its first token.
    jain : float
        Jain's index of tokens served over the max-min fair share.
    kv_used, kv_reserved : float
        Mean share of KV memory.
    preemptions : int
        Requests that engines threw out for lack of KV memory.
    evictions : int
        Those of them that gave way to a higher class.
    prefix_hits : float
        Share of starts that found their prefix cached.
    wasted : float
        Share of tokens spent on calls that did not finish in time.
    attempts, tries : float
        Attempts per admission, and tries per call.
    """

    goodput: float
    good_tokens: float
    urgent_good: float
    normal_good: float
    batch_good: float
    first_p50_s: float
    first_p95_s: float
    first_p99_s: float
    jain: float
    kv_used: float
    kv_reserved: float
    preemptions: int
    evictions: int
    prefix_hits: float
    wasted: float
    attempts: float
    tries: float


def measure(bench: Bench, start_s: float, stop_s: float) -> Figures:
    """Return the figures over calls that arrived in a span of time."""
    calls = [call for call in bench.calls if start_s <= call.arrival_s < stop_s]
    engines = bench.engines.values()
    counts = bench.counts
    lost = counts.wasted_tokens + sum(engine.lost_tokens for engine in engines)
    first = sorted(_first_s(call) for call in calls if call.priority == "urgent")
    done = [
        call
        for call in bench.calls
        if call.outcome == "good" and start_s <= call.finished_s < stop_s
    ]
    asks = sum(engine.prefix_asks for engine in engines)
    return Figures(
        goodput=len(done) / (stop_s - start_s),
        good_tokens=sum(map(_tokens, done)) / (stop_s - start_s) / 1000,
        urgent_good=_good_share(calls, "urgent"),
        normal_good=_good_share(calls, "normal"),
        batch_good=_good_share(calls, "batch"),
        first_p50_s=_at(first, 0.5),
        first_p95_s=_at(first, 0.95),
        first_p99_s=_at(first, 0.99),
        jain=_jain(calls),
        kv_used=counts.kv_used / counts.kv_samples,
        kv_reserved=counts.kv_reserved / counts.kv_samples,
        preemptions=sum(engine.preemptions for engine in engines),
        evictions=sum(engine.evictions for engine in engines),
        prefix_hits=sum(engine.prefix_hits for engine in engines) / max(1, asks),
        wasted=lost / max(1.0, lost + counts.useful_tokens),
        attempts=counts.attempts / max(1, counts.admitted),
        tries=sum(call.tries for call in calls) / max(1, len(calls)),
    )


def average(rows: list[tuple[str, Figures]]) -> list[tuple[str, Figures]]:
    """Return the mean of the rows that have the same name."""
    by_name: dict[str, list[Figures]] = {}
    for name, figures in rows:
        by_name.setdefault(name, []).append(figures)
    fields = [field.name for field in attrs.fields(Figures)]
    return [
        (name, Figures(*(mean(getattr(f, field) for f in several) for field in fields)))
        for name, several in by_name.items()
    ]


def table(rows: list[tuple[str, Figures]]) -> str:
    """Return the figures as lines of text, a row a run."""
    names = [field.name for field in attrs.fields(Figures)]
    lines = ["run".ljust(44) + " ".join(name[:11].rjust(11) for name in names)]
    for name, figures in rows:
        values = (f"{getattr(figures, n):.3f}".rjust(11) for n in names)
        lines.append(name.ljust(44) + " ".join(values))
    return "\n".join(lines)


def _tokens(call: Call) -> int:
    return call.prompt_tokens + call.output_tokens


def _jain(calls: list[Call]) -> float:
    wanted: Counter = Counter()
    served: Counter = Counter()
    for call in calls:
        wanted[call.workspace] += _tokens(call)
        if call.outcome == "good":
            served[call.workspace] += _tokens(call)
    weights = dict.fromkeys(wanted, 1.0)
    fair = divide_capacity(sum(served.values()), wanted, weights)
    parts = [served[name] / max(1.0, fair[name]) for name in wanted]
    squares = sum(part * part for part in parts)
    return sum(parts) ** 2 / (len(parts) * squares) if squares else 0.0


def _good_share(calls: list[Call], priority: str) -> float:
    those = [call for call in calls if call.priority == priority]
    return sum(call.outcome == "good" for call in those) / max(1, len(those))


def _first_s(call: Call) -> float:
    if not call.first_token_s:
        return float("inf")
    return call.first_token_s - call.arrival_s


def _at(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
