"""Time and memory of planning, orders and views at several deployment sizes.

Run ``python -m benchmarks.groups_planner``.
"""

import gc
import random
import resource
import statistics
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

from benchmarks.groups_driver import GroupsWorld, make_hosts
from benchmarks.groups_fakes import FakeWeightStore, HostStatus
from chestnutvale.groups.planner import PlanInputs
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.peer_pb2 import EntryReport

DEPLOYMENT_SIZES = ((60, 4, 12), (600, 16, 30), (2_900, 16, 145))
HOSTS_PER_DOMAIN = 20
ROUNDS = 9
TABLE_COPIES = 10


def make_serving_world(workers: int, size: int, groups: int) -> GroupsWorld:
    """Return a world whose groups serve, as far as 30 steps suffice."""
    service = Service(
        kind="model", groups=groups, hosts_per_group=size, model="m", version="1"
    )
    world = GroupsWorld(
        random=random.Random(1),
        text=Text(number=1, services={"model": service}),
        hosts=make_hosts(-(-workers // HOSTS_PER_DOMAIN), HOSTS_PER_DOMAIN),
        policy=GroupsPolicy(max_loading_hosts=10_000),
        store=FakeWeightStore(10_000),
        load_s=1.0,
        tick_s=1.0,
    )
    for _ in range(30):
        world.step()
        views = world.leader.publisher.group_views()
        if sum(view.serving for view in views) >= min(groups, len(world.hosts) // 20):
            break
    return world


def measure_median_ms(call: Callable[[], object]) -> float:
    """Return the median wall-clock time of a call in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        call()
        times.append(1_000 * (time.perf_counter() - start_s))
    return statistics.median(times)


def print_row(workers: int, size: int, groups: int) -> None:
    """Measure one deployment size and print its row."""
    world = make_serving_world(workers, size, groups)
    control = world.leader
    now_s = world.now_s
    inputs = PlanInputs(world.state, control.table, world.text, 1)
    planner = control.coordinator.planner
    steady_ms = measure_median_ms(lambda: planner.plan(inputs, now_s))
    orders_ms = measure_median_ms(
        lambda: control.coordinator.orders.collect_due_orders(
            world.state, control.table, world.text, True, now_s, 1
        )
    )
    refresh_ms = measure_median_ms(
        lambda: ViewPublisher("x").refresh(world.state, control.table, now_s)
    )
    source = SimpleNamespace(text=world.text)
    report = EntryReport(
        view_source=control.publisher.source, view_version=control.publisher.version
    )
    answer_ms = measure_median_ms(
        lambda: control.publisher.answer("e0", report, source, control.table, 1, now_s)
    )
    serving = sum(view.serving for view in control.publisher.group_views())
    plan_bytes = measure_peak_bytes(lambda: planner.plan(inputs, now_s))
    for index, host in enumerate(world.hosts.values()):
        if index % 50 == 0:
            host.status = HostStatus.DEAD
    for _ in range(3):
        world.step()
    now_s = world.now_s + 1.5
    broken_ms = measure_median_ms(lambda: planner.plan(inputs, now_s))
    print(
        f"{workers} | {len(world.state.groups)} | {serving} | {steady_ms:.1f} | "
        f"{broken_ms:.1f} | {orders_ms:.1f} | {refresh_ms:.1f} | {answer_ms:.3f} | "
        f"{plan_bytes // 1_000} | {measure_table_bytes(world) // 1_000}",
        flush=True,
    )


def measure_peak_bytes(call: Callable[[], object]) -> int:
    """Return the peak size of the Python objects that a call allocates, in bytes."""
    gc.collect()
    tracemalloc.start()
    call()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak


def measure_table_bytes(world: GroupsWorld) -> int:
    """Return the resident memory of one membership table in bytes."""
    collector = AnnouncementCollector()
    for host in world.hosts.values():
        collector.announce(host.announce(world.now_s), world.now_s)
    report = EntryReport(heard=collector.drain_report(world.now_s)).SerializeToString()
    tables = []
    gc.collect()
    before = read_resident_bytes()
    for _ in range(TABLE_COPIES):
        table = MembershipTable()
        table.merge_entry_report(
            "e0", EntryReport.FromString(report).heard, world.now_s
        )
        tables.append(table)
    return (read_resident_bytes() - before) // len(tables)


def read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def main() -> None:
    """Print a row for each deployment size."""
    print("median ms; broken: 1 host in 50 has died")
    print(
        "workers | groups | serving | plan | plan broken | orders | refresh | answer | "
        "plan peak kB | table kB"
    )
    for size in DEPLOYMENT_SIZES:
        print_row(*size)


if __name__ == "__main__":
    main()
