"""Errors of logging, metrics and state dumps."""

from chestnutvale.exceptions import ChestnutError


class MetricLabelError(ChestnutError):
    """The labels of a value differ from those that its metric declares."""

    code = "metric_labels_wrong"
