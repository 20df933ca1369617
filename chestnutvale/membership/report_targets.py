"""Selection of the controls that an entry reports to."""

from collections.abc import Mapping

import attrs

from chestnutvale.membership.const import LEADER_SILENCE_TIMEOUT_S


@attrs.define
class ReportTargets:
    """Selects the controls that get a report.

    While the leader answers, only it gets reports. Once it is silent, reports go to
    every known control and also to those in the settings, since the known addresses
    may be out of date.

    Parameters
    ----------
    seeds : mapping of str to str
        Peer address by control, from the settings.
    leader_silence_timeout_s : float, optional
        Silence in seconds after which reports go to all controls.
    """

    seeds: Mapping[str, str]
    leader_silence_timeout_s: float = LEADER_SILENCE_TIMEOUT_S
    _known: dict[str, str] = attrs.field(factory=dict)
    _leader_id: str = ""
    _last_view_at_s: float = float("-inf")

    def record_leader_view(
        self, leader_id: str, controls: Mapping[str, str], now_s: float
    ) -> None:
        """Record a view from the leader and the controls that it lists.

        Parameters
        ----------
        leader_id : str
            The control that sent the view.
        controls : mapping of str to str
            Peer address by control, from the view; empty keeps the known ones.
        now_s : float
            Monotonic time in seconds.
        """
        self._leader_id = leader_id
        self._last_view_at_s = now_s
        if controls:
            self._known = dict(controls)

    def add_controls(self, controls: Mapping[str, str]) -> None:
        """Add controls that a follower named.

        Parameters
        ----------
        controls : mapping of str to str
            Peer address by control.
        """
        self._known.update(controls)

    def choose_controls(self, now_s: float) -> list[tuple[str, str]]:
        """Return the controls to report to.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of tuple of (str, str)
            Control id and peer address.
        """
        all_controls = {**self.seeds, **self._known}
        is_leader_live = now_s - self._last_view_at_s <= self.leader_silence_timeout_s
        if is_leader_live and self._leader_id in all_controls:
            return [(self._leader_id, all_controls[self._leader_id])]
        return list(all_controls.items())
