"""The application that serves routed calls."""

from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.http_server.views import WsgiApp
from chestnutvale.observability.request_meter import RequestMeter
from chestnutvale.programs.entry.crash_probe import is_head_down
from chestnutvale.programs.entry.entry_interface import EntryComponents
from chestnutvale.programs.entry.routed.caller_protocol import CallerProtocol
from chestnutvale.programs.entry.routed.connections import ConnectionPool
from chestnutvale.programs.entry.routed.const import BAN_AFTER_CRASHES
from chestnutvale.programs.entry.routed.handler import RoutedHandler

# Paths are the callers' own, so that all of them are measured together.
MEASURED_ROUTES: tuple[str, ...] = ()


class RoutedInterface:
    """Builds the handler of routed calls and keeps its connections.

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
        """Calls that run, also for callers that left."""
        return self._handler.running_calls if self._handler is not None else 0

    def make_app(self, components: EntryComponents) -> WsgiApp:
        """Build the application.

        Parameters
        ----------
        components : EntryComponents
            The entry.

        Returns
        -------
        WSGI application
            Answers routed calls.
        """
        context = components.context
        context.suspicions = SuspicionTracker(BAN_AFTER_CRASHES)
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
        """Close idle connections whose time is over."""
        if self._pool is not None:
            self._pool.close_expired()
