"""Cluster bootstrap, which must happen at most once."""

from collections.abc import Sequence

import attrs

from chestnutvale.consensus.const import JOIN_REQUEST_MAX_AGE_S
from chestnutvale.consensus.members import control_of
from chestnutvale.schema.raft_pb2 import Members, RaftMessage


@attrs.define
class Bootstrap:
    """Decides on the first control whether to bootstrap a new cluster.

    Bootstrap requires that every control in the settings has reported to this
    member identity that its disk is empty and that its settings list the same
    controls. A control that holds data or does not answer prevents it, so a
    control that lost its disk rejoins the old cluster and never bootstraps a
    second one.

    Parameters
    ----------
    own_id : str
        Identity of this member.
    own_address : str
        Peer address of this member.
    initial_controls : sequence of str
        Controls in the settings; only the first may bootstrap.
    is_spare : bool
        Whether this control is a spare; a spare never bootstraps.
    """

    own_id: str
    own_address: str
    initial_controls: Sequence[str]
    is_spare: bool
    _answers: dict[str, tuple[float, RaftMessage]] = attrs.field(factory=dict)

    def record_join_request(self, message: RaftMessage, now_s: float) -> None:
        """Record a join request; ignore one addressed to another identity.

        Parameters
        ----------
        message : RaftMessage
            Message that contains the request.
        now_s : float
            Monotonic time in seconds.
        """
        if message.to_id == self.own_id:
            self._answers[control_of(message.from_id)] = (now_s, message)

    def decide(self, now_s: float) -> Members | None:
        """Return the initial members, or None if bootstrap is not allowed now.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Members or None
            Initial voters and their addresses.
        """
        if self.find_bootstrap_obstacle(now_s):
            return None
        members = Members(voters=[self.own_id])
        members.addresses[self.own_id] = self.own_address
        for control_id in self.initial_controls[1:]:
            message = self._answers[control_id][1]
            if message.join_request.spare:
                continue
            members.voters.append(message.from_id)
            members.addresses[message.from_id] = message.join_request.address
        members.wanted_voters = len(members.voters)
        return members

    def find_bootstrap_obstacle(self, now_s: float) -> str:
        """Return why bootstrap is not allowed now; empty if it is.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        str
            Reason, shown to the operator.
        """
        if self.is_spare:
            return "a spare does not bootstrap; it waits for a leader"
        first = self.initial_controls[0] if self.initial_controls else ""
        if control_of(self.own_id) != first:
            return f"only {first} may bootstrap a cluster"
        reasons = (
            self._find_control_obstacle(c, now_s) for c in self.initial_controls[1:]
        )
        return next((reason for reason in reasons if reason), "")

    def _find_control_obstacle(self, control_id: str, now_s: float) -> str:
        heard_s, message = self._answers.get(control_id, (0.0, None))
        if message is None or heard_s + JOIN_REQUEST_MAX_AGE_S < now_s:
            return f"{control_id} has not answered"
        if not message.join_request.empty:
            return f"{control_id} holds data of a cluster"
        if list(message.join_request.initial_controls) != list(self.initial_controls):
            return f"{control_id} names other controls in its settings"
        return ""
