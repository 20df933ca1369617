"""Report of a run, for people."""

from collections import Counter
from pathlib import Path

from chestnutvale.soak.evidence import find_log_lines
from chestnutvale.soak.records import describe_end
from chestnutvale.soak.runner import SoakResult

SHOWN_VIOLATIONS = 40


def format_report(result: SoakResult, folder: Path | None = None) -> str:
    """Return the report of a run as lines of text; the last one is the verdict.

    Parameters
    ----------
    result : SoakResult
        What the run showed.
    folder : Path, optional
        Folder of its logs; their lines about the requests of violations are listed.

    Returns
    -------
    str
        The lines.
    """
    records = result.records
    requests = Counter(f"{r.kind} {describe_end(r)}" for r in records.requests)
    ends = Counter(run.outcome for run in records.runs)
    accepted_count = sum(text.is_accepted for text in records.texts)
    lines = [
        f"requests: {_format_counts(requests)}",
        f"runs at endpoints: {_format_counts(ends)}",
        f"steps: {_format_counts(result.steps)}; texts accepted {accepted_count}; "
        f"readings {len(records.readings)}",
    ]
    lines += result.gaps
    lines += [
        f"the runner itself stood still for {length_s} s until {at_s} s"
        for at_s, length_s in result.standstills
    ]
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        lines.append(f"BROKEN {violation.check}: {violation.detail}")
        lines += find_log_lines(violation.detail, folder) if folder else []
    return "\n".join([*lines, format_verdict(result)])


def format_verdict(result: SoakResult) -> str:
    """Return one line that says whether all promises held."""
    if not result.violations and result.gaps:
        return f"seed {result.seed}: NOT JUDGED: the run was not a full one"
    if not result.violations:
        return f"seed {result.seed}: all promises held"
    counts = Counter(violation.check for violation in result.violations)
    return f"seed {result.seed}: BROKEN: {_format_counts(counts)}"


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
