"""Builds the components of a control and starts and stops them in order."""

import contextlib
import math
import random
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import eventlet
import logbook

from chestnutvale.clock import Clock
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.groups.coordinator import GroupCoordinator
from chestnutvale.groups.orders import OrderScheduler
from chestnutvale.groups.planner import GroupPlanner
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.http_server.server import HttpServer
from chestnutvale.http_server.views import WsgiApp
from chestnutvale.membership.entry_roster import EntryRoster
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.observability.deferred_metrics import DeferredMetrics
from chestnutvale.observability.dump import DumpRegistry
from chestnutvale.programs.control.const import INCARNATION_RANDOM_BITS
from chestnutvale.programs.control.departure_recorder import DepartureRecorder
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.group_task import GroupTask
from chestnutvale.programs.control.host_announcement_handler import (
    HostAnnouncementHandler,
)
from chestnutvale.programs.control.interface import ControlInterface, ControlParts
from chestnutvale.programs.control.ledger_task import LedgerTask
from chestnutvale.programs.control.limit_divider import LimitDivider
from chestnutvale.programs.control.load_exchange import LoadExchange
from chestnutvale.programs.control.measures import MeasureTracker
from chestnutvale.programs.control.metrics import (
    ControlSources,
    register_control_metrics,
)
from chestnutvale.programs.control.operations import ControlOperations
from chestnutvale.programs.control.readers_task import ReadersTask
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.control.status import StatusBuilder
from chestnutvale.programs.delay_watch import DelayWatch
from chestnutvale.programs.native_threads import CONTROL_THREADS, start_native_threads
from chestnutvale.programs.process_metrics import register_process_metrics
from chestnutvale.programs.signals import SignalHandler
from chestnutvale.rate_limits.cold_bound import ColdBound
from chestnutvale.schema.settings_pb2 import ControlSettings
from chestnutvale.settings.const import DEFAULT_LEASE_MS, MS_PER_S
from chestnutvale.storage.store import DataStore
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode

_LOGGER = logbook.Logger(__name__)

PROGRAM_NAME = "chestnut-control"


