"""Records at the leader which members of the log can read the newest commands."""

import logbook

from chestnutvale.clock import Clock
from chestnutvale.consensus.const import COMMAND_VERSION
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.programs.control.const import (
    PROPOSAL_TIMEOUT_S,
    READERS_CHECK_INTERVAL_S,
)
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.schema.command_pb2 import Command, ConfirmReaders

_LOGGER = logbook.Logger(__name__)


class ReadersTask:
    """Commits a record when all members can read the commands of this build.

    It is committed as soon as that is known and not with the first command that needs
    it, because a member that is lost by then can't be asked any more.

    Parameters
    ----------
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    clock : Clock
        Source of time.
    """

    def __init__(self, log: ConsensusTask, state: ControlState, clock: Clock) -> None:
        self._log = log
        self._state = state
        self._clock = clock

    def run(self) -> None:
        """Run rounds until the task is killed."""
        run_periodically("command readers", self.run_round, READERS_CHECK_INTERVAL_S)

    def run_round(self) -> None:
        """Commit a new record if the leader knows that all members can read it."""
        if not self._log.is_leader:
            return
        versions = self._log.command_versions()
        if not self._state.readers.needs_confirmation(versions, COMMAND_VERSION):
            return
        command = Command(
            proposed_at_unix_ms=self._clock.unix_ms(),
            confirm_readers=ConfirmReaders(
                command_version=COMMAND_VERSION, member_ids=sorted(versions)
            ),
        )
        try:
            self._log.propose(command, self._clock.now_s() + PROPOSAL_TIMEOUT_S)
        except (NotLeaderError, OutcomeUnknownError) as error:
            _LOGGER.info(
                "Recording the command version failed and is retried: {}", error
            )
            return
        _LOGGER.info(
            "command_readers",
            extra={"version": COMMAND_VERSION, "members": sorted(versions)},
        )
