"""Registers the metrics of an entry."""

from collections import Counter
from collections.abc import Callable, Sequence

from chestnutvale.clock import Clock
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.http_server.server import HttpServer
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.observability import catalog
from chestnutvale.observability.catalog import LABEL_ENDED_BY, LABEL_REASON
from chestnutvale.observability.metrics import (
    Metrics,
    make_labelled_reader,
    make_unlabelled_reader,
)
from chestnutvale.programs.entry.admission_gate import AdmissionGate
from chestnutvale.programs.entry.const import (
    PATH_ANNOUNCEMENTS,
    PATH_CHAT,
    PATH_COMPLETIONS,
    PREFIX_SERVICES,
)
from chestnutvale.programs.entry.control_link import ControlLink
from chestnutvale.programs.entry.entry_context import EntryContext

MEASURED_ROUTES = (PATH_CHAT, PATH_COMPLETIONS, PREFIX_SERVICES, PATH_ANNOUNCEMENTS)


def register_decision_metrics(
    metrics: Metrics, context: EntryContext, link: ControlLink
) -> None:
    """Register the counters of an entry's decisions about requests and groups.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    context : EntryContext
        Counts decisions of admission and results of attempts.
    link : ControlLink
        Counts lease changes and stalled groups.
    """
    counters_by_metric = {
        catalog.ADMISSIONS: lambda: context.admission.decisions,
        catalog.ATTEMPTS: lambda: context.attempt_results,
        catalog.KEPT_ATTEMPTS: lambda: context.kept_attempts,
        catalog.LOST_GROUP_REPORTS: lambda: context.lost_group_reports,
        catalog.LEASE_CHANGES: lambda: link.lease_changes,
        catalog.ENDPOINT_NOTICES: lambda: context.notice_counts,
        catalog.REPLACED_REFUSALS: lambda: context.replaced_refusals,
        catalog.ISOLATION_CHANGES: lambda: context.isolation_changes,
        catalog.GROUP_CHOICES: lambda: context.choice_counts,
        catalog.PART_BANS: lambda: context.suspicions.part_bans.counts,
    }
    for metric, read_counts in counters_by_metric.items():
        metrics.register_counter(
            metric, make_labelled_reader(LABEL_REASON, read_counts)
        )
    metrics.register_counter(
        catalog.REFUSALS, lambda: _list_refusals(context.admission)
    )
    metrics.register_counter(
        catalog.STALLS, make_unlabelled_reader(lambda: link.stalls)
    )


def register_memory_metrics(metrics: Metrics, memory: MemoryBound) -> None:
    """Register the memory of an entry's calls and answers.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    memory : MemoryBound
        Counts the memory, and what was cut or refused for it.
    """
    metrics.register_gauge(
        catalog.BUFFERED_BYTES, make_unlabelled_reader(lambda: memory.used_bytes)
    )
    metrics.register_counter(
        catalog.CUT_ANSWERS, make_unlabelled_reader(lambda: memory.cut_answers)
    )
    metrics.register_counter(
        catalog.CUT_BODIES, make_unlabelled_reader(lambda: memory.cut_bodies)
    )
    metrics.register_counter(
        catalog.REFUSED_WITHOUT_MEMORY,
        make_unlabelled_reader(lambda: memory.refused_requests),
    )


def register_answer_metrics(metrics: Metrics, servers: Sequence[HttpServer]) -> None:
    """Register the counter of the answers that ended early.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    servers : sequence of HttpServer
        The servers whose answers are counted.
    """

    def read_counts() -> Counter[str]:
        return sum((server.answer_ends for server in servers), Counter())

    metrics.register_counter(
        catalog.ANSWERS_ENDED_EARLY, make_labelled_reader(LABEL_ENDED_BY, read_counts)
    )


def _list_refusals(gate: AdmissionGate) -> list[tuple[dict[str, str], float]]:
    return [
        (
            {
                catalog.LABEL_WORKSPACE: workspace,
                catalog.LABEL_RANK: str(rank),
                LABEL_REASON: code,
                catalog.LABEL_DATA_CENTRE: gate.data_centre,
            },
            count,
        )
        for (workspace, rank, code), count in gate.refusals.items()
    ]


def register_entry_metrics(
    metrics: Metrics, view: EntryView, is_ready: Callable[[], bool], clock: Clock
) -> None:
    """Register the gauges of an entry's state.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    view : EntryView
        Configuration number and serving lease from the leading control.
    is_ready : callable
        Returns whether the load balancer should send calls to this entry.
    clock : Clock
        Source of time.
    """
    metrics.register_gauge(
        catalog.READY, make_unlabelled_reader(lambda: float(is_ready()))
    )
    metrics.register_gauge(
        catalog.CONFIGURATION_NUMBER, make_unlabelled_reader(lambda: view.number)
    )
    metrics.register_gauge(
        catalog.LEASE_LEFT,
        make_unlabelled_reader(lambda: max(0.0, view.lease_until_s - clock.now_s())),
    )
    metrics.register_gauge(
        catalog.EVACUATED_GROUPS,
        make_unlabelled_reader(lambda: sum(item.evacuated for item in view.groups())),
    )
