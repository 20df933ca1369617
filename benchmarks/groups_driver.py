"""Runs the real group control logic over fake hosts in simulated time."""

import itertools
from collections.abc import Callable
from types import SimpleNamespace

import attrs

from benchmarks.groups_fakes import FakeHost, FakeWeightStore
from benchmarks.groups_network import SimulatedNetwork
from chestnutvale.groups.coordinator import GroupCoordinator, ProposeCommand
from chestnutvale.groups.orders import OrderOutcome, OrderScheduler, SendOrder
from chestnutvale.groups.planner import GroupPlanner
from chestnutvale.groups.repair_cost import RepairChooser
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport

ANNOUNCE_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 0.5
UNIX_MS_AT_START = 1_700_000_000_000


@attrs.define
class SimulatedEntry:
    """An entry with its announcement collector and its view of the groups."""

    name: str
    collector: AnnouncementCollector
    view: EntryView
    is_running: bool = True


@attrs.define
class SimulatedControl:
    """A control replica with its own copy of the replicated state."""

    name: str
    table: MembershipTable
    publisher: ViewPublisher
    coordinator: GroupCoordinator
    state: GroupsState = attrs.field(factory=GroupsState)
    applied: int = 0
    term: int = 0
    is_leader: bool = False
    is_running: bool = True
    lease_until_s: float = float("-inf")


