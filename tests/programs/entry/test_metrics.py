"""Tests of the metrics of an entry's decisions."""

from collections import Counter
from types import SimpleNamespace

from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.observability.otel_metrics import OtelMetrics
from chestnutvale.programs.entry.metrics import (
    register_decision_metrics,
    register_memory_metrics,
)


def test_decisions_are_counted_by_reason():
    decisions = Counter(admitted=7, deadline_unreachable=2)
    context = SimpleNamespace(
        admission=SimpleNamespace(
            decisions=decisions,
            refusals=Counter({("team-a", 2, "deadline_unreachable"): 2}),
            data_centre="dc1",
        ),
        attempt_results=Counter(whole=6, broken=1),
        kept_attempts=Counter(not_resumable=2),
        lost_group_reports=Counter(missing=3),
    )
    link = SimpleNamespace(lease_changes=Counter(won=1), stalls=3)
    with OtelMetrics("test") as metrics:
        register_decision_metrics(metrics, context, link)
        decisions["admitted"] += 1
        metric_lines = metrics.render().decode().splitlines()
    prefix = "chestnutvale_admission_decisions_total"
    assert f'{prefix}{{reason="admitted"}} 8.0' in metric_lines
    assert f'{prefix}{{reason="deadline_unreachable"}} 2.0' in metric_lines
    (refusals,) = [
        line
        for line in metric_lines
        if line.startswith("chestnutvale_admission_refusals_total{")
    ]
    assert refusals.endswith(" 2.0")
    for label in ('workspace="team-a"', 'rank="2"', 'data_centre="dc1"'):
        assert label in refusals
    assert 'chestnutvale_attempts_total{reason="broken"} 1.0' in metric_lines
    lost = 'chestnutvale_attempts_group_lost_total{reason="missing"} 3.0'
    assert lost in metric_lines
    kept = 'chestnutvale_attempts_kept_silent_total{reason="not_resumable"} 2.0'
    assert kept in metric_lines
    assert 'chestnutvale_entry_lease_changes_total{reason="won"} 1.0' in metric_lines
    assert "chestnutvale_groups_stalled_total 3.0" in metric_lines


def test_memory_of_calls_is_exported():
    """Operators could not tell which bound refuses calls or breaks answers off."""
    memory = MemoryBound(max_bytes=10)
    with OtelMetrics("test") as metrics:
        register_memory_metrics(metrics, memory)
        assert memory.reserve_body(8)
        assert not memory.reserve_body(8)
        metric_lines = metrics.render().decode().splitlines()
    assert "chestnutvale_entry_buffered_bytes 8.0" in metric_lines
    assert "chestnutvale_entry_answers_cut_total 0.0" in metric_lines
    assert "chestnutvale_entry_calls_refused_memory_total 1.0" in metric_lines
