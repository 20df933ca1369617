"""Tracks the running attempts of each group, so that a lost group's can be aborted."""

from collections import Counter
from typing import Protocol


class Abortable(Protocol):
    """An attempt that waits for an endpoint and can be interrupted."""

    def abort(self) -> None:
        """Interrupt the greenlet that waits for the endpoint."""


class RunningAttempts:
    """Running attempts by group and epoch.

    A host that freezes or loses its network does not close its connections.
    `abort_group` is called once the membership reports its group as lost, so that
    the calls continue at other groups before their streams time out.
    """

    def __init__(self) -> None:
        self._groups_by_attempt: dict[Abortable, tuple[str, int]] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._groups_by_attempt)

    def add(self, group_id: str, epoch: int, attempt: Abortable) -> None:
        """Add an attempt that has started.

        Parameters
        ----------
        group_id : str
            Group that runs it.
        epoch : int
            Epoch of the group.
        attempt : Abortable
            The attempt.
        """
        self._groups_by_attempt[attempt] = (group_id, epoch)

    def remove(self, attempt: Abortable) -> None:
        """Remove an attempt that has ended.

        Parameters
        ----------
        attempt : Abortable
            The attempt; one that was not added is ignored.
        """
        self._groups_by_attempt.pop(attempt, None)

    def counts_by_group(self) -> dict[str, int]:
        """Return the number of running attempts at each group."""
        return dict(
            Counter(group_id for group_id, _ in self._groups_by_attempt.values())
        )

    def counts_by_epoch(self) -> dict[int, int]:
        """Return the number of running attempts by the epoch of their group."""
        return dict(Counter(epoch for _, epoch in self._groups_by_attempt.values()))

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
            for attempt, (running_id, running_epoch) in self._groups_by_attempt.items()
            if running_id == group_id and running_epoch <= epoch
        ]
        for attempt in attempts:
            attempt.abort()
        return len(attempts)
