"""Errors of logs, metrics and dumps."""

from chestnutvale.exceptions import ChestnutError


class MetricLabelError(ChestnutError):
    """A value whose labels its metric doesn't declare."""

    code = "metric_labels_wrong"
