"""Tracks the running attempts of each group, to act when it is lost or stalls."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

import attrs


class Abortable(Protocol):
    """An attempt that waits for an endpoint and can be interrupted."""

    def abort(self) -> None:
        """Interrupt the greenlet that waits for the endpoint."""


def _ignore_stall() -> None:
    """Do nothing; for an attempt that its call can't leave."""


def _ignore_first() -> None:
    """Do nothing; the default until the load exchange is set up."""


@attrs.frozen
class _RunningAttempt:
    group_id: str
    epoch: int
    on_stall: Callable[[], None]


class RunningAttempts:
    """Running attempts by group and epoch.

    A host that freezes or loses its network does not close its connections.
    `abort_group` is called once the membership reports its group as lost, so that
    the calls continue at other groups before their streams time out. A group that has
    stalled may recover, so `report_stall` leaves the decision to the calls.

    Attributes
    ----------
    on_first : callable
        Called when an attempt is added while none runs; must not block.
    """

    def __init__(self) -> None:
        self.on_first: Callable[[], None] = _ignore_first
        self._running: dict[Abortable, _RunningAttempt] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._running)

    def add(
        self,
        group_id: str,
        epoch: int,
        attempt: Abortable,
        on_stall: Callable[[], None] = _ignore_stall,
    ) -> None:
        """Add an attempt that has started.

        Parameters
        ----------
        group_id : str
            Group that runs it.
        epoch : int
            Epoch of the group.
        attempt : Abortable
            The attempt.
        on_stall : callable, optional
            Called when the group has stalled; must not block.
        """
        is_first = not self._running
        self._running[attempt] = _RunningAttempt(group_id, epoch, on_stall)
        if is_first:
            self.on_first()

    def remove(self, attempt: Abortable) -> None:
        """Remove an attempt that has ended.

        Parameters
        ----------
        attempt : Abortable
            The attempt; one that was not added is ignored.
        """
        self._running.pop(attempt, None)

    def counts_by_group(self) -> dict[str, int]:
        """Return the number of running attempts at each group."""
        return dict(Counter(item.group_id for item in self._running.values()))

    def counts_by_epoch(self) -> dict[int, int]:
        """Return the number of running attempts by the epoch of their group."""
        return dict(Counter(item.epoch for item in self._running.values()))

    def abort_group(self, group_id: str, epoch: int) -> int:
        """Interrupt the attempts of a lost group.

        Parameters
        ----------
        group_id : str
            The group.
        epoch : int
            Last epoch that is lost; attempts of later epochs continue.

        Returns
        -------
        int
            Number of attempts that were interrupted.
        """
        attempts = [
            attempt
            for attempt, item in self._running.items()
            if item.group_id == group_id and item.epoch <= epoch
        ]
        for attempt in attempts:
            attempt.abort()
        return len(attempts)

    def report_stall(self, group_id: str) -> None:
        """Report to the calls with attempts at a group that it has stalled.

        Parameters
        ----------
        group_id : str
            The group.
        """
        for item in list(self._running.values()):
            if item.group_id == group_id:
                item.on_stall()
