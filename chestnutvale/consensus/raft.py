"""Sans-I/O Raft: handles events at a given time and returns effects."""

import math
import random

from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.const import COMMAND_VERSION
from chestnutvale.consensus.elections import Elections
from chestnutvale.consensus.events import (
    ApplyEntries,
    Delayed,
    Effect,
    Event,
    LeadershipChanged,
    MessageReceived,
    ProposeCommands,
    ProposeMembers,
    ReadRequest,
    Role,
    SendMessage,
    SnapshotSaved,
    TakeSnapshot,
    Tick,
    TransferLeadership,
    WritePersisted,
)
from chestnutvale.consensus.follower import Follower
from chestnutvale.consensus.log import RaftLog
from chestnutvale.consensus.member_state import MemberState
from chestnutvale.consensus.replication import Replication
from chestnutvale.consensus.request_handler import RequestHandler
from chestnutvale.schema.raft_pb2 import (
    AppendReply,
    MemberSilence,
    RaftMessage,
    SnapshotMetadata,
    VoteReply,
)
from chestnutvale.storage.state import StoredState

# Larger than any slice of a log.
NO_LIMIT_BYTES = 1 << 62


class Raft:
    """One member of the replicated log.

    Parameters
    ----------
    own_id : str
        Identity of this member; a new disk has a new identity.
    stored : StoredState
        Durable state read from disk.
    config : RaftConfig
        Timeouts and limits.
    rng : random.Random
        Source of randomness for election timeouts.
    now_s : float
        Monotonic time in seconds.
    previous_run_ended_s : float, optional
        Monotonic time in seconds by which the previous run of this member had certainly
        ended; by default, now.
    """

    def __init__(
        self,
        own_id: str,
        stored: StoredState,
        config: RaftConfig,
        rng: random.Random,
        now_s: float,
        previous_run_ended_s: float = math.inf,
    ) -> None:
        self.member = MemberState(
            own_id, stored, config, rng, now_s, previous_run_ended_s
        )
        self.replication = Replication(self.member)
        self.elections = Elections(self.member, self.replication.become_leader)
        self.follower = Follower(self.member)
        self.request_handler = RequestHandler(self.member, self.replication)
        self._is_snapshot_pending = False
        self._last_reported = (self.role, self.term, self.leader_id)

    @property
    def role(self) -> Role:
        """Role of this member in its term."""
        return self.member.role

    @property
    def term(self) -> int:
        """Current term."""
        return self.member.term

    @property
    def leader_id(self) -> str:
        """Identity of the leader; empty if unknown."""
        return self.member.leader_id

    @property
    def log(self) -> RaftLog:
        """The log in memory."""
        return self.member.log

    @property
    def commit_index(self) -> int:
        """Index up to which the log is committed and applied."""
        return self.member.commit_index

    @property
    def is_empty(self) -> bool:
        """Whether this member holds neither a term nor log entries."""
        return self.member.is_empty

    @property
    def holds_no_entries(self) -> bool:
        """Whether this member has never stored a log entry; it may have voted."""
        return self.member.log.last_index == 0

    @property
    def is_write_stalled(self) -> bool:
        """Whether the disk has not completed a write within the timeout."""
        return self.member.write_watch.is_stalled

    @property
    def write_waited_s(self) -> float:
        """For how long the oldest pending write has waited, in seconds."""
        return self.member.write_watch.waited_s

    @property
    def leader_since_s(self) -> float:
        """Monotonic time of this member's election; infinite if it does not lead."""
        leader = self.member.leader
        return leader.started_s if leader is not None else math.inf

    def has_lease(self, now_s: float) -> bool:
        """Return whether it is certain that no other leader has been elected."""
        return self.member.has_lease(now_s)

    def silent_since_s(self, member_id: str) -> float:
        """Return the earliest time since which a member may have been silent."""
        return self.member.silent_since_s(member_id)

    def list_silences(self, now_s: float) -> list[MemberSilence]:
        """Return the voters that have not replied for an election timeout."""
        return self.member.list_silences(now_s)

    def match_index(self, member_id: str) -> int:
        """Return the highest index known to be replicated to a member."""
        return self.member.match_index(member_id)

    def command_versions(self) -> dict[str, int | None]:
        """Return the versions that the voters and learners last said they can read."""
        return self.member.command_versions()

    def next_deadline_s(self) -> float:
        """Return the time of the next `Tick`; infinite if none is needed."""
        leader = self.member.leader
        write_check_s = self.member.write_watch.next_check_s
        if leader is not None:
            return min(
                leader.heartbeat_due_s, leader.transfer_deadline_s, write_check_s
            )
        if self.member.is_voter or self.leader_id:
            return min(self.member.election_deadline_s, write_check_s)
        return write_check_s

    # Events.

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle an event.

        Parameters
        ----------
        event : Event
            Event to handle.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Effect
            Effects to carry out in this order.
        """
        match event:
            case MessageReceived(message):
                self._handle_message(message, now_s)
            case WritePersisted(write_id):
                self._handle_write_persisted(write_id, now_s)
            case ProposeCommands(proposals):
                self.request_handler.propose(proposals, now_s)
            case ReadRequest(request_id):
                self.request_handler.read(request_id, now_s)
            case Tick():
                self._tick(now_s)
            case Delayed():
                self.member.grant_delay(now_s)
            case ProposeMembers():
                self.request_handler.propose_members(event, now_s)
            case SnapshotSaved(metadata, size_bytes):
                self._handle_snapshot_saved(metadata, size_bytes, now_s)
            case TransferLeadership():
                self.request_handler.start_transfer(now_s)
        return self._collect_effects(now_s)

    def _collect_effects(self, now_s: float) -> list[Effect]:
        """Return queued effects, including messages whose writes are on disk."""
        self._assign_write_ids()
        for message in self.member.outbox.pop_durable_messages():
            if message.to_id != self.member.own_id:
                self.member.outbox.add_effect(SendMessage(message))
                continue
            # The candidate counts its own vote only once it is on disk.
            self._handle_message(message, now_s)
            self._assign_write_ids()
        self.member.write_watch.check(self.member.outbox.oldest_write_id, now_s)
        self._apply_committed()
        self.member.outbox.flush_reads()
        self._request_snapshot_if_due()
        self._report_leadership_change()
        return self.member.outbox.drain_effects()

    def _assign_write_ids(self) -> None:
        hard_state = self.member.hard_state() if self.member.is_hard_state_new else None
        self.member.is_hard_state_new = False
        self.member.outbox.assign_write_ids(hard_state, self.member.log.last_index)

    def _apply_committed(self) -> None:
        first, last = self.member.applied_index + 1, self.member.commit_index
        if last < first:
            return
        self.member.outbox.add_effect(
            ApplyEntries(self.log.slice(first, last, NO_LIMIT_BYTES))
        )
        self.member.applied_index = last

    def _report_leadership_change(self) -> None:
        current = (self.role, self.term, self.leader_id)
        cause, self.member.change_cause = self.member.change_cause, ""
        if current != self._last_reported:
            self._last_reported = current
            reason, self.member.resignation_reason = self.member.resignation_reason, ""
            self.member.outbox.add_effect(LeadershipChanged(*current, reason, cause))

    def _handle_write_persisted(self, write_id: int, now_s: float) -> None:
        self.member.outbox.mark_persisted(write_id)
        if self.member.leader is not None:
            self.replication.advance_commit(now_s)

    def _tick(self, now_s: float) -> None:
        if self.member.leader is not None:
            self._tick_leader(now_s)
        elif now_s < self.member.election_deadline_s:
            return
        elif self.member.is_voter:
            self._campaign(now_s)
        else:
            # A member that is no voter has to ask to join again.
            self.member.become_follower(self.term, now_s)

    def _campaign(self, now_s: float) -> None:
        if not self.is_write_stalled:
            self.member.change_cause = self.member.describe_silence(now_s)
            self.elections.start_pre_vote(now_s)
            return
        self.member.become_follower(self.term, now_s)
        self.member.reset_election_timer(now_s)

    def _tick_leader(self, now_s: float) -> None:
        if not self.request_handler.check_quorum(now_s):
            return
        if self.is_write_stalled:
            self.request_handler.give_up_leadership(now_s)
        leader = self.member.leader
        if leader is not None and now_s >= leader.heartbeat_due_s:
            self.replication.broadcast(now_s)

    # Messages.

    def _handle_message(self, message: RaftMessage, now_s: float) -> None:
        if message.to_id != self.member.own_id:
            return
        kind = message.WhichOneof("body")
        if kind == "join_request" or self._is_from_removed_member(message, kind):
            return
        if kind == "vote_request" and self.elections.must_ignore_vote_request(
            message, now_s
        ):
            return
        if message.term > self.term and not self._is_future_pre_vote(message, kind):
            self.member.change_cause = self._describe_higher_term(message, kind)
            self.member.become_follower(message.term, now_s)
        if message.term < self.term:
            self._reject_stale_message(message, kind)
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
                self.follower.receive_snapshot_chunk(
                    message, message.snapshot_request, now_s
                )
            case "snapshot_reply":
                self.replication.receive_snapshot_chunk_reply(
                    message, message.snapshot_reply, now_s
                )
            case "timeout_now":
                if self.member.is_voter and not self.is_write_stalled:
                    self.member.change_cause = (
                        f"{message.from_id} hands its leadership over"
                    )
                    self.elections.start_election(now_s, is_transfer=True)

    def _is_from_removed_member(self, message: RaftMessage, kind: str | None) -> bool:
        """Return whether a removed member replied, whose term must be ignored."""
        if self.member.leader is None or kind not in ("append_reply", "snapshot_reply"):
            return False
        return message.from_id not in self.member.leader.progress

    def _describe_higher_term(self, message: RaftMessage, kind: str | None) -> str:
        cause = f"{message.from_id} sent a {kind} of term {message.term}"
        leader = self.member.leader
        if leader is not None and leader.transfer_target == message.from_id:
            cause += ", after the leadership was handed over to it"
        return cause

    @staticmethod
    def _is_future_pre_vote(message: RaftMessage, kind: str | None) -> bool:
        if kind == "vote_request":
            return message.vote_request.pre_vote
        if kind == "vote_reply":
            return message.vote_reply.pre_vote and message.vote_reply.granted
        return False

    def _reject_stale_message(self, message: RaftMessage, kind: str | None) -> None:
        if kind in ("append_request", "snapshot_request"):
            reply = AppendReply(command_version=COMMAND_VERSION)
            self.member.send_after_sync(message.from_id, append_reply=reply)
        elif kind == "vote_request" and message.vote_request.pre_vote:
            refusal = VoteReply(pre_vote=True)
            self.member.send_after_sync(message.from_id, vote_reply=refusal)

    # Snapshots of this member's state.

    def _request_snapshot_if_due(self) -> None:
        if self._is_snapshot_pending or self.commit_index <= self.log.snapshot.index:
            return
        is_wanted = (
            self.member.leader is not None and self.member.leader.is_snapshot_wanted
        )
        entries = self.commit_index - self.log.snapshot.index
        is_large = (
            entries >= self.member.config.snapshot_entries
            or self.log.bytes_since_snapshot >= self.member.config.snapshot_bytes
        )
        if not is_wanted and not is_large:
            return
        self._is_snapshot_pending = True
        metadata = SnapshotMetadata(
            index=self.commit_index,
            term=self.log.term_at(self.commit_index),
            members=self.log.members_at(self.commit_index),
        )
        self.member.outbox.add_effect(TakeSnapshot(metadata))

    def _handle_snapshot_saved(
        self, metadata: SnapshotMetadata, size_bytes: int, now_s: float
    ) -> None:
        self._is_snapshot_pending = False
        if metadata.index > self.log.snapshot.index:
            self.log.compact(metadata, size_bytes)
        self.replication.send_deferred_snapshots(now_s)
