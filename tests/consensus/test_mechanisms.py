"""Each safety mechanism prevents a failure that occurs without it."""

import pytest

from chestnutvale.consensus.events import (
    ChangeKind,
    MembersChange,
    MessageReceived,
    ReadReady,
    Role,
    TransferLeadership,
)
from chestnutvale.consensus.leader import Leader
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.raft import Raft
from chestnutvale.schema.raft_pb2 import HardState, RaftMessage
from tests.consensus.driver import Cluster, Disk
from tests.history import is_linearizable


def raft_without(switch_off):
    """Return a Raft class with one mechanism disabled."""

    class RaftWithoutMechanism(Raft):
        def __init__(self, *arguments):
            super().__init__(*arguments)
            switch_off(self)

    return RaftWithoutMechanism


def keep_lease_forever(raft):
    raft.member.has_lease = lambda now_s: raft.member.leader is not None


def disable_vote_lease_check(raft):
    raft.elections.must_ignore_vote_request = lambda message, now_s: False


def disable_wait_for_sync(raft):
    raft.member.outbox.mark_persisted(0)
    raft.member.outbox._persisted_write_id = 1 << 60


def disable_pre_vote(raft):
    raft.elections.start_pre_vote = raft.elections.start_election


def disable_check_quorum(raft):
    raft.request_handler.check_quorum = lambda now_s: True


def disable_read_confirmation(raft):
    def read(request_id, now_s):
        index = raft.member.commit_index
        raft.member.outbox.add_read(ReadReady(request_id, index))

    raft.request_handler.read = read


def disable_vote_lease_check_and_pre_vote(raft):
    disable_vote_lease_check(raft)
    disable_pre_vote(raft)


def disable_change_checks(raft):
    raft.request_handler._check_change_allowed = lambda change: None


def keep_lease_during_transfer(raft):
    has_lease = raft.member.has_lease

    def has_lease_despite_transfer(now_s):
        leader = raft.member.leader
        if leader is None:
            return False
        sent, leader.is_transfer_sent = leader.is_transfer_sent, False
        try:
            return has_lease(now_s)
        finally:
            leader.is_transfer_sent = sent

    raft.member.has_lease = has_lease_despite_transfer


def commit_entries_of_earlier_terms(raft):
    member = raft.member

    def advance_commit(now_s):
        members = member.log.members
        index = member.leader.quorum_match_index(members, member.outbox.durable_index)
        member.commit_index = max(member.commit_index, index)

    raft.replication.advance_commit = advance_commit


def install_every_snapshot(raft):
    def receive_snapshot_chunk(message, request, now_s):
        raft.follower._install(request.metadata, request.data)

    raft.follower.receive_snapshot_chunk = receive_snapshot_chunk


def others_of(cluster, *controls):
    return [c for c in cluster.nodes if c not in controls]


