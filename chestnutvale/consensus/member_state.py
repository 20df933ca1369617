"""State shared by the parts of a Raft member: term, log, role, timers."""

import math
import random

from chestnutvale.consensus.config import MS_PER_S, RaftConfig
from chestnutvale.consensus.const import (
    COMMAND_VERSION,
    FIRST_ELECTION_SPREAD,
    LEASE_TIMEOUT_FRACTION,
    MAX_SILENCE_STEP_HEARTBEATS,
    PRE_VOTE_RETRY_MAX_FRACTION,
    PRE_VOTE_RETRY_MIN_FRACTION,
)
from chestnutvale.consensus.events import RequestRefused, Role, SendMessage
from chestnutvale.consensus.leader import Leader
from chestnutvale.consensus.log import RaftLog
from chestnutvale.consensus.outbox import Outbox
from chestnutvale.consensus.silence import ReportedSilence
from chestnutvale.consensus.write_watch import WriteWatch
from chestnutvale.schema.raft_pb2 import (
    HardState,
    LogEntry,
    MemberSilence,
    RaftMessage,
)
from chestnutvale.storage.state import StoredState


class MemberState:
    """State of one member, shared by elections, follower and replication.

    Parameters
    ----------
    own_id : str
        Identity of this member.
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
        self.own_id = own_id
        self.config = config
        self.role = Role.FOLLOWER
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.leader_id = ""
        # Newest version of the commands that the leader can read; 0 if unknown.
        self.leader_command_version = 0
        self.leader: Leader | None = None
        # Why this member gave up its leadership; empty once it is reported.
        self.resignation_reason = ""
        # What else caused the last change of role, term or leader; empty once reported.
        self.change_cause = ""
        self.reported_silence = ReportedSilence()
        self.log = RaftLog(stored)
        self.commit_index = stored.snapshot.index
        self.applied_index = self.commit_index
        self.outbox = Outbox(self.log.last_index)
        self.write_watch = WriteWatch(
            config.write_stall_timeout_s,
            config.heartbeat_interval_s,
            MAX_SILENCE_STEP_HEARTBEATS * config.heartbeat_interval_s,
        )
        self.is_hard_state_new = False
        self._rng = rng
        # A restarted member may have acknowledged a leader until its previous run
        # ended, so it waits one election timeout from then before it votes.
        ended_s = min(now_s, previous_run_ended_s)
        self.leader_contact_s = -math.inf if self.is_empty else ended_s
        self.election_deadline_s = now_s
        # Contact with the leader after which a delay of this process was granted.
        self._delay_granted_after_s = math.nan
        if not self._may_campaign_immediately():
            self._set_first_election_deadline(ended_s, now_s)

    @property
    def is_empty(self) -> bool:
        """Whether this member holds neither a term nor log entries."""
        return self.term == 0 and self.log.last_index == 0

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter according to its own log."""
        return self.own_id in self.log.members.voters

    def hard_state(self) -> HardState:
        """Return the term and vote to persist."""
        return HardState(term=self.term, voted_for=self.voted_for)

    def _may_campaign_immediately(self) -> bool:
        """Return whether no other leader can exist: bootstrap or only voter."""
        is_first_start = self.term == 1 and self.log.last_index == 1
        return is_first_start or list(self.log.members.voters) == [self.own_id]

    def _set_first_election_deadline(self, ended_s: float, now_s: float) -> None:
        """Campaign soon after the first moment at which other members may vote.

        If all members restart at once, none has a leader. If only this one did, the
        leader's next heartbeat arrives first, or the others ignore its pre-vote.
        """
        timeout_s = self.config.election_timeout_s
        spread_s = FIRST_ELECTION_SPREAD * timeout_s * self._rng.random()
        self.election_deadline_s = max(now_s, ended_s + timeout_s) + spread_s

    def reset_election_timer(self, now_s: float) -> None:
        """Set a random deadline between one and two election timeouts."""
        base_s = self.config.election_timeout_s
        self.election_deadline_s = now_s + base_s * (1 + self._rng.random())

    def set_pre_vote_retry(self, now_s: float) -> None:
        """Set a random deadline for another pre-vote if this one gets no quorum."""
        fraction = self._rng.uniform(
            PRE_VOTE_RETRY_MIN_FRACTION, PRE_VOTE_RETRY_MAX_FRACTION
        )
        self.election_deadline_s = now_s + fraction * self.config.election_timeout_s

    def grant_delay(self, now_s: float) -> None:
        """Postpone a campaign until the leader's messages may have been read.

        It is postponed once for each silence, so that a process that is always late
        campaigns as well.
        """
        is_granted = self._delay_granted_after_s == self.leader_contact_s
        if is_granted or not self.leader_id:
            return
        self._delay_granted_after_s = self.leader_contact_s
        grace_s = MAX_SILENCE_STEP_HEARTBEATS * self.config.heartbeat_interval_s
        self.election_deadline_s = max(self.election_deadline_s, now_s + grace_s)

    def become_follower(self, term: int, now_s: float) -> None:
        """Become a follower; a new term is persisted before any reply."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.is_hard_state_new = True
        if self.role is not Role.FOLLOWER:
            self.reset_election_timer(now_s)
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leader_command_version = 0
        if self.leader is not None:
            silences = self.list_silences(now_s)
            self.reported_silence.record(self.own_id, silences, now_s)
            for read in self.leader.reads:
                self.outbox.add_effect(RequestRefused(read.request_id, ""))
            self.leader = None

    def record_leader_contact(self, leader_id: str, now_s: float) -> None:
        """Record a message from the leader of the current term."""
        if self.role is not Role.FOLLOWER:
            self.become_follower(self.term, now_s)
        self.leader_id = leader_id
        self.leader_contact_s = now_s
        self.reset_election_timer(now_s)

    def describe_silence(self, now_s: float) -> str:
        """Return for how long this member has heard no leader, for the log."""
        if self.leader_contact_s == -math.inf:
            return "no leader was heard yet"
        silence_s = now_s - self.leader_contact_s
        return f"no leader was heard for {silence_s:.2f} s, {self.leader_id!r} last"

    def append_entry(self, kind: int, data: bytes) -> LogEntry:
        """Append an entry as leader and queue it for writing."""
        entry = LogEntry(
            index=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.log.append([entry])
        self.outbox.add_entries([entry])
        return entry

    def make_message(
        self, to_id: str, term: int | None = None, **body: object
    ) -> RaftMessage:
        """Return a message from this member, by default in its current term."""
        return RaftMessage(
            term=self.term if term is None else term,
            from_id=self.own_id,
            to_id=to_id,
            **body,
        )

    def send(self, to_id: str, **body: object) -> None:
        """Send a message immediately; it must not rely on unsynced state."""
        self.outbox.add_effect(SendMessage(self.make_message(to_id, **body)))

    def send_after_sync(
        self, to_id: str, term: int | None = None, **body: object
    ) -> None:
        """Send a message once all writes queued so far are on disk."""
        self.outbox.add_after_sync(self.make_message(to_id, term, **body))

    def has_lease(self, now_s: float) -> bool:
        """Return whether it is certain that no other leader has been elected."""
        if self.leader is None or self.leader.is_transfer_sent:
            return False
        if self.commit_index < self.leader.first_index:
            return False
        lease_s = self.config.election_timeout_s * LEASE_TIMEOUT_FRACTION
        return now_s < self.quorum_acked_s(now_s) + lease_s

    def last_heard_s(self, member_id: str) -> float:
        """Return when the newest message that a member acknowledged was sent."""
        if self.leader is None or member_id not in self.leader.progress:
            return -math.inf
        return self.leader.progress[member_id].acked_s

    def silent_since_s(self, member_id: str) -> float:
        """Return the earliest time since which a member may have been silent.

        Until this leader hears the member, the report of the leader before it counts.
        """
        if self.leader is None:
            return math.inf
        heard_s = self.last_heard_s(member_id)
        if heard_s > -math.inf:
            return heard_s
        return min(self.leader.started_s, self.reported_silence.since_s(member_id))

    def list_silences(self, now_s: float) -> list[MemberSilence]:
        """Return the voters that have not replied for an election timeout."""
        if self.leader is None:
            return []
        silent_s = {
            voter: now_s - self.silent_since_s(voter)
            for voter in self.log.members.voters
            if voter != self.own_id
        }
        return [
            MemberSilence(member_id=voter, silent_ms=round(seconds * MS_PER_S))
            for voter, seconds in silent_s.items()
            if seconds > self.config.election_timeout_s
        ]

    def match_index(self, member_id: str) -> int:
        """Return the highest index known to be replicated to a member."""
        if self.leader is None or member_id not in self.leader.progress:
            return 0
        return self.leader.progress[member_id].match_index

    def command_versions(self) -> dict[str, int | None]:
        """Return the versions that the voters and learners last said they can read.

        None stands for a member that has not replied to this member as leader.
        """
        members = self.log.members
        progress = self.leader.progress if self.leader is not None else {}
        versions: dict[str, int | None] = {}
        for member_id in [*members.voters, *members.learners]:
            follower = progress.get(member_id)
            versions[member_id] = follower.command_version if follower else None
        if self.own_id in versions:
            versions[self.own_id] = COMMAND_VERSION
        return versions

    def quorum_acked_s(self, now_s: float) -> float:
        """Return when the newest round that a quorum acknowledged was sent."""
        return self.leader.quorum_acked_s(self.log.members, now_s)
