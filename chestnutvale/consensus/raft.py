"""Raft as a pure object: events and the time go in, effects come out."""

import math
import random

from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.core import Core
from chestnutvale.consensus.elections import Elections
from chestnutvale.consensus.events import (
    Apply,
    Effect,
    Event,
    LeadershipChanged,
    Persisted,
    Propose,
    ProposeMembers,
    Read,
    Received,
    Role,
    Send,
    SnapshotSaved,
    TakeSnapshot,
    Tick,
    TransferLeadership,
)
from chestnutvale.consensus.follower import Follower
from chestnutvale.consensus.log import RaftLog
from chestnutvale.consensus.replication import Replication
from chestnutvale.consensus.requests import Requests
from chestnutvale.schema.raft_pb2 import (
    AppendReply,
    RaftMessage,
    SnapshotMetadata,
    VoteReply,
)
from chestnutvale.storage.state import StoredState

# More than any slice of a log holds.
NO_LIMIT_BYTES = 1 << 62


class Raft:
    """One member of the replicated log.

    Parameters
    ----------
    own_id : str
        Identity of this member; another disk means another identity.
    stored : StoredState
        What the disk held.
    config : RaftConfig
        Times and limits.
    rng : random.Random
        Source of the election timeouts.
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(
        self,
        own_id: str,
        stored: StoredState,
        config: RaftConfig,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.core = Core(own_id, stored, config, rng, now_s)
        self.replication = Replication(self.core)
        self.elections = Elections(self.core, self.replication.become_leader)
        self.follower = Follower(self.core)
        self.requests = Requests(self.core, self.replication)
        self._is_snapshot_pending = False
        self._last_reported = (self.role, self.term, self.leader_id)

    # What a caller may ask at any time.

    @property
    def role(self) -> Role:
        """Part that this member plays."""
        return self.core.role

    @property
    def term(self) -> int:
        """Current term."""
        return self.core.term

    @property
    def leader_id(self) -> str:
        """Identity of the leader; empty if unknown."""
        return self.core.leader_id

    @property
    def log(self) -> RaftLog:
        """The log in memory."""
        return self.core.log

    @property
    def commit_index(self) -> int:
        """Index up to which the log is committed and applied."""
        return self.core.commit_index

    @property
    def is_empty(self) -> bool:
        """Whether this member has never taken part in anything."""
        return self.core.is_empty

    def has_lease(self, now_s: float) -> bool:
        """Tell whether certainly no other leader has been elected until now."""
        return self.core.has_lease(now_s)

    def silent_since_s(self, member_id: str) -> float:
        """Return since when, at the longest, a leader has not heard a member."""
        return self.core.silent_since_s(member_id)

    def match_index(self, member_id: str) -> int:
        """Return the index up to which the leader knows a member's log."""
        return self.core.match_index(member_id)

    def next_deadline_s(self) -> float:
        """Return the time of the next `Tick`; infinite if none is needed."""
        leader = self.core.leader
        if leader is not None:
            return min(leader.heartbeat_due_s, leader.transfer_deadline_s)
        return self.core.election_due_s if self.core.is_voter else math.inf

    # Events.

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle an event.

        Parameters
        ----------
        event : Event
            What happened.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Effect
            What to do, in this order.
        """
        match event:
            case Received(message):
                self._receive(message, now_s)
            case Persisted(ticket):
                self._note_persisted(ticket, now_s)
            case Propose(proposals):
                self.requests.propose(proposals, now_s)
            case Read(request_id):
                self.requests.read(request_id, now_s)
            case Tick():
                self._tick(now_s)
            case ProposeMembers():
                self.requests.propose_members(event, now_s)
            case SnapshotSaved(metadata, size_bytes):
                self._note_snapshot_saved(metadata, size_bytes, now_s)
            case TransferLeadership():
                self.requests.start_transfer(now_s)
        return self._finish(now_s)

    def _finish(self, now_s: float) -> list[Effect]:
        """Collect writes and the messages that wait for them."""
        self._seal()
        for message in self.core.outbox.release():
            if message.to_id != self.core.own_id:
                self.core.outbox.add(Send(message))
                continue
            # A vote for oneself counts once it is on the disk.
            self._receive(message, now_s)
            self._seal()
        self._apply_committed()
        self.core.outbox.take_reads()
        self._consider_snapshot()
        self._report_leadership()
        return self.core.outbox.take()

    def _seal(self) -> None:
        hard_state = self.core.hard_state() if self.core.is_hard_state_new else None
        self.core.is_hard_state_new = False
        self.core.outbox.seal(hard_state, self.core.log.last_index)

    def _apply_committed(self) -> None:
        first, last = self.core.applied_index + 1, self.core.commit_index
        if last < first:
            return
        self.core.outbox.add(Apply(self.log.slice(first, last, NO_LIMIT_BYTES)))
        self.core.applied_index = last

    def _report_leadership(self) -> None:
        current = (self.role, self.term, self.leader_id)
        if current != self._last_reported:
            self._last_reported = current
            self.core.outbox.add(LeadershipChanged(*current))

    def _note_persisted(self, ticket: int, now_s: float) -> None:
        self.core.outbox.note_persisted(ticket)
        if self.core.leader is not None:
            self.replication.advance_commit(now_s)

    def _tick(self, now_s: float) -> None:
        leader = self.core.leader
        if leader is not None:
            is_leading = self.requests.check_quorum(now_s)
            if is_leading and now_s >= leader.heartbeat_due_s:
                self.replication.broadcast(now_s)
        elif now_s >= self.core.election_due_s and self.core.is_voter:
            self.elections.start_pre_vote(now_s)

    # Messages.

    def _receive(self, message: RaftMessage, now_s: float) -> None:
        if message.to_id != self.core.own_id:
            return
        kind = message.WhichOneof("body")
        if kind == "join_request" or self._is_foreign(message, kind):
            return
        if kind == "vote_request" and self.elections.must_ignore_vote(message, now_s):
            return
        if message.term > self.term and not self._is_future_pre_vote(message, kind):
            self.core.become_follower(message.term, now_s)
        if message.term < self.term:
            self._answer_stale(message, kind)
            return
        match kind:
            case "append_request":
                self.follower.receive_append(message, message.append_request, now_s)
            case "append_reply":
                self.replication.receive_append_reply(
                    message, message.append_reply, now_s
                )
            case "vote_request":
                self.elections.receive_vote_request(
                    message, message.vote_request, now_s
                )
            case "vote_reply":
                self.elections.receive_vote_reply(message, message.vote_reply, now_s)
            case "snapshot_request":
                self.follower.receive_chunk(message, message.snapshot_request, now_s)
            case "snapshot_reply":
                self.replication.receive_chunk_reply(
                    message, message.snapshot_reply, now_s
                )
            case "timeout_now":
                if self.core.is_voter:
                    self.elections.start_election(now_s, is_transfer=True)

    def _is_foreign(self, message: RaftMessage, kind: str | None) -> bool:
        """Tell whether a removed member answers, whose term is of no interest."""
        if self.core.leader is None or kind not in ("append_reply", "snapshot_reply"):
            return False
        return message.from_id not in self.core.leader.progress

    @staticmethod
    def _is_future_pre_vote(message: RaftMessage, kind: str | None) -> bool:
        if kind == "vote_request":
            return message.vote_request.pre_vote
        if kind == "vote_reply":
            return message.vote_reply.pre_vote and message.vote_reply.granted
        return False

    def _answer_stale(self, message: RaftMessage, kind: str | None) -> None:
        if kind in ("append_request", "snapshot_request"):
            self.core.send_durable(message.from_id, append_reply=AppendReply())
        elif kind == "vote_request" and message.vote_request.pre_vote:
            reply = VoteReply(pre_vote=True)
            self.core.send_durable(message.from_id, vote_reply=reply)

    # Snapshots of the own state.

    def _consider_snapshot(self) -> None:
        if self._is_snapshot_pending or self.commit_index <= self.log.snapshot.index:
            return
        is_wanted = self.core.leader is not None and self.core.leader.is_snapshot_wanted
        entries = self.commit_index - self.log.snapshot.index
        is_large = (
            entries >= self.core.config.snapshot_entries
            or self.log.bytes_since_snapshot >= self.core.config.snapshot_bytes
        )
        if not is_wanted and not is_large:
            return
        self._is_snapshot_pending = True
        metadata = SnapshotMetadata(
            index=self.commit_index,
            term=self.log.term_at(self.commit_index),
            members=self.log.members_at(self.commit_index),
        )
        self.core.outbox.add(TakeSnapshot(metadata))

    def _note_snapshot_saved(
        self, metadata: SnapshotMetadata, size_bytes: int, now_s: float
    ) -> None:
        self._is_snapshot_pending = False
        if metadata.index > self.log.snapshot.index:
            self.log.compact(metadata, size_bytes)
        self.replication.send_waiting_snapshots(now_s)
