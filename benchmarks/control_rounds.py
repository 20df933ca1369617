"""Measures the control logic at the size of one cell, without sockets.

Runs the real logic of entries and controls through simulated seconds. Each host
announces itself to one entry per second. Each entry reports twice per second to the
leader and a follower, and the leader answers. Views are refreshed ten times per
second, and also when an answer might have to report a broken group. Groups are planned
once per second, as is usual while all of them serve. Every entry has heard every host
before. Reports the CPU time of each kind of work, as a share of a core, and the bytes
of each kind of message. The bytes are exact; the times depend on the machine.
"""

import json
import random
import time
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import attrs
import defopt
from google.protobuf import json_format
from tabulate import tabulate

from benchmarks.control_common import make_text
from chestnutvale.configuration.parser import parse_text
from chestnutvale.groups.const import OUTCOME_DONE, PHASE_FORMING, PHASE_SERVING
from chestnutvale.groups.coordinator import GroupCoordinator
from chestnutvale.groups.orders import OrderScheduler
from chestnutvale.groups.planner import GroupPlanner
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.programs.control.measures import MeasureTracker
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup
from chestnutvale.schema.membership_pb2 import Announcement, Holding, Load
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport

REPORTS_PER_S = 2
ROUNDS_PER_S = 10
DECISIONS_PER_S = 1
SERVICE = "chestnut-llm"
TERM = 1
ResultT = TypeVar("ResultT")


@attrs.frozen
class ActiveText:
    """Active configuration text, in the form that the view publisher expects."""

    text: Any


