"""Results of a load: counts of outcomes and histograms of times."""

from collections import Counter
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.caller import Answer
from chestnutvale.emulator.load_plan import PlannedRequest

HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 600 * 1_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000
US_PER_MS = 1_000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram for durations of 1 µs to 600 s, in microseconds."""
    return HdrHistogram(
        HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS
    )


@attrs.define
class LoadResult:
    """Results of a load.

    Attributes
    ----------
    outcomes : Counter
        Number of requests with each outcome.
    by_priority : dict of str to HdrHistogram
        Time to the first token in microseconds for each priority.
    first_token, between_tokens, whole_answer : HdrHistogram
        Time to the first token, between consecutive tokens, and to the end of a
        complete answer, in microseconds.
    tokens_count : int
        Number of received tokens.
    max_send_delay_s : float
        Largest delay in seconds with which the tool itself sent a request.
    elapsed_s : float
        Duration of the load in seconds, up to the last answer.
    """

    outcomes: Counter[str] = attrs.field(factory=Counter)
    by_priority: dict[str, HdrHistogram] = attrs.field(factory=dict)
    first_token: HdrHistogram = attrs.field(factory=make_histogram)
    between_tokens: HdrHistogram = attrs.field(factory=make_histogram)
    whole_answer: HdrHistogram = attrs.field(factory=make_histogram)
    tokens_count: int = 0
    max_send_delay_s: float = 0.0
    elapsed_s: float = 0.0

    def record_answer(self, request: PlannedRequest, answer: Answer) -> None:
        """Add the result of one request.

        Parameters
        ----------
        request : PlannedRequest
            The planned request.
        answer : Answer
            Its result.
        """
        self.outcomes[classify_outcome(request, answer)] += 1
        self.tokens_count += len(answer.text.split())
        if not answer.first_token_at_s:
            return
        first_us = _to_us(answer.first_token_at_s - answer.sent_at_s)
        self.first_token.record_value(first_us)
        priority_histogram = self.by_priority.setdefault(
            request.priority, make_histogram()
        )
        priority_histogram.record_value(first_us)
        for gap_s in answer.token_intervals_s:
            self.between_tokens.record_value(_to_us(gap_s))
        if answer.is_complete:
            self.whole_answer.record_value(_to_us(answer.ended_at_s - answer.sent_at_s))

    def to_dict(self) -> dict[str, Any]:
        """Return the results as a JSON object, with times in milliseconds."""
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
            "tool_late_ms": self.max_send_delay_s * 1e3,
            **{name: summarise_histogram(h) for name, h in histograms.items()},
        }


def _to_us(duration_s: float) -> int:
    return min(HISTOGRAM_MAX_US, max(HISTOGRAM_MIN_US, round(duration_s * US_PER_S)))


def summarise_histogram(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count and the percentiles, in milliseconds, of a histogram."""
    summary = {"count": float(histogram.get_total_count())}
    for percentile in PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}"] = value_us / US_PER_MS
    return summary


def classify_outcome(request: PlannedRequest, answer: Answer) -> str:
    """Return the outcome of a request, comparing its text with the expected answer.

    Parameters
    ----------
    request : PlannedRequest
        The planned request.
    answer : Answer
        Its result.

    Returns
    -------
    str
        ``whole``, ``wrong``, ``hung up``, ``broken`` with the connection error, or
        the code and outcome of the problem.
    """
    expected = expected_text(request.prompt, request.max_tokens)
    if not expected.startswith(answer.text):
        return "wrong"
    if answer.is_complete:
        return "whole" if answer.text == expected else "wrong"
    if answer.problem:
        code = answer.problem.get("code", "problem")
        return f"{code} ({answer.outcome})"
    if request.hang_up_after_tokens and answer.text:
        return "hung up"
    return f"broken {answer.failure}".strip()


def format_table(data: dict[str, Any]) -> str:
    """Return the results, as `LoadResult.to_dict` gives them, as text tables."""
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
