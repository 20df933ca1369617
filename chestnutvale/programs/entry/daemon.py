"""Builds the components of an entry, and starts and stops them in order."""

import contextlib
import random
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import eventlet
import logbook

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.attempts.retry_budget import SharedRetryBound
from chestnutvale.clock import Clock
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.http_server.server import HttpServer
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.observability.dump import DumpRegistry
from chestnutvale.programs.delay_watch import DelayWatch
from chestnutvale.programs.entry.admission_gate import AdmissionGate
from chestnutvale.programs.entry.commit_client import CommitClient
from chestnutvale.programs.entry.const import (
    DRAIN_NOTICE_S,
    DRAIN_POLL_INTERVAL_S,
    HOUSEKEEPING_INTERVAL_S,
    INCARNATION_SALT_BITS,
    STOP_ANSWER_TIME_S,
)
from chestnutvale.programs.entry.control_link import ControlLink
from chestnutvale.programs.entry.demand_exchange import DemandExchange
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.entry_interface import (
    EntryComponents,
    EntryInterface,
)
from chestnutvale.programs.entry.group_router import GroupRouter
from chestnutvale.programs.entry.ledger_writer import LedgerWriter
from chestnutvale.programs.entry.load_exchange import LoadExchange
from chestnutvale.programs.entry.metrics import (
    register_answer_metrics,
    register_decision_metrics,
    register_entry_metrics,
    register_memory_metrics,
)
from chestnutvale.programs.entry.peers.prober import ReachabilityProber
from chestnutvale.programs.native_threads import ENTRY_THREADS, start_native_threads
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.programs.process_metrics import register_process_metrics
from chestnutvale.routing.policies.registry import make_policy
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.settings_pb2 import EntrySettings
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode

_LOGGER = logbook.Logger(__name__)

PROGRAM_NAME = "chestnut-entry"


