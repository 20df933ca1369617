"""Cluster membership: join requests, bootstrap and voter replacement."""

from collections.abc import Iterator

import attrs

from chestnutvale.consensus.bootstrap import Bootstrap
from chestnutvale.consensus.config import MS_PER_S, make_raft_config
from chestnutvale.consensus.const import DEFAULT_VOTER_LOST_S
from chestnutvale.consensus.events import MembersChange
from chestnutvale.consensus.members import control_of, peer_addresses
from chestnutvale.consensus.raft import Raft
from chestnutvale.consensus.replacement import (
    JoinCandidate,
    MemberContact,
    ReplacementPolicy,
)
from chestnutvale.schema.raft_pb2 import (
    JoinReply,
    JoinRequest,
    Members,
    RaftMessage,
)
from chestnutvale.schema.settings_pb2 import ControlSettings


class ClusterMembership:
    """Tracks the other controls and decides on membership; does no I/O.

    Parameters
    ----------
    settings : ControlSettings
        Settings with this control and the initial voters.
    own_id : str
        Identity of this member.
    """

    def __init__(self, settings: ControlSettings, own_id: str) -> None:
        self._settings = settings
        self._own_id = own_id
        self._initial_controls = [peer.id for peer in settings.controls]
        self._candidates: dict[str, JoinCandidate] = {}
        self._answered_requests: set[tuple[str, bool]] = set()
        self._reported_addresses: dict[str, str] = {}
        self._bootstrap = Bootstrap(
            own_id, settings.peer_address, self._initial_controls, settings.spare
        )
        voter_lost_s = settings.voter_lost_ms / MS_PER_S or DEFAULT_VOTER_LOST_S
        self._replacement = ReplacementPolicy(
            voter_lost_s=voter_lost_s,
            election_timeout_s=make_raft_config(settings).election_timeout_s,
            wanted_voters=settings.wanted_voters,
        )

    def record_join_request(self, message: RaftMessage, now_s: float) -> bool:
        """Record a join request.

        Parameters
        ----------
        message : RaftMessage
            Message that contains the request.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the sender is new, so that it should be answered immediately.
        """
        address = message.join_request.address
        # Order by time of the newest request; the latest identity comes last.
        self._candidates.pop(message.from_id, None)
        self._candidates[message.from_id] = JoinCandidate(
            message.from_id, address, now_s
        )
        self._bootstrap.record_join_request(message, now_s)
        request_key = (message.from_id, message.to_id == self._own_id)
        is_new = request_key not in self._answered_requests
        self._answered_requests.add(request_key)
        return is_new

    def make_reply(self, request: RaftMessage, members: Members) -> RaftMessage | None:
        """Return the reply to a join request.

        Parameters
        ----------
        request : RaftMessage
            Message that contains the request.
        members : Members
            Members in this control's own log.

        Returns
        -------
        RaftMessage or None
            None if this control has no members in its log.
        """
        addresses = peer_addresses(members)
        if not addresses:
            return None
        return RaftMessage(
            from_id=self._own_id,
            to_id=request.from_id,
            join_reply=JoinReply(addresses=addresses),
        )

    def make_invitations(
        self, raft: Raft, now_s: float
    ) -> Iterator[tuple[str, RaftMessage]]:
        """Yield an address and an unasked join reply for each silent voter.

        Its control may have returned with another disk, and with settings that name no
        control that it can reach.

        Parameters
        ----------
        raft : Raft
            This member, which leads.
        now_s : float
            Monotonic time in seconds.

        Yields
        ------
        tuple of (str, RaftMessage)
            Peer address and message.
        """
        members = raft.log.members
        reply = JoinReply(addresses=peer_addresses(members))
        for silence in raft.list_silences(now_s):
            address = members.addresses.get(silence.member_id, "")
            if address:
                yield (
                    address,
                    RaftMessage(
                        from_id=self._own_id,
                        to_id=silence.member_id,
                        join_reply=reply,
                    ),
                )

    def record_join_reply(self, message: RaftMessage) -> bool:
        """Record the peer addresses reported in a join reply.

        Parameters
        ----------
        message : RaftMessage
            Message that contains the reply.

        Returns
        -------
        bool
            Whether the reply lists a control that was unknown.
        """
        addresses = dict(message.join_reply.addresses)
        addresses.pop(self._settings.control_id, None)
        is_new = not addresses.items() <= self.known_addresses(Members()).items()
        # Keep only the newest reply, so that removed controls are dropped.
        self._reported_addresses = addresses
        return is_new

    def known_addresses(self, members: Members) -> dict[str, str]:
        """Return the known peer addresses of the other controls.

        Parameters
        ----------
        members : Members
            The members in its own log.

        Returns
        -------
        dict of str to str
            Peer address by control.
        """
        addresses = {peer.id: peer.address for peer in self._settings.controls}
        addresses |= self._reported_addresses
        addresses |= peer_addresses(members)
        addresses.pop(self._settings.control_id, None)
        return addresses

    def find_candidate(self, control_id: str) -> JoinCandidate | None:
        """Return the newest identity with which a control asked to join."""
        found = [
            candidate
            for candidate in self._candidates.values()
            if control_of(candidate.member_id) == control_id
        ]
        return found[-1] if found else None

    def find_address(self, member_id: str, members: Members) -> str:
        """Return a member's peer address; empty if unknown."""
        address = members.addresses.get(member_id, "")
        if address:
            return address
        if member_id in self._candidates:
            return self._candidates[member_id].address
        return self.known_addresses(members).get(control_of(member_id), "")

    def make_join_requests(self, raft: Raft) -> Iterator[tuple[str, RaftMessage]]:
        """Yield an address and a join request for each other control.

        Parameters
        ----------
        raft : Raft
            This member.

        Yields
        ------
        tuple of (str, RaftMessage)
            Peer address and message.
        """
        request = JoinRequest(
            address=self._settings.peer_address,
            spare=self._settings.spare,
            empty=raft.holds_no_entries,
            initial_controls=self._initial_controls,
        )
        addresses = self.known_addresses(raft.log.members)
        for control_id, address in addresses.items():
            candidate = self.find_candidate(control_id)
            to_id = candidate.member_id if candidate else control_id
            yield (
                address,
                RaftMessage(from_id=self._own_id, to_id=to_id, join_request=request),
            )

    def find_bootstrap_obstacle(self, now_s: float) -> str:
        """Return why bootstrap is not allowed here; empty if it is."""
        return self._bootstrap.find_bootstrap_obstacle(now_s)

    def decide_initial_members(self, now_s: float) -> Members | None:
        """Return the initial members, or None if bootstrap is not allowed."""
        return self._bootstrap.decide(now_s)

    def decide_next_change(self, raft: Raft, now_s: float) -> MembersChange | None:
        """Return the membership change that this leader should propose next."""
        members = raft.log.members
        if raft.log.members_index > raft.commit_index:
            return None
        member_ids = [*members.voters, *members.learners]
        for member_id in member_ids:
            # An answered request must not add the member again after its removal.
            if member_id in self._candidates:
                candidate = self._candidates[member_id]
                self._candidates[member_id] = attrs.evolve(candidate, is_admitted=True)
        contacts = {
            member: MemberContact(raft.silent_since_s(member), raft.match_index(member))
            for member in member_ids
            if member != self._own_id
        }
        return self._replacement.decide(
            self._own_id,
            members,
            contacts,
            list(self._candidates.values()),
            raft.log.last_index,
            raft.leader_since_s,
            now_s,
        )
