"""OpenTelemetry metrics with a Prometheus endpoint."""

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

_LOGGER = logbook.Logger(__name__)

LabelledValue = tuple[Mapping[str, str], float]
SeriesReader = Callable[[], Iterable[LabelledValue]]


class Histogram:
    """Records values of one metric.

    Parameters
    ----------
    metric : Metric
        The metric.
    instrument : object
        The OpenTelemetry instrument.
    """

    def __init__(self, metric: Metric, instrument: Any) -> None:
        self._label_limiter = LabelSetLimiter(metric)
        self._instrument = instrument

    def record(self, value: float, labels: Mapping[str, str]) -> None:
        """Record one value.

        Parameters
        ----------
        value : float
            The value in the metric's unit.
        labels : mapping of str to str
            Its labels.
        """
        self._instrument.record(value, self._label_limiter.limit_labels(labels))


class Metrics:
    """The metrics of one process; a context manager.

    Most metrics are read from their owner when they are asked for, so that nothing
    is added to the work of a request.

    Parameters
    ----------
    component : str
        Name of the program, which becomes the meter's name.
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
        """Publish values that go up and down.

        Parameters
        ----------
        metric : Metric
            The metric.
        read : callable
            Gives labels and value of each series.
        """
        self._meter.create_observable_gauge(
            metric.name,
            callbacks=[_make_callback(metric, read)],
            unit=metric.unit,
            description=metric.description,
        )

    def register_counter(self, metric: Metric, read: SeriesReader) -> None:
        """Publish totals that only grow.

        Parameters
        ----------
        metric : Metric
            The metric.
        read : callable
            Gives labels and total of each series.
        """
        self._meter.create_observable_counter(
            metric.name,
            callbacks=[_make_callback(metric, read)],
            unit=metric.unit,
            description=metric.description,
        )

    def make_histogram(self, metric: Metric) -> Histogram:
        """Make a histogram of durations.

        Parameters
        ----------
        metric : Metric
            The metric.

        Returns
        -------
        Histogram
            The histogram.
        """
        instrument = self._meter.create_histogram(
            metric.name,
            unit=metric.unit,
            description=metric.description,
            explicit_bucket_boundaries_advisory=DURATION_BOUNDARIES_S,
        )
        return Histogram(metric, instrument)

    def render(self) -> bytes:
        """Return all metrics in the text form of Prometheus.

        Returns
        -------
        bytes
            The metrics.
        """
        return generate_latest(self._registry)

    def view(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer ``GET /metrics``; a WSGI application."""
        return respond(start_response, STATUS_OK, CONTENT_TYPE_LATEST, self.render())


def _make_callback(
    metric: Metric, read: SeriesReader
) -> Callable[[CallbackOptions], list[Observation]]:
    label_limiter = LabelSetLimiter(metric)

    def observe(options: CallbackOptions) -> list[Observation]:
        try:
            # Series that are counted together must not overwrite one another.
            totals: defaultdict[tuple[str, ...], float] = defaultdict(float)
            for labels, value in read():
                limited_labels = label_limiter.limit_labels(labels)
                totals[tuple(limited_labels[name] for name in metric.labels)] += value
        except Exception:
            # One broken source must not hide all other metrics.
            _LOGGER.exception("Reading the metric {} failed", metric.name)
            return []
        return [
            Observation(value, dict(zip(metric.labels, key, strict=True)))
            for key, value in totals.items()
        ]

    return observe


def make_unlabelled_reader(read: Callable[[], float]) -> SeriesReader:
    """Make the source of a metric without labels.

    Parameters
    ----------
    read : callable
        Gives the value.

    Returns
    -------
    callable
        The source.
    """
    return lambda: [({}, read())]


def make_labelled_reader(
    label: str, read: Callable[[], Mapping[str, float]]
) -> SeriesReader:
    """Make the source of a metric with one label.

    Parameters
    ----------
    label : str
        Name of the label.
    read : callable
        Gives values by label value.

    Returns
    -------
    callable
        The source.
    """
    return lambda: [({label: key}, value) for key, value in read().items()]
