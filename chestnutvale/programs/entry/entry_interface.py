"""The HTTP interface of an entry to callers and endpoints."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs

from chestnutvale.clock import Clock
from chestnutvale.http_server.timeouts import ReadTimeouts
from chestnutvale.http_server.views import WsgiApp
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.observability.metrics import Metrics
from chestnutvale.programs.entry.control_link import ControlLink
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.ledger_writer import LedgerWriter
from chestnutvale.programs.entry.peers.prober import ReachabilityProber
from chestnutvale.schema.settings_pb2 import EntrySettings, HttpLimits


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
    request_id_header : str
        Header by which callers name their requests; empty if `app` names them.
    """

    address: str
    app: WsgiApp
    limits: HttpLimits
    read_timeouts: ReadTimeouts | None = None
    serves_calls: bool = False
    request_id_header: str = ""


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
