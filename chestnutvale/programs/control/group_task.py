"""Task that executes the decisions of the group coordinator."""

from collections.abc import Sequence, Set
from typing import Any, Protocol

import eventlet
import logbook

from chestnutvale.clock import Clock
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.groups.const import PHASE_SERVING
from chestnutvale.groups.coordinator import Effect, GroupCoordinator, ProposeCommand
from chestnutvale.groups.failure_detector import LossCause, LostMember
from chestnutvale.groups.members import group_head
from chestnutvale.groups.orders import OrderOutcome, SendOrder
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.const import (
    GROUP_DECISION_INTERVAL_S,
    IDLE_DECISION_INTERVAL_S,
    MAX_CONCURRENT_ORDERS,
    PROPOSAL_TIMEOUT_S,
)
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.measures import MeasureTracker
from chestnutvale.programs.control.order_sender import OrderSender
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.schema.command_pb2 import Command

_LOGGER = logbook.Logger(__name__)

# Cause in the log of a loss that this leader has only not heard of; it decides as for
# one that fell silent.
CAUSE_UNKNOWN = "unknown"


class OrderTransport(Protocol):
    """Sends orders to hosts."""

    def send(self, effect: SendOrder) -> OrderOutcome:
        """Send one order and return its outcome; blocks the calling task."""


class GroupTask:
    """Runs decision rounds periodically; owns the coordinator.

    Parameters
    ----------
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    table : MembershipTable
        The host table.
    coordinator : GroupCoordinator
        Makes the decisions.
    entry_handler : EntryReportHandler
        Publishes changes to the entries.
    measures : MeasureTracker
        Accumulates downtime and stranded accelerator time.
    clock : Clock
        Source of time.
    sender : OrderTransport, optional
        Sends orders to hosts; uses the endpoint protocol by default.
    """

    def __init__(
        self,
        log: ConsensusTask,
        state: ControlState,
        table: MembershipTable,
        coordinator: GroupCoordinator,
        entry_handler: EntryReportHandler,
        measures: MeasureTracker,
        clock: Clock,
        sender: OrderTransport | None = None,
    ) -> None:
        self._log = log
        self._state = state
        self._table = table
        self._coordinator = coordinator
        self._entry_handler = entry_handler
        self._measures = measures
        self._clock = clock
        self._sender = sender or OrderSender(clock)
        self._orders = eventlet.GreenPool(MAX_CONCURRENT_ORDERS)
        self._leader_term = 0
        self._leader_since_s = 0.0
        self._idle_inputs: tuple[int, ...] = ()
        self._next_decision_at_s = float("-inf")

    def run(self) -> None:
        """Run rounds of decisions until the task is killed."""
        run_periodically("group decisions", self.run_round, GROUP_DECISION_INTERVAL_S)

    def run_round(self) -> None:
        """Publish changes and, if an input changed or the interval passed, decide."""
        now_s = self._clock.now_s()
        self._table.remove_expired(now_s)
        self._table.set_silent_controls(self._log.silent_controls())
        self._entry_handler.publish_changes()
        self._entry_handler.forward_cache_events()
        self._update_leadership(now_s)
        if not (self._log.is_leader and self._log.has_applied_earlier_terms):
            # A new leader has not applied the groups yet that are in its log.
            self._measures.pause()
            return
        self._measures.update(
            now_s,
            self._state.configuration.text,
            self._entry_handler.group_views(),
            self._state.groups,
            self._table,
        )
        has_lease = self._log.has_lease(now_s)
        if not has_lease:
            # This process may have stood still or been cut off, and the reports of the
            # hosts may not have been read yet. The replies of a quorum come after them.
            return
        inputs = self._inputs()
        if inputs == self._idle_inputs and now_s < self._next_decision_at_s:
            return
        effects = self._coordinator.tick(
            now_s,
            self._state.groups,
            self._table,
            self._state.configuration.text,
            has_lease,
            self._clock.unix_ms(),
            self._entry_handler.demand(now_s),
            self._state.evacuations.evacuated,
        )
        self._log_new_losses(now_s)
        self._idle_inputs = () if effects or not self._is_idle() else inputs
        self._next_decision_at_s = now_s + IDLE_DECISION_INTERVAL_S
        self._execute_effects(effects)

    def _log_new_losses(self, now_s: float) -> None:
        losses = self._coordinator.pop_new_losses()
        if not losses:
            return
        live = {*self._table.live_entries(now_s), *self._live_controls()}
        groups = {
            member.host_id: group.group_id
            for group in self._state.groups.groups.values()
            for member in group.members
        }
        term = {
            "term": self._leader_term,
            "term_age_s": round(now_s - self._leader_since_s, 3),
        }
        for loss in losses:
            group = {"group": groups.get(loss.member.host_id, "")}
            fields = describe_loss(loss, self._table, live)
            _LOGGER.info("member_lost", extra=group | fields | term)

    def _live_controls(self) -> set[str]:
        controls = {control_of(voter) for voter in self._log.members.voters}
        return controls - self._log.silent_controls()

    def _inputs(self) -> tuple[int, ...]:
        """Return versions that cover all inputs of a decision except time."""
        return (
            self._leader_term,
            self._log.applied_index,
            self._table.revision,
            self._entry_handler.view_version,
        )

    def _is_idle(self) -> bool:
        """Tell whether no operation in progress depends on time."""
        groups = self._state.groups
        if groups.releases or groups.repairs or self._table.has_stalled_groups:
            return False
        return all(
            view.serving or (view.evacuated and view.group.phase == PHASE_SERVING)
            for view in self._entry_handler.group_views()
        )

    def _execute_effects(self, effects: Sequence[Effect]) -> None:
        proposals = []
        for effect in effects:
            if isinstance(effect, SendOrder):
                self._orders.spawn_n(self._send_order, effect)
            else:
                if effect.command.WhichOneof("body") == "remove_group":
                    self._entry_handler.withhold(effect.command.remove_group.group_id)
                proposals.append(eventlet.spawn(self._propose, effect))
        for proposal in proposals:
            # The next decision must see the state after this round's commands.
            proposal.wait()

    def _update_leadership(self, now_s: float) -> None:
        term = self._log.term if self._log.is_leader else 0
        if term == self._leader_term:
            return
        if self._leader_term:
            self._coordinator.lost_leadership()
        if term:
            self._entry_handler.begin_term(now_s)
            self._coordinator.became_leader(now_s)
            self._leader_since_s = now_s
        self._leader_term = term

    def _propose(self, effect: ProposeCommand) -> None:
        fields = command_log_fields(effect.command)
        if effect.command.WhichOneof("body") == "remove_group":
            fields |= self._describe_removed_group(effect.command.remove_group.group_id)
        try:
            result = self._log.propose(
                effect.command, self._clock.now_s() + PROPOSAL_TIMEOUT_S
            )
            _LOGGER.info(
                "group_command",
                extra=fields | {"outcome": result.group.outcome or "committed"},
            )
        except (NotLeaderError, OutcomeUnknownError) as error:
            _LOGGER.info("group_command", extra=fields | {"outcome": str(error)})

    def _describe_removed_group(self, group_id: str) -> dict[str, Any]:
        """Return log fields with what is known of the calls at a group."""
        group = self._state.groups.groups.get(group_id)
        if group is None or not group.members:
            return {}
        attempts = self._table.attempts_at(group_head(group).host_id)
        return {
            "phase": group.phase,
            "running": attempts.running,
            "is_count_complete": attempts.is_complete,
        }

    def _send_order(self, effect: SendOrder) -> None:
        outcome = self._sender.send(effect)
        order = effect.order
        _LOGGER.info(
            "order",
            extra={
                "host": effect.host_id,
                "kind": order.kind,
                "group": order.group_id,
                "epoch": order.epoch,
                "fence": order.fence,
                "outcome": outcome.value,
            },
        )
        self._coordinator.order_answered(
            effect.host_id, effect.order.order_id, outcome, self._clock.now_s()
        )


