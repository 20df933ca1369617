"""What callers and endpoints speak with an entry."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs

from chestnutvale.clock import Clock
from chestnutvale.http_server.views import WsgiApp, make_check, make_json_view
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.membership.hearing import Hearing
from chestnutvale.observability.metrics import Metrics
from chestnutvale.observability.request_meter import RequestMeter
from chestnutvale.programs.entry.announcement_handler import AnnouncementHandler
from chestnutvale.programs.entry.app import EntryApp
from chestnutvale.programs.entry.control_link import ControlLink
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.ledger_writer import LedgerWriter
from chestnutvale.programs.entry.metrics import MEASURED_ROUTES
from chestnutvale.programs.entry.model_calls import ModelCallHandler
from chestnutvale.programs.entry.service_calls import ServiceCallHandler
from chestnutvale.schema.settings_pb2 import EntrySettings, HttpLimits

FORM_CHAT = "chat"
FORM_COMPLETION = "completion"


@attrs.frozen
class EntryComponents:
    """The parts of an entry that an interface builds on.

    Attributes
    ----------
    settings : EntrySettings
        Settings of the entry.
    clock : Clock
        Source of time.
    context : EntryContext
        The entry as the handlers of calls see it.
    link : ControlLink
        Reports to the controls.
    hearing : Hearing
        Takes what endpoints say of themselves.
    cache_events : CacheEventQueue
        Takes their cache events.
    writer : LedgerWriter
        Writes the ends of claims.
    metrics : Metrics
        The metrics of the process.
    is_ready, is_alive : callable
        Tell whether the balancer should send calls, and whether the process works.
    dump : callable
        Gives the state of the process.
    """

    settings: EntrySettings
    clock: Clock
    context: EntryContext
    link: ControlLink
    hearing: Hearing
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
        IP number and port.
    app : WSGI application
        The application.
    limits : HttpLimits
        What it accepts.
    """

    address: str
    app: WsgiApp
    limits: HttpLimits


class EntryInterface(Protocol):
    """Serves callers and endpoints in one way of speaking."""

    @property
    def running_calls(self) -> int:
        """Calls that run, also for callers that left; a shutdown waits for them."""

    def make_listeners(self, components: EntryComponents) -> list[HttpListener]:
        """Build what is served; the first door takes the callers."""

    def run_housekeeping(self) -> None:
        """Do what is due from time to time; must not block."""


class OwnInterface:
    """The project's own interface: OpenAI calls, plain services, announcements."""

    def __init__(self) -> None:
        self._services: ServiceCallHandler | None = None

    @property
    def running_calls(self) -> int:
        """Calls that run, also for callers that left; a shutdown waits for them."""
        return self._services.running_calls if self._services is not None else 0

    def make_listeners(self, components: EntryComponents) -> list[HttpListener]:
        """Build what is served.

        Parameters
        ----------
        components : EntryComponents
            The entry.

        Returns
        -------
        list of HttpListener
            One door for callers, endpoints and operators.
        """
        settings = components.settings
        self._services = ServiceCallHandler(components.context, components.writer)
        app = EntryApp(
            chat=ModelCallHandler(components.context, FORM_CHAT),
            completions=ModelCallHandler(components.context, FORM_COMPLETION),
            services=self._services,
            announcements=AnnouncementHandler(
                components.hearing,
                components.clock,
                settings.announce_interval_ms,
                components.link.trigger_report,
                components.cache_events,
            ),
            operations={
                "/healthz": make_check(components.is_alive),
                "/readyz": make_check(components.is_ready),
                "/debug/state": make_json_view(components.dump),
                "/metrics": components.metrics.view,
            },
        )
        metered = RequestMeter(
            app, components.metrics, MEASURED_ROUTES, components.clock
        )
        return [HttpListener(settings.http_address, metered, settings.http_limits)]

    def run_housekeeping(self) -> None:
        """Do nothing: no connection is kept."""
