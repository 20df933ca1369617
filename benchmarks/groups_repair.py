"""Compares group downtime and stranded hosts of repair policies.

All policies run against the same fault scripts.

Run ``python -m benchmarks.groups_repair --seeds 3 --processes 3``.
"""

import argparse
import random
from collections.abc import Callable, Sequence
from multiprocessing import Pool

import attrs

from benchmarks.groups_driver import GroupsWorld, make_hosts
from benchmarks.groups_fakes import FakeWeightStore
from benchmarks.groups_faults import FaultPlayer, best_group_count, make_script
from chestnutvale.groups.const import MEMBER_CHANGE_S, REPAIR_SPARE
from chestnutvale.groups.failure_detector import BrokenGroup
from chestnutvale.groups.planner import GroupCommand, GroupPlanner, PlanInputs
from chestnutvale.groups.repair_cost import CostChooser, RepairOption
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import RemoveGroup

WARM_UP_S = 60.0
SCRIPT_DURATION_S = 2_400.0
SHARD_LOAD_S = 60.0
MAX_LOADING_HOSTS = 8


@attrs.frozen
class Deployment:
    """Number and size of the fabric domains and groups of a deployment."""

    name: str
    domains: int
    hosts_per_domain: int
    size: int
    groups: int


DEPLOYMENTS = (
    Deployment("groups of 4, 12 spares", 6, 10, 4, 12),
    Deployment("groups of 4, no slack", 3, 20, 4, 15),
    Deployment("groups of 16, 4 spares a domain", 3, 20, 16, 3),
    Deployment("groups of 16, one domain free", 3, 20, 16, 2),
    Deployment("groups of 16, domains of 16, one free", 3, 16, 16, 2),
)


@attrs.frozen
class WaitChooser:
    """Never replaces a lost host; waits until it returns."""

    def choose(
        self, broken: BrokenGroup, options: Sequence[RepairOption]
    ) -> RepairOption | None:
        """Return no repair."""
        return None


@attrs.frozen
class SpareChooser:
    """Replaces a lost host by a spare after a fixed time, whatever the costs."""

    after_s: float

    def choose(
        self, broken: BrokenGroup, options: Sequence[RepairOption]
    ) -> RepairOption | None:
        """Return the first spare once all lost hosts were away for the fixed time."""
        if min(lost.away_s for lost in broken.lost) < self.after_s:
            return None
        spares = [item for item in options if item.action == REPAIR_SPARE]
        return spares[0] if spares else None


