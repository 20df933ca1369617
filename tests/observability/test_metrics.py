"""Prometheus export of metrics: units, labels and limited cardinality."""

import pytest

from chestnutvale.observability import catalog
from chestnutvale.observability.catalog import Metric
from chestnutvale.observability.exceptions import MetricLabelError
from chestnutvale.observability.metrics import (
    NoMetrics,
    make_labelled_reader,
    make_unlabelled_reader,
)
from chestnutvale.observability.otel_metrics import OtelMetrics
from chestnutvale.observability.request_meter import RequestMeter


@pytest.fixture
def metrics():
    with OtelMetrics("test") as process_metrics:
        yield process_metrics


def read_metric_lines(metrics):
    text = metrics.render().decode()
    return [line for line in text.splitlines() if not line.startswith("#")]


def test_units_and_labels(metrics):
    metrics.register_counter(
        catalog.GROUP_DOWNTIME, make_labelled_reader("service", lambda: {"chat": 2.5})
    )
    metrics.register_gauge(
        catalog.STRANDED_ACCELERATORS, make_unlabelled_reader(lambda: 3)
    )
    found = read_metric_lines(metrics)
    name = 'chestnutvale_group_downtime_seconds_total{service="chat"} 2.5'
    assert name in found
    assert "chestnutvale_stranded_accelerators 3.0" in found
    assert any(line.startswith("process_resident_memory_bytes") for line in found)


def test_excess_label_sets_are_summed_as_other(metrics):
    metric = Metric("t.many", "1", "Many.", ("service",), max_series=10)
    values = {f"s{number}": 1.0 for number in range(500)}
    metrics.register_counter(metric, make_labelled_reader("service", lambda: values))
    for _ in range(2):
        found = [
            line for line in read_metric_lines(metrics) if line.startswith("t_many")
        ]
        assert len(found) == 10
        assert sum(float(line.split()[-1]) for line in found) == 500
        assert any('service="other"' in line for line in found)


def test_undeclared_labels_are_rejected(metrics):
    histogram = metrics.make_histogram(catalog.REQUEST_DURATION)
    with pytest.raises(MetricLabelError):
        histogram.record(1.0, {"route": "/", "status": "200", "user": "ann"})


def test_failing_reader_does_not_hide_other_metrics(metrics):
    metrics.register_gauge(catalog.TERM, make_unlabelled_reader(lambda: 1 / 0))
    metrics.register_gauge(catalog.LEADER, make_unlabelled_reader(lambda: 1))
    assert any("consensus_leader" in line for line in read_metric_lines(metrics))


def test_catalog_metrics_have_units_and_unique_names(metrics):
    found = [item for item in vars(catalog).values() if isinstance(item, Metric)]
    assert len({item.name for item in found}) == len(found) > 15
    for item in found:
        assert item.unit and item.description.endswith(".")
        metrics.register_gauge(
            item, lambda item=item: [(dict.fromkeys(item.labels, "x"), 1)]
        )
    names = {line.split("{")[0].split()[0] for line in read_metric_lines(metrics)}
    assert len([name for name in names if name.startswith("chestnutvale")]) == len(
        found
    )


class SteppingClock:
    """Clock that advances by one second at each reading."""

    now = 0.0

    def now_s(self):
        self.now += 1
        return self.now


class StreamedBody:
    """Streamed body that records whether it was closed."""

    closed = False

    def __iter__(self):
        return iter([b"", b"a", b"b"])

    def close(self):
        self.closed = True


@pytest.mark.parametrize(
    ("path", "route"),
    [("/v1/x", "/v1/x"), ("/services/a/b", "/services/"), ("/wp-login", "other")],
)
def test_requests_are_measured_by_route(metrics, path, route):
    body = StreamedBody()

    def app(environ, start_response):
        start_response("200 OK", [])
        return body

    meter = RequestMeter(app, metrics, ["/v1/x", "/services/"], SteppingClock())
    environ = {"PATH_INFO": path, "eventlet.posthooks": []}
    answer = meter(environ, lambda status, headers: None)
    assert list(answer) == [b"", b"a", b"b"]
    answer.close()
    assert body.closed
    for hook, arguments, keywords in environ["eventlet.posthooks"]:
        hook(environ, *arguments, **keywords)
    labels = f'{{route="{route}",status="200"}}'
    found = read_metric_lines(metrics)
    assert f"chestnutvale_http_first_byte_seconds_sum{labels} 1.0" in found
    assert f"chestnutvale_http_request_duration_seconds_sum{labels} 2.0" in found


def test_list_body_is_returned_unchanged(metrics):
    meter = RequestMeter(
        lambda environ, start: [b"whole"], metrics, [], SteppingClock()
    )
    environ = {"PATH_INFO": "/", "eventlet.posthooks": []}
    assert meter(environ, None) == [b"whole"]


def test_a_process_without_metrics_can_register_and_record():
    with NoMetrics() as metrics:
        metrics.register_counter(
            catalog.GROUP_DOWNTIME, make_unlabelled_reader(lambda: 1 / 0)
        )
        metrics.register_gauge(catalog.READY, make_unlabelled_reader(lambda: 1.0))
        metrics.make_histogram(catalog.REQUEST_DURATION).record(0.5, {"any": "label"})
