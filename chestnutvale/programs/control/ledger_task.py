"""Periodic maintenance of the call ledger on the leader."""

import logbook

from chestnutvale.clock import Clock
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.programs.control.const import (
    CLAIM_EXPIRY_INTERVAL_S,
    ENTRY_LOST_TIMEOUT_S,
    LEDGER_MAINTENANCE_INTERVAL_S,
    PROPOSAL_TIMEOUT_S,
)
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.ledger_pb2 import AbandonClaims, ExpireClaims

_LOGGER = logbook.Logger(__name__)


class LedgerTask:
    """Abandons the claims of lost entries and removes expired claims.

    Parameters
    ----------
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    entry_handler : EntryReportHandler
        Provides the last report of each entry.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        log: ConsensusTask,
        state: ControlState,
        entry_handler: EntryReportHandler,
        clock: Clock,
    ) -> None:
        self._log = log
        self._state = state
        self._entry_handler = entry_handler
        self._clock = clock
        self._leader_since_s = float("inf")
        self._expiry_due_s = 0.0

    def run(self) -> None:
        """Run maintenance rounds until the task is killed."""
        run_periodically(
            "ledger maintenance", self._run_round, LEDGER_MAINTENANCE_INTERVAL_S
        )

    def _run_round(self) -> None:
        try:
            self._run_maintenance(self._clock.now_s())
        except (NotLeaderError, OutcomeUnknownError) as error:
            _LOGGER.info(
                "Ledger maintenance failed and is retried next round: {}", error
            )

    def _run_maintenance(self, now_s: float) -> None:
        if not self._log.is_leader:
            self._leader_since_s = float("inf")
            return
        self._leader_since_s = min(self._leader_since_s, now_s)
        for command in self._find_abandoned_claims(now_s):
            self._propose(Command(abandon_claims=command))
        if now_s < self._expiry_due_s:
            return
        if not self._state.ledger.needs_expiry(self._clock.unix_ms()):
            return
        self._expiry_due_s = now_s + CLAIM_EXPIRY_INTERVAL_S
        self._propose(
            Command(expire_claims=ExpireClaims(now_unix_ms=self._clock.unix_ms()))
        )

    def _find_abandoned_claims(self, now_s: float) -> list[AbandonClaims]:
        commands = []
        for entry_id, incarnation in sorted(self._state.ledger.running_claim_holders()):
            entry = self._entry_handler.entries.get(entry_id)
            if entry is not None and entry.incarnation > incarnation:
                commands.append(
                    AbandonClaims(entry_id=entry_id, live_incarnation=entry.incarnation)
                )
                continue
            # A new leader has no reports yet, so silence counts from its election.
            seen_at_s = entry.seen_at_s if entry is not None else 0.0
            silent_since_s = max(seen_at_s, self._leader_since_s)
            if now_s - silent_since_s > ENTRY_LOST_TIMEOUT_S:
                commands.append(AbandonClaims(entry_id=entry_id))
        return commands

    def _propose(self, command: Command) -> None:
        command.proposed_at_unix_ms = self._clock.unix_ms()
        self._log.propose(command, self._clock.now_s() + PROPOSAL_TIMEOUT_S)
