"""Computes the metrics of a run."""

from collections import Counter
from statistics import mean

import attrs

from benchmarks.models.bench import Simulation
from benchmarks.models.load import Call
from chestnutvale.admission.sharing import divide_capacity


@attrs.frozen
class RunMetrics:
    """Metrics of one run.

    Attributes
    ----------
    goodput : float
        Calls answered completely and in time, per second.
    good_tokens : float
        Prompt and output tokens of those calls, in thousands per second.
    urgent_good, normal_good, batch_good : float
        Share of the calls of each priority that were answered in time.
    first_p50_s, first_p95_s, first_p99_s : float
        Percentiles of the time in seconds from the first try of an urgent call to
        its first token.
    jain : float
        Jain's index of tokens served over the max-min fair share.
    kv_used, kv_reserved : float
        Mean share of KV memory that is used, and that is reserved.
    preemptions : int
        Requests that engines preempted for lack of KV memory.
    evictions : int
        Preemptions in favour of a request of higher priority.
    prefix_hits : float
        Share of started requests whose prefix was cached.
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


def measure(simulation: Simulation, start_s: float, stop_s: float) -> RunMetrics:
    """Return the metrics of a run between two simulated times in seconds."""
    calls = [call for call in simulation.calls if start_s <= call.arrival_s < stop_s]
    engines = simulation.engines.values()
    counters = simulation.counters
    lost = counters.wasted_tokens + sum(engine.lost_tokens for engine in engines)
    first = sorted(
        _time_to_first_token_s(call) for call in calls if call.priority == "urgent"
    )
    good_calls = [
        call
        for call in simulation.calls
        if call.outcome == "good" and start_s <= call.finished_s < stop_s
    ]
    lookups = sum(engine.prefix_lookups for engine in engines)
    return RunMetrics(
        goodput=len(good_calls) / (stop_s - start_s),
        good_tokens=sum(map(_total_tokens, good_calls)) / (stop_s - start_s) / 1000,
        urgent_good=_good_share(calls, "urgent"),
        normal_good=_good_share(calls, "normal"),
        batch_good=_good_share(calls, "batch"),
        first_p50_s=_quantile(first, 0.5),
        first_p95_s=_quantile(first, 0.95),
        first_p99_s=_quantile(first, 0.99),
        jain=_jain_index(calls),
        kv_used=counters.kv_used / counters.kv_samples,
        kv_reserved=counters.kv_reserved / counters.kv_samples,
        preemptions=sum(engine.preemptions for engine in engines),
        evictions=sum(engine.evictions for engine in engines),
        prefix_hits=sum(engine.prefix_hits for engine in engines) / max(1, lookups),
        wasted=lost / max(1.0, lost + counters.useful_tokens),
        attempts=counters.attempts / max(1, counters.admitted),
        tries=sum(call.tries for call in calls) / max(1, len(calls)),
    )


def average_by_name(rows: list[tuple[str, RunMetrics]]) -> list[tuple[str, RunMetrics]]:
    """Return the mean of the rows that have the same name, field by field."""
    by_name: dict[str, list[RunMetrics]] = {}
    for name, metrics in rows:
        by_name.setdefault(name, []).append(metrics)
    fields = [field.name for field in attrs.fields(RunMetrics)]
    return [
        (
            name,
            RunMetrics(*(mean(getattr(f, field) for f in group) for field in fields)),
        )
        for name, group in by_name.items()
    ]


def format_table(rows: list[tuple[str, RunMetrics]]) -> str:
    """Return the metrics as a text table with one row per run."""
    names = [field.name for field in attrs.fields(RunMetrics)]
    lines = ["run".ljust(44) + " ".join(name[:11].rjust(11) for name in names)]
    for name, metrics in rows:
        values = (f"{getattr(metrics, n):.3f}".rjust(11) for n in names)
        lines.append(name.ljust(44) + " ".join(values))
    return "\n".join(lines)


def _total_tokens(call: Call) -> int:
    return call.prompt_tokens + call.output_tokens


def _jain_index(calls: list[Call]) -> float:
    wanted: Counter = Counter()
    served: Counter = Counter()
    for call in calls:
        wanted[call.workspace] += _total_tokens(call)
        if call.outcome == "good":
            served[call.workspace] += _total_tokens(call)
    weights = dict.fromkeys(wanted, 1.0)
    fair = divide_capacity(sum(served.values()), wanted, weights)
    ratios = [served[name] / max(1.0, fair[name]) for name in wanted]
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0.0


def _good_share(calls: list[Call], priority: str) -> float:
    calls_of_priority = [call for call in calls if call.priority == priority]
    return sum(call.outcome == "good" for call in calls_of_priority) / max(
        1, len(calls_of_priority)
    )


def _time_to_first_token_s(call: Call) -> float:
    if not call.first_token_s:
        return float("inf")
    return call.first_token_s - call.arrival_s


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
