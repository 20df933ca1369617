"""The HTTP interface of an entry to callers and endpoints."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import attrs

from chestnutvale.clock import Clock
from chestnutvale.http_server.timeouts import ReadTimeouts
from chestnutvale.http_server.views import WsgiApp, make_health_check, make_json_view
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.observability.metrics import Metrics
from chestnutvale.observability.request_meter import RequestMeter
from chestnutvale.programs.entry.announcement_handler import AnnouncementHandler
from chestnutvale.programs.entry.app import EntryApp
from chestnutvale.programs.entry.caller_timeouts import CallerTimeouts
from chestnutvale.programs.entry.control_link import ControlLink
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.ledger_writer import LedgerWriter
from chestnutvale.programs.entry.metrics import MEASURED_ROUTES
from chestnutvale.programs.entry.model_calls import ModelCallHandler
from chestnutvale.programs.entry.peers.prober import ReachabilityProber
from chestnutvale.programs.entry.service_calls import ServiceCallHandler
from chestnutvale.schema.settings_pb2 import EntrySettings, HttpLimits

if TYPE_CHECKING:
    from chestnutvale.observability.otel_metrics import OtelMetrics

FORM_CHAT = "chat"
FORM_COMPLETION = "completion"


@attrs.frozen
class EntryComponents:
    """The components of an entry that an interface uses.

    Attributes
    ----------
    settings : EntrySettings
        Settings of the entry.
    clock : Clock
        Source of time.
    context : EntryContext
        Access to the entry for call handlers.
    link : ControlLink
        Reports to the controls.
    prober : ReachabilityProber
        Probes endpoints while the entry is isolated.
    collector : AnnouncementCollector
        Records the announcements of endpoints.
    cache_events : CacheEventQueue
        Receives the cache events of endpoints.
    writer : LedgerWriter
        Records the outcomes of claims in the ledger.
    metrics : Metrics
        The metrics of the process.
    is_ready, is_alive : callable
        Readiness check of the load balancer and liveness check of the process.
    dump : callable
        Returns the state of the process for diagnosis.
    """

    settings: EntrySettings
    clock: Clock
    context: EntryContext
    link: ControlLink
    prober: ReachabilityProber
    collector: AnnouncementCollector
    cache_events: CacheEventQueue
    writer: LedgerWriter
    metrics: Metrics
    is_ready: Callable[[], bool]
    is_alive: Callable[[], bool]
    dump: Callable[[], dict[str, Any]]


@attrs.frozen
class HttpListener:
    """An address at which an application is served.

    Attributes
    ----------
    address : str
        IP address and port.
    app : WSGI application
        The application.
    limits : HttpLimits
        Limits on the requests that it accepts.
    read_timeouts : callable or None
        Returns the timeouts of its connections in force; None for those of `limits`.
    serves_calls : bool
        Whether its requests are calls, for which a shutdown waits.
    """

    address: str
    app: WsgiApp
    limits: HttpLimits
    read_timeouts: ReadTimeouts | None = None
    serves_calls: bool = False


class EntryInterface(Protocol):
    """Serves callers and endpoints with one set of protocols."""

    def make_metrics(self, program: str) -> Metrics:
        """Build the metrics of the process; called before `make_listeners`."""

    @property
    def running_calls(self) -> int:
        """Running calls, also of disconnected callers; awaited on shutdown."""

    def make_listeners(self, components: EntryComponents) -> list[HttpListener]:
        """Build the listeners; the first one serves the callers."""

    def run_housekeeping(self) -> None:
        """Do periodic work; must not block."""


class OwnInterface:
    """The default interface: OpenAI API, plain services and announcements."""

    def __init__(self) -> None:
        self._services: ServiceCallHandler | None = None
        self._metrics: OtelMetrics | None = None

    def make_metrics(self, program: str) -> Metrics:
        """Build the metrics, which are served at ``/metrics``.

        Parameters
        ----------
        program : str
            Name of the program.

        Returns
        -------
        Metrics
            The metrics.
        """
        # Only a process that serves metrics needs the libraries that export them.
        from chestnutvale.observability.otel_metrics import OtelMetrics

        self._metrics = OtelMetrics(program)
        return self._metrics

    @property
    def running_calls(self) -> int:
        """Running calls, also of disconnected callers; awaited on shutdown."""
        return self._services.running_calls if self._services is not None else 0

    def make_listeners(self, components: EntryComponents) -> list[HttpListener]:
        """Build the listeners.

        Parameters
        ----------
        components : EntryComponents
            The entry.

        Returns
        -------
        list of HttpListener
            One listener for callers, endpoints and operators.
        """
        settings = components.settings
        self._services = ServiceCallHandler(components.context, components.writer)
        app = EntryApp(
            chat=ModelCallHandler(components.context, FORM_CHAT),
            completions=ModelCallHandler(components.context, FORM_COMPLETION),
            services=self._services,
            announcements=AnnouncementHandler(
                components.collector,
                components.clock,
                settings.announce_interval_ms,
                components.link.trigger_report,
                components.cache_events,
            ),
            operations={
                "/healthz": make_health_check(components.is_alive),
                "/readyz": make_health_check(components.is_ready),
                "/debug/state": make_json_view(components.dump),
                "/metrics": self._metrics.view,
            },
        )
        metered = RequestMeter(
            app, components.metrics, MEASURED_ROUTES, components.clock
        )
        limits = settings.http_limits
        timeouts = CallerTimeouts(components.context, limits)
        return [
            HttpListener(settings.http_address, metered, limits, timeouts.read, True)
        ]

    def run_housekeeping(self) -> None:
        """Do nothing, because no connections are kept open."""
