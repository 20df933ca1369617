"""Keep the label sets of a metric bounded."""

from collections.abc import Mapping

from chestnutvale.observability.catalog import Metric
from chestnutvale.observability.exceptions import MetricLabelError

OTHER = "other"


class LabelGuard:
    """Admits a bounded count of label sets for one metric.

    Parameters
    ----------
    metric : Metric
        The metric.
    """

    def __init__(self, metric: Metric) -> None:
        self._metric = metric
        self._names = frozenset(metric.labels)
        self._seen: set[tuple[str, ...]] = set()
        self._other = dict.fromkeys(metric.labels, OTHER)

    def admit(self, labels: Mapping[str, str]) -> Mapping[str, str]:
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
        if labels.keys() != self._names:
            raise MetricLabelError(
                f"{self._metric.name} has the labels {sorted(self._names)}, "
                f"not {sorted(labels)}",
                step="metrics",
            )
        key = tuple(labels[name] for name in self._metric.labels)
        if key in self._seen:
            return labels
        # One place is kept for those that are counted together.
        if len(self._seen) >= self._metric.max_series - 1:
            return self._other
        self._seen.add(key)
        return labels
