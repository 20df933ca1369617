"""OpenTelemetry metrics, exported in the Prometheus text format."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from types import TracebackType
from typing import Any, Self

import logbook
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, ProcessCollector
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from chestnutvale.http_server.views import STATUS_OK, respond
from chestnutvale.observability.catalog import DURATION_BOUNDARIES_S, Metric
from chestnutvale.observability.labels import LabelSetLimiter
from chestnutvale.observability.metrics import SeriesReader

_LOGGER = logbook.Logger(__name__)


class OtelHistogram:
    """Histogram of one metric with limited label cardinality.

    Parameters
    ----------
    metric : Metric
        Definition of the metric.
    instrument : object
        OpenTelemetry histogram to record into.
    """

    def __init__(self, metric: Metric, instrument: Any) -> None:
        self._label_limiter = LabelSetLimiter(metric)
        self._instrument = instrument

    def record(self, value: float, labels: Mapping[str, str]) -> None:
        """Record one value.

        Parameters
        ----------
        value : float
            The value in the unit of the metric.
        labels : mapping of str to str
            Label values by name.

        Raises
        ------
        MetricLabelError
            If the label names differ from those that the metric declares.
        """
        self._instrument.record(value, self._label_limiter.limit_labels(labels))


class OtelMetrics:
    """The metrics of one process; a context manager.

    Most metrics are read from the component that owns the value when they are
    scraped, so that they add no work to a request.

    Parameters
    ----------
    component : str
        Name of the program, used as the name of the meter.
    """

    def __init__(self, component: str) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = MeterProvider(metric_readers=[reader])
        self._meter = self._provider.get_meter(component)

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
        self._provider.shutdown()

    def register_gauge(self, metric: Metric, read: SeriesReader) -> None:
        """Register a metric whose values can rise and fall.

        Parameters
        ----------
        metric : Metric
            Definition of the metric.
        read : callable
            Returns labels and value of each series; called at each scrape.
        """
        self._meter.create_observable_gauge(
            metric.name,
            callbacks=[_make_callback(metric, read)],
            unit=metric.unit,
            description=metric.description,
        )

    def register_counter(self, metric: Metric, read: SeriesReader) -> None:
        """Register a metric whose totals only grow.

        Parameters
        ----------
        metric : Metric
            Definition of the metric.
        read : callable
            Returns labels and total of each series; called at each scrape.
        """
        self._meter.create_observable_counter(
            metric.name,
            callbacks=[_make_callback(metric, read)],
            unit=metric.unit,
            description=metric.description,
        )

    def make_histogram(self, metric: Metric) -> OtelHistogram:
        """Create a histogram with bucket boundaries for durations in seconds.

        Parameters
        ----------
        metric : Metric
            Definition of the metric.

        Returns
        -------
        OtelHistogram
            Histogram to record values in.
        """
        instrument = self._meter.create_histogram(
            metric.name,
            unit=metric.unit,
            description=metric.description,
            explicit_bucket_boundaries_advisory=DURATION_BOUNDARIES_S,
        )
        return OtelHistogram(metric, instrument)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        Returns
        -------
        bytes
            The metrics.
        """
        return generate_latest(self._registry)

    def view(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve ``GET /metrics`` as a WSGI application."""
        return respond(start_response, STATUS_OK, CONTENT_TYPE_LATEST, self.render())


def _make_callback(
    metric: Metric, read: SeriesReader
) -> Callable[[CallbackOptions], list[Observation]]:
    label_limiter = LabelSetLimiter(metric)

    def observe(options: CallbackOptions) -> list[Observation]:
        try:
            # Several label sets can map to ``other``; their values are summed.
            totals: defaultdict[tuple[str, ...], float] = defaultdict(float)
            for labels, value in read():
                limited_labels = label_limiter.limit_labels(labels)
                totals[tuple(limited_labels[name] for name in metric.labels)] += value
        except Exception:
            # A failing reader must not hide the other metrics.
            _LOGGER.exception("Failed to read the metric {}", metric.name)
            return []
        return [
            Observation(value, dict(zip(metric.labels, key, strict=True)))
            for key, value in totals.items()
        ]

    return observe