class Cell:
    """One cell of a given size in simulated time.

    Parameters
    ----------
    entries, hosts, groups, hosts_per_group : int
        Size of the cell.
    load_changes : bool
        Whether the load of a host differs in each announcement.
    seed : int
        Seed of the choice of the entry for each announcement.
    """

    def __init__(
        self,
        entries: int,
        hosts: int,
        groups: int,
        hosts_per_group: int,
        load_changes: bool,
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._load_changes = load_changes
        self._now_s = 1_000.0
        self._sequence = 0
        self._published_revision = -1
        self._rounds = 0
        self.cpu_s: defaultdict[str, float] = defaultdict(float)
        self.bytes: defaultdict[str, int] = defaultdict(int)
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._text = ActiveText(parse_text(make_text(1, hosts_per_group, groups)))
        self._state = GroupsState()
        self._tables = {"leader": MembershipTable(), "follower": MembershipTable()}
        self._publishers = {name: ViewPublisher(name) for name in self._tables}
        self._collectors = [AnnouncementCollector() for _ in range(entries)]
        self._views = [EntryView() for _ in range(entries)]
        self._measures = MeasureTracker()
        policy = GroupsPolicy()
        self._coordinator = GroupCoordinator(
            GroupPlanner(policy), OrderScheduler(policy)
        )
        self._coordinator.became_leader(self._now_s)
        self._hosts = [self._make_host(number) for number in range(hosts)]
        for number in range(groups):
            self._make_group(number, hosts_per_group)

    def _make_host(self, number: int) -> Announcement:
        return Announcement(
            host_id=f"host-{number:04}",
            boot_id=f"{number:016x}",
            address=f"10.0.{number // 250}.{number % 250}:8000",
            data_centre="dc-1",
            fabric_domain="fabric-1",
            accelerators=4,
            kind="engine",
            fencing=True,
        )

    def _make_group(self, number: int, size: int) -> None:
        hosts = self._hosts[number * size : (number + 1) * size]
        members = [
            GroupMember(
                host_id=host.host_id,
                boot_id=host.boot_id,
                address=host.address,
                rank=rank,
            )
            for rank, host in enumerate(hosts)
        ]
        group = Group(
            group_id=f"{SERVICE}-{number + 1}",
            service=SERVICE,
            version="1",
            members=members,
            phase=PHASE_FORMING,
            fabric_domain="fabric-1",
        )
        result = self._state.put_group(PutGroup(group=group), 1)
        group.phase = PHASE_SERVING
        command = PutGroup(group=group, expected_epoch=result.epoch)
        assert self._state.put_group(command, 1).outcome == OUTCOME_DONE
        for rank, host in enumerate(hosts):
            holding = Holding(
                group_id=group.group_id,
                epoch=result.epoch,
                fence=result.fence,
                rank=rank,
                service=SERVICE,
                version="1",
                phase="ready",
            )
            host.holding.CopyFrom(holding)
            host.fence = result.fence

    def warm_up(self) -> None:
        """Announce every host to every entry and report them all to the controls."""
        for collector in self._collectors:
            for host in self._hosts:
                self._sequence += 1
                host.sequence = self._sequence
                announcement = Announcement()
                announcement.CopyFrom(host)
                collector.announce(announcement, self._now_s)
        for index in range(len(self._views)):
            self._exchange_report(index)
        self.run(5)
        self.reset_counters()

    def run(self, seconds: int) -> None:
        """Run for a number of simulated seconds."""
        for _ in range(seconds):
            announcement_order = list(self._hosts)
            self._rng.shuffle(announcement_order)
            for step in range(ROUNDS_PER_S):
                self._now_s += 1 / ROUNDS_PER_S
                for host in announcement_order[step::ROUNDS_PER_S]:
                    self._announce(host)
                for index in range(len(self._views)):
                    if (index + step) % (ROUNDS_PER_S // REPORTS_PER_S) == 0:
                        self._exchange_report(index)
                self._run_control_round()

    def reset_counters(self) -> None:
        """Reset the counters of CPU time, bytes and messages."""
        for counter in (self.cpu_s, self.bytes, self.counts):
            counter.clear()

    def _measure_cpu(self, kind: str, action: Callable[[], ResultT]) -> ResultT:
        start_s = time.process_time()
        result = action()
        self.cpu_s[kind] += time.process_time() - start_s
        self.counts[kind] += 1
        return result

    def _announce(self, host: Announcement) -> None:
        self._sequence += 1
        host.sequence = self._sequence
        if self._load_changes:
            host.load.CopyFrom(Load(running=8, measured_at_unix_ms=self._sequence))
        body = json_format.MessageToJson(host, preserving_proto_field_name=True)
        collector = self._rng.choice(self._collectors)
        self.bytes["announcement body"] += len(body)
        parsed = self._measure_cpu(
            "entry: parse announcement", lambda: json_format.Parse(body, Announcement())
        )
        self._measure_cpu(
            "entry: take announcement", lambda: collector.announce(parsed, self._now_s)
        )

    def _exchange_report(self, index: int) -> None:
        view = self._views[index]
        nonce = self._rng.getrandbits(63) + 1

        def make_report() -> bytes:
            view.record_report_sent(nonce, self._now_s)
            report = EntryReport(
                reply_address="10.1.0.1:7000",
                data_centre="dc-1",
                nonce=nonce,
                configuration_number=view.number,
                view_version=view.version,
                view_source=view.source,
                heard=self._collectors[index].drain_report(self._now_s),
                sent_at_ms=round(self._now_s * 1_000),
            )
            return report.SerializeToString()

        data = self._measure_cpu("entry: make report", make_report)
        self.bytes["report"] += len(data)
        for name, table in self._tables.items():
            self._measure_cpu(
                f"{name}: merge report", lambda t=table: self._merge_report(t, data)
            )
        answer = self._measure_cpu(
            "leader: answer report", lambda: self._answer_report(index, data)
        )
        self.bytes["view"] += len(answer)
        self._measure_cpu(
            "entry: install view",
            lambda: view.install_view(ControlView.FromString(answer), self._now_s),
        )

    def _merge_report(self, table: MembershipTable, data: bytes) -> None:
        report = EntryReport.FromString(data)
        table.merge_entry_report("", report.heard, self._now_s)

    def _answer_report(self, index: int, data: bytes) -> bytes:
        report = EntryReport.FromString(data)
        table = self._tables["leader"]
        publisher = self._publishers["leader"]
        table.merge_entry_report(f"entry-{index}", (), self._now_s)
        if (
            table.revision != self._published_revision
            or self._now_s >= publisher.valid_until_s
        ):
            self._published_revision = table.revision
            publisher.refresh(self._state, table, self._now_s)
        view = publisher.answer(
            f"entry-{index}", report, self._text, table, TERM, self._now_s
        )
        return view.SerializeToString()

    def _run_control_round(self) -> None:
        for name, table in self._tables.items():
            publisher = self._publishers[name]
            self._measure_cpu(
                f"{name}: round, views",
                lambda p=publisher, t=table: p.refresh(self._state, t, self._now_s),
            )
        table = self._tables["leader"]
        groups = self._publishers["leader"]
        self._measure_cpu(
            "leader: round, measures",
            lambda: self._measures.update(
                self._now_s, self._text.text, groups.group_views(), self._state, table
            ),
        )
        self._rounds += 1
        if self._rounds % (ROUNDS_PER_S // DECISIONS_PER_S):
            return
        self._measure_cpu(
            "leader: decisions about groups",
            lambda: self._coordinator.tick(
                self._now_s,
                self._state,
                table,
                self._text.text,
                True,
                round(self._now_s * 1_000),
            ),
        )


def run(
    *,
    entries: int = 60,
    hosts: int = 580,
    groups: int = 36,
    hosts_per_group: int = 16,
    load_changes: bool = True,
    seconds: int = 10,
    seed: int = 1,
    format: str = "table",
) -> None:
    """Measure the control logic at the size of one cell, without sockets.

    Parameters
    ----------
    entries, hosts, groups, hosts_per_group : int
        Size of the cell.
    load_changes : bool
        Whether the load of a host differs in each announcement.
    seconds : int
        Simulated seconds, after a warm-up of five more.
    seed : int
        Seed of the choice of the entry for each announcement.
    format : str
        ``table`` or ``json``.
    """
    cell = Cell(entries, hosts, groups, hosts_per_group, load_changes, seed)
    cell.warm_up()
    cell.run(seconds)
    rows = _make_rows(cell, seconds, entries)
    if format == "json":
        print(json.dumps(rows, indent=2))
        return
    print(tabulate(rows, headers="keys", floatfmt=".3f"))


def _make_rows(cell: Cell, seconds: int, entries: int) -> Sequence[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for kind in sorted(cell.cpu_s):
        processes = entries if kind.startswith("entry") else 1
        rows.append(
            {
                "work": kind,
                "times_s": cell.counts[kind] / seconds / processes,
                "us_each": 1e6 * cell.cpu_s[kind] / cell.counts[kind],
                "core_percent": 100 * cell.cpu_s[kind] / seconds / processes,
            }
        )
    messages = {
        "announcement body": cell.counts["entry: parse announcement"],
        "report": cell.counts["entry: make report"],
        "view": cell.counts["leader: answer report"],
    }
    for kind, count in messages.items():
        rows.append(
            {
                "work": f"bytes of a {kind}",
                "bytes_each": cell.bytes[kind] / max(1, count),
            }
        )
    return rows


if __name__ == "__main__":
    defopt.run(run)
