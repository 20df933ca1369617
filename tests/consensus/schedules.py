"""Fault schedules, generated from a seed or by hypothesis."""

import attrs

from chestnutvale.consensus.events import ChangeKind, MembersChange
from tests.consensus.driver import Cluster
from tests.history import is_linearizable

ACTIONS = (
    "crash",
    "crash_leader",
    "crash_at_write",
    "restart",
    "freeze",
    "freeze_leader",
    "wake",
    "isolate",
    "isolate_leader",
    "one_way",
    "storm",
    "heal",
    "lose_disk",
    "remove_voter",
)


@attrs.define
class Step:
    gap_s: float
    action: str
    choice: int


def draw_steps(rng, count):
    return [
        Step(rng.choice([0.05, 0.3, 1.5]), rng.choice(ACTIONS), rng.randrange(1000))
        for _ in range(count)
    ]


def run_schedule(steps, seed, raft=None, size=3, clients=3):
    """Inject faults while clients run, clear them and return the cluster."""
    options = {"raft": raft} if raft else {}
    cluster = Cluster(
        size, seed, replaces_members=True, spares=1, snapshot_entries=40, **options
    )
    cluster.wait_for_leader()
    cluster.run_clients(clients, cluster.now_s + sum(step.gap_s for step in steps))
    for step in steps:
        cluster.run(step.gap_s)
        take_step(cluster, step)
    cluster.crash_at_write = None
    cluster.clear_faults()
    cluster.run(2.0)
    leader = cluster.wait_for_leader()
    read = cluster.start_operation(leader, "read")
    cluster.run_until(lambda: read.returned_s <= cluster.now_s)
    return cluster


def check_schedule(steps, seed, **options):
    cluster = run_schedule(steps, seed, **options)
    assert is_linearizable(cluster.history)
    return cluster


def take_step(cluster, step):
    controls = list(cluster.nodes)
    control = controls[step.choice % len(controls)]
    other = controls[step.choice // 7 % len(controls)]
    leader = (cluster.leaders() or [control])[0]
    match step.action:
        case "crash":
            cluster.crash(control)
        case "crash_leader":
            cluster.crash(leader)
        case "crash_at_write":
            moment = "before" if step.choice % 2 else "after"
            cluster.crash_at_write = (cluster.writes + 1 + step.choice % 9, moment)
        case "restart":
            cluster.crash(control)
            cluster.start(control)
        case "freeze":
            cluster.freeze(control)
        case "freeze_leader":
            cluster.freeze(leader)
        case "wake":
            for name in [c for c in controls if cluster.nodes[c].is_frozen]:
                cluster.resume(name)
        case "isolate":
            cluster.isolate(control)
        case "isolate_leader":
            cluster.isolate(leader)
        case "one_way":
            cluster.block_link(control, other)
        case "storm":
            cluster.loss = cluster.duplication = cluster.reordering = 0.2
        case "heal":
            cluster.clear_faults()
        case "lose_disk":
            if may_lose_disk(cluster):
                cluster.lose_disk(control)
        case "remove_voter":
            remove_voter(cluster, leader, step.choice)


def may_lose_disk(cluster):
    """Return whether all voters are up, so that a quorum survives a lost disk."""
    own = {node.member_id for node in cluster.nodes.values() if node.raft}
    views = [n.raft.log.members for n in cluster.nodes.values() if n.raft]
    voters = [set(view.voters) for view in views if view.voters]
    return len(own) == len(cluster.nodes) and all(
        view == voters[0] and view <= own and len(view) > 2 for view in voters
    )


def remove_voter(cluster, leader, choice):
    """Remove a voter unless a disk is lost, as two of three would be gone."""
    raft = cluster.raft(leader)
    own = {node.member_id for node in cluster.nodes.values()}
    voters = list(raft.log.members.voters) if raft else []
    if len(voters) > 2 and own.issuperset(voters):
        victim = voters[choice % len(voters)]
        cluster.change(leader, MembersChange(ChangeKind.REMOVE, victim))
