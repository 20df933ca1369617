"""Interface of a process's metrics, without the libraries that export them."""

from collections.abc import Callable, Iterable, Mapping
from types import TracebackType
from typing import Protocol, Self

from chestnutvale.observability.catalog import Metric

LabelledValue = tuple[Mapping[str, str], float]
SeriesReader = Callable[[], Iterable[LabelledValue]]


class Histogram(Protocol):
    """Records the values of one metric."""

    def record(self, value: float, labels: Mapping[str, str]) -> None:
        """Record one value."""


class Metrics(Protocol):
    """The metrics of one process; a context manager."""

    def __enter__(self) -> Self:
        """Return itself."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop collecting."""

    def register_gauge(self, metric: Metric, read: SeriesReader) -> None:
        """Register a metric whose values can rise and fall."""

    def register_counter(self, metric: Metric, read: SeriesReader) -> None:
        """Register a metric whose totals only grow."""

    def make_histogram(self, metric: Metric) -> Histogram:
        """Create a histogram of durations."""


class _NoHistogram:
    """Drops all values."""

    def record(self, value: float, labels: Mapping[str, str]) -> None:
        """Drop a value."""


class NoMetrics:
    """Metrics of a process whose interface serves none.

    It saves the start-up time and memory of the exporting libraries.
    """

    def __enter__(self) -> Self:
        """Return itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Do nothing."""

    def register_gauge(self, metric: Metric, read: SeriesReader) -> None:
        """Ignore a metric."""

    def register_counter(self, metric: Metric, read: SeriesReader) -> None:
        """Ignore a metric."""

    def make_histogram(self, metric: Metric) -> Histogram:
        """Return a histogram that drops all values."""
        return _NoHistogram()


def make_unlabelled_reader(read: Callable[[], float]) -> SeriesReader:
    """Make the reader of a metric without labels.

    Parameters
    ----------
    read : callable
        Returns the value.

    Returns
    -------
    callable
        Reader for ``register_gauge`` or ``register_counter``.
    """
    return lambda: [({}, read())]


def make_labelled_reader(
    label: str, read: Callable[[], Mapping[str, float]]
) -> SeriesReader:
    """Make the reader of a metric with one label.

    Parameters
    ----------
    label : str
        Name of the label.
    read : callable
        Returns values by label value.

    Returns
    -------
    callable
        Reader for ``register_gauge`` or ``register_counter``.
    """
    return lambda: [({label: key}, value) for key, value in read().items()]
