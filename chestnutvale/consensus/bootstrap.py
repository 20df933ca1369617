"""Cluster bootstrap, which must happen at most once."""

import math
from collections.abc import Sequence

import attrs

from chestnutvale.consensus.const import (
    BOOTSTRAP_TAKEOVER_DELAY_S,
    JOIN_REQUEST_MAX_AGE_S,
)
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

    The first of these controls bootstraps. If it lost its disk, it comes back as a
    spare, and the next one takes its place, provided that the others are at their first
    start and have never stored an entry: then no entry was committed by the initial
    voters, and so none by any voters after them. Each quorum of the new voters shares a
    voter with each quorum of the old ones, in case the lost disk turns up again.

    Parameters
    ----------
    own_id : str
        Identity of this member.
    own_address : str
        Peer address of this member.
    initial_controls : sequence of str
        Controls in the settings; only the first may bootstrap, or the next one if those
        before it are spares.
    is_spare : bool
        Whether this control is a spare; a spare never bootstraps.
    """

    own_id: str
    own_address: str
    initial_controls: Sequence[str]
    is_spare: bool
    _answers: dict[str, tuple[float, RaftMessage]] = attrs.field(factory=dict)
    # Newest identity of each spare, and the monotonic time in seconds at which it was
    # first heard.
    _spares: dict[str, tuple[str, float]] = attrs.field(factory=dict)

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
            control_id = control_of(message.from_id)
            self._answers[control_id] = (now_s, message)
            known_id, _ = self._spares.get(control_id, ("", now_s))
            if message.join_request.spare and known_id != message.from_id:
                self._spares[control_id] = (message.from_id, now_s)

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
        for control_id in self._others:
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
        own_control = control_of(self.own_id)
        if own_control not in self.initial_controls:
            return f"only {' or '.join(self.initial_controls)} may bootstrap a cluster"
        position = self.initial_controls.index(own_control)
        reasons = (
            self._find_control_obstacle(control_id, control_position < position, now_s)
            for control_position, control_id in enumerate(self.initial_controls)
            if control_id != own_control
        )
        obstacle = next((reason for reason in reasons if reason), "")
        return obstacle or self._find_takeover_obstacle(position)

    def _find_takeover_obstacle(self, position: int) -> str:
        """Return why this control may not take the place of those before it."""
        answers = {control: self._answers[control] for control in self._others}
        before = self.initial_controls[:position]
        if not before:
            return ""
        first_starts = [
            heard_s
            for heard_s, message in answers.values()
            if not message.join_request.spare
        ]
        voters = len(first_starts) + 1
        total = len(self.initial_controls)
        # Voters besides the lost ones in the smallest quorum of all controls.
        shared_voters = total // 2 + 1 - (total - voters)
        if shared_voters + voters // 2 + 1 <= voters:
            return (
                "most of the first controls have lost their disks; if no cluster "
                "exists, an operator must start all controls anew "
                "(docs/operations/quorum.md)"
            )
        # An earlier answer may precede the last message of the process that was lost.
        lost_s = max(self._spares[control_id][1] for control_id in before)
        if min(first_starts, default=math.inf) < lost_s + BOOTSTRAP_TAKEOVER_DELAY_S:
            return "waits for answers that follow the loss of a disk"
        return ""

    @property
    def _others(self) -> list[str]:
        own_control = control_of(self.own_id)
        return [item for item in self.initial_controls if item != own_control]

    def _find_control_obstacle(
        self, control_id: str, is_before: bool, now_s: float
    ) -> str:
        heard_s, message = self._answers.get(control_id, (0.0, None))
        if message is None or heard_s + JOIN_REQUEST_MAX_AGE_S < now_s:
            return f"{control_id} has not answered"
        if not message.join_request.empty:
            return f"{control_id} holds data of a cluster"
        if message.join_request.spare:
            # It lost its disk, and its settings may name other controls by now.
            return ""
        if is_before:
            return f"{control_id} may bootstrap the cluster"
        if list(message.join_request.initial_controls) != list(self.initial_controls):
            return f"{control_id} names other controls in its settings"
        return ""
