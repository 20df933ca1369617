"""Automatic replacement of lost voters, without operator action."""

from collections.abc import Mapping, Sequence

import attrs

from chestnutvale.consensus.const import (
    DEFAULT_ELECTION_TIMEOUT_S,
    DEFAULT_VOTER_LOST_S,
    JOIN_REQUEST_MAX_AGE_S,
    LEARNER_REMOVAL_TIMEOUT_S,
    MAX_PROMOTE_LAG_ENTRIES,
)
from chestnutvale.consensus.events import ChangeKind, MembersChange
from chestnutvale.consensus.members import control_of
from chestnutvale.schema.raft_pb2 import Members


@attrs.frozen
class MemberContact:
    """The leader's view of a member.

    Parameters
    ----------
    silent_since_s : float
        Earliest monotonic time since which it may have been silent, also to the leaders
        before this one.
    match_index : int
        Index up to which the member is known to hold the log.
    """

    silent_since_s: float
    match_index: int


@attrs.frozen
class JoinCandidate:
    """A control that has sent a join request.

    Parameters
    ----------
    member_id : str
        Member identity.
    address : str
        Peer address.
    heard_s : float
        Monotonic time of the newest request, in seconds.
    is_admitted : bool, optional
        Whether it has become a member since.
    """

    member_id: str
    address: str
    heard_s: float
    is_admitted: bool = False


def _find_recent_candidates(
    candidates: Sequence[JoinCandidate], now_s: float
) -> list[JoinCandidate]:
    """Return the newest identity of each control that waits to be admitted."""
    newest = {
        control_of(candidate.member_id): candidate
        for candidate in sorted(candidates, key=lambda candidate: candidate.heard_s)
    }
    return [
        candidate
        for candidate in newest.values()
        if candidate.heard_s + JOIN_REQUEST_MAX_AGE_S >= now_s
        and not candidate.is_admitted
    ]


@attrs.define
class ReplacementPolicy:
    """Decides on the leader which membership change to propose next.

    A lost voter is removed only once a caught-up learner can replace it, and the
    learner is promoted afterwards. Both steps need no larger quorum than an
    ordinary commit: the two survivors of three voters suffice.

    It answers losses that follow each other as soon as earlier ones count as recovered,
    and that may strike each leader in turn: a replacement must not start over with an
    election.

    Parameters
    ----------
    voter_lost_s : float, optional
        Seconds without contact after which a voter is considered lost.
    election_timeout_s : float, optional
        Seconds without contact after which a voter is considered lost if its control
        has returned with another disk. For as long a new leader waits for the voters'
        first replies.
    wanted_voters : int, optional
        Target number of voters, if larger than at bootstrap.
    """

    voter_lost_s: float = DEFAULT_VOTER_LOST_S
    election_timeout_s: float = DEFAULT_ELECTION_TIMEOUT_S
    wanted_voters: int = 0

    def decide(
        self,
        own_id: str,
        members: Members,
        contacts: Mapping[str, MemberContact],
        candidates: Sequence[JoinCandidate],
        last_index: int,
        leader_since_s: float,
        now_s: float,
    ) -> MembersChange | None:
        """Return the next membership change to propose.

        Parameters
        ----------
        own_id : str
            Identity of the leader.
        members : Members
            The committed members.
        contacts : mapping of str to MemberContact
            Contact state of each member except the leader.
        candidates : sequence of JoinCandidate
            Controls that have sent a join request.
        last_index : int
            Index of the leader's last entry.
        leader_since_s : float
            Monotonic time of the leader's election, in seconds.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        MembersChange or None
            None if no change is needed.
        """
        recent_candidates = _find_recent_candidates(candidates, now_s)
        promotable = self._find_promotable_learners(
            members, contacts, last_index, now_s
        )
        wanted_voters = max(members.wanted_voters, self.wanted_voters)
        if len(members.voters) < wanted_voters:
            if promotable:
                return MembersChange(ChangeKind.PROMOTE, promotable[0])
        elif promotable and leader_since_s + self.election_timeout_s <= now_s:
            lost = self._find_lost_voter(own_id, members, contacts, now_s)
            if lost:
                return MembersChange(ChangeKind.REMOVE, lost)
        return self._find_candidate_change(
            members, contacts, recent_candidates, now_s
        ) or self._find_stale_learner(members, contacts, now_s)

    def _find_promotable_learners(
        self,
        members: Members,
        contacts: Mapping[str, MemberContact],
        last_index: int,
        now_s: float,
    ) -> list[str]:
        """Return the learners that can be promoted; returned controls first."""
        promotable = [
            learner
            for learner in members.learners
            if contacts[learner].silent_since_s + self.election_timeout_s > now_s
            and contacts[learner].match_index > 0
            and contacts[learner].match_index + MAX_PROMOTE_LAG_ENTRIES >= last_index
        ]
        controls = {control_of(voter) for voter in members.voters}
        return sorted(
            promotable, key=lambda learner: control_of(learner) not in controls
        )

    def _find_lost_voter(
        self,
        own_id: str,
        members: Members,
        contacts: Mapping[str, MemberContact],
        now_s: float,
    ) -> str:
        """Return a voter whose contact timeout has expired; empty if none.

        A voter whose control has returned with another disk is lost for certain, so it
        comes first. The new identity may vote already, in the place of another voter.
        """
        silent_since_s = {
            voter: contacts[voter].silent_since_s
            for voter in members.voters
            if voter != own_id
        }
        heard_controls = {control_of(own_id)} | {
            control_of(member)
            for member, contact in contacts.items()
            if contact.silent_since_s + self.election_timeout_s > now_s
        }
        superseded = [
            voter
            for voter, since_s in silent_since_s.items()
            if control_of(voter) in heard_controls
            and since_s + self.election_timeout_s <= now_s
        ]
        lost = [
            voter
            for voter, since_s in silent_since_s.items()
            if since_s + self.voter_lost_s <= now_s
        ]
        return min(superseded or lost, key=silent_since_s.__getitem__, default="")

    def _find_candidate_change(
        self,
        members: Members,
        contacts: Mapping[str, MemberContact],
        recent_candidates: Sequence[JoinCandidate],
        now_s: float,
    ) -> MembersChange | None:
        known = {*members.voters, *members.learners}
        for candidate in recent_candidates:
            control_id = control_of(candidate.member_id)
            if candidate.member_id in known or control_id in members.barred_controls:
                continue
            former = [
                learner
                for learner in members.learners
                if control_of(learner) == control_id
            ]
            if not former:
                return MembersChange(
                    ChangeKind.ADD_LEARNER, candidate.member_id, candidate.address
                )
            if contacts[former[0]].silent_since_s + self.election_timeout_s <= now_s:
                return MembersChange(ChangeKind.REMOVE, former[0])
        return None

    @staticmethod
    def _find_stale_learner(
        members: Members, contacts: Mapping[str, MemberContact], now_s: float
    ) -> MembersChange | None:
        """Return the removal of a learner without contact for a long time."""
        for learner in members.learners:
            if contacts[learner].silent_since_s + LEARNER_REMOVAL_TIMEOUT_S <= now_s:
                return MembersChange(ChangeKind.REMOVE, learner)
        return None
