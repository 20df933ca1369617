"""Metrics that are built at the first scrape."""

from chestnutvale.observability import catalog
from chestnutvale.observability.deferred_metrics import DeferredMetrics
from chestnutvale.observability.metrics import make_unlabelled_reader


def test_a_scrape_reads_the_values_of_its_moment():
    """A value that is read before the first scrape would stay as it was."""
    values = {"term": 1.0}
    with DeferredMetrics("test") as metrics:
        metrics.register_gauge(
            catalog.TERM, make_unlabelled_reader(lambda: values["term"])
        )
        for term in (2.0, 3.0):
            values["term"] = term
            lines = metrics.render().decode().splitlines()
            assert [line for line in lines if line.endswith(f" {term}")]


def test_metrics_that_nothing_scrapes_can_be_closed():
    with DeferredMetrics("test") as metrics:
        metrics.register_counter(catalog.TERM, make_unlabelled_reader(lambda: 1.0))
