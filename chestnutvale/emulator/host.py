"""An emulated engine host: its HTTP interface, group membership and announcements."""

import random
import time
from collections.abc import Callable
from contextlib import ExitStack
from types import TracebackType
from typing import Any, Self

import attrs
import eventlet
import logbook
import urllib3
from google.protobuf import json_format

from chestnutvale.clock import SystemClock
from chestnutvale.emulator.announcer import (
    Announcer,
    DelayedCacheEvents,
    DelayedLoadReports,
)
from chestnutvale.emulator.batch_engine import EngineModel
from chestnutvale.emulator.const import (
    CODE_BAD_REQUEST,
    CODE_MEMBER_MISSING,
    CODE_WRONG_EPOCH,
    KIND_ENGINE,
    PHASE_READY,
    RELEASE_DURATION_MS,
)
from chestnutvale.emulator.exceptions import RefusedError
from chestnutvale.emulator.generate_request import GenerateRequest
from chestnutvale.emulator.generation import GenerationService
from chestnutvale.emulator.http import (
    CONTENT_TYPE_EVENT_STREAM,
    HttpServer,
    Request,
    Response,
    Router,
    json_response,
    message_to_dict,
)
from chestnutvale.emulator.injected_faults import Faults
from chestnutvale.emulator.member_monitor import MemberMonitor
from chestnutvale.emulator.orders import (
    AcceptAllOrders,
    FencingTokenCheck,
    HostState,
    LoadWeights,
    StopGroup,
)
from chestnutvale.schema.groups_pb2 import Order
from chestnutvale.schema.membership_pb2 import Announcement, Load

_LOGGER = logbook.Logger(__name__)

WEIGHTS_RETRY_INTERVAL_S = 0.5
WEIGHTS_TIMEOUT_S = 30.0
ADAPTER_BYTES = 100_000


@attrs.frozen
class HostOptions:
    """Identity and simulated behaviour of an emulated host.

    Attributes
    ----------
    host_id, data_centre, fabric_domain : str
        Identifier and location that are announced.
    address : str
        IP address and port to listen on; port 0 selects a free port.
    entries : list of str
        Addresses of the entries that receive the announcements.
    accelerators : int
        Number of accelerators that is announced.
    fencing : bool
        Whether orders with an old fencing token are refused.
    weights_bytes : int
        Size in bytes of the part of the weights that one rank loads.
    load_lag_s, cache_lag_s : float
        Age of the reported load and delay of cache events in seconds.
    cache_gap_share : float
        Probability, from 0 to 1, that a report of cache events is lost.
    cold_start_ms : int
        Time in milliseconds after the start for which it announces that it is cold.
    seed : int
        Seed of the random choices, combined with the identifier of the host.
    model : EngineModel
        Speed and capacity of the engine.
    """

    host_id: str
    address: str
    entries: list[str]
    data_centre: str = "dc-1"
    fabric_domain: str = "fabric-a"
    accelerators: int = 4
    fencing: bool = True
    weights_bytes: int = 4_000_000
    load_lag_s: float = 0.5
    cache_lag_s: float = 1.0
    cache_gap_share: float = 0.05
    cold_start_ms: int = 0
    seed: int = 1
    model: EngineModel = attrs.field(factory=EngineModel)


