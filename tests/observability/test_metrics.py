"""Metrics as Prometheus reads them, with units and bounded labels."""

import pytest

from chestnutvale.observability import catalog
from chestnutvale.observability.catalog import Metric
from chestnutvale.observability.exceptions import MetricLabelError
from chestnutvale.observability.metrics import Metrics, by_label, single
from chestnutvale.observability.request_meter import RequestMeter


@pytest.fixture
def metrics():
    with Metrics("test") as made:
        yield made


def lines(metrics):
    text = metrics.render().decode()
    return [line for line in text.splitlines() if not line.startswith("#")]


def test_units_and_labels(metrics):
    metrics.counter(catalog.GROUP_DOWNTIME, by_label("service", lambda: {"chat": 2.5}))
    metrics.gauge(catalog.STRANDED_ACCELERATORS, single(lambda: 3))
    found = lines(metrics)
    name = 'chestnutvale_group_downtime_seconds_total{service="chat"} 2.5'
    assert name in found
    assert "chestnutvale_stranded_accelerators 3.0" in found
    assert any(line.startswith("process_resident_memory_bytes") for line in found)


def test_label_sets_are_bounded_and_keep_the_total(metrics):
    metric = Metric("t.many", "1", "Many.", ("service",), max_series=10)
    values = {f"s{number}": 1.0 for number in range(500)}
    metrics.counter(metric, by_label("service", lambda: values))
    for _ in range(2):
        found = [line for line in lines(metrics) if line.startswith("t_many")]
        assert len(found) == 10
        assert sum(float(line.split()[-1]) for line in found) == 500
        assert any('service="other"' in line for line in found)


def test_undeclared_labels_are_refused(metrics):
    histogram = metrics.histogram(catalog.REQUEST_DURATION)
    with pytest.raises(MetricLabelError):
        histogram.record(1.0, {"route": "/", "status": "200", "user": "ann"})


def test_a_broken_source_hides_no_other(metrics):
    metrics.gauge(catalog.TERM, single(lambda: 1 / 0))
    metrics.gauge(catalog.LEADER, single(lambda: 1))
    assert any("consensus_leader" in line for line in lines(metrics))


def test_every_metric_of_the_catalog_has_a_unit_and_a_name_of_its_own(metrics):
    found = [item for item in vars(catalog).values() if isinstance(item, Metric)]
    assert len({item.name for item in found}) == len(found) > 15
    for item in found:
        assert item.unit and item.description.endswith(".")
        metrics.gauge(item, lambda item=item: [(dict.fromkeys(item.labels, "x"), 1)])
    names = {line.split("{")[0].split()[0] for line in lines(metrics)}
    assert len([name for name in names if name.startswith("chestnutvale")]) == len(
        found
    )


class StepClock:
    """Time that goes on by a second at each look."""

    now = 0.0

    def now_s(self):
        self.now += 1
        return self.now


class Body:
    """A streamed body that knows whether it was closed."""

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
    body = Body()

    def app(environ, start_response):
        start_response("200 OK", [])
        return body

    meter = RequestMeter(app, metrics, ["/v1/x", "/services/"], StepClock())
    environ = {"PATH_INFO": path, "eventlet.posthooks": []}
    answer = meter(environ, lambda status, headers: None)
    assert list(answer) == [b"", b"a", b"b"]
    answer.close()
    assert body.closed
    for hook, arguments, keywords in environ["eventlet.posthooks"]:
        hook(environ, *arguments, **keywords)
    labels = f'{{route="{route}",status="200"}}'
    found = lines(metrics)
    assert f"chestnutvale_http_first_byte_seconds_sum{labels} 1.0" in found
    assert f"chestnutvale_http_request_duration_seconds_sum{labels} 2.0" in found


def test_a_whole_body_keeps_its_length(metrics):
    meter = RequestMeter(lambda environ, start: [b"whole"], metrics, [], StepClock())
    environ = {"PATH_INFO": "/", "eventlet.posthooks": []}
    assert meter(environ, None) == [b"whole"]
