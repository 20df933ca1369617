"""Whom an entry reports to, without a fixed list of controls."""

from collections.abc import Mapping

import attrs

from chestnutvale.membership.const import LEADER_SILENCE_TIMEOUT_S


@attrs.define
class ReportTargets:
    """Chooses the controls that get a report.

    While the leader answers, it alone is reported to. Once it falls silent, every
    control that the entry has been told of is asked, and those in the settings too,
    since all that it was told may be out of date.

    Parameters
    ----------
    seeds : mapping of str to str
        Peer address by control, from the settings.
    leader_silence_timeout_s : float, optional
        Silence in seconds after which the leader may be another control.
    """

    seeds: Mapping[str, str]
    leader_silence_timeout_s: float = LEADER_SILENCE_TIMEOUT_S
    _known: dict[str, str] = attrs.field(factory=dict)
    _leader_id: str = ""
    _last_view_at_s: float = float("-inf")

    def record_leader_view(
        self, leader_id: str, controls: Mapping[str, str], now_s: float
    ) -> None:
        """Note a view.

        Parameters
        ----------
        leader_id : str
            The control that sent it.
        controls : mapping of str to str
            Peer address by control, as the view has them; empty leaves the known ones.
        now_s : float
            Monotonic time.
        """
        self._leader_id = leader_id
        self._last_view_at_s = now_s
        if controls:
            self._known = dict(controls)

    def add_controls(self, controls: Mapping[str, str]) -> None:
        """Note controls that one of them names without being the leader.

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
            Monotonic time.

        Returns
        -------
        list of tuple of (str, str)
            Control and its peer address.
        """
        all_controls = {**self.seeds, **self._known}
        is_leader_live = now_s - self._last_view_at_s <= self.leader_silence_timeout_s
        if is_leader_live and self._leader_id in all_controls:
            return [(self._leader_id, all_controls[self._leader_id])]
        return list(all_controls.items())