def freeze_leader_past_lease(raft):
    """A frozen leader holds no lease once another one leads."""
    cluster = Cluster(seed=1, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.freeze(leader)
    new_leader = cluster.wait_for_leader(besides=[leader])
    cluster.commit(new_leader, 1)
    cluster.resume(leader)
    cluster.run(2.0)


def read_on_resumed_leader(raft):
    """A resumed leader does not serve a pending read from stale state."""
    cluster = Cluster(seed=2, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.commit(leader, 1)
    cluster.freeze(leader)
    new_leader = cluster.wait_for_leader(besides=[leader])
    cluster.commit(new_leader, 2)
    cluster.start_operation(leader, "read")
    cluster.resume(leader)
    cluster.run(1.0)
    assert is_linearizable(cluster.history)


def campaign_during_lease(raft):
    """A voter cut off from the leader does not win while a lease holds."""
    cluster = Cluster(seed=3, raft=raft)
    leader = cluster.wait_for_leader()
    cut_voter = others_of(cluster, leader)[0]
    cluster.block_link(leader, cut_voter)
    cluster.run(5.0)
    assert cluster.leaders() == [leader]


def crash_followers_after_acknowledgement(raft):
    """Acknowledged entries survive a crash of the followers that acked."""
    cluster = Cluster(seed=4, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.commit(leader, 1)
    cluster.run(0.5)
    cluster.sync_delay_s = 0.3
    write = cluster.start_operation(leader, "write", 2)
    cluster.run_until(lambda: write.returned_s <= cluster.now_s)
    for control in others_of(cluster, leader):
        cluster.crash(control)
    cluster.freeze(leader)
    cluster.sync_delay_s = 0.001
    for control in others_of(cluster, leader):
        cluster.start(control)
    new_leader = cluster.wait_for_leader(besides=[leader])
    cluster.start_operation(new_leader, "read")
    cluster.run(1.0)
    assert is_linearizable(cluster.history)


def isolate_follower(raft):
    """A voter that returns after long isolation does not depose the leader."""
    cluster = Cluster(seed=5, raft=raft)
    leader = cluster.wait_for_leader()
    term = cluster.raft(leader).term
    cluster.isolate(others_of(cluster, leader)[0])
    cluster.run(6.0)
    cluster.clear_faults()
    cluster.run(3.0)
    assert cluster.leaders() == [leader]
    assert cluster.raft(leader).term == term


def isolate_leader_until_step_down(raft):
    """An isolated leader steps down."""
    cluster = Cluster(seed=6, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.isolate(leader)
    cluster.run(1.5)
    assert cluster.raft(leader).role is not Role.LEADER


def reconnect_removed_voter(raft):
    """A removed voter unaware of its removal does not disrupt the cluster."""
    cluster = Cluster(seed=7, raft=raft)
    leader = cluster.wait_for_leader()
    removed = others_of(cluster, leader)[0]
    cluster.isolate(removed)
    change = MembersChange(ChangeKind.REMOVE, cluster.nodes[removed].member_id)
    cluster.change(leader, change)
    cluster.run(1.0)
    term = cluster.raft(leader).term
    cluster.clear_faults()
    cluster.run(5.0)
    assert cluster.leaders() == [leader]
    assert cluster.raft(leader).term == term


def change_members_under_two_leaders(raft):
    """Membership changes by two leaders never yield disjoint quorums."""
    cluster = Cluster(4, seed=8, raft=raft, spares=1)
    leader = cluster.wait_for_leader()
    new = others_of(cluster, *[f"c{i}" for i in range(4)])[0]
    new_id = cluster.nodes[new].member_id
    cluster.change(leader, MembersChange(ChangeKind.ADD_LEARNER, new_id))
    cluster.run(0.5)
    voters = others_of(cluster, leader, new)
    for voter in voters:
        for side in (leader, new):
            cluster.blocked_links |= {(side, voter), (voter, side)}
    cluster.change(leader, MembersChange(ChangeKind.PROMOTE, new_id))
    cluster.run_until(lambda: set(cluster.leaders()) - {leader}, step_s=0.001)
    new_leader = (set(cluster.leaders()) - {leader}).pop()
    lagging, helper = others_of(cluster, leader, new, new_leader)
    cluster.blocked_links |= {(new_leader, lagging), (lagging, new_leader)}
    cluster.run(0.2)
    leader_id = cluster.nodes[leader].member_id
    cluster.change(new_leader, MembersChange(ChangeKind.REMOVE, leader_id))
    cluster.run(0.2)
    cluster.start_operation(new_leader, "write", 1)
    cluster.run(0.2)
    cluster.clear_faults()
    cluster.isolate(new_leader)
    cluster.isolate(helper)
    cluster.run(5.0)
    for control in cluster.leaders():
        cluster.start_operation(control, "read")
    cluster.run(1.0)
    assert is_linearizable(cluster.history)


def transfer_leadership_during_lease(raft):
    """A leader that transfers leadership gives up its lease."""
    cluster = Cluster(seed=9, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.run(0.3)
    cluster._handle(cluster.nodes[leader], TransferLeadership())
    for control in others_of(cluster, leader):
        cluster.block_link(control, leader)
    cluster.run(0.5)
    assert set(cluster.leaders()) - {leader}


def replicate_entry_of_earlier_term(raft):
    """An entry of an earlier term is not committed by counting replicas."""
    cluster = Cluster(5, seed=20, raft=raft)
    first = cluster.wait_for_leader()
    supporter, *others = others_of(cluster, first)
    cluster.blocked_links |= {(first, other) for other in others}
    cluster.start_operation(first, "write", 1)
    cluster.run(0.05)
    cluster.crash(first)
    cluster.isolate(supporter)
    cluster.run_until(cluster.leaders, step_s=0.001)
    other_leader = cluster.leaders()[0]
    cluster.isolate(other_leader)
    cluster.run(0.05)
    cluster.crash(other_leader)
    cluster.blocked_links.clear()

    def strip_newest_term(message):
        entries = [e for e in message.append_request.entries if e.term < message.term]
        if message.HasField("append_request"):
            del message.append_request.entries[:]
            message.append_request.entries.extend(entries)

    cluster.edit_message = strip_newest_term
    cluster.start(first)
    cluster.run_until(cluster.leaders)
    cluster.run(0.5)
    cluster.crash(cluster.leaders()[0])
    cluster.edit_message = lambda message: None
    cluster.start(other_leader)
    rest = others_of(cluster, other_leader)
    cluster.blocked_links |= {(a, b) for a in rest for b in rest}
    cluster.commit(cluster.wait_for_leader(), 2)
    assert is_linearizable(cluster.history)


def deliver_stale_snapshot(raft):
    """A delayed snapshot does not discard acknowledged entries."""
    cluster = Cluster(seed=21, raft=raft)
    leader = cluster.wait_for_leader()
    for value in range(20):
        cluster.commit(leader, value)
    follower = cluster.raft(others_of(cluster, leader)[0])
    follower.member.commit_index = 2
    last_index = follower.log.last_index
    message = RaftMessage(
        term=follower.term, from_id=follower.leader_id, to_id=follower.member.own_id
    )
    request = message.snapshot_request
    request.metadata.index = 5
    request.metadata.term = follower.log.term_at(5)
    request.data = b"0"
    request.done = True
    follower.handle(MessageReceived(message), cluster.now_s)
    assert follower.log.last_index == last_index


SCENARIOS = [
    (replicate_entry_of_earlier_term, commit_entries_of_earlier_terms),
    (deliver_stale_snapshot, install_every_snapshot),
    (freeze_leader_past_lease, keep_lease_forever),
    (read_on_resumed_leader, disable_read_confirmation),
    (campaign_during_lease, disable_vote_lease_check),
    (crash_followers_after_acknowledgement, disable_wait_for_sync),
    (isolate_follower, disable_pre_vote),
    (isolate_leader_until_step_down, disable_check_quorum),
    (reconnect_removed_voter, disable_vote_lease_check_and_pre_vote),
    (change_members_under_two_leaders, disable_change_checks),
    (transfer_leadership_during_lease, keep_lease_during_transfer),
]


@pytest.mark.parametrize(("scenario", "switch_off"), SCENARIOS)
def test_mechanism_prevents_the_failure(scenario, switch_off):
    scenario(Raft)
    with pytest.raises(AssertionError):
        scenario(raft_without(switch_off))


def lose_disk_keep_identity(cluster, control):
    """Lose a disk but reuse its identity, which must never happen."""
    cluster.crash(control)
    node = cluster.nodes[control]
    node.disk = Disk(cluster.members)
    node.disk.log, node.disk.hard_state = [], HardState()
    cluster.start(control)


def lose_a_disk_after_a_commit(lose_disk):
    cluster = Cluster(seed=10)
    leader = cluster.wait_for_leader()
    lagging, wiped = others_of(cluster, leader)
    cluster.isolate(lagging)
    cluster.commit(leader, 1)
    lose_disk(cluster, wiped)
    cluster.crash(leader)
    cluster.blocked_links.clear()
    cluster.run(8.0)
    for control in cluster.leaders():
        cluster.start_operation(control, "read")
    cluster.run(1.0)
    assert is_linearizable(cluster.history)
    assert not cluster.leaders()
    cluster.clear_faults()
    cluster.start_operation(cluster.wait_for_leader(), "read")
    cluster.run(1.0)
    assert is_linearizable(cluster.history)


def test_a_lost_disk_never_votes_as_the_old_one():
    lose_a_disk_after_a_commit(Cluster.lose_disk)
    with pytest.raises(AssertionError):
        lose_a_disk_after_a_commit(lose_disk_keep_identity)


def survive_a_second_loss(replaces_members, lose):
    cluster = Cluster(seed=11, replaces_members=replaces_members, spares=1)
    leader = cluster.wait_for_leader()
    cluster.commit(leader, 1)
    cluster.run(3.0)
    first, second = (c for c in ("c0", "c1", "c2") if c != leader)
    lose(cluster, first)
    cluster.run(12.0)
    cluster.commit(cluster.wait_for_leader(), 2)
    cluster.crash(second)
    leader = cluster.wait_for_leader()
    cluster.commit(leader, 3)
    assert cluster.nodes[leader].state_machine.value == 3
    assert len(cluster.raft(leader).log.members.voters) == 3


@pytest.mark.parametrize("lose", [Cluster.crash, Cluster.lose_disk])
def test_a_second_loss_after_a_repair_is_survived(lose):
    survive_a_second_loss(True, lose)
    with pytest.raises(AssertionError, match="not reached"):
        survive_a_second_loss(False, lose)


def count_replayed(duplication=0.0):
    cluster = Cluster(seed=12)
    leader = cluster.wait_for_leader()
    late = others_of(cluster, leader)[0]
    cluster.crash(late)
    for value in range(500):
        cluster.start_operation(leader, "write", value)
        cluster.run(0.01)
    cluster.sent.clear()
    cluster.duplication = duplication
    cluster.start(late)
    cluster.run(3.0)
    assert cluster.nodes[late].state_machine.value == 499
    messages = [m for m in cluster.sent if control_of(m.to_id) == late]
    snapshots = [m for m in messages if m.HasField("snapshot_request")]
    entries = sum(len(m.append_request.entries) for m in messages)
    return len(snapshots), entries


def test_duplicate_replies_do_not_turn_a_snapshot_into_a_replay():
    assert count_replayed(duplication=1.0)[1] < 10


def test_500_missed_entries_are_one_snapshot(monkeypatch):
    snapshots, entries = count_replayed()
    assert snapshots == 1
    assert entries < 10
    monkeypatch.setattr(Leader, "needs_snapshot", lambda *arguments: False)
    snapshots, entries = count_replayed()
    assert snapshots == 0
    assert entries >= 500
