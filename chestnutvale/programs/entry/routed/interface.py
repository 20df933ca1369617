"""Builds the WSGI application for routed calls."""

from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.http_server.views import WsgiApp
from chestnutvale.observability.request_meter import RequestMeter
from chestnutvale.programs.entry.crash_probe import is_head_down
from chestnutvale.programs.entry.entry_interface import EntryComponents
from chestnutvale.programs.entry.routed.caller_protocol import CallerProtocol
from chestnutvale.programs.entry.routed.connections import ConnectionPool
from chestnutvale.programs.entry.routed.const import BAN_AFTER_CRASHES
from chestnutvale.programs.entry.routed.handler import RoutedHandler

# Callers choose the paths, so the metrics do not distinguish between them.
MEASURED_ROUTES: tuple[str, ...] = ()


class RoutedInterface:
    """Builds the handler of routed calls and maintains its connection pool.

    Parameters
    ----------
    protocol : CallerProtocol
        Translates requests and answers.
    """

    def __init__(self, protocol: CallerProtocol) -> None:
        self._protocol = protocol
        self._pool: ConnectionPool | None = None
        self._handler: RoutedHandler | None = None

    @property
    def running_calls(self) -> int:
        """Number of running calls, also of disconnected callers."""
        return self._handler.running_calls if self._handler is not None else 0

    def make_app(self, components: EntryComponents) -> WsgiApp:
        """Build the application.

        Parameters
        ----------
        components : EntryComponents
            The components of the entry.

        Returns
        -------
        WSGI application
            The handler of routed calls with request metrics.
        """
        context = components.context
        context.suspicions = SuspicionTracker(BAN_AFTER_CRASHES, context.rng)
        context.suspicions.notify = components.link.trigger_report
        components.link.set_suspicion_tracker(context.suspicions)
        context.has_crashed = is_head_down
        self._pool = ConnectionPool(components.clock)
        self._handler = RoutedHandler(
            context, self._protocol, self._pool, components.writer
        )
        return RequestMeter(
            self._handler, components.metrics, MEASURED_ROUTES, components.clock
        )

    def run_housekeeping(self) -> None:
        """Close the idle connections that may not be reused any more."""
        if self._pool is not None:
            self._pool.close_expired()
