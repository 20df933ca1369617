"""Commits the outcomes and releases of claims to the ledger, with retries."""

from types import TracebackType
from typing import Self

import eventlet
import logbook

from chestnutvale.ledger.const import CLAIM_GRACE_MS
from chestnutvale.programs.entry.context import CallContext
from chestnutvale.programs.entry.exceptions import (
    CommitRefusedError,
    CommitUnknownError,
)
from chestnutvale.schema.command_pb2 import Command

_LOGGER = logbook.Logger(__name__)

# Timeout of the first try, for which a caller waits before it gets its answer.
FIRST_COMMIT_TIMEOUT_S = 1.0
COMMIT_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.2
# Time after which a write is abandoned. The claim is overdue by then, and its outcome
# unknown.
WRITE_TIMEOUT_S = 10 * CLAIM_GRACE_MS / 1_000
MAX_PENDING_WRITES = 1_000


class LedgerWriter:
    """Commits outcomes and releases of claims; a context manager.

    The commands are idempotent, so that a command whose result is unknown is sent
    again. A command that can't be committed is dropped. Its claim then becomes
    unknown, and the call is never run a second time.

    Parameters
    ----------
    context : CallContext
        Commits the commands; has the clock and the random numbers.

    Attributes
    ----------
    dropped_writes : int
        Number of commands that were dropped.
    """

    def __init__(self, context: CallContext) -> None:
        self.dropped_writes = 0
        self._context = context
        self._tasks: set[eventlet.greenthread.GreenThread] = set()

    def __enter__(self) -> Self:
        """Return the writer."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the background writes."""
        for task in list(self._tasks):
            task.kill()

    @property
    def pending_writes(self) -> int:
        """Number of commands in the background; a graceful shutdown waits for them."""
        return len(self._tasks)

    def write_command(self, command: Command) -> None:
        """Commit a command, in the background if the first try fails.

        Parameters
        ----------
        command : Command
            Outcome or release of a claim.
        """
        if not self._try_commit(command, FIRST_COMMIT_TIMEOUT_S):
            self.write_command_later(command)

    def write_command_later(self, command: Command) -> None:
        """Commit a command in the background.

        The command is dropped if `MAX_PENDING_WRITES` others are pending.

        Parameters
        ----------
        command : Command
            Outcome or release of a claim.
        """
        if len(self._tasks) >= MAX_PENDING_WRITES:
            self._drop_command(command)
            return
        task = eventlet.spawn(self._commit_with_retries, command)
        self._tasks.add(task)
        task.link(lambda done: self._tasks.discard(done))

    def _commit_with_retries(self, command: Command) -> None:
        give_up_at_s = self._context.clock.now_s() + WRITE_TIMEOUT_S
        while not self._try_commit(command, COMMIT_TIMEOUT_S):
            if self._context.clock.now_s() >= give_up_at_s:
                self._drop_command(command)
                return
            eventlet.sleep(RETRY_DELAY_S * (1.0 + self._context.rng.random()))

    def _try_commit(self, command: Command, timeout_s: float) -> bool:
        try:
            self._context.commit(command, self._context.clock.now_s() + timeout_s)
        except (CommitRefusedError, CommitUnknownError):
            return False
        return True

    def _drop_command(self, command: Command) -> None:
        self.dropped_writes += 1
        _LOGGER.error(
            "Dropped a {} command that was not committed to the ledger",
            command.WhichOneof("body"),
        )
