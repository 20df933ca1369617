"""Measures how fast an endpoint delivered a complete answer."""

from typing import Final

from chestnutvale.programs.entry.context import AttemptReport

# Shortest answer from which the time per token is measured; the first tokens may arrive
# together.
MIN_MEASURED_TOKENS: Final = 8


def measure_speed(report: AttemptReport, run_s: float) -> tuple[float, float | None]:
    """Return how fast a complete answer came.

    Parameters
    ----------
    report : AttemptReport
        The attempt.
    run_s : float
        Time from the send to the end of the answer in seconds.

    Returns
    -------
    tuple of (float, float or None)
        The running time, and the time per token after the first event in seconds. For
        a plain call the latter is the running time; None for a short stream.
    """
    if report.first_byte_ms is None:
        return run_s, run_s
    if report.tokens < MIN_MEASURED_TOKENS:
        return run_s, None
    return run_s, max(0.0, run_s - report.first_byte_ms / 1_000) / report.tokens
