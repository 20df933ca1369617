"""Share of its ordinary traffic that a group gets while it is cold and afterwards."""

from collections.abc import Collection

import attrs

from chestnutvale.routing.const import SLOW_START_S, SLOW_START_SHARE


@attrs.define
class SlowStart:
    """Ramps the traffic of a group up after its endpoint was cold.

    It answers the moment at which a group is the least loaded of all because it has
    just become warm: without a ramp, all entries would choose it at once. A cold group
    gets the share with which the ramp begins; if it has a bound, the entry's slots
    limit its traffic as well.
    """

    _cold: frozenset[str] = frozenset()
    _ended_at_s: dict[str, float] = attrs.field(factory=dict)

    def update(self, cold: Collection[str], now_s: float) -> None:
        """Set the cold groups of the newest view.

        Parameters
        ----------
        cold : collection of str
            Groups whose endpoint is cold.
        now_s : float
            Monotonic time in seconds.
        """
        current = frozenset(cold)
        self._ended_at_s = {
            group_id: ended_at_s
            for group_id, ended_at_s in self._ended_at_s.items()
            if group_id not in current and now_s - ended_at_s < SLOW_START_S
        }
        for group_id in self._cold - current:
            self._ended_at_s[group_id] = now_s
        self._cold = current

    def share(self, group_id: str, now_s: float) -> float:
        """Return the share of its ordinary traffic that a group should get.

        Parameters
        ----------
        group_id : str
            The group.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Above 0; 1 for a group that has been warm for `SLOW_START_S`.
        """
        if group_id in self._cold:
            return SLOW_START_SHARE
        ended_at_s = self._ended_at_s.get(group_id)
        if ended_at_s is None:
            return 1.0
        progress = max(0.0, now_s - ended_at_s) / SLOW_START_S
        return min(1.0, SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * progress)

    def is_starting(self, group_id: str, now_s: float) -> bool:
        """Tell whether a group does not get its ordinary traffic yet."""
        return self.share(group_id, now_s) < 1.0
