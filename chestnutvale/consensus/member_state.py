"""What all parts of a member share: term, log, role and timers."""

import math
import random

from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.const import LEASE_TIMEOUT_FRACTION
from chestnutvale.consensus.events import RequestRefused, Role, SendMessage
from chestnutvale.consensus.leader import Leader
from chestnutvale.consensus.log import RaftLog
from chestnutvale.consensus.outbox import Outbox
from chestnutvale.schema.raft_pb2 import HardState, LogEntry, RaftMessage
from chestnutvale.storage.state import StoredState


class MemberState:
    """State of one member that elections, followers and leaders work on.

    Parameters
    ----------
    own_id : str
        Identity of this member.
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
        self.own_id = own_id
        self.config = config
        self.role = Role.FOLLOWER
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.leader_id = ""
        self.leader: Leader | None = None
        self.log = RaftLog(stored)
        self.commit_index = stored.snapshot.index
        self.applied_index = self.commit_index
        self.outbox = Outbox(self.log.last_index)
        self.is_hard_state_new = False
        self._rng = rng
        # A restarted member has forgotten whom it heard, so it waits once.
        self.leader_contact_s = -math.inf if self.is_empty else now_s
        self.election_deadline_s = now_s
        if not self._may_campaign_immediately():
            self.reset_election_timer(now_s)

    @property
    def is_empty(self) -> bool:
        """Whether this member has never taken part in anything."""
        return self.term == 0 and self.log.last_index == 0

    @property
    def is_voter(self) -> bool:
        """Whether this member votes, as far as it knows."""
        return self.own_id in self.log.members.voters

    def hard_state(self) -> HardState:
        """Return term and vote as they are to be written."""
        return HardState(term=self.term, voted_for=self.voted_for)

    def _may_campaign_immediately(self) -> bool:
        """Tell whether no other leader can be there: first start, only voter."""
        is_first_start = self.term == 1 and self.log.last_index == 1
        return is_first_start or list(self.log.members.voters) == [self.own_id]

    def reset_election_timer(self, now_s: float) -> None:
        """Wait between one and two election timeouts."""
        base_s = self.config.election_timeout_s
        self.election_deadline_s = now_s + base_s * (1 + self._rng.random())

    def become_follower(self, term: int, now_s: float) -> None:
        """Follow in a term; a new term is written before any answer."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.is_hard_state_new = True
        if self.role is not Role.FOLLOWER:
            self.reset_election_timer(now_s)
        self.role = Role.FOLLOWER
        self.leader_id = ""
        if self.leader is not None:
            for read in self.leader.reads:
                self.outbox.add_effect(RequestRefused(read.request_id, ""))
            self.leader = None

    def record_leader_contact(self, leader_id: str, now_s: float) -> None:
        """Note a message of the term's leader."""
        if self.role is not Role.FOLLOWER:
            self.become_follower(self.term, now_s)
        self.leader_id = leader_id
        self.leader_contact_s = now_s
        self.reset_election_timer(now_s)

    def append_entry(self, kind: int, data: bytes) -> LogEntry:
        """Append an entry of this leader."""
        entry = LogEntry(
            index=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.log.append([entry])
        self.outbox.add_entries([entry])
        return entry

    def make_message(
        self, to_id: str, term: int | None = None, **body: object
    ) -> RaftMessage:
        """Return a message of this member."""
        return RaftMessage(
            term=self.term if term is None else term,
            from_id=self.own_id,
            to_id=to_id,
            **body,
        )

    def send(self, to_id: str, **body: object) -> None:
        """Send a message at once; it promises nothing that needs the disk."""
        self.outbox.add_effect(SendMessage(self.make_message(to_id, **body)))

    def send_after_sync(
        self, to_id: str, term: int | None = None, **body: object
    ) -> None:
        """Send once all that was written up to now is on the disk."""
        self.outbox.add_after_sync(self.make_message(to_id, term, **body))

    def has_lease(self, now_s: float) -> bool:
        """Tell whether certainly no other leader has been elected until now."""
        if self.leader is None or self.leader.is_transfer_sent:
            return False
        if self.commit_index < self.leader.first_index:
            return False
        lease_s = self.config.election_timeout_s * LEASE_TIMEOUT_FRACTION
        return now_s < self.quorum_acked_s(now_s) + lease_s

    def last_heard_s(self, member_id: str) -> float:
        """Return the sending time of the newest message a member answered."""
        if self.leader is None or member_id not in self.leader.progress:
            return -math.inf
        return self.leader.progress[member_id].acked_s

    def silent_since_s(self, member_id: str) -> float:
        """Return since when, at the longest, a leader has not heard a member."""
        if self.leader is None:
            return math.inf
        return max(self.last_heard_s(member_id), self.leader.started_s)

    def match_index(self, member_id: str) -> int:
        """Return the index up to which the leader knows a member's log."""
        if self.leader is None or member_id not in self.leader.progress:
            return 0
        return self.leader.progress[member_id].match_index

    def quorum_acked_s(self, now_s: float) -> float:
        """Return the sending time of the newest round that a quorum answered."""
        return self.leader.quorum_acked_s(self.log.members, now_s)
