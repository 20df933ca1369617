"""Tracks the running attempts of each group, to act when it is lost or stalls."""

from collections import Counter
from collections.abc import Callable

import attrs

from chestnutvale.attempts.events import GroupLost, GroupStalled

GroupReport = GroupLost | GroupStalled


def _ignore_report(report: GroupReport) -> None:
    """Do nothing; for an attempt that its call can't leave."""


def _ignore_first() -> None:
    """Do nothing; the default until the load exchange is set up."""


@attrs.frozen
class _RunningAttempt:
    group_id: str
    epoch: int
    on_report: Callable[[GroupReport], None]


class RunningAttempts:
    """Running attempts by group and epoch.

    A host that freezes or loses its network does not close its connections. It may also
    only be late, so a reported loss or stall of a group ends no attempt: each call
    decides whether it continues at another group.

    Attributes
    ----------
    on_first : callable
        Called when an attempt is added while none runs; must not block.
    """

    def __init__(self) -> None:
        self.on_first: Callable[[], None] = _ignore_first
        self._running: dict[object, _RunningAttempt] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._running)

    def add(
        self,
        group_id: str,
        epoch: int,
        attempt: object,
        on_report: Callable[[GroupReport], None] = _ignore_report,
    ) -> None:
        """Add an attempt that has started.

        Parameters
        ----------
        group_id : str
            Group that runs it.
        epoch : int
            Epoch of the group.
        attempt : object
            The attempt.
        on_report : callable, optional
            Gets the reports about the group; must not block.
        """
        is_first = not self._running
        self._running[attempt] = _RunningAttempt(group_id, epoch, on_report)
        if is_first:
            self.on_first()

    def remove(self, attempt: object) -> None:
        """Remove an attempt that has ended.

        Parameters
        ----------
        attempt : object
            The attempt; one that was not added is ignored.
        """
        self._running.pop(attempt, None)

    def counts_by_group(self) -> dict[str, int]:
        """Return the number of running attempts at each group."""
        return dict(Counter(item.group_id for item in self._running.values()))

    def counts_by_epoch(self) -> dict[int, int]:
        """Return the number of running attempts by the epoch of their group."""
        return dict(Counter(item.epoch for item in self._running.values()))

    def report_loss(self, group_id: str, epoch: int, is_restarted: bool = False) -> int:
        """Report to the calls with attempts at a group that it seems to be lost.

        Parameters
        ----------
        group_id : str
            The group.
        epoch : int
            Last epoch that is lost; attempts of later epochs are not concerned.
        is_restarted : bool, optional
            Whether a member announced itself as restarted.

        Returns
        -------
        int
            Number of attempts that were concerned.
        """
        concerned = [
            item
            for item in self._running.values()
            if item.group_id == group_id and item.epoch <= epoch
        ]
        for item in concerned:
            item.on_report(GroupLost(is_restarted))
        return len(concerned)

    def report_stall(self, group_id: str) -> None:
        """Report to the calls with attempts at a group that it has stalled.

        Parameters
        ----------
        group_id : str
            The group.
        """
        for item in list(self._running.values()):
            if item.group_id == group_id:
                item.on_report(GroupStalled())
