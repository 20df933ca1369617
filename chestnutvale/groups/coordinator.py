"""Turns membership and committed state into commands and orders."""

from collections.abc import Mapping
from typing import TypeAlias

import attrs

from chestnutvale.groups.const import PLAN_INTERVAL_S, SILENCE_MARGIN_S
from chestnutvale.groups.failure_detector import LostMember
from chestnutvale.groups.order_messages import STAGE_SUFFIX
from chestnutvale.groups.orders import OrderOutcome, OrderScheduler, SendOrder
from chestnutvale.groups.planner import GroupCommand, GroupPlanner, PlanInputs
from chestnutvale.groups.spare_orders import make_spare_order
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import (
    EndRepair,
    FreeHost,
    PutGroup,
    PutRepair,
    ReleaseHost,
    RemoveGroup,
)


@attrs.frozen
class ProposeCommand:
    """A command to propose; the next round finds out whether it was committed.

    Attributes
    ----------
    command : Command
        The command.
    """

    command: Command


Effect: TypeAlias = ProposeCommand | SendOrder


@attrs.define
class GroupCoordinator:
    """Runs the planning rounds of one control.

    Parameters
    ----------
    planner : GroupPlanner
        Plans changes of groups.
    orders : OrderScheduler
        Decides which orders are sent when.
    """

    planner: GroupPlanner
    orders: OrderScheduler
    _is_leader: bool = False
    _plan_from_s: float = float("inf")
    _next_round_s: float = float("-inf")
    _last_input_versions: tuple[int, int, int, bool, frozenset[str]] | None = None

    def became_leader(self, now_s: float) -> None:
        """Start planning as the leader.

        Silent hosts count as missing only after all entries had time to report.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self._is_leader = True
        self._last_input_versions = None
        self._plan_from_s = now_s + self.planner.policy.first_plan_s
        self.planner.became_leader(now_s)
        self.orders.became_leader(now_s)

    def lost_leadership(self) -> None:
        """Stop planning and sending orders."""
        self._is_leader = False
        self.orders.lost_leadership()

    def tick(
        self,
        now_s: float,
        state: GroupsState,
        table: MembershipTable,
        text: Text | None,
        lease_confirmed: bool,
        now_unix_ms: int,
        demand: Mapping[str, float] | None = None,
        evacuated: frozenset[str] = frozenset(),
    ) -> list[Effect]:
        """Return the commands and orders that are due.

        A round is planned when an input changed, and otherwise at the next timeout
        or after ``PLAN_INTERVAL_S``, so that frequent calls are cheap.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        state : GroupsState
            Replicated state of the groups, as far as applied in this process.
        table : MembershipTable
            Liveness and announcements of hosts.
        text : Text or None
            Configuration in force.
        lease_confirmed : bool
            Whether a quorum confirmed the leader lease just before.
        now_unix_ms : int
            Wall-clock time in milliseconds, for records and the expiry of orders.
        demand : mapping of str to float, optional
            Number of requests that wait or run, by service.
        evacuated : frozenset of str, optional
            Evacuated data centres.

        Returns
        -------
        list of Effect
            Effects, to be carried out in this order.
        """
        if not self._is_leader or text is None:
            return []
        input_versions = (
            state.change_count,
            table.revision,
            text.number,
            lease_confirmed,
            evacuated,
        )
        if input_versions == self._last_input_versions and now_s < self._next_round_s:
            return []
        self._last_input_versions = input_versions
        next_silent_s = table.next_deadline(now_s) + SILENCE_MARGIN_S
        self._next_round_s = min(now_s + PLAN_INTERVAL_S, next_silent_s)
        sends = self.orders.collect_due_orders(
            state, table, text, lease_confirmed, now_s, now_unix_ms, evacuated
        )
        for send in sends:
            epoch = send.order.epoch
            self.planner.failure_detector.record_order(send.host_id, epoch, now_s)
        if not state.last_fence:
            # Before the first group is formed, no silent host can be a lost member.
            self._plan_from_s = now_s
        if now_s < self._plan_from_s:
            return list(sends)
        inputs = PlanInputs(
            state,
            table,
            text,
            now_unix_ms,
            demand or {},
            self.orders.count_remaining_loads(state, table, text),
            evacuated,
        )
        commands = [
            *self.orders.find_finished_releases(state, table, now_s, now_unix_ms),
            *self.planner.plan(inputs, now_s),
        ]
        proposals = [_to_proposal(command, now_unix_ms) for command in commands]
        spare_orders = [
            make_spare_order(request, text, state, now_s, now_unix_ms)
            for request in self.planner.pop_spare_requests()
        ]
        return [*sends, *proposals, *spare_orders]

    def pop_new_losses(self) -> list[LostMember]:
        """Return the members that were lost since the last call, each once."""
        return self.planner.failure_detector.pop_new_losses()

    def order_answered(
        self, host_id: str, order_id: str, outcome: OrderOutcome, now_s: float
    ) -> None:
        """Process the answer of a host to an order.

        Parameters
        ----------
        host_id : str
            The host.
        order_id : str
            The order.
        outcome : OrderOutcome
            How it was answered.
        now_s : float
            Monotonic time in seconds.
        """
        is_staging = order_id.endswith(STAGE_SUFFIX)
        if is_staging and outcome is not OrderOutcome.ACCEPTED:
            is_busy = outcome is OrderOutcome.CONFLICT
            self.planner.staging.record_failure(host_id, now_s, is_busy=is_busy)
        if not is_staging:
            self.orders.record_answer(host_id, order_id, outcome, now_s)


def _to_proposal(command: GroupCommand | FreeHost, now_unix_ms: int) -> ProposeCommand:
    wrapped = Command(proposed_at_unix_ms=now_unix_ms)
    match command:
        case PutGroup():
            wrapped.put_group.CopyFrom(command)
        case RemoveGroup():
            wrapped.remove_group.CopyFrom(command)
        case ReleaseHost():
            wrapped.release_host.CopyFrom(command)
        case FreeHost():
            wrapped.free_host.CopyFrom(command)
        case PutRepair():
            wrapped.put_repair.CopyFrom(command)
        case EndRepair():
            wrapped.end_repair.CopyFrom(command)
    return ProposeCommand(wrapped)
