"""A restarted member waits for the lease that its previous run may have granted."""

import random

import pytest

from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.const import FIRST_ELECTION_SPREAD
from chestnutvale.consensus.events import MessageReceived, SendMessage, Tick
from chestnutvale.consensus.raft import Raft
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_MEMBERS,
    HardState,
    LogEntry,
    Members,
    RaftMessage,
    VoteRequest,
)
from chestnutvale.storage.state import StoredState

TIMEOUT_S = 1.0
NOW_S = 100.0


def restart(previous_run_ended_s=None, seed=1):
    members = Members(voters=["a", "b", "c"])
    entries = [
        LogEntry(
            index=index,
            term=1,
            kind=ENTRY_KIND_MEMBERS,
            data=members.SerializeToString(),
        )
        for index in (1, 2)
    ]
    stored = StoredState(HardState(term=2), entries=entries)
    more = [] if previous_run_ended_s is None else [previous_run_ended_s]
    config = RaftConfig(election_timeout_s=TIMEOUT_S)
    return Raft("a", stored, config, random.Random(seed), NOW_S, *more)


def grants_pre_vote(raft, now_s):
    request = VoteRequest(pre_vote=True, last_index=2, last_term=1)
    message = RaftMessage(term=3, from_id="b", to_id="a", vote_request=request)
    effects = raft.handle(MessageReceived(message), now_s)
    replies = [e.message for e in effects if isinstance(e, SendMessage)]
    return any(reply.vote_reply.granted for reply in replies)


@pytest.mark.parametrize(
    ("previous_run_ended_s", "asked_at_s", "is_granted"),
    [
        (None, NOW_S + 0.9 * TIMEOUT_S, False),
        (None, NOW_S + 1.1 * TIMEOUT_S, True),
        # The time since the previous run ended counts, not the time since the start.
        (NOW_S - 0.6, NOW_S + 0.3, False),
        (NOW_S - 0.6, NOW_S + 0.5, True),
        (NOW_S - 5.0, NOW_S, True),
        # A time in the future is not believed.
        (NOW_S + 9.0, NOW_S + 1.1 * TIMEOUT_S, True),
    ],
)
def test_vote_is_withheld_for_one_timeout_after_the_previous_run(
    previous_run_ended_s, asked_at_s, is_granted
):
    assert grants_pre_vote(restart(previous_run_ended_s), asked_at_s) is is_granted


def test_members_that_restarted_long_ago_campaign_soon_and_spread():
    deadlines_s = [
        restart(NOW_S - 5.0, seed).next_deadline_s() - NOW_S for seed in range(20)
    ]
    assert max(deadlines_s) <= FIRST_ELECTION_SPREAD * TIMEOUT_S
    assert max(deadlines_s) - min(deadlines_s) > 0.2 * TIMEOUT_S


def test_the_first_campaign_is_a_pre_vote():
    raft = restart(NOW_S - 5.0)
    effects = raft.handle(Tick(), raft.next_deadline_s())
    sent = [e.message.vote_request for e in effects if isinstance(e, SendMessage)]
    assert sent
    assert all(request.pre_vote for request in sent)


def test_pre_vote_without_a_quorum_is_repeated_before_the_next_timeout():
    """Members that start later vote later, and the first candidate has given up."""
    for seed in range(20):
        raft = restart(NOW_S - 5.0, seed)
        asked_at_s = []
        now_s = NOW_S
        while len(asked_at_s) < 4:
            now_s = raft.next_deadline_s()
            effects = raft.handle(Tick(), now_s)
            asked = any(
                isinstance(effect, SendMessage) and effect.message.vote_request.pre_vote
                for effect in effects
            )
            if asked:
                asked_at_s.append(now_s)
        pauses_s = [b - a for a, b in zip(asked_at_s, asked_at_s[1:], strict=False)]
        assert max(pauses_s) <= 0.5 * TIMEOUT_S
        assert min(pauses_s) >= 0.1 * TIMEOUT_S
        assert raft.term == 2