@attrs.define
class GroupsWorld:
    """Hosts, entries and controls that share one simulated clock.

    Parameters
    ----------
    random : Random
        Seeded random source of the network and of the load balancer.
    text : Text
        The active configuration text.
    hosts : dict of str to FakeHost
        All hosts.
    policy : GroupsPolicy
        Cost weights and timeouts of the group control logic.
    store : FakeWeightStore
        Weight store that hosts load from.
    load_s : float
        Time in seconds to load a shard of the weights at full rate.
    chooser : RepairChooser, optional
        Repair policy; the cost function by default.
    entry_count, control_count : int
        Number of entries and of controls.
    tick_s : float
        Time step in seconds.
    make_orders : callable
        Factory of the order scheduler; tests disable mechanisms with it.
    make_state : callable
        Factory of the replicated state of a control.
    make_view : callable
        Factory of the view of an entry; takes the serving lease in seconds.
    """

    random: object
    text: Text
    hosts: dict[str, FakeHost]
    policy: GroupsPolicy = attrs.field(factory=GroupsPolicy)
    store: FakeWeightStore = attrs.field(factory=lambda: FakeWeightStore(16))
    load_s: float = 20.0
    chooser: RepairChooser | None = None
    entry_count: int = 3
    control_count: int = 1
    tick_s: float = 0.5
    make_orders: Callable[[GroupsPolicy], OrderScheduler] = OrderScheduler
    make_state: Callable[[], GroupsState] = GroupsState
    make_view: Callable[[float], EntryView] = EntryView
    now_s: float = 0.0
    has_quorum: bool = True
    conflicts: int = 0
    log: list[Command] = attrs.field(factory=list)
    entries: dict[str, SimulatedEntry] = attrs.field(init=False)
    controls: dict[str, SimulatedControl] = attrs.field(init=False)
    network: SimulatedNetwork = attrs.field(init=False)
    _elected: str = ""
    _nonces: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        """Create entries and controls and elect the first control."""
        self.network = SimulatedNetwork(self.random)
        self.entries = {
            name: SimulatedEntry(
                name,
                AnnouncementCollector(self.policy.detection_timeout_s),
                self.make_view(self.policy.serving_lease_s),
            )
            for name in (f"e{index}" for index in range(self.entry_count))
        }
        self.controls = {
            name: self._make_control(name)
            for name in (f"c{index}" for index in range(self.control_count))
        }
        self.elect("c0")

    @property
    def leader(self) -> SimulatedControl:
        """The most recently elected control."""
        return self.controls[self._elected]

    @property
    def state(self) -> GroupsState:
        """State of the elected leader."""
        return self.leader.state

    def elect(self, name: str) -> None:
        """Make a control the leader of the next term, without notice to the old one."""
        term = max(control.term for control in self.controls.values()) + 1
        control = self.controls[name]
        self._elected = name
        control.term = term
        control.is_leader = True
        self._apply_log(control)
        control.coordinator.became_leader(self.now_s)

    def submit(self, field: str, message: object) -> None:
        """Commit an operator command."""
        command = Command(proposed_at_unix_ms=self._unix_ms())
        getattr(command, field).CopyFrom(message)
        self.log.append(command)

    def run_until(
        self, end_s: float, after_step: Callable[[], None] | None = None
    ) -> None:
        """Step until a simulated time in seconds; call a function after each step."""
        while self.now_s < end_s:
            self.step()
            if after_step is not None:
                after_step()

    def step(self) -> None:
        """Advance by one tick."""
        self.now_s += self.tick_s
        self._load_weights()
        self._announce()
        for entry in self.entries.values():
            if entry.is_running and self._is_due(REPORT_INTERVAL_S, entry.name):
                self._report(entry)
        self.network.deliver_due(self.now_s)
        for control in self.controls.values():
            if control.is_running:
                self._run_control(control)
        self.network.deliver_due(self.now_s)

    def serving_at(self, entry: SimulatedEntry) -> list:
        """Return the groups to which an entry would route new requests."""
        return [
            view
            for name in self.text.services
            for view in entry.view.serving_groups(name, self.now_s)
        ]

    def _make_control(self, name: str) -> SimulatedControl:
        planner = GroupPlanner(self.policy)
        if self.chooser is not None:
            planner.chooser = self.chooser
        return SimulatedControl(
            name=name,
            table=MembershipTable(self.policy.detection_timeout_s),
            publisher=ViewPublisher(f"life-{name}"),
            coordinator=GroupCoordinator(planner, self.make_orders(self.policy)),
            state=self.make_state(),
        )

    def _unix_ms(self) -> int:
        return UNIX_MS_AT_START + round(self.now_s * 1_000)

    def _is_due(self, interval_s: float, name: str) -> bool:
        ticks = max(1, round(interval_s / self.tick_s))
        offset = sum(name.encode())
        return (round(self.now_s / self.tick_s) + offset) % ticks == 0

    def _load_weights(self) -> None:
        loading = [
            host
            for host in self.hosts.values()
            if host.is_running
            and host.holding is not None
            and host.holding.phase == "loading"
        ]
        share = self.store.share(len(loading))
        for host in loading:
            host.continue_loading(share, self.tick_s)

    def _announce(self) -> None:
        names = [entry.name for entry in self.entries.values() if entry.is_running]
        for host in self.hosts.values():
            if not host.is_running or not names:
                continue
            if not self._is_due(ANNOUNCE_INTERVAL_S, host.host_id):
                continue
            reachable = [
                name for name in names if not self.network.is_cut(host.host_id, name)
            ]
            if not reachable or self.random.random() < self.network.loss:
                continue
            announcement = host.announce(self.now_s)
            entry = self.entries[self.random.choice(reachable)]
            accepted = entry.collector.announce(announcement, self.now_s)
            if accepted.urgent:
                self._report(entry)

    def _report(self, entry: SimulatedEntry) -> None:
        nonce = next(self._nonces)
        report = EntryReport(
            reply_address=entry.name,
            nonce=nonce,
            configuration_number=entry.view.number,
            view_version=entry.view.version,
            view_source=entry.view.source,
            heard=entry.collector.drain_report(self.now_s),
            sent_at_ms=round(self.now_s * 1_000),
        )
        entry.view.record_report_sent(nonce, self.now_s)
        for control in self.controls.values():
            self.network.send(
                entry.name,
                control.name,
                self.now_s,
                lambda control=control: self._handle_report(control, entry, report),
            )

    def _handle_report(
        self, control: SimulatedControl, entry: SimulatedEntry, report: EntryReport
    ) -> None:
        # A paused control still receives the reports, and reads them when it resumes.
        control.table.merge_entry_report(
            entry.name, report.heard, self.now_s, report.sent_at_ms
        )
        if not control.is_running or not self._has_lease(control):
            return
        control.publisher.refresh(control.state, control.table, self.now_s)
        source = SimpleNamespace(text=self.text)
        view = control.publisher.answer(
            entry.name, report, source, control.table, control.term, self.now_s
        )
        self._send_view(control, entry, view)

    def _send_view(
        self, control: SimulatedControl, entry: SimulatedEntry, view: ControlView
    ) -> None:
        def deliver() -> None:
            if entry.is_running:
                entry.view.install_view(view, self.now_s)
                entry.collector.mark_for_full_report(view.want_hosts)

        self.network.send(control.name, entry.name, self.now_s, deliver)

    def _has_lease(self, control: SimulatedControl) -> bool:
        return control.is_leader and self.now_s < control.lease_until_s

    def _run_control(self, control: SimulatedControl) -> None:
        is_elected = control is self.leader
        if is_elected and self.has_quorum:
            control.lease_until_s = self.now_s + self.policy.leader_lease_s
            self._apply_log(control)
        if control.is_leader:
            self._tick_coordinator(control)
        if control.is_leader and not is_elected:
            control.is_leader = False
            control.coordinator.lost_leadership()

    def _tick_coordinator(self, control: SimulatedControl) -> None:
        effects = control.coordinator.tick(
            self.now_s,
            control.state,
            control.table,
            self.text,
            self._has_lease(control),
            self._unix_ms(),
        )
        for effect in effects:
            if isinstance(effect, SendOrder):
                self._send_order(control, effect)
            elif isinstance(effect, ProposeCommand):
                self._propose(control, effect.command)
        if self._has_lease(control):
            self._push_views(control)

    def _push_views(self, control: SimulatedControl) -> None:
        if not control.publisher.refresh(control.state, control.table, self.now_s):
            return
        source = SimpleNamespace(text=self.text)
        pushes = control.publisher.build_pushes(
            source, control.table, control.term, self.now_s
        )
        for push in pushes:
            self._send_view(control, self.entries[push.entry_id], push.view)

    def _propose(self, control: SimulatedControl, command: Command) -> None:
        if control is self.leader and self.has_quorum:
            self.log.append(command)
            self._apply_log(control)

    def _apply_log(self, control: SimulatedControl) -> None:
        while control.applied < len(self.log):
            command = self.log[control.applied]
            field = command.WhichOneof("body")
            apply = getattr(control.state, field)
            result = apply(getattr(command, field), command.proposed_at_unix_ms)
            self.conflicts += result.outcome != "done"
            control.applied += 1

    def _send_order(self, control: SimulatedControl, effect: SendOrder) -> None:
        host = self.hosts[effect.host_id]
        order = effect.order

        def answer(outcome: OrderOutcome) -> None:
            if control.is_running:
                control.coordinator.order_answered(
                    host.host_id, order.order_id, outcome, self.now_s
                )

        def deliver() -> None:
            outcome = host.receive(order, self.load_s)
            self.network.send(
                host.host_id, control.name, self.now_s, lambda: answer(outcome)
            )

        self.network.send(control.name, host.host_id, self.now_s, deliver)


def make_hosts(
    domains: int, hosts_per_domain: int, data_centres: int = 3, fencing: bool = True
) -> dict[str, FakeHost]:
    """Make hosts spread evenly over fabric domains and data centres.

    Parameters
    ----------
    domains : int
        Number of fabric domains.
    hosts_per_domain : int
        Hosts in each fabric domain.
    data_centres : int
        Number of data centres.
    fencing : bool
        Whether the hosts check fencing tokens.

    Returns
    -------
    dict of str to FakeHost
        The hosts by identity.
    """
    hosts = {}
    for domain in range(domains):
        for index in range(hosts_per_domain):
            host_id = f"h{domain:03d}-{index:03d}"
            centre = f"dc{domain % data_centres}"
            hosts[host_id] = FakeHost(host_id, f"f{domain:03d}", centre, fencing)
    return hosts
