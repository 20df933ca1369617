"""A control that stood still does not take a live leader for silent."""

import random
from types import SimpleNamespace

import pytest
from eventlet import queue

from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.events import MessageReceived, Role
from chestnutvale.consensus.loop import RaftLoop
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_MEMBERS,
    AppendRequest,
    HardState,
    LogEntry,
    Members,
    RaftMessage,
)
from chestnutvale.schema.settings_pb2 import ControlSettings, PeerAddress
from chestnutvale.storage.state import StoredState

OWN_ID, LEADER_ID = "c0#1", "c1#1"
CONTROLS = ("c0", "c1", "c2")
CONFIG = RaftConfig(election_timeout_s=0.5, heartbeat_interval_s=0.125)
TERM = 2


class LateLoop:
    """A follower whose clock moves only while its loop waits for events."""

    def __init__(self):
        self.now_s = 100.0
        # By how much the next wake-up is late, in seconds.
        self.late_s = 0.0
        clock = SimpleNamespace(now_s=lambda: self.now_s, unix_ms=lambda: 0)
        members = Members(
            voters=[f"{control}#1" for control in CONTROLS],
            wanted_voters=3,
            addresses={f"{control}#1": f"{control}:1" for control in CONTROLS},
        )
        entry = LogEntry(
            index=1, term=1, kind=ENTRY_KIND_MEMBERS, data=members.SerializeToString()
        )
        storage = SimpleNamespace(
            member_id=OWN_ID,
            state=StoredState(HardState(term=TERM), entries=[entry]),
        )
        peers = [PeerAddress(id=name, address=f"{name}:1") for name in CONTROLS]
        self.loop = RaftLoop(
            ControlSettings(control_id="c0", peer_address="c0:1", controls=peers),
            SimpleNamespace(send=lambda *arguments: True),
            storage,
            SimpleNamespace(),
            clock,
            random.Random(1),
            CONFIG,
            self.now_s,
        )
        self._get = self.loop._events.get
        self.loop._events.get = self._wait

    def _wait(self, block=True, timeout=None):
        if not self.loop._events.empty():
            return self._get(block=False)
        self.now_s += timeout + self.late_s
        self.late_s = 0.0
        raise queue.Empty

    def hear_leader(self):
        request = AppendRequest(previous_index=1, previous_term=1)
        message = RaftMessage(
            term=TERM, from_id=LEADER_ID, to_id=OWN_ID, append_request=request
        )
        self.loop.post_event(MessageReceived(message))
        self.loop._run_once()

    def run(self, duration_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.loop._run_once()


@pytest.fixture
def late():
    result = LateLoop()
    result.hear_leader()
    assert result.loop.raft.leader_id == LEADER_ID
    return result


@pytest.mark.parametrize("late_s", [0.6, 3.0, 12.78])
def test_follower_that_stood_still_reads_heartbeats_before_it_campaigns(late, late_s):
    late.late_s = late_s
    late.loop._run_once()
    assert late.loop.raft.role is Role.FOLLOWER
    late.hear_leader()
    late.loop._run_once()
    assert late.loop.raft.leader_id == LEADER_ID


def test_follower_that_stood_still_campaigns_if_its_leader_stays_silent(late):
    late.late_s = 3.0
    late.loop._run_once()
    late.run(CONFIG.election_timeout_s)
    assert late.loop.raft.role is Role.PRE_CANDIDATE


def test_follower_that_is_always_late_campaigns_all_the_same(late):
    late.late_s = 3.0
    late.loop._run_once()
    for _ in range(2):
        late.late_s = 3.0
        late.loop._run_once()
    assert late.loop.raft.role is Role.PRE_CANDIDATE
