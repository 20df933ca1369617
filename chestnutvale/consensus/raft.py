"""Raft as a pure object: events and the time go in, effects come out."""

import math
import random
from collections import deque
from collections.abc import Sequence

import attrs

from chestnutvale.consensus.const import (
    CHUNK_RETRY_HEARTBEATS,
    DEFAULT_ELECTION_TIMEOUT_S,
    DEFAULT_HEARTBEAT_INTERVAL_S,
    DEFAULT_SNAPSHOT_BYTES,
    DEFAULT_SNAPSHOT_ENTRIES,
    LEASE_SHARE,
    MAX_PROMOTE_LAG_ENTRIES,
    STEP_MEMBERS,
)
from chestnutvale.consensus.events import (
    Accepted,
    Apply,
    ChangeKind,
    Effect,
    Event,
    InstallSnapshot,
    LeadershipChanged,
    MembersChange,
    Persist,
    Persisted,
    Propose,
    ProposeMembers,
    Read,
    ReadReady,
    Received,
    Refused,
    Role,
    Send,
    SendSnapshotChunk,
    SnapshotSaved,
    TakeSnapshot,
    Tick,
    TransferLeadership,
)
from chestnutvale.consensus.exceptions import MembersChangeError
from chestnutvale.consensus.leader import Leader, PendingRead
from chestnutvale.consensus.log import RaftLog
from chestnutvale.consensus.members import change_members, has_quorum
from chestnutvale.consensus.progress import Mode, Progress
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_COMMAND,
    ENTRY_KIND_MEMBERS,
    ENTRY_KIND_NOOP,
    AppendReply,
    AppendRequest,
    HardState,
    LogEntry,
    Members,
    RaftMessage,
    SnapshotMetadata,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from chestnutvale.storage.state import StoredState