class ControlDaemon:
    """One control; a context manager that runs it.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    interface : ControlInterface
        Protocols for operators and endpoints.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.
    process_started_s : float, optional
        Monotonic time in seconds at which this process started, if that is known to be
        earlier than now.
    """

    def __init__(
        self,
        settings: ControlSettings,
        interface: ControlInterface,
        clock: Clock,
        rng: random.Random,
        process_started_s: float = math.inf,
    ) -> None:
        self._process_started_s = process_started_s
        self.settings = settings
        self._interface = interface
        self._clock = clock
        self._rng = rng
        self._exit_stack = contextlib.ExitStack()
        self.incarnation = make_incarnation(
            clock.unix_ms(), rng.getrandbits(INCARNATION_RANDOM_BITS)
        )
        self.state = ControlState()
        self.table = MembershipTable(
            settings.detection_timeout_ms / MS_PER_S,
            # A snapshot replaces the states of departures and groups.
            lambda host_id, boot_id: self.state.departures.contains(host_id, boot_id),
            lambda host_id: self.state.groups.find_boot(host_id),
        )
        self.publisher = ViewPublisher(self.incarnation)
        self._roster = EntryRoster()
        self.measures = MeasureTracker()
        self.metrics = DeferredMetrics(PROGRAM_NAME)
        self._delay_watch = DelayWatch(self.metrics)
        self.transport = TransportNode(
            settings.cluster_id,
            settings.control_id,
            self.incarnation,
            settings.peer_address,
            clock,
            clocks_may_step=settings.clocks_may_step,
        )
        self._log: ConsensusTask | None = None
        self._server: HttpServer | None = None
        self._draining = False

    def __enter__(self) -> Self:
        """Open storage and sockets and start the tasks."""
        start_native_threads(CONTROL_THREADS)
        with contextlib.ExitStack() as stack:
            storage = stack.enter_context(DataStore(self.settings))
            stack.enter_context(self.transport)
            self._log = ConsensusTask(
                self.settings,
                self.transport,
                storage,
                self.state,
                self._clock,
                self._rng,
                process_started_s=self._process_started_s,
            )
            stack.enter_context(self._log)
            self._start_tasks(stack)
            self._exit_stack = stack.pop_all()
        _LOGGER.info(
            "Control {} started with peer address {} and HTTP address {}",
            self.settings.control_id,
            self.settings.peer_address,
            self.settings.http_address,
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Finish the running requests, hand leadership over and close the files."""
        self._draining = True
        if kind is None:
            timeout_s = self.settings.shutdown_timeout_ms / 1_000
            self._server.stop(self._clock.now_s() + timeout_s)
        self._exit_stack.close()

    def wait_for_stop(self, signals: SignalHandler) -> None:
        """Wait until a signal requests the stop of the control, or its log fails.

        A control that takes no part in the log any more must not go on: to others it
        looks like a voter. The next process reads the data folder anew.

        Parameters
        ----------
        signals : SignalHandler
            Handler of the signals of the process, set up already.

        Raises
        ------
        ChestnutError
            If the log has failed, such as by a write to the data folder.
        """
        self._log.on_failure(signals.request_stop)
        if self._log.failure is None:
            signals.wait()
        if self._log.failure is not None:
            raise self._log.failure

    def reload(self) -> None:
        """Log that changed settings take effect only after a restart."""
        _LOGGER.info("Settings file changed; the changes take effect after a restart")

    def dump(self) -> dict[str, Any]:
        """Return the state of the process, without secrets."""
        return DumpRegistry(self._dump_sources()).dump()

    def _dump_sources(self) -> dict[str, Callable[[], Any]]:
        return {
            "control_id": lambda: self.settings.control_id,
            "incarnation": lambda: self.incarnation,
            "consensus": lambda: self._log.status(),
            "configuration_number": lambda: self.state.configuration.number,
            "groups": lambda: len(self.state.groups.groups),
            "repairs": lambda: sorted(self.state.groups.repairs),
            "ledger_records": lambda: self.state.ledger.record_count,
            "ledger_bytes": lambda: self.state.ledger.size_bytes,
            "evacuated_data_centres": lambda: sorted(self.state.evacuations.evacuated),
            "departures": lambda: len(self.state.departures),
            "unrecorded_departures": lambda: len(self.table.unrecorded_departures()),
            "hosts": lambda: len(self.table.known_hosts()),
            "entries": lambda: sorted(self._entry_handler.entries),
            "limits": lambda: self._entry_handler.limits.describe(),
            "view_version": lambda: self.publisher.version,
            "transport": lambda: self.transport.read_counters(),
        }

    def _start_tasks(self, stack: contextlib.ExitStack) -> None:
        policy = GroupsPolicy.from_settings(self.settings)
        coordinator = GroupCoordinator(
            GroupPlanner(policy),
            OrderScheduler(policy, self.settings.weight_store_address),
        )
        self._entry_handler = EntryReportHandler(
            self.transport,
            self._log,
            self.state,
            self.table,
            self.publisher,
            self._clock,
            self._make_limit_divider(),
            self._roster,
        )
        recorder = DepartureRecorder(
            self._log,
            self.state,
            self.table,
            self._clock,
            self.settings.durable_copies,
        )
        self._announcement_handler = HostAnnouncementHandler(
            self.settings.control_id,
            self.transport,
            self._log,
            self.table,
            recorder,
            self._clock,
            self._roster,
        )
        groups = GroupTask(
            self._log,
            self.state,
            self.table,
            coordinator,
            self._entry_handler,
            self.measures,
            self._clock,
            self._interface.make_order_transport(self._clock),
        )
        ledger = LedgerTask(self._log, self.state, self._entry_handler, self._clock)
        self._server = HttpServer(
            self._make_app(),
            self.settings.http_address,
            self.settings.http_limits,
            self._clock,
        )
        self._register_metrics(self._server)
        stack.enter_context(self.metrics)
        stack.enter_context(self._server)
        exchange = LoadExchange(
            self.transport, self._log, self.state, self._entry_handler, self._clock
        )
        readers = ReadersTask(self._log, self.state, self._clock)
        for run in (
            self._delay_watch.run,
            groups.run,
            readers.run,
            ledger.run,
            self._announcement_handler.run,
            recorder.run,
            exchange.run,
        ):
            stack.callback(eventlet.spawn(run).kill)

    def _make_limit_divider(self) -> LimitDivider:
        settings = self.settings
        lease_ms = settings.serving_lease_ms or DEFAULT_LEASE_MS
        return LimitDivider(
            self._log,
            self.state,
            self.table,
            self.publisher,
            self._clock,
            ColdBound(settings.cold_rate_factor, settings.cold_burst_requests),
            lease_ms / MS_PER_S,
        )

    def _make_app(self) -> WsgiApp:
        builder = StatusBuilder(
            self.settings,
            self._log,
            self.state,
            self.table,
            self.publisher,
            self._entry_handler,
            self.measures,
        )
        operations = ControlOperations(
            self.settings,
            self._log,
            self.state,
            self.table,
            builder,
            self.dump,
            self._clock,
            self._entry_handler.data_centres,
        )
        parts = ControlParts(
            operations,
            self._announcement_handler,
            self.metrics,
            self._is_ready,
            self._is_alive,
            self.dump,
            self._clock,
        )
        return self._interface.make_app(parts)

    def _register_metrics(self, server: HttpServer) -> None:
        register_process_metrics(self.metrics, server, self.transport)
        sources = ControlSources(
            self._log,
            self.state,
            self.table,
            self.publisher,
            self._entry_handler,
            self.measures,
        )
        register_control_metrics(self.metrics, sources)

    def _is_alive(self) -> bool:
        return (
            self._log.failure is None
            and not self._log.is_write_stalled
            and self.transport.is_receiving
        )

    def _is_ready(self) -> bool:
        return not self._draining and bool(self._log.leader_id)
