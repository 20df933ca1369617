"""Measure requests around a WSGI application."""

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

App = Callable[[dict[str, Any], Any], Iterable[bytes]]


class _Timed:
    """One request as it is answered."""

    def __init__(self, meter: "RequestMeter", route: str, started_s: float) -> None:
        self.route = route
        self.status = STATUS_NONE
        self.started_s = started_s
        self.meter = meter

    def labels(self) -> dict[str, str]:
        return {LABEL_ROUTE: self.route, LABEL_STATUS: self.status}

    def note_first_byte(self) -> None:
        self.meter.record(self.meter.first_byte, self)

    def finish(self, environ: dict[str, Any]) -> None:
        self.meter.record(self.meter.duration, self)


class _TimedBody:
    """The body of an answer; notes its first part and closes what it wraps."""

    def __init__(self, body: Iterable[bytes], timed: _Timed) -> None:
        self._body = body
        self._timed = timed

    def __iter__(self) -> Iterator[bytes]:
        parts = iter(self._body)
        for part in parts:
            yield part
            if part:
                self._timed.note_first_byte()
                break
        # The parts that follow pass without any work of this class.
        yield from parts

    def close(self) -> None:
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


class RequestMeter:
    """A WSGI application that measures another one.

    Parameters
    ----------
    app : WSGI application
        The application.
    metrics : Metrics
        The metrics of the process.
    routes : iterable of str
        Paths to tell apart; one that ends with a slash covers all below it.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, app: App, metrics: Metrics, routes: Iterable[str], clock: Clock
    ) -> None:
        self.duration = metrics.histogram(REQUEST_DURATION)
        self.first_byte = metrics.histogram(FIRST_BYTE)
        self._app = app
        self._clock = clock
        routes = tuple(routes)
        self._paths = frozenset(routes)
        self._prefixes = tuple(route for route in routes if route.endswith("/"))

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one request."""
        route = self._find_route(environ["PATH_INFO"])
        timed = _Timed(self, route, self._clock.now_s())
        environ["eventlet.posthooks"].append((timed.finish, (), {}))

        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            timed.status = status[:3]
            return start_response(status, headers, *rest)

        body = self._app(environ, start)
        if isinstance(body, list):
            timed.note_first_byte()
            return body
        return _TimedBody(body, timed)

    def record(self, histogram: Histogram, timed: _Timed) -> None:
        """Record the time that a request has taken so far."""
        elapsed_s = self._clock.now_s() - timed.started_s
        histogram.record(elapsed_s, timed.labels())

    def _find_route(self, path: str) -> str:
        if path in self._paths:
            return path
        for prefix in self._prefixes:
            if path.startswith(prefix):
                return prefix
        return ROUTE_OTHER
