"""Keep the label sets of a metric bounded."""

from collections.abc import Mapping

from chestnutvale.observability.catalog import Metric
from chestnutvale.observability.exceptions import MetricLabelError

OVERFLOW_LABEL = "other"


class LabelSetLimiter:
    """Admits a bounded count of label sets for one metric.

    Parameters
    ----------
    metric : Metric
        The metric.
    """

    def __init__(self, metric: Metric) -> None:
        self._metric = metric
        self._label_names = frozenset(metric.labels)
        self._known_label_sets: set[tuple[str, ...]] = set()
        self._overflow_labels = dict.fromkeys(metric.labels, OVERFLOW_LABEL)

    def limit_labels(self, labels: Mapping[str, str]) -> Mapping[str, str]:
        """Return the labels, or those of ``other`` once there are too many.

        Parameters
        ----------
        labels : mapping of str to str
            Label values by name.

        Returns
        -------
        mapping of str to str
            Labels to record under.

        Raises
        ------
        MetricLabelError
            If a label is missing or not declared.
        """
        if labels.keys() != self._label_names:
            raise MetricLabelError(
                f"{self._metric.name} has the labels {sorted(self._label_names)}, "
                f"not {sorted(labels)}",
                step="metrics",
            )
        key = tuple(labels[name] for name in self._metric.labels)
        if key in self._known_label_sets:
            return labels
        # One place is kept for those that are counted together.
        if len(self._known_label_sets) >= self._metric.max_series - 1:
            return self._overflow_labels
        self._known_label_sets.add(key)
        return labels