class EmulatedHost:
    """An engine host that announces itself, executes orders and serves generations.

    Parameters
    ----------
    options : HostOptions
        Identity and simulated behaviour.
    on_crash : callable
        Called without arguments to end the host as a crash would.

    Attributes
    ----------
    boot_id : str
        Identifier of this run of the host; a restarted host gets another one.
    state : HostState
        Group that the host holds.
    orders : list of dict
        Every received order with its time and result, for checks of the history.
    """

    def __init__(self, options: HostOptions, on_crash: Callable[[], None]) -> None:
        self.options = options
        self.boot_id = f"{time.time_ns():016x}-{options.host_id}"
        order_check = FencingTokenCheck(options.host_id, self.boot_id)
        self._warm_at_s = time.monotonic() + options.cold_start_ms / 1e3
        self.state = HostState(order_check if options.fencing else AcceptAllOrders())
        self.orders: list[dict[str, Any]] = []
        self.is_leaving = False
        self.generation = GenerationService(options.model, on_crash)
        self.faults = Faults(on_crash)
        self._clock = SystemClock()
        self._random = random.Random(f"{options.seed} {options.host_id}")
        self._load_reports = DelayedLoadReports(options.load_lag_s)
        self._cache_events = DelayedCacheEvents(
            options.cache_lag_s, options.cache_gap_share, self._random
        )
        self._announcer = Announcer(
            options.entries,
            self._make_announcement,
            self._record_load_sample,
            self._random,
        )
        self._http = urllib3.PoolManager(retries=False, timeout=WEIGHTS_TIMEOUT_S)
        self._member_monitor: MemberMonitor | None = None
        self._loading: set[str] = set()
        self._tasks: list[eventlet.greenthread.GreenThread] = []
        self._stack = ExitStack()
        routes = {
            ("POST", "/v1/orders"): self._handle_order,
            ("POST", "/v1/generate"): self._handle_generate,
            ("POST", "/v1/cancel"): self._handle_cancel,
            ("GET", "/v1/membership"): self._handle_membership,
            ("GET", "/v1/history"): self._handle_history,
            ("POST", "/fault"): self._handle_fault,
        }
        self._server = HttpServer(options.address, self._handle)
        self._router = Router(routes)

    @property
    def address(self) -> str:
        """IP address and port that the host listens on."""
        return self._server.address

    def __enter__(self) -> Self:
        """Start the HTTP server, the engine and the announcements."""
        with ExitStack() as stack:
            stack.enter_context(self._server)
            stack.enter_context(self.generation)
            stack.enter_context(self._announcer)
            self._stack = stack.pop_all()
        self.generation.slow_factor = self._compute_slow_factor
        self.generation.is_paused = self.faults.check_paused
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop at once and without announcing it, as a killed host would."""
        for task in self._tasks:
            task.kill()
        self._stop_member_monitor()
        self._stack.close()

    def leave(self) -> None:
        """Announce that the host is leaving; running requests continue."""
        self.is_leaving = True
        self._announcer.request_announcement()

    def _handle(self, request: Request) -> Response:
        if request.path != "/fault":
            self.faults.wait_while_paused()
        return self._router(request)

    def _make_announcement(self) -> Announcement:
        self.faults.wait_while_paused()
        options = self.options
        announcement = Announcement(
            host_id=options.host_id,
            boot_id=self.boot_id,
            address=self.address,
            data_centre=options.data_centre,
            fabric_domain=options.fabric_domain,
            accelerators=options.accelerators,
            kind=KIND_ENGINE,
            fencing=options.fencing,
            leaving=self.is_leaving,
            holding=self.state.holding,
            fence=self.state.order_check.highest_fence,
            cold_remaining_ms=max(0, round(1e3 * (self._warm_at_s - time.monotonic()))),
        )
        if self.state.holding is not None and self.state.holding.rank == 0:
            announcement.load.CopyFrom(self._load_reports.find_due_sample() or Load())
            events = self._cache_events.pop_due_events(time.monotonic())
            if events is not None:
                announcement.cache_events.CopyFrom(events)
        return announcement

    def _record_load_sample(self) -> None:
        now_s = time.monotonic()
        engine = self.generation.engine
        load = Load(
            running=engine.running_count,
            waiting=engine.waiting_count,
            kv_used_tokens=engine.used_tokens,
            kv_capacity_tokens=engine.model.kv_capacity_tokens,
            measured_at_unix_ms=self._clock.unix_ms(),
        )
        self._load_reports.record_sample(load, now_s)
        self._cache_events.record_changes(*engine.cache.pop_changes(), now_s)

    def _compute_slow_factor(self) -> float:
        members = (
            self._member_monitor.slow_factor
            if self._member_monitor is not None
            else 1.0
        )
        return max(members, self.faults.slow_factor)

    def _handle_order(self, request: Request) -> Response:
        try:
            order = json_format.ParseDict(
                request.json(), Order(), ignore_unknown_fields=True
            )
        except json_format.ParseError as error:
            raise RefusedError(400, CODE_BAD_REQUEST, str(error)) from error
        record = {
            "at_unix_ms": self._clock.unix_ms(),
            "kind": order.kind,
            "group_id": order.group_id,
            "epoch": order.epoch,
            "fence": order.fence,
            "rank": order.rank,
            "code": "accepted",
        }
        self.orders.append(record)
        try:
            effect = self.state.apply_order(order, self._clock.unix_ms())
        except RefusedError as error:
            record["code"] = error.code
            raise
        self._apply_effect(effect)
        self._announcer.request_announcement()
        return json_response({"accepted": True})

    def _apply_effect(self, effect: LoadWeights | StopGroup | None) -> None:
        self._restart_member_monitor()
        if isinstance(effect, LoadWeights):
            self._tasks.append(eventlet.spawn(self._load_weights, effect))
        if isinstance(effect, StopGroup):
            self._tasks.append(eventlet.spawn(self._stop_group, effect.group_id))
        self._tasks = [task for task in self._tasks if not task.dead]

    def _load_weights(self, effect: LoadWeights) -> None:
        order = effect.order
        part = f"{order.model}/{order.version}/{order.rank}-of-{len(order.members)}"
        size_bytes = self.options.weights_bytes
        if effect.adapters_only:
            part = f"{order.model}/{order.version}/adapters"
            size_bytes = ADAPTER_BYTES
        if part in self._loading:
            return
        self._loading.add(part)
        try:
            while not self._fetch_weights(order.weight_store_address, part, size_bytes):
                eventlet.sleep(WEIGHTS_RETRY_INTERVAL_S)
        finally:
            self._loading.discard(part)
        self.faults.wait_while_paused()
        if self.state.record_loaded_weights(order):
            self._restart_member_monitor()
            self._announcer.request_announcement()

    def _fetch_weights(self, store_address: str, part: str, size_bytes: int) -> bool:
        url = f"http://{store_address}/v1/weights/{part}?bytes={size_bytes}"
        try:
            response = self._http.request("GET", url)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            _LOGGER.warning(
                "Loading weights {} from {} failed, retrying in {} s: {}",
                part,
                store_address,
                WEIGHTS_RETRY_INTERVAL_S,
                type(error).__name__,
            )
            return False
        return response.status == 200 and len(response.data) == size_bytes

    def _stop_group(self, group_id: str) -> None:
        eventlet.sleep(RELEASE_DURATION_MS / 1e3)
        if not self.state.complete_release(group_id):
            return
        self.generation.break_all_streams("the group was released")
        self.generation.engine.cache.clear()
        self._announcer.request_announcement()

    def _restart_member_monitor(self) -> None:
        """Monitor the members of the current group if this host is its head."""
        self._stop_member_monitor()
        holding = self.state.holding
        if holding is None or holding.rank != 0:
            self.generation.break_all_streams("the host is no head")
            return
        other_members = [m for m in self.state.members if m.rank != 0]
        monitor = MemberMonitor(
            holding,
            other_members,
            lambda: self.generation.is_busy,
            self.faults.check_paused,
            self._handle_missing_member,
        )
        self._member_monitor = monitor.__enter__()

    def _stop_member_monitor(self) -> None:
        if self._member_monitor is not None:
            self._member_monitor.__exit__(None, None, None)
            self._member_monitor = None

    def _handle_missing_member(self, problem: str) -> None:
        self.generation.break_all_streams(f"a member is missing: {problem}")

    def _handle_generate(self, request: Request) -> Response:
        requested = GenerateRequest.parse(request.json())
        self._check_assignment(requested)
        stream = self.generation.open_stream(requested, request.socket)
        return Response(stream, 200, CONTENT_TYPE_EVENT_STREAM)

    def _check_assignment(self, requested: GenerateRequest) -> None:
        holding = self.state.holding
        held_assignment = (
            (holding.group_id, holding.epoch, holding.rank) if holding else None
        )
        if (
            held_assignment != (requested.group_id, requested.epoch, 0)
            or holding.phase != PHASE_READY
        ):
            raise RefusedError(
                409,
                CODE_WRONG_EPOCH,
                f"host is not the ready head of group {requested.group_id!r} in epoch "
                f"{requested.epoch}; it holds group, epoch and rank {held_assignment}",
            )
        if requested.adapter and requested.adapter not in holding.adapters:
            raise RefusedError(
                400,
                CODE_BAD_REQUEST,
                f"adapter {requested.adapter!r} is not loaded",
            )
        if (
            self._member_monitor is None
            or not self._member_monitor.ping_missing_members()
        ):
            missing = self._member_monitor.missing if self._member_monitor else {}
            raise RefusedError(
                503,
                CODE_MEMBER_MISSING,
                f"group members are missing: {missing}",
            )

    def _handle_cancel(self, request: Request) -> Response:
        attempt_id = request.json().get("attempt_id")
        return json_response({"cancelled": self.generation.cancel(str(attempt_id))})

    def _handle_membership(self, request: Request) -> Response:
        holding = self.state.holding
        return json_response(
            {
                "host_id": self.options.host_id,
                "boot_id": self.boot_id,
                "holding": message_to_dict(holding) if holding is not None else None,
                "slow_factor": self.faults.slow_factor,
            }
        )

    def _handle_history(self, request: Request) -> Response:
        engine = self.generation.engine
        return json_response(
            {
                "orders": self.orders,
                "attempts": [attrs.asdict(a) for a in self.generation.outcomes],
                "tokens_count": self.generation.tokens_count,
                "preempted_count": engine.preempted_count,
                "running": engine.running_count,
                "waiting": engine.waiting_count,
            }
        )

    def _handle_fault(self, request: Request) -> Response:
        data = request.json()
        if data.get("kind") == "leave":
            self.leave()
        else:
            self.faults.set_fault(data)
        self._announcer.drops_announcements = self.faults.is_cut
        self._cache_events.drops_events = self.faults.drops_cache_events
        return json_response(attrs.asdict(self.faults, filter=_is_public))


def _is_public(attribute: attrs.Attribute, value: Any) -> bool:
    return not attribute.name.startswith("_")
