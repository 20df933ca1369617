"""A leader steps down for silence that it watched, not for time it did not run."""

from chestnutvale.consensus.leader import Leader
from chestnutvale.consensus.log import RaftLog
from chestnutvale.schema.raft_pb2 import Members
from chestnutvale.storage.state import StoredState

STEP_S = 0.2


def make_leader():
    members = Members(voters={"a": "", "b": "", "c": ""})
    leader = Leader("a", RaftLog(StoredState()), started_s=0.0, first_index=1)
    leader.update_followers(members)
    return leader, members


def test_silence_that_is_watched_adds_up():
    leader, members = make_leader()
    silences_s = [
        leader.measure_silence_s(members, tenth / 10, STEP_S) for tenth in range(1, 11)
    ]
    assert round(silences_s[-1], 6) == 1.0


def test_a_process_that_did_not_run_does_not_blame_its_followers():
    leader, members = make_leader()
    leader.measure_silence_s(members, 0.1, STEP_S)
    assert leader.measure_silence_s(members, 5.0, STEP_S) <= 0.1 + STEP_S


def test_silence_is_still_found_if_the_process_stutters():
    leader, members = make_leader()
    for second in range(1, 7):
        silence_s = leader.measure_silence_s(members, float(second), STEP_S)
    assert silence_s > 1.0


def test_a_reply_ends_the_silence():
    leader, members = make_leader()
    leader.measure_silence_s(members, 0.3, STEP_S)
    leader.begin_round(0.3)
    leader.record_ack("b", leader.round)
    assert leader.measure_silence_s(members, 0.4, STEP_S) <= 0.1 + 1e-9
