"""Each mechanism: what it prevents, shown with it on and with it off."""

import pytest

from chestnutvale.consensus.events import (
    ChangeKind,
    MembersChange,
    ReadReady,
    Received,
    Role,
    TransferLeadership,
)
from chestnutvale.consensus.leader import Leader
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.raft import Raft
from chestnutvale.schema.raft_pb2 import HardState, RaftMessage
from tests.consensus.driver import Cluster, Disk
from tests.history import is_linearizable


def without(switch_off):
    """Return a Raft class with a mechanism switched off."""

    class Weakened(Raft):
        def __init__(self, *arguments):
            super().__init__(*arguments)
            switch_off(self)

    return Weakened


def set_eternal_lease(raft):
    raft.core.has_lease = lambda now_s: raft.core.leader is not None


def set_no_vote_promise(raft):
    raft.elections.must_ignore_vote = lambda message, now_s: False


def set_early_answers(raft):
    raft.core.outbox.note_persisted(0)
    raft.core.outbox._persisted_ticket = 1 << 60


def set_no_pre_vote(raft):
    raft.elections.start_pre_vote = raft.elections.start_election


def set_no_quorum_check(raft):
    raft.requests.check_quorum = lambda now_s: True


def set_reads_unchecked(raft):
    def read(request_id, now_s):
        index = raft.core.commit_index
        raft.core.outbox.add_read(ReadReady(request_id, index))

    raft.requests.read = read


def set_disturbing(raft):
    set_no_vote_promise(raft)
    set_no_pre_vote(raft)


def set_changes_unchecked(raft):
    raft.requests._check_change_allowed = lambda change: None


def set_lease_in_transfer(raft):
    has_lease = raft.core.has_lease

    def has_lease_anyway(now_s):
        leader = raft.core.leader
        if leader is None:
            return False
        sent, leader.is_transfer_sent = leader.is_transfer_sent, False
        try:
            return has_lease(now_s)
        finally:
            leader.is_transfer_sent = sent

    raft.core.has_lease = has_lease_anyway


def set_commit_of_any_term(raft):
    core = raft.core

    def advance_commit(now_s):
        members = core.log.members
        index = core.leader.quorum_match(members, core.outbox.durable_index)
        core.commit_index = max(core.commit_index, index)

    raft.replication.advance_commit = advance_commit


def set_tail_dropped(raft):
    def receive_chunk(message, request, now_s):
        raft.follower._install(request.metadata, request.data)

    raft.follower.receive_chunk = receive_chunk


def others_of(cluster, *controls):
    return [c for c in cluster.nodes if c not in controls]


