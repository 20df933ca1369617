"""Measure an idle entry of a large deployment, without starting the deployment.

Starts one entry of the platform beside a stand-in for the leading control, which
answers its reports and sends it the loads and views that the leader of many entries
would send. Reports the share of a core, the switches per second and the resident
memory. Run with ``python -m benchmarks.idle_entry``.
"""

import random
import shutil
import time

import defopt
import eventlet
from tabulate import tabulate

from benchmarks.process_cost import FOLDER, measure_idle, run_program
from chestnutvale.clock import SystemClock
from chestnutvale.membership.attempt_counts import load_exchange_interval_s
from chestnutvale.schema.configuration_pb2 import Service, Text, Workspace
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.membership_pb2 import Load
from chestnutvale.schema.peer_pb2 import (
    ControlAddress,
    ControlView,
    Envelope,
    GroupLoad,
    GroupView,
    RunningCounts,
)
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode
from tests.platform.node_files import READINESS_PORT, write_entry_file

CONTROL_ADDRESS = "127.85.0.1"
ENTRY_ADDRESS = "127.85.0.2"
PEER_PORT = 7340
ENTRY_ID = "idle-entry"
MAX_RUNNING = 15
SERVICES = 3
WORKSPACES = 24


class StandInLeader:
    """Answers the reports of one entry as the leader of many entries would.

    Parameters
    ----------
    transport : TransportNode
        Peer sockets of the stand-in.
    entries : int
        Number of entries of the deployment.
    groups : int
        Number of serving groups.
    hosts_per_group : int
        Hosts of each group.
    """

    def __init__(
        self, transport: TransportNode, entries: int, groups: int, hosts_per_group: int
    ) -> None:
        self._transport = transport
        self._entries = entries
        self._rng = random.Random(1)
        self._version = 1
        self._groups = [
            _make_group(number, hosts_per_group) for number in range(groups)
        ]
        transport.register_handler("entry_report", self._receive_report)

    def run_loads(self) -> None:
        """Send changed counts at the exchange interval until the task is killed."""
        while True:
            eventlet.sleep(load_exchange_interval_s(self._entries))
            counts = [self._rng.randint(0, MAX_RUNNING) for _ in self._groups]
            epochs = [group.group.epoch for group in self._groups]
            self._send("running_counts", RunningCounts(epochs=epochs, counts=counts))

    def run_views(self, interval_s: float) -> None:
        """Push a changed group at an interval until the task is killed."""
        while True:
            eventlet.sleep(interval_s)
            base = self._version
            self._version += 1
            view = self._make_view(base)
            view.groups.append(self._rng.choice(self._groups))
            self._send("control_view", view)

    def _receive_report(self, envelope: Envelope) -> None:
        report = envelope.entry_report
        view = self._make_view(report.view_version)
        view.nonce = report.nonce
        if report.view_source != self._transport.incarnation:
            view.whole = True
            view.groups.extend(self._groups)
        if not report.configuration_number:
            view.text.CopyFrom(_make_text())
        for group in self._groups:
            load = Load(running=self._rng.randint(0, MAX_RUNNING))
            view.loads.append(GroupLoad(group_id=group.group.group_id, load=load))
        view.controls.append(
            ControlAddress(
                control_id=CONTROL_ADDRESS,
                peer_address=f"{CONTROL_ADDRESS}:{PEER_PORT}",
            )
        )
        self._send("control_view", view)

    def _make_view(self, base_version: int) -> ControlView:
        return ControlView(
            source=self._transport.incarnation,
            term=1,
            view_version=self._version,
            base_version=base_version,
            configuration_number=1,
            entry_count=self._entries,
        )

    def _send(self, body: str, message: RunningCounts | ControlView) -> None:
        self._transport.send(ENTRY_ID, f"{ENTRY_ADDRESS}:{PEER_PORT}", body, message)


def _make_group(number: int, hosts: int) -> GroupView:
    members = [
        GroupMember(
            host_id=f"host-{number}-{rank}",
            boot_id=f"boot-{number}-{rank}",
            rank=rank,
            address=f"127.86.{number}.{rank + 1}:8000",
        )
        for rank in range(hosts)
    ]
    group = Group(
        group_id=f"group-{number}",
        service=f"model-{number % SERVICES}",
        epoch=number + 1,
        members=members,
    )
    return GroupView(group=group, serving=True)


def _make_text() -> Text:
    text = Text(number=1)
    for number in range(SERVICES):
        service = Service(kind="model", model=f"m-{number}", hosts_per_group=1)
        text.services[f"model-{number}"].CopyFrom(service)
    for number in range(WORKSPACES):
        text.workspaces[f"workspace-{number}"].CopyFrom(Workspace())
    return text


def main(
    *,
    entries: int = 126,
    groups: int = 40,
    hosts_per_group: int = 5,
    views_per_s: float = 3.0,
    duration_s: float = 20.0,
) -> None:
    """Print the cost of the idle entry.

    Parameters
    ----------
    entries : int
        Number of entries of the deployment.
    groups : int
        Number of serving groups.
    hosts_per_group : int
        Hosts of each group.
    views_per_s : float
        Changed views that the leader pushes per second.
    duration_s : float
        Time for which the entry is measured.
    """
    eventlet.monkey_patch()
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir(parents=True)
    clock = SystemClock()
    file = write_entry_file(FOLDER, ENTRY_ID, ENTRY_ADDRESS, CONTROL_ADDRESS)
    url = f"http://{ENTRY_ADDRESS}:{READINESS_PORT}/"
    incarnation = make_incarnation(clock.unix_ms(), 1)
    address = f"{CONTROL_ADDRESS}:{PEER_PORT}"
    with (
        TransportNode("r", CONTROL_ADDRESS, incarnation, address, clock) as transport,
        run_program("entry", file, url, cached=True) as entry,
    ):
        leader = StandInLeader(transport, entries, groups, hosts_per_group)
        eventlet.spawn(leader.run_loads)
        eventlet.spawn(leader.run_views, 1.0 / views_per_s)
        entry.wait_ready()
        time.sleep(2.0)
        before = transport.read_counters()
        switches = entry.read_switches()
        measure_idle([entry], duration_s)
        switches = (entry.read_switches() - switches) / duration_s
        after = transport.read_counters()
    sent, received = (
        (after[name] - before[name]) / duration_s
        for name in ("sent_messages", "received_messages")
    )
    row = [entry.idle_share, switches, sent, received, entry.resident_bytes / 1e6]
    headers = ["idle core", "switches/s", "messages in/s", "out/s", "MB"]
    print(tabulate([row], headers, floatfmt=".4f"))


if __name__ == "__main__":
    defopt.run(main)
