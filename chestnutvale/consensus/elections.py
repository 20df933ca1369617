"""Leader election with pre-vote and leader stickiness."""

from collections.abc import Callable

from chestnutvale.consensus.events import Role
from chestnutvale.consensus.member_state import MemberState
from chestnutvale.consensus.members import has_quorum
from chestnutvale.schema.raft_pb2 import RaftMessage, VoteReply, VoteRequest


class Elections:
    """Requests votes and answers vote requests.

    Parameters
    ----------
    member : MemberState
        The member's state.
    on_election_won : callable
        Called with the time once a quorum has voted for this member.
    """

    def __init__(
        self, member: MemberState, on_election_won: Callable[[float], None]
    ) -> None:
        self._member = member
        self._on_election_won = on_election_won
        self._votes: set[str] = set()

    def must_ignore_vote_request(self, message: RaftMessage, now_s: float) -> bool:
        """Return whether a leader heard recently may still hold a lease."""
        if message.vote_request.transfer or message.from_id == self._member.own_id:
            return False
        if self._member.leader is not None:
            return True
        return (
            now_s
            < self._member.leader_contact_s + self._member.config.election_timeout_s
        )

    def start_pre_vote(self, now_s: float) -> None:
        """Start a pre-vote, which does not increase the term."""
        self._member.role = Role.PRE_CANDIDATE
        self._member.leader_id = ""
        self._votes = {self._member.own_id}
        self._member.set_pre_vote_retry(now_s)
        if has_quorum(self._member.log.members, self._votes):
            self.start_election(now_s)
            return
        self._ask_for_votes(VoteRequest(pre_vote=True), self._member.term + 1)

    def start_election(self, now_s: float, *, is_transfer: bool = False) -> None:
        """Increase the term and request votes."""
        self._member.role = Role.CANDIDATE
        self._member.leader_id = ""
        self._member.term += 1
        self._member.voted_for = self._member.own_id
        self._member.is_hard_state_new = True
        self._votes = set()
        self._member.reset_election_timer(now_s)
        reply = VoteReply(granted=True)
        self._member.send_after_sync(self._member.own_id, vote_reply=reply)
        self._ask_for_votes(VoteRequest(transfer=is_transfer), self._member.term)

    def _ask_for_votes(self, request: VoteRequest, term: int) -> None:
        request.last_index = self._member.log.last_index
        request.last_term = self._member.log.last_term
        for voter in self._member.log.members.voters:
            if voter != self._member.own_id:
                self._member.send_after_sync(voter, term, vote_request=request)

    def receive_vote_request(
        self, message: RaftMessage, request: VoteRequest, now_s: float
    ) -> None:
        """Grant a vote if the candidate's log is at least as up to date."""
        own_position = (self._member.log.last_term, self._member.log.last_index)
        granted = (request.last_term, request.last_index) >= own_position
        if request.pre_vote:
            granted = granted and message.term > self._member.term
            term = message.term if granted else self._member.term
            reply = VoteReply(pre_vote=True, granted=granted)
            self._member.send_after_sync(message.from_id, term, vote_reply=reply)
            return
        granted = granted and self._member.voted_for in ("", message.from_id)
        if granted:
            self._member.reset_election_timer(now_s)
            self._member.is_hard_state_new |= self._member.voted_for != message.from_id
            self._member.voted_for = message.from_id
        self._member.send_after_sync(
            message.from_id, vote_reply=VoteReply(granted=granted)
        )

    def receive_vote_reply(
        self, message: RaftMessage, reply: VoteReply, now_s: float
    ) -> None:
        """Count a granted vote and act on a quorum."""
        if not reply.granted:
            return
        if reply.pre_vote:
            if (
                self._member.role is not Role.PRE_CANDIDATE
                or message.term != self._member.term + 1
            ):
                return
        elif self._member.role is not Role.CANDIDATE:
            return
        self._votes.add(message.from_id)
        if not has_quorum(self._member.log.members, self._votes):
            return
        if reply.pre_vote:
            self.start_election(now_s)
        else:
            self._on_election_won(now_s)
