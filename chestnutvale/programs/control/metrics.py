"""Metrics of a control; metrics of the whole system only while it leads."""

from collections import Counter
from collections.abc import Callable, Mapping

import attrs

from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.observability import catalog
from chestnutvale.observability.catalog import LABEL_ENTRY, LABEL_SERVICE
from chestnutvale.observability.metrics import (
    Metrics,
    SeriesReader,
    make_labelled_reader,
    make_unlabelled_reader,
)
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.measures import MeasureTracker
from chestnutvale.programs.control.state import ControlState


@attrs.frozen
class ControlSources:
    """Components of a control that provide its metrics.

    Attributes
    ----------
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    table : MembershipTable
        The host table.
    publisher : ViewPublisher
        Views of the groups.
    entry_handler : EntryReportHandler
        Last reports of entries.
    measures : MeasureTracker
        Downtime and stranded accelerator time.
    """

    log: ConsensusTask
    state: ControlState
    table: MembershipTable
    publisher: ViewPublisher
    entry_handler: EntryReportHandler
    measures: MeasureTracker


def register_control_metrics(metrics: Metrics, sources: ControlSources) -> None:
    """Register the metrics of a control.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    sources : ControlSources
        Components that provide the values.
    """
    _register_process_state(metrics, sources)
    _register_measures(metrics, sources)
    _register_services(metrics, sources)


def _register_process_state(metrics: Metrics, sources: ControlSources) -> None:
    log, state = sources.log, sources.state
    metrics.register_gauge(
        catalog.LEADER, make_unlabelled_reader(lambda: float(log.is_leader))
    )
    metrics.register_gauge(catalog.TERM, make_unlabelled_reader(lambda: log.term))
    metrics.register_counter(
        catalog.APPLIED_INDEX, make_unlabelled_reader(lambda: log.applied_index)
    )
    metrics.register_counter(
        catalog.SKIPPED_COMMANDS, make_unlabelled_reader(lambda: log.skipped_commands)
    )
    metrics.register_gauge(
        catalog.WRITE_WAIT, make_unlabelled_reader(lambda: log.write_waited_s)
    )
    metrics.register_gauge(
        catalog.SILENT_VOTERS,
        _while_leading(log)(make_unlabelled_reader(lambda: log.silent_voters)),
    )
    metrics.register_counter(
        catalog.CONSENSUS_DELAY, make_unlabelled_reader(lambda: log.delayed_s)
    )
    metrics.register_gauge(
        catalog.CONFIGURATION_NUMBER,
        make_unlabelled_reader(lambda: state.configuration.number),
    )
    metrics.register_gauge(
        catalog.EVACUATED_DATA_CENTRES,
        make_unlabelled_reader(lambda: len(state.evacuations.evacuated)),
    )
    metrics.register_gauge(
        catalog.DEPARTURES_RECORDED,
        make_unlabelled_reader(lambda: len(state.departures)),
    )
    metrics.register_gauge(
        catalog.DEPARTURES_UNRECORDED,
        make_unlabelled_reader(lambda: len(sources.table.unrecorded_departures())),
    )
    metrics.register_gauge(
        catalog.LEDGER_RECORDS,
        make_unlabelled_reader(lambda: state.ledger.record_count),
    )
    metrics.register_gauge(
        catalog.LEDGER_SIZE, make_unlabelled_reader(lambda: state.ledger.size_bytes)
    )
    metrics.register_gauge(
        catalog.HOSTS_KNOWN,
        make_unlabelled_reader(lambda: len(sources.table.known_hosts())),
    )


def _register_measures(metrics: Metrics, sources: ControlSources) -> None:
    measures = sources.measures
    leading = _while_leading(sources.log)
    metrics.register_counter(
        catalog.GROUP_DOWNTIME,
        leading(make_labelled_reader(LABEL_SERVICE, lambda: measures.group_downtime_s)),
    )
    metrics.register_gauge(
        catalog.STRANDED_HOSTS,
        leading(make_unlabelled_reader(lambda: len(measures.stranded_host_ids))),
    )
    metrics.register_gauge(
        catalog.STRANDED_ACCELERATORS,
        leading(make_unlabelled_reader(lambda: measures.stranded_accelerators)),
    )
    metrics.register_counter(
        catalog.STRANDED_TIME,
        leading(make_unlabelled_reader(lambda: measures.stranded_accelerator_s)),
    )


def _register_services(metrics: Metrics, sources: ControlSources) -> None:
    leading = _while_leading(sources.log)

    def count_serving() -> Mapping[str, float]:
        views = sources.publisher.group_views()
        counts = Counter(item.group.service for item in views if item.serving)
        return {
            name: counts[name] for name in sources.state.configuration.text.services
        }

    def count_cold() -> Mapping[str, float]:
        views = sources.publisher.group_views()
        counts = Counter(item.group.service for item in views if item.is_cold)
        return {
            name: counts[name] for name in sources.state.configuration.text.services
        }

    def count_wanted() -> Mapping[str, float]:
        services = sources.state.configuration.text.services
        return {name: service.groups for name, service in services.items()}

    def read_numbers() -> Mapping[str, float]:
        return {
            name: entry.number for name, entry in sources.entry_handler.entries.items()
        }

    metrics.register_gauge(
        catalog.GROUPS_SERVING,
        leading(make_labelled_reader(LABEL_SERVICE, count_serving)),
    )
    metrics.register_gauge(
        catalog.GROUPS_COLD, leading(make_labelled_reader(LABEL_SERVICE, count_cold))
    )
    metrics.register_gauge(
        catalog.COLD_SLOTS,
        leading(
            make_unlabelled_reader(lambda: sources.entry_handler.limits.slot_count)
        ),
    )
    metrics.register_gauge(
        catalog.GROUPS_WANTED,
        leading(make_labelled_reader(LABEL_SERVICE, count_wanted)),
    )
    metrics.register_gauge(
        catalog.ENTRY_NUMBER, leading(make_labelled_reader(LABEL_ENTRY, read_numbers))
    )


def _while_leading(log: ConsensusTask) -> Callable[[SeriesReader], SeriesReader]:
    """Wrap sources to give no values on followers, whose values don't advance."""

    def wrap(read: SeriesReader) -> SeriesReader:
        return lambda: read() if log.is_leader else []

    return wrap