def describe_loss(
    loss: LostMember, table: MembershipTable, live_reporters: Set[str]
) -> dict[str, Any]:
    """Return the log fields that describe the loss of a member of a group.

    Parameters
    ----------
    loss : LostMember
        The loss.
    table : MembershipTable
        The host table.
    live_reporters : set of str
        Entries and controls that this leader hears.

    Returns
    -------
    dict
        The host, the cause, for how many seconds it has been lost, and the entry or
        control to which it announced itself last; if that one is silent as well, the
        host may be sound. The cause of a host that nobody has reported in this term
        is ``unknown`` instead of ``missing``.
    """
    record = table.host(loss.member.host_id)
    is_unknown = record is None and loss.cause is LossCause.MISSING
    fields: dict[str, Any] = {
        "host": loss.member.host_id,
        "cause": CAUSE_UNKNOWN if is_unknown else loss.cause.value,
        "away_s": round(loss.away_s, 3),
    }
    if record is None:
        return fields
    reporter_id = record.sender_id
    is_live = reporter_id in live_reporters
    return fields | {"reported_by": reporter_id, "is_reporter_live": is_live}


def command_log_fields(command: Command) -> dict[str, Any]:
    """Return the log fields that describe a group command.

    Parameters
    ----------
    command : Command
        A command about groups.

    Returns
    -------
    dict
        Name of the command and the group or host that it changes.
    """
    body = command.WhichOneof("body")
    fields: dict[str, Any] = {"command": body}
    change = getattr(command, body)
    if body == "put_group":
        group = change.group
        fields |= {
            "group": group.group_id,
            "phase": group.phase,
            "domain": group.fabric_domain,
            "members": [member.host_id for member in group.members],
        }
    elif body in ("remove_group", "put_repair", "end_repair"):
        fields["group"] = getattr(change, "group_id", "")
    else:
        fields["host"] = change.host_id
    return fields