@attrs.frozen
class RaftConfig:
    """Times and limits of a member.

    Parameters
    ----------
    election_timeout_s : float
        Shortest silence of a leader after which a member may vote for another.
    heartbeat_interval_s : float
        Time between two rounds of a leader.
    snapshot_entries, snapshot_bytes : int
        Log size that starts a snapshot.
    """

    election_timeout_s: float = DEFAULT_ELECTION_TIMEOUT_S
    heartbeat_interval_s: float = DEFAULT_HEARTBEAT_INTERVAL_S
    snapshot_entries: int = DEFAULT_SNAPSHOT_ENTRIES
    snapshot_bytes: int = DEFAULT_SNAPSHOT_BYTES


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

    Attributes
    ----------
    role : Role
        Part that this member plays.
    term : int
        Current term.
    leader_id : str
        Identity of the leader; empty if unknown.
    log : RaftLog
        The log in memory.
    commit_index : int
        Index up to which the log is committed and applied.
    """

    def __init__(
        self,
        own_id: str,
        stored: StoredState,
        config: RaftConfig,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.own_id = own_id
        self.role = Role.FOLLOWER
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.leader_id = ""
        self.log = RaftLog(stored)
        self.commit_index = stored.snapshot.index
        self._config = config
        self._rng = rng
        self._leader: Leader | None = None
        self._votes: set[str] = set()
        # A restarted member has forgotten whom it heard, so it waits once.
        self._heard_leader_s = -math.inf if self.is_empty else now_s
        self._election_due_s = now_s
        if not self._may_campaign_at_once():
            self._reset_election_timer(now_s)
        self._durable_index = self.log.last_index
        self._ticket = 0
        self._persisted_ticket = 0
        self._unsynced: deque[tuple[int, int]] = deque()
        self._held: deque[tuple[int, RaftMessage]] = deque()
        self._incoming: tuple[SnapshotMetadata, bytearray] | None = None
        self._is_snapshot_pending = False
        self._effects: list[Effect] = []
        self._new_entries: list[LogEntry] = []
        self._new_snapshot: tuple[SnapshotMetadata, bytes] | None = None
        self._is_hard_state_new = False
        self._durable_sends: list[RaftMessage] = []
        self._applied_index = self.commit_index
        self._ready_reads: list[ReadReady] = []
        self._last_reported = (self.role, self.term, self.leader_id)

    # What a caller may ask at any time.

    @property
    def is_empty(self) -> bool:
        """Whether this member has never taken part in anything."""
        return self.term == 0 and self.log.last_index == 0

    @property
    def is_voter(self) -> bool:
        """Whether this member votes, as far as it knows."""
        return self.own_id in self.log.members.voters

    def next_deadline_s(self) -> float:
        """Return the time of the next `Tick`; infinite if none is needed."""
        if self._leader is not None:
            return min(self._leader.heartbeat_due_s, self._leader.transfer_deadline_s)
        return self._election_due_s if self.is_voter else math.inf

    def has_lease(self, now_s: float) -> bool:
        """Tell whether certainly no other leader has been elected until now."""
        if self._leader is None or self._leader.is_transfer_sent:
            return False
        if self.commit_index < self._leader.first_index:
            return False
        lease_s = self._config.election_timeout_s * LEASE_SHARE
        return now_s < self._quorum_acked_s(now_s) + lease_s

    def last_heard_s(self, member_id: str) -> float:
        """Return the sending time of the newest message a member answered."""
        if self._leader is None or member_id not in self._leader.progress:
            return -math.inf
        return self._leader.progress[member_id].acked_s

    def silent_since_s(self, member_id: str) -> float:
        """Return since when, at the longest, a leader has not heard a member."""
        if self._leader is None:
            return math.inf
        return max(self.last_heard_s(member_id), self._leader.started_s)

    def match_index(self, member_id: str) -> int:
        """Return the index up to which the leader knows a member's log."""
        if self._leader is None or member_id not in self._leader.progress:
            return 0
        return self._leader.progress[member_id].match_index

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
                self._propose(proposals, now_s)
            case Read(request_id):
                self._read(request_id, now_s)
            case Tick():
                self._tick(now_s)
            case ProposeMembers():
                self._propose_members(event, now_s)
            case SnapshotSaved(metadata, size_bytes):
                self._note_snapshot_saved(metadata, size_bytes, now_s)
            case TransferLeadership():
                self._start_transfer(now_s)
        return self._finish(now_s)

    def _finish(self, now_s: float) -> list[Effect]:
        """Collect writes and the messages that wait for them."""
        self._write_changes()
        for message in self._durable_sends:
            self._held.append((self._ticket, message))
        self._durable_sends.clear()
        self._release_held(now_s)
        if self.commit_index > self._applied_index:
            first, last = self._applied_index + 1, self.commit_index
            self._effects.append(Apply(self.log.slice(first, last, 1 << 62)))
            self._applied_index = self.commit_index
        # A read may only be served once what it must see is applied.
        self._effects.extend(self._ready_reads)
        self._ready_reads.clear()
        self._consider_snapshot()
        self._report_leadership()
        effects, self._effects = self._effects, []
        return effects

    def _write_changes(self) -> None:
        if self._is_hard_state_new or self._new_entries:
            self._ticket += 1
            hard_state = None
            if self._is_hard_state_new:
                hard_state = HardState(term=self.term, voted_for=self.voted_for)
            entries = self._new_entries
            self._effects.append(Persist(self._ticket, hard_state, entries))
            self._unsynced.append((self._ticket, self.log.last_index))
            self._new_entries = []
            self._is_hard_state_new = False
        if self._new_snapshot is not None:
            self._ticket += 1
            self._effects.append(InstallSnapshot(self._ticket, *self._new_snapshot))
            self._unsynced.append((self._ticket, self.log.last_index))
            self._new_snapshot = None

    def _release_held(self, now_s: float) -> None:
        while self._held and self._held[0][0] <= self._persisted_ticket:
            _, message = self._held.popleft()
            if message.to_id != self.own_id:
                self._effects.append(Send(message))
                continue
            # A vote for oneself counts once it is on the disk.
            self._receive(message, now_s)
            if self._is_hard_state_new or self._new_entries:
                self._write_changes()
            for later in self._durable_sends:
                self._held.append((self._ticket, later))
            self._durable_sends.clear()

    def _report_leadership(self) -> None:
        current = (self.role, self.term, self.leader_id)
        if current != self._last_reported:
            self._last_reported = current
            self._effects.append(LeadershipChanged(*current))

    def _note_persisted(self, ticket: int, now_s: float) -> None:
        self._persisted_ticket = max(self._persisted_ticket, ticket)
        while self._unsynced and self._unsynced[0][0] <= ticket:
            self._durable_index = self._unsynced.popleft()[1]
        if self._leader is not None:
            self._advance_commit(now_s)

    def _tick(self, now_s: float) -> None:
        if self._leader is not None:
            self._tick_leader(now_s)
        elif now_s >= self._election_due_s and self.is_voter:
            self._start_pre_vote(now_s)

    # Messages.

    def _receive(self, message: RaftMessage, now_s: float) -> None:
        if message.to_id != self.own_id:
            return
        kind = message.WhichOneof("body")
        if kind == "join_request" or self._is_foreign(message, kind):
            return
        if kind == "vote_request" and self._must_ignore_vote(message, now_s):
            return
        if message.term > self.term and not self._is_future_pre_vote(message, kind):
            self._become_follower(message.term, now_s)
        if message.term < self.term:
            self._answer_stale(message, kind)
            return
        match kind:
            case "append_request":
                self._receive_append(message, message.append_request, now_s)
            case "append_reply":
                self._receive_append_reply(message, message.append_reply, now_s)
            case "vote_request":
                self._receive_vote_request(message, message.vote_request, now_s)
            case "vote_reply":
                self._receive_vote_reply(message, message.vote_reply, now_s)
            case "snapshot_request":
                self._receive_chunk(message, message.snapshot_request, now_s)
            case "snapshot_reply":
                self._receive_chunk_reply(message, message.snapshot_reply, now_s)
            case "timeout_now":
                if self.is_voter:
                    self._start_election(now_s, is_transfer=True)

    def _is_foreign(self, message: RaftMessage, kind: str | None) -> bool:
        """Tell whether a removed member answers, whose term is of no interest."""
        if self._leader is None or kind not in ("append_reply", "snapshot_reply"):
            return False
        return message.from_id not in self._leader.progress

    @staticmethod
    def _is_future_pre_vote(message: RaftMessage, kind: str | None) -> bool:
        if kind == "vote_request":
            return message.vote_request.pre_vote
        if kind == "vote_reply":
            return message.vote_reply.pre_vote and message.vote_reply.granted
        return False

    def _must_ignore_vote(self, message: RaftMessage, now_s: float) -> bool:
        """Tell whether a leader was heard so lately that it may hold a lease."""
        if message.vote_request.transfer or message.from_id == self.own_id:
            return False
        if self._leader is not None:
            return True
        return now_s < self._heard_leader_s + self._config.election_timeout_s

    def _answer_stale(self, message: RaftMessage, kind: str | None) -> None:
        if kind in ("append_request", "snapshot_request"):
            self._send_durable(message.from_id, append_reply=AppendReply())
        elif kind == "vote_request" and message.vote_request.pre_vote:
            reply = VoteReply(pre_vote=True)
            self._send_durable(message.from_id, vote_reply=reply)

    def _make_message(
        self, to_id: str, term: int | None = None, **body: object
    ) -> RaftMessage:
        return RaftMessage(
            term=self.term if term is None else term,
            from_id=self.own_id,
            to_id=to_id,
            **body,
        )

    def _send(self, to_id: str, **body: object) -> None:
        self._effects.append(Send(self._make_message(to_id, **body)))

    def _send_durable(
        self, to_id: str, term: int | None = None, **body: object
    ) -> None:
        """Send once all that was written up to now is on the disk."""
        self._durable_sends.append(self._make_message(to_id, term, **body))

    # Elections.

    def _reset_election_timer(self, now_s: float) -> None:
        base_s = self._config.election_timeout_s
        self._election_due_s = now_s + base_s * (1 + self._rng.random())

    def _become_follower(self, term: int, now_s: float) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._is_hard_state_new = True
        if self.role is not Role.FOLLOWER:
            self._reset_election_timer(now_s)
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self._votes.clear()
        if self._leader is not None:
            for read in self._leader.reads:
                self._effects.append(Refused(read.request_id, ""))
            self._leader = None

    def _may_campaign_at_once(self) -> bool:
        """Tell whether no other leader can be there: first start, only voter."""
        is_first_start = self.term == 1 and self.log.last_index == 1
        return is_first_start or list(self.log.members.voters) == [self.own_id]

    def _start_pre_vote(self, now_s: float) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader_id = ""
        self._votes = {self.own_id}
        self._reset_election_timer(now_s)
        if has_quorum(self.log.members, self._votes):
            self._start_election(now_s)
            return
        self._ask_for_votes(VoteRequest(pre_vote=True), self.term + 1)

    def _start_election(self, now_s: float, *, is_transfer: bool = False) -> None:
        self.role = Role.CANDIDATE
        self.leader_id = ""
        self.term += 1
        self.voted_for = self.own_id
        self._is_hard_state_new = True
        self._votes = set()
        self._reset_election_timer(now_s)
        reply = VoteReply(granted=True)
        self._send_durable(self.own_id, vote_reply=reply)
        self._ask_for_votes(VoteRequest(transfer=is_transfer), self.term)

    def _ask_for_votes(self, request: VoteRequest, term: int) -> None:
        request.last_index = self.log.last_index
        request.last_term = self.log.last_term
        for voter in self.log.members.voters:
            if voter != self.own_id:
                self._send_durable(voter, term, vote_request=request)

    def _receive_vote_request(
        self, message: RaftMessage, request: VoteRequest, now_s: float
    ) -> None:
        own_place = (self.log.last_term, self.log.last_index)
        granted = (request.last_term, request.last_index) >= own_place
        if request.pre_vote:
            granted = granted and message.term > self.term
            term = message.term if granted else self.term
            reply = VoteReply(pre_vote=True, granted=granted)
            self._send_durable(message.from_id, term, vote_reply=reply)
            return
        granted = granted and self.voted_for in ("", message.from_id)
        if granted:
            self._reset_election_timer(now_s)
            self._is_hard_state_new |= self.voted_for != message.from_id
            self.voted_for = message.from_id
        self._send_durable(message.from_id, vote_reply=VoteReply(granted=granted))

    def _receive_vote_reply(
        self, message: RaftMessage, reply: VoteReply, now_s: float
    ) -> None:
        if not reply.granted:
            return
        if reply.pre_vote:
            if self.role is not Role.PRE_CANDIDATE or message.term != self.term + 1:
                return
        elif self.role is not Role.CANDIDATE:
            return
        self._votes.add(message.from_id)
        if not has_quorum(self.log.members, self._votes):
            return
        if reply.pre_vote:
            self._start_election(now_s)
        else:
            self._become_leader(now_s)

    # Followers.

    def _hear_leader(self, leader_id: str, now_s: float) -> None:
        if self.role is not Role.FOLLOWER:
            self._become_follower(self.term, now_s)
        self.leader_id = leader_id
        self._heard_leader_s = now_s
        self._reset_election_timer(now_s)

    def _receive_append(
        self, message: RaftMessage, request: AppendRequest, now_s: float
    ) -> None:
        self._hear_leader(message.from_id, now_s)
        reply = AppendReply(round=request.round)
        previous = request.previous_index
        if previous < self.commit_index:
            # What is committed here is the same in every leader's log.
            self._append_new(request.entries)
            known = previous + len(request.entries)
            reply.match_index = max(self.commit_index, known)
        elif self.log.term_at(previous) == request.previous_term:
            self._append_new(request.entries)
            reply.match_index = previous + len(request.entries)
        else:
            reply.rejected_index = previous
            reply.hint_index = self._find_hint(previous)
            self._send_durable(message.from_id, append_reply=reply)
            return
        reply.accepted = True
        known_commit = min(request.commit_index, reply.match_index)
        self.commit_index = max(self.commit_index, known_commit)
        self._send_durable(message.from_id, append_reply=reply)

    def _find_hint(self, previous: int) -> int:
        """Return an index up to which the logs may be equal."""
        if previous > self.log.last_index:
            return self.log.last_index
        conflict_term = self.log.term_at(previous)
        index = previous - 1
        while index > self.commit_index and self.log.term_at(index) == conflict_term:
            index -= 1
        return index

    def _append_new(self, entries: Sequence[LogEntry]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.commit_index:
                continue
            if entry.index <= self.log.last_index:
                if self.log.term_at(entry.index) == entry.term:
                    continue
                self._truncate_from(entry.index)
            self.log.append(entries[position:])
            self._new_entries.extend(entries[position:])
            return

    def _truncate_from(self, index: int) -> None:
        self.log.truncate_from(index)
        self._new_entries = [e for e in self._new_entries if e.index < index]
        self._durable_index = min(self._durable_index, index - 1)
        clamped = [(ticket, min(last, index - 1)) for ticket, last in self._unsynced]
        self._unsynced = deque(clamped)

    def _receive_chunk(
        self, message: RaftMessage, request: SnapshotRequest, now_s: float
    ) -> None:
        self._hear_leader(message.from_id, now_s)
        index = request.metadata.index
        reply = SnapshotReply(index=index, round=request.round)
        if index <= self.commit_index:
            reply.installed = True
        elif self.log.term_at(index) == request.metadata.term:
            # The log holds it all; what follows may have been acknowledged.
            self.commit_index = index
            reply.installed = True
        else:
            data = self._collect_chunk(request)
            reply.next_offset = len(data)
            if request.done and request.offset + len(request.data) == len(data):
                self._install(request.metadata, bytes(data))
                reply.installed = True
        self._send_durable(message.from_id, snapshot_reply=reply)

    def _collect_chunk(self, request: SnapshotRequest) -> bytearray:
        if self._incoming is None or self._incoming[0] != request.metadata:
            self._incoming = (request.metadata, bytearray())
        data = self._incoming[1]
        if request.offset == len(data):
            data.extend(request.data)
        return data

    def _install(self, metadata: SnapshotMetadata, data: bytes) -> None:
        self._incoming = None
        self.log.reset(metadata, len(data))
        self._new_entries = []
        self._new_snapshot = (metadata, data)
        self._durable_index = min(self._durable_index, metadata.index)
        clamped = [(ticket, metadata.index) for ticket, _ in self._unsynced]
        self._unsynced = deque(clamped)
        self.commit_index = metadata.index
        self._applied_index = metadata.index

    # The leader.

    def _become_leader(self, now_s: float) -> None:
        self.role = Role.LEADER
        self.leader_id = self.own_id
        self._leader = Leader(self.own_id, self.log, now_s, self.log.last_index + 1)
        self._leader.sync_members(self.log.members)
        self._append_own(ENTRY_KIND_NOOP, b"")
        self._broadcast(now_s)

    def _append_own(self, kind: int, data: bytes) -> LogEntry:
        entry = LogEntry(
            index=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.log.append([entry])
        self._new_entries.append(entry)
        return entry

    def _quorum_acked_s(self, now_s: float) -> float:
        return self._leader.quorum_acked_s(self.log.members, now_s)

    def _check_quorum(self, now_s: float) -> bool:
        """Step down after a silence of the quorum; tell whether still leading."""
        contact_s = max(self._quorum_acked_s(now_s), self._leader.started_s)
        is_silent = now_s > contact_s + self._config.election_timeout_s
        if is_silent or now_s >= self._leader.transfer_deadline_s:
            self._become_follower(self.term, now_s)
            return False
        return True

    def _tick_leader(self, now_s: float) -> None:
        if self._check_quorum(now_s) and now_s >= self._leader.heartbeat_due_s:
            self._broadcast(now_s)

    def _broadcast(self, now_s: float) -> None:
        """Begin a round: a message to each follower."""
        leader = self._leader
        leader.begin_round(now_s)
        leader.heartbeat_due_s = now_s + self._config.heartbeat_interval_s
        for member_id, progress in leader.progress.items():
            is_alive = self._is_alive(progress, now_s)
            if progress.mode is Mode.REPLICATE and not is_alive:
                # Nothing piles up in the sockets for a silent follower.
                progress.probe(0)
            self._send_append(member_id, progress, now_s)
            is_due = now_s >= progress.chunk_retry_at_s
            if progress.mode is Mode.SNAPSHOT and is_alive and is_due:
                self._send_chunk(member_id, progress, now_s)

    def _is_alive(self, progress: Progress, now_s: float) -> bool:
        return now_s < progress.acked_s + self._config.election_timeout_s

    def _send_append(self, member_id: str, progress: Progress, now_s: float) -> None:
        is_held = self.log.holds_after(progress.next_index - 1)
        if progress.mode is not Mode.SNAPSHOT and not is_held:
            self._enter_snapshot(member_id, progress, now_s)
        request = self._leader.next_append(progress, self.commit_index)
        self._send(member_id, append_request=request)

    def _send_entries(self, now_s: float) -> None:
        for member_id, progress in self._leader.progress.items():
            self._send_entries_to(member_id, progress, now_s)

    def _send_entries_to(
        self, member_id: str, progress: Progress, now_s: float
    ) -> None:
        while self._leader.may_send_entries(progress):
            self._send_append(member_id, progress, now_s)

    def _enter_snapshot(self, member_id: str, progress: Progress, now_s: float) -> None:
        progress.start_snapshot(self.log.snapshot.index)
        if not self._leader.is_snapshot_fresh(self.commit_index):
            progress.chunk_retry_at_s = math.inf
            self._leader.is_snapshot_wanted = True
        elif self._is_alive(progress, now_s):
            self._send_chunk(member_id, progress, now_s)

    def _propose(self, proposals: Sequence, now_s: float) -> None:
        if self._leader is None or not self._check_quorum(now_s):
            self._refuse_all(proposals, self.leader_id)
            return
        if self._leader.transfer_target:
            self._refuse_all(proposals, self._leader.transfer_target)
            return
        for proposal in proposals:
            entry = self._append_own(ENTRY_KIND_COMMAND, proposal.data)
            accepted = Accepted(proposal.request_id, entry.index, entry.term)
            self._effects.append(accepted)
        self._send_entries(now_s)

    def _refuse_all(self, proposals: Sequence, leader_id: str) -> None:
        for proposal in proposals:
            self._effects.append(Refused(proposal.request_id, leader_id))

    def _propose_members(self, event: ProposeMembers, now_s: float) -> None:
        if self._leader is None or not self._check_quorum(now_s):
            self._effects.append(Refused(event.request_id, self.leader_id))
            return
        try:
            self._check_change_allowed(event.change)
            members = change_members(self.log.members, event.change)
            self._check_alive(members, event.change.member_id, now_s)
        except MembersChangeError as error:
            refusal = Refused(event.request_id, self.leader_id, error.message)
            self._effects.append(refusal)
            return
        entry = self._append_own(ENTRY_KIND_MEMBERS, members.SerializeToString())
        self._effects.append(Accepted(event.request_id, entry.index, entry.term))
        self._leader.sync_members(members)
        self._send_entries(now_s)

    def _check_change_allowed(self, change: MembersChange) -> None:
        """Refuse a change of members that may not begin now."""
        reason = ""
        if self.commit_index < self._leader.first_index:
            reason = "the leader has not committed in its term yet"
        elif self.log.members_index > self.commit_index:
            reason = "another change of members is pending"
        elif self._leader.transfer_target:
            reason = "leadership is being transferred"
        elif change.kind is ChangeKind.PROMOTE:
            match_index = self.match_index(change.member_id)
            if match_index + MAX_PROMOTE_LAG_ENTRIES < self.log.last_index:
                reason = "the learner has not caught up"
        if reason:
            raise MembersChangeError(reason, step=STEP_MEMBERS, peer=change.member_id)

    def _check_alive(self, members: Members, changed_id: str, now_s: float) -> None:
        """Refuse members of which no quorum is alive, since they can't decide."""
        limit_s = now_s - self._config.election_timeout_s
        alive = {v for v in members.voters if self.last_heard_s(v) > limit_s}
        if self.is_voter:
            alive.add(self.own_id)
        is_new_voter = changed_id in members.voters
        if not has_quorum(members, alive) or (is_new_voter and changed_id not in alive):
            raise MembersChangeError(
                "too few of the voters would be alive",
                step=STEP_MEMBERS,
                peer=changed_id,
            )

    def _receive_append_reply(
        self, message: RaftMessage, reply: AppendReply, now_s: float
    ) -> None:
        if self._leader is None:
            return
        member_id = message.from_id
        progress = self._leader.progress[member_id]
        self._leader.note_ack(member_id, reply.round)
        if reply.accepted:
            self._accept(member_id, progress, reply.match_index, now_s)
        elif not progress.is_stale_rejection(reply.rejected_index):
            progress.probe(reply.hint_index)
            if self._leader.needs_snapshot(progress, self.commit_index):
                self._enter_snapshot(member_id, progress, now_s)
            else:
                self._send_append(member_id, progress, now_s)
        if self._leader is None:
            return
        self._answer_reads()
        self._send_entries_to(member_id, progress, now_s)
        self._continue_transfer()

    def _accept(
        self, member_id: str, progress: Progress, match_index: int, now_s: float
    ) -> None:
        was_probed = progress.mode is Mode.PROBE
        progress.accept(match_index)
        self._advance_commit(now_s)
        if self._leader is None or not was_probed:
            return
        if self._leader.needs_snapshot(progress, self.commit_index):
            self._enter_snapshot(member_id, progress, now_s)

    def _advance_commit(self, now_s: float) -> None:
        members = self.log.members
        index = self._leader.quorum_match(members, self._durable_index)
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        is_removed = not self.is_voter and self.log.members_index <= index
        if is_removed:
            self._broadcast(now_s)
            self._become_follower(self.term, now_s)
            return
        self._answer_reads()

    def _send_chunk(self, member_id: str, progress: Progress, now_s: float) -> None:
        request, length = self._leader.next_chunk(progress)
        wait_s = self._config.heartbeat_interval_s * CHUNK_RETRY_HEARTBEATS
        progress.chunk_retry_at_s = now_s + wait_s
        message = self._make_message(member_id, snapshot_request=request)
        self._effects.append(SendSnapshotChunk(message, length))

    def _receive_chunk_reply(
        self, message: RaftMessage, reply: SnapshotReply, now_s: float
    ) -> None:
        if self._leader is None:
            return
        member_id = message.from_id
        progress = self._leader.progress[member_id]
        self._leader.note_ack(member_id, reply.round)
        if progress.mode is not Mode.SNAPSHOT:
            return
        if reply.index != progress.snapshot_index:
            return
        if reply.installed:
            progress.accept(reply.index)
            self._send_entries_to(member_id, progress, now_s)
            return
        if reply.next_offset == progress.snapshot_offset and reply.next_offset:
            return
        progress.snapshot_offset = reply.next_offset
        self._send_chunk(member_id, progress, now_s)

    # Snapshots of the own state.

    def _consider_snapshot(self) -> None:
        if self._is_snapshot_pending or self.commit_index <= self.log.snapshot.index:
            return
        is_wanted = self._leader is not None and self._leader.is_snapshot_wanted
        entries = self.commit_index - self.log.snapshot.index
        is_large = (
            entries >= self._config.snapshot_entries
            or self.log.bytes_since_snapshot >= self._config.snapshot_bytes
        )
        if not is_wanted and not is_large:
            return
        self._is_snapshot_pending = True
        metadata = SnapshotMetadata(
            index=self.commit_index,
            term=self.log.term_at(self.commit_index),
            members=self.log.members_at(self.commit_index),
        )
        self._effects.append(TakeSnapshot(metadata))

    def _note_snapshot_saved(
        self, metadata: SnapshotMetadata, size_bytes: int, now_s: float
    ) -> None:
        self._is_snapshot_pending = False
        if metadata.index > self.log.snapshot.index:
            self.log.compact(metadata, size_bytes)
        if self._leader is None or not self._leader.is_snapshot_wanted:
            return
        self._leader.is_snapshot_wanted = False
        for member_id, progress in self._leader.progress.items():
            is_waiting = progress.chunk_retry_at_s == math.inf
            if progress.mode is Mode.SNAPSHOT and is_waiting:
                self._send_chunk(member_id, progress, now_s)

    # Reads and transfer.

    def _read(self, request_id: int, now_s: float) -> None:
        if self._leader is None or not self._check_quorum(now_s):
            self._effects.append(Refused(request_id, self.leader_id))
            return
        if self.has_lease(now_s):
            self._ready_reads.append(ReadReady(request_id, self.commit_index))
            return
        # Only a round that begins after the question can confirm it.
        self._broadcast(now_s)
        index = max(self.commit_index, self._leader.first_index)
        read = PendingRead(request_id, index, self._leader.round)
        self._leader.reads.append(read)
        self._answer_reads()

    def _answer_reads(self) -> None:
        leader = self._leader
        if not leader.reads:
            return
        acked_round = leader.quorum_acked_round(self.log.members)
        waiting = []
        for read in leader.reads:
            is_confirmed = acked_round >= read.round
            if is_confirmed and self.commit_index >= read.index:
                self._ready_reads.append(ReadReady(read.request_id, read.index))
            else:
                waiting.append(read)
        leader.reads = waiting

    def _start_transfer(self, now_s: float) -> None:
        if self._leader is None or self._leader.transfer_target:
            return
        candidates = [
            voter
            for voter in self.log.members.voters
            if voter != self.own_id
            and self.last_heard_s(voter) + self._config.election_timeout_s > now_s
        ]
        if not candidates:
            return
        target = max(candidates, key=self.match_index)
        self._leader.transfer_target = target
        self._leader.transfer_deadline_s = now_s + self._config.election_timeout_s
        self._continue_transfer()

    def _continue_transfer(self) -> None:
        leader = self._leader
        if leader is None or not leader.transfer_target or leader.is_transfer_sent:
            return
        if self.match_index(leader.transfer_target) < self.log.last_index:
            return
        # From here on another leader may arise within the lease.
        leader.is_transfer_sent = True
        self._send(leader.transfer_target, timeout_now=TimeoutNow())
