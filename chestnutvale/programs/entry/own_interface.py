"""The project's own HTTP interface of an entry to callers and endpoints."""

from chestnutvale.http_server.views import make_health_check, make_json_view
from chestnutvale.observability.metrics import Metrics
from chestnutvale.observability.otel_metrics import OtelMetrics
from chestnutvale.observability.request_meter import RequestMeter
from chestnutvale.programs.entry.announcement_handler import AnnouncementHandler
from chestnutvale.programs.entry.app import EntryApp
from chestnutvale.programs.entry.caller_timeouts import CallerTimeouts
from chestnutvale.programs.entry.entry_interface import EntryComponents, HttpListener
from chestnutvale.programs.entry.metrics import MEASURED_ROUTES
from chestnutvale.programs.entry.model_calls import ModelCallHandler
from chestnutvale.programs.entry.openai_api import FORM_CHAT, FORM_COMPLETION
from chestnutvale.programs.entry.service_calls import ServiceCallHandler


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
