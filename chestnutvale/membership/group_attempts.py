"""Attempts that entries run at a group, as the leader knows them."""

from typing import Final

import attrs


@attrs.frozen
class GroupAttempts:
    """Attempts at a group, summed over the entries.

    Attributes
    ----------
    running : int
        Running attempts; those of entries that have fallen silent count for some time.
    is_complete : bool
        Whether the count covers all attempts that entries may run there. It does not
        while an entry has yet to report to a new leader, may still send requests to a
        group that drains, or has fallen silent.
    """

    running: int
    is_complete: bool

    @property
    def may_run(self) -> bool:
        """Whether an attempt may run there."""
        return self.running > 0 or not self.is_complete


UNKNOWN_ATTEMPTS: Final = GroupAttempts(running=0, is_complete=False)
