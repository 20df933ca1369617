"""Whom an entry reports to, without a fixed list of controls."""

from collections.abc import Mapping

import attrs

from chestnutvale.membership.const import LEADER_SILENT_S


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
    leader_silent_s : float, optional
        Silence in seconds after which the leader may be another control.
    """

    seeds: Mapping[str, str]
    leader_silent_s: float = LEADER_SILENT_S
    _known: dict[str, str] = attrs.field(factory=dict)
    _leader_id: str = ""
    _answered_s: float = float("-inf")

    def note_view(
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
        self._answered_s = now_s
        if controls:
            self._known = dict(controls)

    def note_controls(self, controls: Mapping[str, str]) -> None:
        """Note controls that one of them names without being the leader.

        Parameters
        ----------
        controls : mapping of str to str
            Peer address by control.
        """
        self._known.update(controls)

    def choose(self, now_s: float) -> list[tuple[str, str]]:
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
        everyone = {**self.seeds, **self._known}
        is_heard = now_s - self._answered_s <= self.leader_silent_s
        if is_heard and self._leader_id in everyone:
            return [(self._leader_id, everyone[self._leader_id])]
        return list(everyone.items())
