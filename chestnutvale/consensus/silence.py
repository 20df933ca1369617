"""What a follower learns from its leader about the silence of other members."""

import math
from collections.abc import Iterable

import attrs

from chestnutvale.consensus.config import MS_PER_S
from chestnutvale.schema.raft_pb2 import MemberSilence


@attrs.define
class ReportedSilence:
    """Since when members have been silent, by the last leader that was heard.

    A new leader has heard nobody yet. Without this report it would have to wait for the
    whole timeout again before it can call a voter lost.
    """

    _leader_id: str = ""
    _leader_heard_s: float = -math.inf
    _since_s: dict[str, float] = attrs.field(factory=dict)

    def record(
        self, leader_id: str, silences: Iterable[MemberSilence], now_s: float
    ) -> None:
        """Replace the report by that of an append.

        Parameters
        ----------
        leader_id : str
            Leader that sent the append.
        silences : iterable of MemberSilence
            Silent members and for how long they have been silent.
        now_s : float
            Monotonic time of the receipt in seconds. Silences are underestimated by the
            time in transit, which is not known.
        """
        self._leader_id = leader_id
        self._leader_heard_s = now_s
        self._since_s = {
            silence.member_id: now_s - silence.silent_ms / MS_PER_S
            for silence in silences
        }

    def since_s(self, member_id: str) -> float:
        """Return since when a member has been silent; infinite if it was not.

        Parameters
        ----------
        member_id : str
            Member identity.

        Returns
        -------
        float
            Monotonic time in seconds.
        """
        if member_id == self._leader_id:
            return self._leader_heard_s
        return self._since_s.get(member_id, math.inf)