class EntryDaemon:
    """One entry; a context manager.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.
    interface : EntryInterface, optional
        The HTTP interface to callers and endpoints; `OwnInterface` by default.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        rng: random.Random,
        interface: EntryInterface | None = None,
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._interface = interface or _make_own_interface()
        self._exit_stack = contextlib.ExitStack()
        self.incarnation = make_incarnation(
            clock.unix_ms(), rng.getrandbits(INCARNATION_SALT_BITS)
        )
        self.transport = TransportNode(
            settings.cluster_id,
            settings.entry_id,
            self.incarnation,
            settings.peer_address,
            clock,
            clocks_may_step=settings.clocks_may_step,
        )
        self.view = EntryView(settings.lease_ms / 1_000)
        self.collector = AnnouncementCollector()
        self._cache_events = CacheEventQueue()
        controller = AdmissionController(rng, lends_places=settings.lend_places)
        self._gate = AdmissionGate(controller, clock, settings.data_centre)
        router = GroupRouter(
            self.view,
            Selector(rng, settings.data_centre, make_policy(settings.load_balancing)),
            self._gate.predicted_tokens,
            clock,
        )
        commits = CommitClient(self.transport, list(settings.controls), clock)
        self.context = EntryContext(
            settings.entry_id,
            self.incarnation,
            self.view,
            self._gate,
            router,
            commits,
            clock,
            rng,
        )
        self.link = ControlLink(
            settings,
            self.transport,
            self.view,
            self.collector,
            self.context.suspicions,
            self._cache_events,
            DemandExchange(self._gate.controller),
            clock,
            rng,
            self.context.running,
            self.context.stall_detector,
            router.notices,
            router.send_budget,
        )
        self._prober = ReachabilityProber(
            self.context.endpoint_addresses,
            self.context.record_connect,
            lambda: self.context.reaches_no_endpoint,
            clock,
            rng,
        )
        self.context.on_isolation_change = self._handle_isolation_change
        self.context.on_silence = self._prober.check_suspicion
        self.link.is_isolated = lambda: self.context.reaches_no_endpoint
        self.context.on_departure = self.link.trigger_report
        self.context.on_limit_change = self.link.trigger_report
        self.link.on_stall_change = self.context.update_capacities
        self.link.on_text_change = self.context.install_text
        self._load_exchange = LoadExchange(
            self.transport, self.view, self.context, self.link.find_leader, clock
        )
        self._retry_bound = self._read_retry_bound()
        if self._retry_bound is not None:
            self.context.budgets = self._retry_bound.make_budgets()
        self.link.add_view_listener(self.context.install)
        self.context.suspicions.notify = self.link.trigger_report
        self.transport.register_handler("cache_news", router.receive_cache_events)
        self._writer = LedgerWriter(self.context)
        self.metrics = self._interface.make_metrics(PROGRAM_NAME)
        self._components = EntryComponents(
            settings,
            clock,
            self.context,
            self.link,
            self._prober,
            self.collector,
            self._cache_events,
            self._writer,
            self.metrics,
            self.is_ready,
            self._is_alive,
            self.dump,
        )
        self._memory = MemoryBound(settings.max_buffered_bytes)
        self.context.memory = self._memory
        listeners = self._interface.make_listeners(self._components)
        self._servers = [
            HttpServer(
                listener.app,
                listener.address,
                listener.limits,
                clock,
                listener.read_timeouts,
                self._memory,
                listener.request_id_header,
            )
            for listener in listeners
        ]
        self.server = self._servers[0]
        self._call_servers = [
            server
            for server, listener in zip(self._servers, listeners, strict=True)
            if listener.serves_calls
        ]
        register_process_metrics(self.metrics, self.server, self.transport)
        self._delay_watch = DelayWatch(self.metrics)
        register_entry_metrics(self.metrics, self.view, self.is_ready, clock)
        register_memory_metrics(self.metrics, self._memory)
        register_answer_metrics(self.metrics, self._servers)
        register_decision_metrics(self.metrics, self.context, self.link)

    def __enter__(self) -> Self:
        """Open the sockets and start the tasks."""
        start_native_threads(ENTRY_THREADS)
        with contextlib.ExitStack() as exit_stack:
            exit_stack.enter_context(self.metrics)
            exit_stack.enter_context(self.transport)
            tasks = (
                self._delay_watch.run,
                self.link.run,
                self.link.watch_stalls,
                self._load_exchange.run,
                self._prober.run,
                self._gate.run,
                self._run_housekeeping,
            )
            for run in tasks:
                exit_stack.callback(eventlet.spawn(run).kill)
            for server in self._servers:
                exit_stack.enter_context(server)
            self._exit_stack = exit_stack.pop_all()
        _LOGGER.info("Entry {} serves", self.settings.entry_id)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the tasks and close the sockets."""
        self._exit_stack.close()

    def shut_down(self) -> int:
        """Stop gracefully: fail the readiness check, then finish the running calls.

        Returns
        -------
        int
            Number of calls that were aborted at the deadline.
        """
        deadline_s = self._clock.now_s() + self.settings.shutdown_timeout_ms / 1_000
        self.context.stop_window.ends_at_s = deadline_s - STOP_ANSWER_TIME_S
        self.link.draining = True
        self.link.trigger_report()
        for server in self._call_servers:
            server.begin_drain()
        # The load balancer needs time to notice that the entry is no longer ready.
        eventlet.sleep(self.settings.drain_notice_ms / 1_000 or DRAIN_NOTICE_S)
        stops = eventlet.GreenPile()
        for server in self._call_servers:
            stops.spawn(server.stop, deadline_s)
        aborted_calls = sum(stops)
        while self._has_work() and self._clock.now_s() < deadline_s:
            eventlet.sleep(DRAIN_POLL_INTERVAL_S)
        _LOGGER.info(
            "Entry {} stops: {} calls aborted, {} ledger writes not committed",
            self.settings.entry_id,
            aborted_calls,
            self._writer.pending_writes,
        )
        return aborted_calls

    def _handle_isolation_change(self) -> None:
        # The answer to the report brings the addresses of other entries.
        self.link.trigger_report()
        self._prober.wake()

    def _has_work(self) -> bool:
        # After a caller has disconnected, its call or the ledger write may still run.
        return bool(self._interface.running_calls or self._writer.pending_writes)

    def is_ready(self) -> bool:
        """Tell whether the load balancer should send calls to this entry."""
        return not self.link.draining and self.view.has_lease(self._clock.now_s())

    def reload(self) -> None:
        """Log that a changed settings file takes effect only at the next start."""
        _LOGGER.info("The settings file has changed; it is read at the next start")

    def dump(self) -> dict[str, Any]:
        """Return the state of the process, without secrets."""
        return DumpRegistry(self._dump_sources()).dump()

    def _dump_sources(self) -> dict[str, Callable[[], Any]]:
        return {
            "entry_id": lambda: self.settings.entry_id,
            "incarnation": lambda: self.incarnation,
            "draining": lambda: self.link.draining,
            "configuration_number": lambda: self.view.number,
            "lease_left_s": lambda: self.view.lease_until_s - self._clock.now_s(),
            "view_version": lambda: self.view.version,
            "view_source": lambda: self.view.source,
            "entry_count": lambda: self.view.entry_count,
            "hosts_heard": lambda: self.collector.host_count,
            "groups": lambda: [
                {
                    "group_id": group_view.group.group_id,
                    "service": group_view.group.service,
                    "epoch": group_view.group.epoch,
                    "serving": group_view.serving,
                    "reason": group_view.reason,
                }
                for group_view in self.view.groups()
            ],
            "endpoint_notices": self.context.describe_notices,
            "is_isolated": lambda: self.context.is_isolated,
            "peers": lambda: self.context.peers,
            "endpoint_limits": self.context.describe_limits,
            "running_attempts": lambda: len(self.context.running),
            "running_requests": lambda: self.server.running_requests,
            "refused_requests": lambda: dict(self.server.refused),
            "buffered_bytes": lambda: self._memory.used_bytes,
            "cut_answers": lambda: self._memory.cut_answers,
            "cut_bodies": lambda: self._memory.cut_bodies,
            "refused_without_memory": lambda: self._memory.refused_requests,
            "transport": lambda: self.transport.read_counters(),
        }

    def _is_alive(self) -> bool:
        return self.transport.is_receiving

    def _read_retry_bound(self) -> SharedRetryBound | None:
        if not self.settings.HasField("retry_budget"):
            return None
        bound = self.settings.retry_budget
        return SharedRetryBound(bound.share, bound.reserve, bound.window_ms / 1_000)

    def _run_housekeeping(self) -> None:
        run_periodically(
            "housekeeping", self._run_housekeeping_round, HOUSEKEEPING_INTERVAL_S
        )

    def _run_housekeeping_round(self) -> None:
        self._interface.run_housekeeping()
        if self._retry_bound is not None:
            self._retry_bound.divide(self.context.budgets, self.view.entry_count)
            self.context.budgets.retries.refill(HOUSEKEEPING_INTERVAL_S)


def _make_own_interface() -> EntryInterface:
    """Build the default interface, whose modules and libraries others don't need."""
    from chestnutvale.programs.entry.own_interface import OwnInterface

    return OwnInterface()
