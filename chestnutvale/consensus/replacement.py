"""Which member to change next, so that no operator has to be awake."""

from collections.abc import Mapping, Sequence

import attrs

from chestnutvale.consensus.const import (
    DEFAULT_VOTER_LOST_S,
    DEFAULT_VOTER_REBORN_S,
    JOIN_FRESH_S,
    LEARNER_ALIVE_S,
    LEARNER_FORGET_S,
    MAX_PROMOTE_LAG_ENTRIES,
)
from chestnutvale.consensus.events import ChangeKind, MembersChange
from chestnutvale.consensus.members import control_of
from chestnutvale.schema.raft_pb2 import Members


@attrs.frozen
class MemberContact:
    """What the leader knows of a member.

    Parameters
    ----------
    silent_since_s : float
        Time since which the leader has not heard it, at the longest.
    match_index : int
        Index up to which it surely holds the log.
    """

    silent_since_s: float
    match_index: int


@attrs.frozen
class Joiner:
    """A control that asked to join.

    Parameters
    ----------
    member_id : str
        Its identity.
    address : str
        Its peer inbox.
    heard_s : float
        Time of its newest request.
    """

    member_id: str
    address: str
    heard_s: float


@attrs.define
class ReplacementPolicy:
    """Decides on the leader which single change of members comes next.

    A lost voter is removed only once a caught-up learner can take its place, and
    the learner is promoted after that: the two survivors of three decide both
    steps, which asks for no more of them than an ordinary commit.

    Parameters
    ----------
    voter_lost_s : float, optional
        Silence in seconds after which a voter counts as lost.
    voter_reborn_s : float, optional
        The same for a voter whose control has come back with another disk.
    wanted_voters : int, optional
        Voters to grow to, if that is more than there were at the first start.
    """

    voter_lost_s: float = DEFAULT_VOTER_LOST_S
    voter_reborn_s: float = DEFAULT_VOTER_REBORN_S
    wanted_voters: int = 0

    def decide(
        self,
        own_id: str,
        members: Members,
        contacts: Mapping[str, MemberContact],
        joiners: Sequence[Joiner],
        last_index: int,
        now_s: float,
    ) -> MembersChange | None:
        """Return the next change of members.

        Parameters
        ----------
        own_id : str
            Identity of the leader.
        members : Members
            The committed members.
        contacts : mapping of str to MemberContact
            What is known of each member but the leader.
        joiners : sequence of Joiner
            Controls that asked to join.
        last_index : int
            Index of the leader's last entry.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        MembersChange or None
            None if nothing is to be changed.
        """
        fresh = [j for j in joiners if j.heard_s + JOIN_FRESH_S >= now_s]
        ready = self._find_ready(members, contacts, last_index, now_s)
        wanted_voters = max(members.wanted_voters, self.wanted_voters)
        if len(members.voters) < wanted_voters:
            if ready:
                return MembersChange(ChangeKind.PROMOTE, ready[0])
        elif ready:
            lost = self._find_lost(own_id, members, contacts, fresh, ready, now_s)
            if lost:
                return MembersChange(ChangeKind.REMOVE, lost)
        return self._find_join(members, fresh) or self._find_forgotten(
            members, contacts, now_s
        )

    def _find_ready(
        self,
        members: Members,
        contacts: Mapping[str, MemberContact],
        last_index: int,
        now_s: float,
    ) -> list[str]:
        """Return the learners that could vote now; reborn voters first."""
        ready = [
            learner
            for learner in members.learners
            if contacts[learner].silent_since_s + LEARNER_ALIVE_S > now_s
            and contacts[learner].match_index > 0
            and contacts[learner].match_index + MAX_PROMOTE_LAG_ENTRIES >= last_index
        ]
        controls = {control_of(voter) for voter in members.voters}
        return sorted(ready, key=lambda learner: control_of(learner) not in controls)

    def _find_lost(
        self,
        own_id: str,
        members: Members,
        contacts: Mapping[str, MemberContact],
        fresh: Sequence[Joiner],
        ready: Sequence[str],
        now_s: float,
    ) -> str:
        """Return a voter that has been silent for too long; empty if none."""
        reborn = {control_of(member_id) for member_id in members.learners}
        reborn.update(control_of(joiner.member_id) for joiner in fresh)
        ready_controls = {control_of(learner) for learner in ready}
        for voter in members.voters:
            if voter == own_id:
                continue
            is_reborn = control_of(voter) in reborn
            limit_s = self.voter_reborn_s if is_reborn else self.voter_lost_s
            if contacts[voter].silent_since_s + limit_s > now_s:
                continue
            is_waiting_for_itself = (
                is_reborn and control_of(voter) not in ready_controls
            )
            is_long_lost = contacts[voter].silent_since_s + self.voter_lost_s <= now_s
            if not is_waiting_for_itself or is_long_lost:
                return voter
        return ""

    def _find_join(
        self, members: Members, fresh: Sequence[Joiner]
    ) -> MembersChange | None:
        known = {*members.voters, *members.learners}
        for joiner in fresh:
            control_id = control_of(joiner.member_id)
            if joiner.member_id in known or control_id in members.barred_controls:
                continue
            for learner in members.learners:
                if control_of(learner) == control_id:
                    return MembersChange(ChangeKind.REMOVE, learner)
            return MembersChange(
                ChangeKind.ADD_LEARNER, joiner.member_id, joiner.address
            )
        return None

    @staticmethod
    def _find_forgotten(
        members: Members, contacts: Mapping[str, MemberContact], now_s: float
    ) -> MembersChange | None:
        """Return the removal of a learner that has been gone for very long."""
        for learner in members.learners:
            if contacts[learner].silent_since_s + LEARNER_FORGET_S <= now_s:
                return MembersChange(ChangeKind.REMOVE, learner)
        return None
