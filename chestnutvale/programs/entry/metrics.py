"""Metrics of an entry."""

from collections.abc import Callable

from chestnutvale.clock import Clock
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.observability import catalog
from chestnutvale.observability.metrics import Metrics, single
from chestnutvale.programs.entry.const import (
    PATH_ANNOUNCEMENTS,
    PATH_CHAT,
    PATH_COMPLETIONS,
    PREFIX_SERVICES,
)

MEASURED_ROUTES = (PATH_CHAT, PATH_COMPLETIONS, PREFIX_SERVICES, PATH_ANNOUNCEMENTS)


def register_entry_metrics(
    metrics: Metrics, view: EntryView, is_ready: Callable[[], bool], clock: Clock
) -> None:
    """Publish the metrics of an entry.

    Parameters
    ----------
    metrics : Metrics
        The metrics of the process.
    view : EntryView
        What the leading control told the entry.
    is_ready : callable
        Tells whether the balancer should send calls here.
    clock : Clock
        Source of time.
    """
    metrics.gauge(catalog.READY, single(lambda: float(is_ready())))
    metrics.gauge(catalog.CONFIGURATION_NUMBER, single(lambda: view.number))
    metrics.gauge(
        catalog.LEASE_LEFT,
        single(lambda: max(0.0, view.lease_until_s - clock.now_s())),
    )
