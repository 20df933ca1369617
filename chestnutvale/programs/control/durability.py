"""Waits until committed entries are on enough disks to be acknowledged."""

import eventlet

from chestnutvale.clock import Clock
from chestnutvale.consensus.const import STEP_MEMBERS
from chestnutvale.consensus.exceptions import OutcomeUnknownError
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.programs.control.const import DURABILITY_POLL_INTERVAL_S


def wait_until_durable(
    log: ConsensusTask, durable_copies: int, clock: Clock, deadline_s: float
) -> None:
    """Wait until all committed entries are on the required number of disks.

    At the first start, voters are added one by one. Entries that a small quorum
    committed are on the disks of a larger one once the change to it is committed.

    Parameters
    ----------
    log : ConsensusTask
        The replicated log.
    durable_copies : int
        Required number of disks; 0 for those of a quorum.
    clock : Clock
        Source of time.
    deadline_s : float
        Monotonic time in seconds at which the call times out.

    Raises
    ------
    OutcomeUnknownError
        If too few disks are known to hold the entries in time.
    """
    while log.committed_copies < durable_copies:
        if clock.now_s() >= deadline_s:
            raise OutcomeUnknownError(
                f"only {log.committed_copies} of the required {durable_copies} disks "
                "are known to hold all committed entries",
                step=STEP_MEMBERS,
            )
        eventlet.sleep(DURABILITY_POLL_INTERVAL_S)
