"""What a leader is asked: commands, reads, changes of members, transfer."""

from collections.abc import Sequence

from chestnutvale.consensus.const import MAX_PROMOTE_LAG_ENTRIES, STEP_MEMBERS
from chestnutvale.consensus.core import Core
from chestnutvale.consensus.events import (
    Accepted,
    ChangeKind,
    MembersChange,
    Proposal,
    ProposeMembers,
    ReadReady,
    Refused,
)
from chestnutvale.consensus.exceptions import MembersChangeError
from chestnutvale.consensus.leader import PendingRead
from chestnutvale.consensus.members import change_members, has_quorum
from chestnutvale.consensus.replication import Replication
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_COMMAND,
    ENTRY_KIND_MEMBERS,
    Members,
)


class Requests:
    """Takes requests if this member leads and refuses them otherwise.

    Parameters
    ----------
    core : Core
        The member's state.
    replication : Replication
        Sends what was appended.
    """

    def __init__(self, core: Core, replication: Replication) -> None:
        self._core = core
        self._replication = replication

    def check_quorum(self, now_s: float) -> bool:
        """Step down after a silence of the quorum; tell whether still leading."""
        contact_s = max(self._core.quorum_acked_s(now_s), self._core.leader.started_s)
        is_silent = now_s > contact_s + self._core.config.election_timeout_s
        if is_silent or now_s >= self._core.leader.transfer_deadline_s:
            self._core.become_follower(self._core.term, now_s)
            return False
        return True

    def propose(self, proposals: Sequence[Proposal], now_s: float) -> None:
        """Append commands."""
        if self._core.leader is None or not self.check_quorum(now_s):
            self._refuse_all(proposals, self._core.leader_id)
            return
        if self._core.leader.transfer_target:
            self._refuse_all(proposals, self._core.leader.transfer_target)
            return
        for proposal in proposals:
            entry = self._core.append_own(ENTRY_KIND_COMMAND, proposal.data)
            accepted = Accepted(proposal.request_id, entry.index, entry.term)
            self._core.outbox.add(accepted)
        self._replication.send_entries(now_s)

    def _refuse_all(self, proposals: Sequence[Proposal], leader_id: str) -> None:
        for proposal in proposals:
            self._core.outbox.add(Refused(proposal.request_id, leader_id))

    def propose_members(self, event: ProposeMembers, now_s: float) -> None:
        """Append a change of members."""
        if self._core.leader is None or not self.check_quorum(now_s):
            self._core.outbox.add(Refused(event.request_id, self._core.leader_id))
            return
        try:
            self._check_change_allowed(event.change)
            members = change_members(self._core.log.members, event.change)
            self._check_alive(members, event.change.member_id, now_s)
        except MembersChangeError as error:
            refusal = Refused(event.request_id, self._core.leader_id, error.message)
            self._core.outbox.add(refusal)
            return
        entry = self._core.append_own(ENTRY_KIND_MEMBERS, members.SerializeToString())
        self._core.outbox.add(Accepted(event.request_id, entry.index, entry.term))
        self._core.leader.sync_members(members)
        self._replication.send_entries(now_s)

    def _check_change_allowed(self, change: MembersChange) -> None:
        """Refuse a change of members that may not begin now."""
        reason = ""
        if self._core.commit_index < self._core.leader.first_index:
            reason = "the leader has not committed in its term yet"
        elif self._core.log.members_index > self._core.commit_index:
            reason = "another change of members is pending"
        elif self._core.leader.transfer_target:
            reason = "leadership is being transferred"
        elif change.kind is ChangeKind.PROMOTE:
            match_index = self._core.match_index(change.member_id)
            if match_index + MAX_PROMOTE_LAG_ENTRIES < self._core.log.last_index:
                reason = "the learner has not caught up"
        if reason:
            raise MembersChangeError(reason, step=STEP_MEMBERS, peer=change.member_id)

    def _check_alive(self, members: Members, changed_id: str, now_s: float) -> None:
        """Refuse members of which no quorum is alive, since they can't decide."""
        limit_s = now_s - self._core.config.election_timeout_s
        alive = {v for v in members.voters if self._core.last_heard_s(v) > limit_s}
        alive.add(self._core.own_id)
        is_new_voter = changed_id in members.voters
        if not has_quorum(members, alive) or (is_new_voter and changed_id not in alive):
            raise MembersChangeError(
                "too few of the voters would be alive",
                step=STEP_MEMBERS,
                peer=changed_id,
            )

    def read(self, request_id: int, now_s: float) -> None:
        """Answer a read at once under the lease, else after a round."""
        if self._core.leader is None or not self.check_quorum(now_s):
            self._core.outbox.add(Refused(request_id, self._core.leader_id))
            return
        if self._core.has_lease(now_s):
            self._core.outbox.add_read(ReadReady(request_id, self._core.commit_index))
            return
        # Only a round that begins after the question can confirm it.
        self._replication.broadcast(now_s)
        index = max(self._core.commit_index, self._core.leader.first_index)
        read = PendingRead(request_id, index, self._core.leader.round)
        self._core.leader.reads.append(read)
        self._replication.answer_reads()

    def start_transfer(self, now_s: float) -> None:
        """Hand leadership to the voter that holds most of the log."""
        if self._core.leader is None or self._core.leader.transfer_target:
            return
        candidates = [
            voter
            for voter in self._core.log.members.voters
            if voter != self._core.own_id
            and self._core.last_heard_s(voter) + self._core.config.election_timeout_s
            > now_s
        ]
        if not candidates:
            return
        target = max(candidates, key=self._core.match_index)
        self._core.leader.transfer_target = target
        self._core.leader.transfer_deadline_s = (
            now_s + self._core.config.election_timeout_s
        )
        self._replication.continue_transfer()
