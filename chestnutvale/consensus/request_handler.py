"""Client requests to a leader: commands, reads, membership, transfer."""

from collections.abc import Sequence

from chestnutvale.consensus.const import (
    MAX_PROMOTE_LAG_ENTRIES,
    MAX_SILENCE_STEP_HEARTBEATS,
    STEP_MEMBERS,
)
from chestnutvale.consensus.events import (
    ChangeKind,
    MembersChange,
    Proposal,
    ProposeMembers,
    ReadReady,
    RequestAppended,
    RequestRefused,
)
from chestnutvale.consensus.exceptions import MembersChangeError
from chestnutvale.consensus.leader import PendingRead
from chestnutvale.consensus.member_state import MemberState
from chestnutvale.consensus.members import change_members, has_quorum
from chestnutvale.consensus.replication import Replication
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_COMMAND,
    ENTRY_KIND_MEMBERS,
    Members,
)


class RequestHandler:
    """Handles requests if this member leads and refuses them otherwise.

    Parameters
    ----------
    member : MemberState
        The member's state.
    replication : Replication
        Sends appended entries to the followers.
    """

    def __init__(self, member: MemberState, replication: Replication) -> None:
        self._member = member
        self._replication = replication

    def check_quorum(self, now_s: float) -> bool:
        """Step down if the quorum is silent; return whether still leading."""
        config = self._member.config
        leader = self._member.leader
        silence_s = leader.measure_silence_s(
            self._member.log.members,
            now_s,
            MAX_SILENCE_STEP_HEARTBEATS * config.heartbeat_interval_s,
        )
        is_silent = silence_s > config.election_timeout_s
        if is_silent:
            self._resign(f"no quorum has replied for {silence_s:.2f} s", now_s)
            return False
        if now_s >= leader.transfer_deadline_s:
            self._resign("another voter did not take over in time", now_s)
            return False
        return True

    def _resign(self, reason: str, now_s: float) -> None:
        self._member.resignation_reason = reason
        self._member.become_follower(self._member.term, now_s)

    def give_up_leadership(self, now_s: float) -> None:
        """Transfer leadership, or step down if no other voter can take over."""
        self.start_transfer(now_s)
        if not self._member.leader.transfer_target:
            self._resign("its writes do not finish", now_s)

    def propose(self, proposals: Sequence[Proposal], now_s: float) -> None:
        """Append commands to the log and replicate them."""
        if self._member.leader is None or not self.check_quorum(now_s):
            self._refuse_proposals(proposals, self._member.leader_id)
            return
        if self._member.leader.transfer_target:
            self._refuse_proposals(proposals, self._member.leader.transfer_target)
            return
        for proposal in proposals:
            entry = self._member.append_entry(ENTRY_KIND_COMMAND, proposal.data)
            accepted = RequestAppended(proposal.request_id, entry.index, entry.term)
            self._member.outbox.add_effect(accepted)
        self._replication.send_entries(now_s)

    def _refuse_proposals(self, proposals: Sequence[Proposal], leader_id: str) -> None:
        for proposal in proposals:
            self._member.outbox.add_effect(
                RequestRefused(proposal.request_id, leader_id)
            )

    def propose_members(self, event: ProposeMembers, now_s: float) -> None:
        """Append a membership change if it is allowed now."""
        if self._member.leader is None or not self.check_quorum(now_s):
            self._member.outbox.add_effect(
                RequestRefused(event.request_id, self._member.leader_id)
            )
            return
        try:
            self._check_change_allowed(event.change)
            members = change_members(self._member.log.members, event.change)
            self._check_quorum_alive(members, event.change.member_id, now_s)
        except MembersChangeError as error:
            refusal = RequestRefused(
                event.request_id, self._member.leader_id, error.message
            )
            self._member.outbox.add_effect(refusal)
            return
        entry = self._member.append_entry(
            ENTRY_KIND_MEMBERS, members.SerializeToString()
        )
        self._member.outbox.add_effect(
            RequestAppended(event.request_id, entry.index, entry.term)
        )
        self._member.leader.update_followers(members)
        self._replication.send_entries(now_s)

    def _check_change_allowed(self, change: MembersChange) -> None:
        """Raise MembersChangeError if the change may not start now."""
        reason = ""
        if self._member.commit_index < self._member.leader.first_index:
            reason = "the leader has not committed in its term yet"
        elif self._member.log.members_index > self._member.commit_index:
            reason = "another change of members is pending"
        elif self._member.leader.transfer_target:
            reason = "leadership is being transferred"
        elif change.kind is ChangeKind.PROMOTE:
            match_index = self._member.match_index(change.member_id)
            if match_index + MAX_PROMOTE_LAG_ENTRIES < self._member.log.last_index:
                reason = "the learner has not caught up"
        if reason:
            raise MembersChangeError(reason, step=STEP_MEMBERS, peer=change.member_id)

    def _check_quorum_alive(
        self, members: Members, changed_id: str, now_s: float
    ) -> None:
        """Raise MembersChangeError if no quorum of the new members is alive."""
        limit_s = now_s - self._member.config.election_timeout_s
        alive = {v for v in members.voters if self._member.last_heard_s(v) > limit_s}
        alive.add(self._member.own_id)
        is_new_voter = changed_id in members.voters
        if not has_quorum(members, alive) or (is_new_voter and changed_id not in alive):
            raise MembersChangeError(
                "too few of the voters would be alive",
                step=STEP_MEMBERS,
                peer=changed_id,
            )

    def read(self, request_id: int, now_s: float) -> None:
        """Serve a read under the lease, otherwise after a heartbeat round."""
        if self._member.leader is None or not self.check_quorum(now_s):
            self._member.outbox.add_effect(
                RequestRefused(request_id, self._member.leader_id)
            )
            return
        if self._member.has_lease(now_s):
            self._member.outbox.add_read(
                ReadReady(request_id, self._member.commit_index)
            )
            return
        # Only a round started after the request can confirm leadership.
        self._replication.broadcast(now_s)
        index = max(self._member.commit_index, self._member.leader.first_index)
        read = PendingRead(request_id, index, self._member.leader.round)
        self._member.leader.reads.append(read)
        self._replication.complete_confirmed_reads()

    def start_transfer(self, now_s: float) -> None:
        """Start a leadership transfer to the most up-to-date live voter."""
        if self._member.leader is None or self._member.leader.transfer_target:
            return
        candidates = [
            voter
            for voter in self._member.log.members.voters
            if voter != self._member.own_id
            and self._member.last_heard_s(voter)
            + self._member.config.election_timeout_s
            > now_s
        ]
        if not candidates:
            return
        target = max(candidates, key=self._member.match_index)
        self._member.leader.transfer_target = target
        self._member.leader.transfer_deadline_s = (
            now_s + self._member.config.election_timeout_s
        )
        self._replication.send_timeout_now_if_ready()
