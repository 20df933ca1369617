"""Metrics whose exporting libraries are imported at the first scrape."""

from collections.abc import Callable, Iterable
from types import TracebackType
from typing import TYPE_CHECKING, Any, Self

from chestnutvale.observability.catalog import Metric
from chestnutvale.observability.metrics import SeriesReader

if TYPE_CHECKING:
    from chestnutvale.observability.otel_metrics import OtelMetrics


class DeferredMetrics:
    """The metrics of a process that are read only when scraped; a context manager.

    It has no histograms, because these must record before the first scrape.

    Parameters
    ----------
    component : str
        Name of the program.
    """

    def __init__(self, component: str) -> None:
        self._component = component
        self._gauges: list[tuple[Metric, SeriesReader]] = []
        self._counters: list[tuple[Metric, SeriesReader]] = []
        self._exporter: OtelMetrics | None = None

    def __enter__(self) -> Self:
        """Return itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop collecting."""
        if self._exporter is not None:
            self._exporter.__exit__(kind, error, trace)

    def register_gauge(self, metric: Metric, read: SeriesReader) -> None:
        """Register a metric whose values can rise and fall; before the first scrape.

        Parameters
        ----------
        metric : Metric
            Definition of the metric.
        read : callable
            Returns labels and value of each series; called at each scrape.
        """
        self._gauges.append((metric, read))

    def register_counter(self, metric: Metric, read: SeriesReader) -> None:
        """Register a metric whose totals only grow; before the first scrape.

        Parameters
        ----------
        metric : Metric
            Definition of the metric.
        read : callable
            Returns labels and total of each series; called at each scrape.
        """
        self._counters.append((metric, read))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._make_exporter().render()

    def view(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve ``GET /metrics`` as a WSGI application."""
        return self._make_exporter().view(environ, start_response)

    def _make_exporter(self) -> "OtelMetrics":
        if self._exporter is None:
            from chestnutvale.observability.otel_metrics import OtelMetrics

            exporter = OtelMetrics(self._component)
            for metric, read in self._gauges:
                exporter.register_gauge(metric, read)
            for metric, read in self._counters:
                exporter.register_counter(metric, read)
            self._exporter = exporter
        return self._exporter
