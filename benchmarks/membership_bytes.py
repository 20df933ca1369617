"""Measures the size of reports and views, as base and slope per host or group.

Run ``python -m benchmarks.membership_bytes``.
"""

from types import SimpleNamespace

from benchmarks.groups_driver import make_hosts
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup
from chestnutvale.schema.membership_pb2 import Holding, Load
from chestnutvale.schema.peer_pb2 import ControlView, EntryReport

EMPTY_REPORT = EntryReport(
    reply_address="10.0.0.1:7001",
    data_centre="dc1",
    nonce=2**60,
    configuration_number=3_000,
    view_version=3_000,
    view_source="0000019f00000000-00000000",
    sent_at_ms=10**9,
)
HOSTS_PER_GROUP = 16


def measure_report_bytes(hosts: int, change: str) -> int:
    """Return the size in bytes of a report on hosts.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    change : str
        What differs from the last report: ``"compact"`` for nothing, ``"load"``, or
        ``"whole"`` for a first report.
    """
    collector = AnnouncementCollector()
    fake_hosts = list(make_hosts(-(-hosts // 20), 20).values())[:hosts]
    for fake_host in fake_hosts:
        fake_host.holding = Holding(
            group_id="chestnut-llm-12",
            epoch=1_000,
            fence=1_000,
            rank=3,
            service="chestnut-llm",
            version="2026-11-30",
            phase="ready",
        )
        collector.announce(fake_host.announce(0.0), 0.0)
    if change != "whole":
        collector.drain_report(0.0)
        for fake_host in fake_hosts:
            fake_host.running = 12 if change == "load" else 0
            collector.announce(fake_host.announce(1.0), 1.0)
    report = EntryReport()
    report.CopyFrom(EMPTY_REPORT)
    report.heard.extend(collector.drain_report(1.2))
    return report.ByteSize()


def make_control(groups: int) -> tuple[ViewPublisher, GroupsState, MembershipTable]:
    """Return a publisher with its state and host table, for serving groups."""
    state, table, collector = GroupsState(), MembershipTable(), AnnouncementCollector()
    fake_hosts = list(make_hosts(groups, HOSTS_PER_GROUP).values())
    for number in range(groups):
        group_hosts = fake_hosts[
            number * HOSTS_PER_GROUP : (number + 1) * HOSTS_PER_GROUP
        ]
        members = [
            GroupMember(
                host_id=fake_host.host_id,
                boot_id=fake_host.boot_id,
                address="10.0.0.1:8000",
                rank=rank,
            )
            for rank, fake_host in enumerate(group_hosts)
        ]
        group = Group(
            group_id=f"chestnut-llm-{number}",
            service="chestnut-llm",
            members=members,
            version="2026-11-30",
            phase="forming",
            fabric_domain=group_hosts[0].fabric_domain,
        )
        epoch = state.put_group(PutGroup(group=group), 0).epoch
        group.phase = "serving"
        state.put_group(PutGroup(group=group, expected_epoch=epoch), 0)
        for fake_host in group_hosts:
            fake_host.holding = Holding(
                group_id=group.group_id, epoch=epoch, service="s", phase="ready"
            )
            fake_host.running = number % 20
            collector.announce(fake_host.announce(0.0), 0.0)
    table.merge_entry_report("e0", collector.drain_report(0.0), 0.0)
    publisher = ViewPublisher("0000019f00000000-00000000")
    publisher.refresh(state, table, 0.1)
    return publisher, state, table


def measure_view_bytes(groups: int) -> tuple[int, int, int, int]:
    """Return sizes in bytes of views: full, unchanged, one group, and all loads."""
    publisher, state, table = make_control(groups)
    source = SimpleNamespace(text=Text(number=3_000))
    report = EntryReport()
    report.CopyFrom(EMPTY_REPORT)
    report.configuration_number = 3_000

    def answer(version: int) -> ControlView:
        report.view_version = version
        report.view_source = publisher.source if version else ""
        return publisher.answer("e0", report, source, table, 7, 0.1)

    whole = answer(0).ByteSize()
    answer(publisher.version)
    unchanged = answer(publisher.version).ByteSize()
    before = publisher.version
    first = next(iter(state.groups.values()))
    state.draining_hosts.add(first.members[0].host_id)
    publisher.refresh(state, table, 0.1)
    one_changed = answer(before).ByteSize()
    for group in state.groups.values():
        record = table.host(group.members[0].host_id)
        record.load = Load(
            running=31, waiting=3, kv_used_tokens=200_000, kv_capacity_tokens=400_000
        )
    publisher.refresh(state, table, 0.1)
    loads_changed = answer(publisher.version).ByteSize()
    return whole, unchanged, one_changed, loads_changed


def main() -> None:
    """Print base and slope of each report and view."""
    for change in ("compact", "load", "whole"):
        small, large = (
            measure_report_bytes(20, change),
            measure_report_bytes(200, change),
        )
        slope = (large - small) / 180
        print(
            f"report, {change}: {slope:.1f} B a host, {small - 20 * slope:.0f} B base"
        )
    small, large = measure_view_bytes(20), measure_view_bytes(200)
    names = ("whole", "no change", "one group changed", "all loads changed")
    for name, few, many in zip(names, small, large, strict=True):
        slope = (many - few) / 180
        print(f"view, {name}: {slope:.1f} B a group, {few - 20 * slope:.0f} B base")


if __name__ == "__main__":
    main()