def freeze_past_the_lease(raft):
    """A frozen leader holds no lease once another one leads."""
    cluster = Cluster(seed=1, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.freeze(leader)
    heir = cluster.wait_for_leader(besides=[leader])
    cluster.commit(heir, 1)
    cluster.wake(leader)
    cluster.run(2.0)


def read_after_waking(raft):
    """A leader that wakes does not answer a waiting read from its old state."""
    cluster = Cluster(seed=2, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.commit(leader, 1)
    cluster.freeze(leader)
    heir = cluster.wait_for_leader(besides=[leader])
    cluster.commit(heir, 2)
    cluster.ask(leader, "read")
    cluster.wake(leader)
    cluster.run(1.0)
    assert is_linearizable(cluster.history)


def campaign_beside_a_leader(raft):
    """A voter that hears no leader does not win beside a lease."""
    cluster = Cluster(seed=3, raft=raft)
    leader = cluster.wait_for_leader()
    deaf = others_of(cluster, leader)[0]
    cluster.cut(leader, deaf)
    cluster.run(5.0)
    assert cluster.leaders() == [leader]


def crash_after_early_answer(raft):
    """What was acknowledged survives a crash of all that acknowledged it."""
    cluster = Cluster(seed=4, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.commit(leader, 1)
    cluster.run(0.5)
    cluster.sync_delay_s = 0.3
    write = cluster.ask(leader, "write", 2)
    cluster.run_until(lambda: write.returned_s <= cluster.now_s)
    for control in others_of(cluster, leader):
        cluster.crash(control)
    cluster.freeze(leader)
    cluster.sync_delay_s = 0.001
    for control in others_of(cluster, leader):
        cluster.start(control)
    heir = cluster.wait_for_leader(besides=[leader])
    cluster.ask(heir, "read")
    cluster.run(1.0)
    assert is_linearizable(cluster.history)


def cut_a_follower_off(raft):
    """A voter that was cut off for long does not unseat the leader."""
    cluster = Cluster(seed=5, raft=raft)
    leader = cluster.wait_for_leader()
    term = cluster.raft(leader).term
    cluster.isolate(others_of(cluster, leader)[0])
    cluster.run(6.0)
    cluster.heal()
    cluster.run(3.0)
    assert cluster.leaders() == [leader]
    assert cluster.raft(leader).term == term


def cut_the_leader_off(raft):
    """A leader that is cut off silently stops leading."""
    cluster = Cluster(seed=6, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.isolate(leader)
    cluster.run(1.5)
    assert cluster.raft(leader).role is not Role.LEADER


def return_of_a_removed_voter(raft):
    """A removed voter that does not know it does not disturb the others."""
    cluster = Cluster(seed=7, raft=raft)
    leader = cluster.wait_for_leader()
    removed = others_of(cluster, leader)[0]
    cluster.isolate(removed)
    change = MembersChange(ChangeKind.REMOVE, cluster.nodes[removed].member_id)
    cluster.change(leader, change)
    cluster.run(1.0)
    term = cluster.raft(leader).term
    cluster.heal()
    cluster.run(5.0)
    assert cluster.leaders() == [leader]
    assert cluster.raft(leader).term == term


def change_members_twice(raft):
    """Two leaders' changes of members never give two quorums apart."""
    cluster = Cluster(4, seed=8, raft=raft, spares=1)
    leader = cluster.wait_for_leader()
    new = others_of(cluster, *[f"c{i}" for i in range(4)])[0]
    new_id = cluster.nodes[new].member_id
    cluster.change(leader, MembersChange(ChangeKind.ADD_LEARNER, new_id))
    cluster.run(0.5)
    voters = others_of(cluster, leader, new)
    for voter in voters:
        for side in (leader, new):
            cluster.cuts |= {(side, voter), (voter, side)}
    cluster.change(leader, MembersChange(ChangeKind.PROMOTE, new_id))
    cluster.run_until(lambda: set(cluster.leaders()) - {leader}, step_s=0.001)
    heir = (set(cluster.leaders()) - {leader}).pop()
    behind, helper = others_of(cluster, leader, new, heir)
    cluster.cuts |= {(heir, behind), (behind, heir)}
    cluster.run(0.2)
    leader_id = cluster.nodes[leader].member_id
    cluster.change(heir, MembersChange(ChangeKind.REMOVE, leader_id))
    cluster.run(0.2)
    cluster.ask(heir, "write", 1)
    cluster.run(0.2)
    cluster.heal()
    cluster.isolate(heir)
    cluster.isolate(helper)
    cluster.run(5.0)
    for control in cluster.leaders():
        cluster.ask(control, "read")
    cluster.run(1.0)
    assert is_linearizable(cluster.history)


def transfer_beside_a_lease(raft):
    """A leader that hands over holds no lease from then on."""
    cluster = Cluster(seed=9, raft=raft)
    leader = cluster.wait_for_leader()
    cluster.run(0.3)
    cluster._handle(cluster.nodes[leader], TransferLeadership())
    for control in others_of(cluster, leader):
        cluster.cut(control, leader)
    cluster.run(0.5)
    assert set(cluster.leaders()) - {leader}


def replicate_an_old_entry(raft):
    """An entry of an earlier term is not committed by counting copies."""
    cluster = Cluster(5, seed=20, raft=raft)
    first = cluster.wait_for_leader()
    friend, *others = others_of(cluster, first)
    cluster.cuts |= {(first, other) for other in others}
    cluster.ask(first, "write", 1)
    cluster.run(0.05)
    cluster.crash(first)
    cluster.isolate(friend)
    cluster.run_until(cluster.leaders, step_s=0.001)
    rival = cluster.leaders()[0]
    cluster.isolate(rival)
    cluster.run(0.05)
    cluster.crash(rival)
    cluster.cuts.clear()

    def strip_newest_term(message):
        entries = [e for e in message.append_request.entries if e.term < message.term]
        if message.HasField("append_request"):
            del message.append_request.entries[:]
            message.append_request.entries.extend(entries)

    cluster.tamper = strip_newest_term
    cluster.start(first)
    cluster.run_until(cluster.leaders)
    cluster.run(0.5)
    cluster.crash(cluster.leaders()[0])
    cluster.tamper = lambda message: None
    cluster.start(rival)
    rest = others_of(cluster, rival)
    cluster.cuts |= {(a, b) for a in rest for b in rest}
    cluster.commit(cluster.wait_for_leader(), 2)
    assert is_linearizable(cluster.history)


def deliver_an_old_snapshot(raft):
    """A late snapshot does not take acknowledged entries away."""
    cluster = Cluster(seed=21, raft=raft)
    leader = cluster.wait_for_leader()
    for value in range(20):
        cluster.commit(leader, value)
    follower = cluster.raft(others_of(cluster, leader)[0])
    follower.core.commit_index = 2
    last_index = follower.log.last_index
    message = RaftMessage(
        term=follower.term, from_id=follower.leader_id, to_id=follower.core.own_id
    )
    request = message.snapshot_request
    request.metadata.index = 5
    request.metadata.term = follower.log.term_at(5)
    request.data = b"0"
    request.done = True
    follower.handle(Received(message), cluster.now_s)
    assert follower.log.last_index == last_index


SCENARIOS = [
    (replicate_an_old_entry, set_commit_of_any_term),
    (deliver_an_old_snapshot, set_tail_dropped),
    (freeze_past_the_lease, set_eternal_lease),
    (read_after_waking, set_reads_unchecked),
    (campaign_beside_a_leader, set_no_vote_promise),
    (crash_after_early_answer, set_early_answers),
    (cut_a_follower_off, set_no_pre_vote),
    (cut_the_leader_off, set_no_quorum_check),
    (return_of_a_removed_voter, set_disturbing),
    (change_members_twice, set_changes_unchecked),
    (transfer_beside_a_lease, set_lease_in_transfer),
]


@pytest.mark.parametrize(("scenario", "switch_off"), SCENARIOS)
def test_mechanism_prevents_the_failure(scenario, switch_off):
    scenario(Raft)
    with pytest.raises(AssertionError):
        scenario(without(switch_off))


def keep_identity(cluster, control):
    """Lose a disk but keep its name, as it must not be."""
    cluster.crash(control)
    node = cluster.nodes[control]
    node.disk = Disk(cluster.members)
    node.disk.log, node.disk.hard_state = [], HardState()
    cluster.start(control)


def lose_a_disk_after_a_commit(lose_disk):
    cluster = Cluster(seed=10)
    leader = cluster.wait_for_leader()
    behind, forgetful = others_of(cluster, leader)
    cluster.isolate(behind)
    cluster.commit(leader, 1)
    lose_disk(cluster, forgetful)
    cluster.crash(leader)
    cluster.cuts.clear()
    cluster.run(8.0)
    for control in cluster.leaders():
        cluster.ask(control, "read")
    cluster.run(1.0)
    assert is_linearizable(cluster.history)
    assert not cluster.leaders()
    cluster.heal()
    cluster.ask(cluster.wait_for_leader(), "read")
    cluster.run(1.0)
    assert is_linearizable(cluster.history)


def test_a_lost_disk_never_votes_as_the_old_one():
    lose_a_disk_after_a_commit(Cluster.lose_disk)
    with pytest.raises(AssertionError):
        lose_a_disk_after_a_commit(keep_identity)


def survive_a_second_loss(repairs, lose):
    cluster = Cluster(seed=11, repairs=repairs, spares=1)
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
    assert cluster.nodes[leader].machine.value == 3
    assert len(cluster.raft(leader).log.members.voters) == 3


@pytest.mark.parametrize("lose", [Cluster.crash, Cluster.lose_disk])
def test_a_second_loss_after_a_repair_is_survived(lose):
    survive_a_second_loss(True, lose)
    with pytest.raises(AssertionError, match="not reached"):
        survive_a_second_loss(False, lose)


def count_replayed(doubling=0.0):
    cluster = Cluster(seed=12)
    leader = cluster.wait_for_leader()
    late = others_of(cluster, leader)[0]
    cluster.crash(late)
    for value in range(500):
        cluster.ask(leader, "write", value)
        cluster.run(0.01)
    cluster.sent.clear()
    cluster.doubling = doubling
    cluster.start(late)
    cluster.run(3.0)
    assert cluster.nodes[late].machine.value == 499
    messages = [m for m in cluster.sent if control_of(m.to_id) == late]
    snapshots = [m for m in messages if m.HasField("snapshot_request")]
    entries = sum(len(m.append_request.entries) for m in messages)
    return len(snapshots), entries


def test_doubled_answers_do_not_turn_a_snapshot_into_a_replay():
    assert count_replayed(doubling=1.0)[1] < 10


def test_500_missed_entries_are_one_snapshot(monkeypatch):
    snapshots, entries = count_replayed()
    assert snapshots == 1
    assert entries < 10
    monkeypatch.setattr(Leader, "needs_snapshot", lambda *arguments: False)
    snapshots, entries = count_replayed()
    assert snapshots == 0
    assert entries >= 500
