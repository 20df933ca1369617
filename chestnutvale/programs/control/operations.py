"""Operator requests of a control; implements `OperatorBackend`."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import eventlet
import logbook

from chestnutvale.clock import Clock
from chestnutvale.configuration.const import (
    COMPRESSED_TEXT_COMMAND_VERSION,
    MAX_TEXT_COMMAND_BYTES,
)
from chestnutvale.configuration.exceptions import TextError, TextProblem
from chestnutvale.configuration.service_names import ServiceNames
from chestnutvale.configuration.text_command import make_text_command
from chestnutvale.consensus.exceptions import MembersChangeError, NotLeaderError
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.evacuations.const import STEP_EVACUATE
from chestnutvale.evacuations.exceptions import EvacuationRefusedError
from chestnutvale.exceptions import ChestnutError
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.durability import wait_until_durable
from chestnutvale.programs.control.evacuation_orders import EvacuationOrders
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.control.status import StatusBuilder
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.configuration_pb2 import (
    ApplyText,
    ApplyTextResult,
    ConfigurationSnapshot,
    Text,
)
from chestnutvale.schema.evacuations_pb2 import EvacuationResult, SetEvacuation
from chestnutvale.schema.groups_pb2 import DrainHost
from chestnutvale.schema.operator_pb2 import (
    DrainRequest,
    OperatorResult,
    Status,
    VoterChange,
)
from chestnutvale.schema.settings_pb2 import ControlSettings

_LOGGER = logbook.Logger(__name__)

OUTCOME_DONE = "done"
OUTCOME_REFUSED = "refused"
ACTION_ADD = "add"
KIND_ENGINE = "engine"
STEP_MEMBERS = "members"
# Time without a new host after which fabric domains count as fully discovered.
DOMAIN_DISCOVERY_S = 10.0
# Interval between attempts to promote a learner.
PROMOTE_RETRY_INTERVAL_S = 0.2


class ControlOperations:
    """Executes operator requests; see `OperatorBackend`.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    table : MembershipTable
        The host table.
    status_builder : StatusBuilder
        Builds the status.
    dump : callable
        Returns the state of the process, without secrets.
    clock : Clock
        Source of time.
    entry_data_centres : callable, optional
        Returns the data centres of the known entries; by default there are none.
    """

    def __init__(
        self,
        settings: ControlSettings,
        log: ConsensusTask,
        state: ControlState,
        table: MembershipTable,
        status_builder: StatusBuilder,
        dump: Callable[[], dict[str, Any]],
        clock: Clock,
        entry_data_centres: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._settings = settings
        self._log = log
        self._state = state
        self._table = table
        self._status_builder = status_builder
        self._dump = dump
        self._clock = clock
        self._evacuation_orders = EvacuationOrders(
            settings, log, state, table, entry_data_centres
        )

    def is_leader(self) -> bool:
        """Return whether this control leads now."""
        return self._log.is_leader

    def leader_http_address(self) -> str:
        """Return the leader's IP address and HTTP port; empty if unknown."""
        for peer in self._settings.controls:
            if peer.id == self._log.leader_id:
                return peer.http_address
        return ""

    def leader_id(self) -> str:
        """Return the control that leads; empty if unknown."""
        return self._log.leader_id

    def read_configuration(self, deadline_s: float) -> ConfigurationSnapshot:
        """Return the configuration in force, confirmed by a quorum."""
        self._log.confirm_read(deadline_s)
        return self._state.configuration.to_snapshot()

    def read_document(self, deadline_s: float) -> bytes:
        """Return the document in force as received, confirmed by a quorum."""
        self._log.confirm_read(deadline_s)
        return self._state.configuration.document

    def text_in_force(self) -> Text:
        """Return the text in force, as far as applied; callers must not modify it."""
        return self._state.configuration.text

    def service_names(self) -> ServiceNames:
        """Return the names of the services in that text."""
        return self._state.configuration.service_names

    def is_accepted(self, number: int, digest: str) -> bool:
        """Return whether the text with this digest was accepted under this number."""
        return self._state.configuration.is_accepted(number, digest)

    def fabric_domain_hosts(self) -> Mapping[str, int]:
        """Return the number of known engine hosts by fabric domain.

        Returns
        -------
        mapping of str to int
            Empty while new hosts are still appearing: a valid text must not be refused
            because half of a domain has not announced itself yet.
        """
        unchanged_s = self._clock.now_s() - self._table.last_new_host_at_s
        if unchanged_s < DOMAIN_DISCOVERY_S:
            return {}
        return Counter(
            record.announcement.fabric_domain
            for record in self._table.known_hosts()
            if record.announcement is not None
            and record.announcement.kind == KIND_ENGINE
        )

    def apply_text(self, command: ApplyText, deadline_s: float) -> ApplyTextResult:
        """Commit a validated text; returns once ``durable_copies`` disks hold it.

        Raises
        ------
        TextError
            If the text is too large to be read from the log, or was not applied.
        """
        size_bytes = command.ByteSize()
        if size_bytes > MAX_TEXT_COMMAND_BYTES:
            raise _make_text_error(
                f"with {size_bytes} bytes in the log, it is larger than "
                f"{MAX_TEXT_COMMAND_BYTES}"
            )
        unready = self._state.readers.find_unready(
            self._log.command_versions(), COMPRESSED_TEXT_COMMAND_VERSION
        )
        text_command = make_text_command(command, may_compress=not unready)
        result = self._propose(text_command, deadline_s).apply_text
        if not result.outcome:
            raise _make_text_error("the controls can't apply it")
        self._wait_until_durable(deadline_s)
        return result

    def _wait_until_durable(self, deadline_s: float) -> None:
        wait_until_durable(
            self._log, self._settings.durable_copies, self._clock, deadline_s
        )

    def set_evacuation(
        self, command: SetEvacuation, deadline_s: float
    ) -> EvacuationResult:
        """Commit an order to begin or finish an evacuation.

        Returns once ``durable_copies`` disks hold it. An order that is already in force
        is committed again, so that it is acknowledged only in its place in the log.

        Parameters
        ----------
        command : SetEvacuation
            The order.
        deadline_s : float
            Monotonic time in seconds at which the call times out.

        Returns
        -------
        EvacuationResult
            The result.

        Raises
        ------
        UnknownDataCentreError
            If the deployment has no such data centre; nothing was proposed.
        EvacuationNotReadyError
            If that is not known yet, or if a control can't read the order; nothing was
            proposed.
        EvacuationRefusedError
            If the order has no effect.
        NotLeaderError
            If this control does not lead; nothing was proposed.
        OutcomeUnknownError
            If the order may be in force or still come into force.
        """
        fields = {
            "data_centre": command.data_centre,
            "action": "finish" if command.finish else "begin",
            "operator": command.operator,
        }
        try:
            result = self._commit_evacuation(command, deadline_s)
        except ChestnutError as error:
            _LOGGER.info("evacuation_order", extra=fields | {"outcome": str(error)})
            raise
        extra = fields | {"outcome": result.outcome, "changed": result.changed}
        _LOGGER.info("evacuation_order", extra=extra)
        return result

    def _commit_evacuation(
        self, command: SetEvacuation, deadline_s: float
    ) -> EvacuationResult:
        orders = self._evacuation_orders
        orders.check_leader()
        orders.check_data_centre(command.data_centre, self._clock.now_s())
        orders.check_readers()
        result = self._propose(Command(set_evacuation=command), deadline_s).evacuation
        if result.outcome != OUTCOME_DONE:
            raise EvacuationRefusedError(result.reason, step=STEP_EVACUATE)
        self._wait_until_durable(deadline_s)
        return result

    def evacuated_data_centres(self) -> list[str]:
        """Return the evacuated data centres, as far as applied in this control."""
        return sorted(self._state.evacuations.evacuated)

    def drain_host(self, request: DrainRequest, deadline_s: float) -> OperatorResult:
        """Commit whether a host is drained, that is, gets no new work."""
        drain = DrainHost(host_id=request.host_id, draining=request.draining)
        result = self._propose(Command(drain_host=drain), deadline_s).group
        outcome = OUTCOME_DONE if result.outcome == OUTCOME_DONE else OUTCOME_REFUSED
        return OperatorResult(outcome=outcome, reason=result.reason)

    def change_voter(self, change: VoterChange, deadline_s: float) -> OperatorResult:
        """Add or remove a voter; a repeated request also returns ``done``."""
        try:
            if change.action == ACTION_ADD:
                self._add_voter(change, deadline_s)
            else:
                self._remove_voter(change.id, deadline_s)
        except MembersChangeError as error:
            return OperatorResult(outcome=OUTCOME_REFUSED, reason=error.message)
        return OperatorResult(outcome=OUTCOME_DONE)

    def status(self, deadline_s: float) -> Status:
        """Return the status of the system; ``confirmed`` if a quorum confirmed it."""
        confirmed = self._is_confirmed(deadline_s)
        return self._status_builder.build(self._clock.now_s(), confirmed)

    def dump(self) -> dict[str, Any]:
        """Return the state of this process, without secrets."""
        return self._dump()

    def _propose(self, command: Command, deadline_s: float) -> CommandResult:
        command.proposed_at_unix_ms = self._clock.unix_ms()
        return self._log.propose(command, deadline_s)

    def _is_confirmed(self, deadline_s: float) -> bool:
        try:
            self._log.confirm_read(deadline_s)
        except ChestnutError:
            return False
        return True

    def _add_voter(self, change: VoterChange, deadline_s: float) -> None:
        if self._find_member(change.id, self._log.members.voters):
            return
        expected_address = self._log.joiner_address(change.id)
        if expected_address and expected_address != change.address:
            raise MembersChangeError(
                f"the control asked to join with peer address {expected_address}, "
                f"not {change.address}",
                step=STEP_MEMBERS,
                peer=change.id,
            )
        if not self._find_member(change.id, self._log.members.learners):
            self._log.add_learner(change.id, deadline_s)
        self._promote_when_ready(change.id, deadline_s)

    def _promote_when_ready(self, control_id: str, deadline_s: float) -> None:
        """Promote a learner, retrying until it responds and has caught up."""
        while True:
            try:
                self._log.promote(control_id, deadline_s)
            except MembersChangeError:
                if self._clock.now_s() + PROMOTE_RETRY_INTERVAL_S >= deadline_s:
                    raise
            else:
                return
            eventlet.sleep(PROMOTE_RETRY_INTERVAL_S)

    def _remove_voter(self, control_id: str, deadline_s: float) -> None:
        members = self._log.members
        all_member_ids = [*members.voters, *members.learners]
        if not self._find_member(control_id, all_member_ids):
            return
        if control_id == self._settings.control_id and self._log.transfer_leadership():
            raise NotLeaderError(self._log.leader_id, step=STEP_MEMBERS)
        self._log.remove(control_id, deadline_s)

    @staticmethod
    def _find_member(control_id: str, member_ids: list[str]) -> str:
        for member_id in member_ids:
            if control_id in (member_id, control_of(member_id)):
                return member_id
        return ""


def _make_text_error(reason: str) -> TextError:
    return TextError([TextProblem(1, "", reason)])
