"""WSGI middleware that measures the duration of requests."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from chestnutvale.clock import Clock
from chestnutvale.observability.catalog import (
    FIRST_BYTE,
    LABEL_ROUTE,
    LABEL_STATUS,
    REQUEST_DURATION,
)
from chestnutvale.observability.metrics import Histogram, Metrics

ROUTE_OTHER = "other"
STATUS_NONE = "none"

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]


class _TimedRequest:
    """Start time, route and status of one request in progress."""

    def __init__(self, meter: "RequestMeter", route: str, started_s: float) -> None:
        self.route = route
        self.status = STATUS_NONE
        self.started_s = started_s
        self.meter = meter

    def get_labels(self) -> dict[str, str]:
        return {LABEL_ROUTE: self.route, LABEL_STATUS: self.status}

    def record_first_byte(self) -> None:
        self.meter.record(self.meter.first_byte_histogram, self)

    def record_duration(self, environ: dict[str, Any]) -> None:
        self.meter.record(self.meter.duration_histogram, self)


class _TimedBody:
    """Response body that measures the time to its first non-empty chunk."""

    def __init__(self, body: Iterable[bytes], timed_request: _TimedRequest) -> None:
        self._body = body
        self._timed_request = timed_request

    def __iter__(self) -> Iterator[bytes]:
        chunks = iter(self._body)
        for chunk in chunks:
            yield chunk
            if chunk:
                self._timed_request.record_first_byte()
                break
        # Later chunks are passed through without overhead.
        yield from chunks

    def close(self) -> None:
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


class RequestMeter:
    """WSGI middleware that records request duration and time to first byte.

    Parameters
    ----------
    app : WSGI application
        Application to measure.
    metrics : Metrics
        Metrics of the process.
    routes : iterable of str
        Paths to report as separate label values; one that ends with a slash covers
        all paths below it. Other paths are reported as ``other``.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, app: WsgiApp, metrics: Metrics, routes: Iterable[str], clock: Clock
    ) -> None:
        self.duration_histogram = metrics.make_histogram(REQUEST_DURATION)
        self.first_byte_histogram = metrics.make_histogram(FIRST_BYTE)
        self._app = app
        self._clock = clock
        routes = tuple(routes)
        self._exact_routes = frozenset(routes)
        self._prefix_routes = tuple(route for route in routes if route.endswith("/"))

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request and record its duration when it ends."""
        route = self._find_route(environ["PATH_INFO"])
        timed_request = _TimedRequest(self, route, self._clock.now_s())
        environ["eventlet.posthooks"].append((timed_request.record_duration, (), {}))

        def start_measured_response(
            status: str, headers: list[tuple[str, str]], *rest: Any
        ) -> Any:
            timed_request.status = status[:3]
            return start_response(status, headers, *rest)

        body = self._app(environ, start_measured_response)
        if isinstance(body, list):
            timed_request.record_first_byte()
            return body
        return _TimedBody(body, timed_request)

    def record(self, histogram: Histogram, timed_request: _TimedRequest) -> None:
        """Record the time in seconds since the start of a request."""
        elapsed_s = self._clock.now_s() - timed_request.started_s
        histogram.record(elapsed_s, timed_request.get_labels())

    def _find_route(self, path: str) -> str:
        if path in self._exact_routes:
            return path
        for prefix in self._prefix_routes:
            if path.startswith(prefix):
                return prefix
        return ROUTE_OTHER
