"""The first start of a cluster, which must never happen a second time."""

from collections.abc import Sequence

import attrs

from chestnutvale.consensus.const import JOIN_FRESH_S
from chestnutvale.consensus.members import control_of
from chestnutvale.schema.raft_pb2 import Members, RaftMessage


@attrs.define
class Bootstrap:
    """Decides on the first control whether a new cluster may begin.

    It may if every control in the settings has told this very disk that its own
    disk is empty and that its settings name the same controls. One control that
    still holds data, or is silent, forbids it, so a lost disk joins the old
    cluster and never begins another.

    Parameters
    ----------
    own_id : str
        Identity of this member.
    own_address : str
        Peer inbox of this member.
    initial_controls : sequence of str
        Controls in the settings; only the first of them may begin.
    is_spare : bool
        A spare never begins a cluster.
    """

    own_id: str
    own_address: str
    initial_controls: Sequence[str]
    is_spare: bool
    _answers: dict[str, tuple[float, RaftMessage]] = attrs.field(factory=dict)

    def note(self, message: RaftMessage, now_s: float) -> None:
        """Note a join request; one that is meant for another disk is ignored.

        Parameters
        ----------
        message : RaftMessage
            The message that holds the request.
        now_s : float
            Monotonic time in seconds.
        """
        if message.to_id == self.own_id:
            self._answers[control_of(message.from_id)] = (now_s, message)

    def decide(self, now_s: float) -> Members | None:
        """Return the first members, or None if the cluster may not begin now.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Members or None
            The first members.
        """
        own_control = control_of(self.own_id)
        if self.is_spare or own_control != self.initial_controls[0]:
            return None
        members = Members(voters=[self.own_id])
        members.addresses[self.own_id] = self.own_address
        for control_id in self.initial_controls[1:]:
            message = self._find_empty(control_id, now_s)
            if message is None:
                return None
            if message.join_request.spare:
                continue
            members.voters.append(message.from_id)
            members.addresses[message.from_id] = message.join_request.address
        members.wanted_voters = len(members.voters)
        return members

    def _find_empty(self, control_id: str, now_s: float) -> RaftMessage | None:
        heard_s, message = self._answers.get(control_id, (0.0, None))
        if message is None or heard_s + JOIN_FRESH_S < now_s:
            return None
        request = message.join_request
        same = list(request.initial_controls) == list(self.initial_controls)
        return message if request.empty and same else None
