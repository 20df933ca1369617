"""Limit the cardinality of the labels of a metric."""

from collections.abc import Mapping

from chestnutvale.observability.catalog import Metric
from chestnutvale.observability.exceptions import MetricLabelError

OVERFLOW_LABEL = "other"


class LabelSetLimiter:
    """Limits the number of distinct label sets of one metric.

    Parameters
    ----------
    metric : Metric
        The metric; its ``max_series`` is the limit.
    """

    def __init__(self, metric: Metric) -> None:
        self._metric = metric
        self._label_names = frozenset(metric.labels)
        self._known_label_sets: set[tuple[str, ...]] = set()
        self._overflow_labels = dict.fromkeys(metric.labels, OVERFLOW_LABEL)

    def limit_labels(self, labels: Mapping[str, str]) -> Mapping[str, str]:
        """Return the labels, or ``other`` for each once the limit is reached.

        Parameters
        ----------
        labels : mapping of str to str
            Label values by name.

        Returns
        -------
        mapping of str to str
            Labels under which to record the value.

        Raises
        ------
        MetricLabelError
            If the label names differ from those that the metric declares.
        """
        if labels.keys() != self._label_names:
            raise MetricLabelError(
                f"{self._metric.name} declares the labels "
                f"{sorted(self._label_names)}, got {sorted(labels)}",
                step="metrics",
            )
        key = tuple(labels[name] for name in self._metric.labels)
        if key in self._known_label_sets:
            return labels
        # One series is reserved for ``other``.
        if len(self._known_label_sets) >= self._metric.max_series - 1:
            return self._overflow_labels
        self._known_label_sets.add(key)
        return labels