@attrs.define
class ClairvoyantChooser:
    """Knows when each lost host will return and chooses the fastest repair."""

    policy: GroupsPolicy
    returns_at_s: dict[str, float] = attrs.field(factory=dict)
    now_s: Callable[[], float] = float

    def choose(
        self, broken: BrokenGroup, options: Sequence[RepairOption]
    ) -> RepairOption | None:
        """Return the repair that ends first, or None if the hosts return earlier."""
        return_s = max(
            self.returns_at_s.get(lost.member.host_id, 0.0) for lost in broken.lost
        )
        best, best_s = None, return_s - self.now_s()
        for option in options:
            is_move = not option.host_ids
            hosts = len(broken.group.members if is_move else broken.lost)
            rounds = -(-hosts // self.policy.max_loading_hosts)
            repair_s = self.policy.shard_load_s * rounds + MEMBER_CHANGE_S
            if repair_s < best_s:
                best, best_s = option, repair_s
        return best


class RebuildPlanner(GroupPlanner):
    """Removes a broken group at once, so that a new one is formed."""

    def plan(self, inputs: PlanInputs, now_s: float) -> list[GroupCommand]:
        """Return removals of all broken groups, then the usual commands."""
        broken = self.failure_detector.find_broken_groups(
            inputs.state, inputs.table, now_s
        )
        removals = [
            RemoveGroup(group_id=item.group.group_id, expected_epoch=item.group.epoch)
            for item in broken
        ]
        return [*removals, *super().plan(inputs, now_s)]


def make_policy(downtime: float, stranded: float) -> GroupsPolicy:
    """Return a policy with these weights of downtime and stranded hosts."""
    return GroupsPolicy(
        group_downtime_weight=downtime,
        stranded_hosts_weight=stranded,
        max_loading_hosts=MAX_LOADING_HOSTS,
        shard_load_s=SHARD_LOAD_S,
    )


POLICIES = (
    "rebuild",
    "wait for ever",
    "spare after 30 s",
    "spare at once",
    "cost, downtime 10:0.1",
    "cost, even 1:1",
    "cost, stranded 0.1:1",
    "clairvoyant",
)


def install_policy(world: GroupsWorld, name: str, player: FaultPlayer) -> None:
    """Replace the planner of the leader by one with a repair policy.

    Parameters
    ----------
    world : GroupsWorld
        The simulated deployment.
    name : str
        One of ``POLICIES``.
    player : FaultPlayer
        Source of the return times for the clairvoyant policy.
    """
    coordinator = world.leader.coordinator
    weights = {
        "cost, downtime 10:0.1": (10.0, 0.1),
        "cost, stranded 0.1:1": (0.1, 1.0),
    }
    policy = make_policy(*weights.get(name, (1.0, 1.0)))
    planner_class = RebuildPlanner if name == "rebuild" else GroupPlanner
    planner = planner_class(policy)
    planner.became_leader(world.now_s)
    if name in ("rebuild", "wait for ever"):
        planner.chooser = WaitChooser()
    elif name == "spare after 30 s":
        planner.chooser = SpareChooser(30.0)
    elif name == "spare at once":
        planner.chooser = SpareChooser(0.0)
    elif name == "clairvoyant":
        planner.chooser = ClairvoyantChooser(
            policy, player.returns_at_s, lambda: world.now_s
        )
    else:
        planner.chooser = CostChooser(policy)
    coordinator.planner = planner


@attrs.define
class RepairMetrics:
    """Sums over one run, in seconds and host-seconds."""

    faults: int = 0
    downtime_s: float = 0.0
    stranded_host_s: float = 0.0
    best_downtime_s: float = 0.0
    commands: int = 0


def run_job(job: tuple[Deployment, str, int]) -> RepairMetrics:
    """Run one fault script under one policy.

    Parameters
    ----------
    job : tuple of Deployment, str and int
        Deployment, policy name and seed.

    Returns
    -------
    Figures
        The sums over the script.
    """
    deployment, name, seed = job
    size, wanted_groups = deployment.size, deployment.groups
    service = Service(
        kind="model", groups=wanted_groups, hosts_per_group=size, model="m", version="1"
    )
    world = GroupsWorld(
        random=random.Random(seed),
        text=Text(number=1, services={"model": service}),
        hosts=make_hosts(deployment.domains, deployment.hosts_per_domain),
        policy=make_policy(1.0, 1.0),
        store=FakeWeightStore(MAX_LOADING_HOSTS),
        load_s=1.0,
        tick_s=1.0,
    )
    world.run_until(WARM_UP_S)
    world.load_s = SHARD_LOAD_S
    script = make_script(world.hosts, seed, WARM_UP_S, WARM_UP_S + SCRIPT_DURATION_S)
    player = FaultPlayer(world, script)
    install_policy(world, name, player)
    metrics = RepairMetrics(faults=len(script))
    before = len(world.log)

    def measure() -> None:
        player.apply_due_faults()
        served = world.entries["e0"].view.serving_groups("model", world.now_s)
        missing = max(0, wanted_groups - len(served))
        in_use = {item.host_id for view in served for item in view.group.members}
        idle = sum(
            host.is_running and host.host_id not in in_use
            for host in world.hosts.values()
        )
        best = best_group_count(world.hosts, size, wanted_groups)
        metrics.downtime_s += missing * world.tick_s
        metrics.stranded_host_s += min(idle, missing * size) * world.tick_s
        metrics.best_downtime_s += (wanted_groups - best) * world.tick_s

    world.run_until(WARM_UP_S + SCRIPT_DURATION_S, measure)
    metrics.commands = len(world.log) - before
    return metrics


def main() -> None:
    """Print the results of all policies for each deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--deployments", type=int, nargs="*", default=range(5))
    arguments = parser.parse_args()
    jobs = [
        (deployment, name, seed)
        for deployment in (DEPLOYMENTS[index] for index in arguments.deployments)
        for name in POLICIES
        for seed in range(1, arguments.seeds + 1)
    ]
    results = {}
    with Pool(arguments.processes) as pool:
        for job, metrics in zip(jobs, pool.imap(run_job, jobs), strict=True):
            results[job] = metrics
            if len(results) % (len(POLICIES) * arguments.seeds) == 0:
                _print_table(job[0], results)


def _print_table(
    deployment: Deployment, results: dict[tuple[Deployment, str, int], RepairMetrics]
) -> None:
    print(f"\n{deployment.name}")
    print("policy | downtime s/fault | stranded host-s/fault | commands/fault")
    for name in POLICIES:
        runs = [
            metrics
            for (where, policy, _), metrics in results.items()
            if where == deployment and policy == name
        ]
        _print_row(name, runs)
    best = sum(run.best_downtime_s for run in runs)
    faults = sum(run.faults for run in runs)
    print(f"all loads done ahead | {best / faults:.1f} | |", flush=True)


def _print_row(name: str, runs: Sequence[RepairMetrics]) -> None:
    faults = sum(run.faults for run in runs)
    downtime_s = sum(run.downtime_s for run in runs) / faults
    stranded_host_s = sum(run.stranded_host_s for run in runs) / faults
    commands = sum(run.commands for run in runs) / faults
    print(f"{name} | {downtime_s:.1f} | {stranded_host_s:.0f} | {commands:.1f}")


if __name__ == "__main__":
    main()
