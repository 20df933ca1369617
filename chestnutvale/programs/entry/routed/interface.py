"""Builds the WSGI application for routed calls."""

from functools import partial

from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.groups.members import group_head
from chestnutvale.http_server.views import WsgiApp
from chestnutvale.observability.request_meter import RequestMeter
from chestnutvale.programs.entry.crash_probe import is_head_down
from chestnutvale.programs.entry.entry_interface import EntryComponents
from chestnutvale.programs.entry.peers.prober import ReachabilityProber
from chestnutvale.programs.entry.peers.relay import PeerRelay
from chestnutvale.programs.entry.routed.caller_protocol import CallerProtocol
from chestnutvale.programs.entry.routed.connections import ConnectionPool
from chestnutvale.programs.entry.routed.const import BAN_AFTER_CRASHES
from chestnutvale.programs.entry.routed.handler import RoutedHandler
from chestnutvale.schema.groups_pb2 import Group

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
        self._handlers: list[RoutedHandler] = []

    @property
    def running_calls(self) -> int:
        """Number of running calls, also of disconnected callers."""
        return sum(handler.running_calls for handler in self._handlers)

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
        prober = components.prober
        context.has_crashed = partial(_has_head_crashed, prober)
        self._pool = ConnectionPool(components.clock, context.record_connect)
        relay = None
        if components.settings.relay_address:
            relay = PeerRelay(context, self._protocol)
        return self._make_metered_handler(components, relay)

    def make_relay_app(self, components: EntryComponents) -> WsgiApp:
        """Build the application for calls that other entries pass on to this one.

        Parameters
        ----------
        components : EntryComponents
            The components of the entry; `make_app` must have been called before.

        Returns
        -------
        WSGI application
            A handler that passes no call on.
        """
        return self._make_metered_handler(components, None)

    def _make_metered_handler(
        self, components: EntryComponents, relay: PeerRelay | None
    ) -> WsgiApp:
        handler = RoutedHandler(
            components.context, self._protocol, self._pool, components.writer, relay
        )
        self._handlers.append(handler)
        return RequestMeter(
            handler, components.metrics, MEASURED_ROUTES, components.clock
        )

    def run_housekeeping(self) -> None:
        """Close the idle connections that may not be reused any more."""
        if self._pool is not None:
            self._pool.close_expired()


def _has_head_crashed(
    prober: ReachabilityProber, group: Group, *, is_engine: bool
) -> bool:
    """Tell whether the head of a group is down, and not this entry cut off from all."""
    return is_head_down(group, is_engine=is_engine) and prober.reaches_another(
        group_head(group).address
    )
