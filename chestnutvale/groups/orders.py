"""Schedules orders to hosts and their retries."""

import enum
from collections import defaultdict
from collections.abc import Iterator

import attrs

from chestnutvale.groups.budget import LoadBudget, has_weights
from chestnutvale.groups.const import (
    ORDER_ASSIGN,
    ORDER_LIFETIME_S,
    ORDER_RECHECK_S,
    ORDER_RETRY_MAX_S,
    ORDER_RETRY_MIN_S,
    ORDER_TIMEOUT_S,
    PHASE_DRAINING,
    PHASE_SERVING,
    RELEASE_RETENTION_MS,
)
from chestnutvale.groups.head_quiescence import HeadQuiescenceCheck
from chestnutvale.groups.members import group_head
from chestnutvale.groups.order_messages import (
    find_live_host,
    make_assign_order,
    make_open_order,
    make_release_order,
    make_release_order_id,
    may_rejoin_group,
)
from chestnutvale.groups.serving import (
    find_readiness_fault,
    holds_epoch,
    is_evacuated,
    is_head_open,
)
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import FreeHost, Group, HostRelease, Order


class OrderOutcome(enum.Enum):
    """How a host answered an order."""

    ACCEPTED = "accepted"
    STALE_FENCE = "stale_fence"
    # The host is loading other weights and did not carry out the order.
    CONFLICT = "conflict"
    # No answer, or an inconclusive one; the host may have carried out the order.
    UNREACHABLE = "unreachable"


@attrs.frozen
class SendOrder:
    """An order to send now.

    Attributes
    ----------
    host_id : str
        The host.
    address : str
        Its address.
    order : Order
        The order.
    send_before_s : float
        Monotonic time in seconds before which the first byte must be sent; check it
        again after each step that may block.
    """

    host_id: str
    address: str
    order: Order
    send_before_s: float


@attrs.define
class _SentOrder:
    """Delivery state of the last order to a host."""

    order_id: str
    boot_id: str
    is_load: bool
    retry_at_s: float
    backoff_s: float
    # Expiry of this order while it is unanswered.
    pending_until_s: float
    # When the last unanswered earlier order to this host expires.
    earlier_pending_until_s: float
    sent_at_s: float
    accepted_at_s: float | None = None


@attrs.define
class OrderScheduler:
    """Sends the orders that committed groups require until hosts announce the effect.

    Hosts without fencing get orders only while a quorum has just confirmed the leader
    lease, and only after the lease of an earlier leader has expired.

    Parameters
    ----------
    policy : GroupsPolicy
        Cost weights and durations.
    weight_store_address : str
        Address from which hosts load weights.
    """

    policy: GroupsPolicy = attrs.field(factory=GroupsPolicy)
    weight_store_address: str = ""
    _sent: dict[str, _SentOrder] = attrs.field(factory=dict)
    _release_first_seen_s: dict[int, float] = attrs.field(factory=dict)
    _released_at_s: dict[int, float] = attrs.field(factory=dict)
    _previous_lease_ends_s: float = float("inf")
    _previous_orders_expire_s: float = float("inf")

    def became_leader(self, now_s: float) -> None:
        """Start sending orders, once the lease of an earlier leader has expired.

        Hosts with fencing get orders at once. Orders sent in an earlier term as leader
        are forgotten.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self._sent.clear()
        self._release_first_seen_s.clear()
        self._released_at_s.clear()
        self._previous_lease_ends_s = now_s + self.policy.leader_lease_s
        self._previous_orders_expire_s = self._previous_lease_ends_s + ORDER_LIFETIME_S

    def lost_leadership(self) -> None:
        """Stop sending orders."""
        self._sent.clear()
        self._previous_lease_ends_s = float("inf")
        self._previous_orders_expire_s = float("inf")

    def collect_due_orders(
        self,
        state: GroupsState,
        table: MembershipTable,
        text: Text,
        lease_confirmed: bool,
        now_s: float,
        now_unix_ms: int,
        evacuated: frozenset[str] = frozenset(),
    ) -> list[SendOrder]:
        """Return the orders to send now, the most valuable loads first.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups; only committed groups cause orders.
        table : MembershipTable
            Liveness and announcements of hosts.
        text : Text
            Configuration in force.
        lease_confirmed : bool
            Whether a quorum confirmed the leader lease just before.
        now_s : float
            Monotonic time in seconds.
        now_unix_ms : int
            Wall-clock time in milliseconds, for the expiry of orders.
        evacuated : frozenset of str, optional
            Evacuated data centres, in which no group is formed.

        Returns
        -------
        list of SendOrder
            Orders to send now.
        """
        expires_at_unix_ms = now_unix_ms + round(ORDER_LIFETIME_S * 1_000)
        sends = []
        budget = LoadBudget(self.policy, state, table, text.weight_store.loads_at_once)
        self._reserve_unannounced_loads(state, table, budget)
        for record, address, order in self._iter_required_orders(
            state, table, text, budget, now_s, evacuated
        ):
            if not self._is_allowed(record, lease_confirmed, now_s):
                continue
            if not self._is_due(record, order, now_s):
                continue
            if self._is_over_budget(record, order, state, budget):
                continue
            order.expires_at_unix_ms = expires_at_unix_ms
            is_load = order.kind == ORDER_ASSIGN and not has_weights(
                record, state.groups[order.group_id], order.rank
            )
            self._record_sent(record, order, is_load, now_s)
            sends.append(
                SendOrder(record.host_id, address, order, now_s + ORDER_TIMEOUT_S)
            )
        return sends

    def count_remaining_loads(
        self, state: GroupsState, table: MembershipTable, text: Text
    ) -> int:
        """Return the number of weight loads that may start now.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups.
        table : MembershipTable
            Liveness and announcements of hosts.
        text : Text
            Configuration in force.

        Returns
        -------
        int
            Number of loads; 0 or less if none may start.
        """
        budget = LoadBudget(self.policy, state, table, text.weight_store.loads_at_once)
        self._reserve_unannounced_loads(state, table, budget)
        return budget.remaining_loads

    def record_answer(
        self, host_id: str, order_id: str, outcome: OrderOutcome, now_s: float
    ) -> None:
        """Record the answer of a host to an order, or that there was none.

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
        sent = self._sent.get(host_id)
        if sent is None or sent.order_id != order_id:
            return
        if outcome is OrderOutcome.ACCEPTED:
            sent.accepted_at_s = now_s
            sent.pending_until_s = float("-inf")
            sent.retry_at_s = now_s + ORDER_RECHECK_S
            return
        if outcome is OrderOutcome.STALE_FENCE:
            sent.pending_until_s = float("-inf")
            sent.backoff_s = ORDER_RETRY_MAX_S
        sent.retry_at_s = now_s + sent.backoff_s
        sent.backoff_s = min(2 * sent.backoff_s, ORDER_RETRY_MAX_S)

    def find_finished_releases(
        self,
        state: GroupsState,
        table: MembershipTable,
        now_s: float,
        now_unix_ms: int,
    ) -> list[FreeHost]:
        """Return commands for the hosts whose release is certainly complete.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups.
        table : MembershipTable
            Liveness and announcements of hosts.
        now_s : float
            Monotonic time in seconds.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        list of FreeHost
            Commands that end the releases.
        """
        first_seen_s = {
            release.fence: self._release_first_seen_s.get(release.fence, now_s)
            for release in state.releases.values()
        }
        self._release_first_seen_s = first_seen_s
        self._released_at_s = {
            fence: at_s
            for fence, at_s in self._released_at_s.items()
            if fence in first_seen_s
        }
        # Until the lease expires an entry may hold a serving right on the former group.
        # Heads with a stall timeout reject requests sent under such a right.
        lease_s = 0.0 if self.policy.engine_stall_s else self.policy.serving_lease_s
        seen_before_s = now_s - lease_s
        head_check = HeadQuiescenceCheck(self.policy, table)
        stalled_since_s = self._find_stall_starts(state, table, now_s)
        releasing: defaultdict[str, list[str]] = defaultdict(list)
        for release in state.releases.values():
            releasing[release.group_id].append(release.host_id)
        return [
            FreeHost(host_id=release.host_id, fence=release.fence)
            for release in state.releases.values()
            if (
                first_seen_s[release.fence] <= seen_before_s
                and self._has_released(release, table, now_s)
                and head_check.is_quiesced(
                    release.group_id,
                    stalled_since_s.get(release.group_id, now_s),
                    now_s,
                    releasing[release.group_id],
                )
            )
            or self._is_release_expired(release, table, now_s, now_unix_ms)
        ]

    def _find_stall_starts(
        self, state: GroupsState, table: MembershipTable, now_s: float
    ) -> dict[str, float]:
        """Return when the head of each dissolved group lost its first member.

        Every control hears when a host releases its group, so a new leader need not
        wait for the engine's stall time once more.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups.
        table : MembershipTable
            Liveness and announcements of hosts.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to float
            Monotonic time in seconds by group; absent while no member has released it.
        """
        starts_s: dict[str, float] = {}
        for release in state.releases.values():
            released_at_s = self._find_released_at_s(release, table, now_s)
            if released_at_s is not None:
                known_s = starts_s.get(release.group_id, released_at_s)
                starts_s[release.group_id] = min(known_s, released_at_s)
        return starts_s

    def _find_released_at_s(
        self, release: HostRelease, table: MembershipTable, now_s: float
    ) -> float | None:
        record = table.host(release.host_id)
        if (
            record is not None
            and record.boot_id == release.boot_id
            and record.released_group_id == release.group_id
        ):
            return record.released_at_s
        if not self._has_released(release, table, now_s):
            return None
        return self._released_at_s.setdefault(release.fence, now_s)

    def _iter_required_orders(
        self,
        state: GroupsState,
        table: MembershipTable,
        text: Text,
        budget: LoadBudget,
        now_s: float,
        evacuated: frozenset[str],
    ) -> Iterator[tuple[HostRecord, str, Order]]:
        for release in state.releases.values():
            record = find_live_host(table, release.host_id, now_s)
            if record is None or self._has_released(release, table, now_s):
                continue
            if may_rejoin_group(release, record, state):
                continue
            epoch = record.announcement.holding.epoch
            yield (
                record,
                record.announcement.address,
                make_release_order(release, epoch),
            )
        for group in budget.sort_groups_by_value():
            if group.plain or group.phase == PHASE_DRAINING:
                continue
            is_forming_allowed = not is_evacuated(group, table, evacuated)
            for member in group.members if is_forming_allowed else ():
                record = find_live_host(table, member.host_id, now_s)
                if record is None or record.boot_id != member.boot_id:
                    continue
                if not holds_epoch(record, group):
                    order = make_assign_order(
                        group, member.rank, text, self.weight_store_address
                    )
                    yield record, member.address, order
            if self._may_open(group, table, now_s):
                head = group_head(group)
                yield table.host(head.host_id), head.address, make_open_order(group)

    @staticmethod
    def _may_open(group: Group, table: MembershipTable, now_s: float) -> bool:
        """Tell whether a closed head may open because all members are ready."""
        if group.phase != PHASE_SERVING or is_head_open(group, table):
            return False
        return not find_readiness_fault(group, table, now_s)

    def _reserve_unannounced_loads(
        self, state: GroupsState, table: MembershipTable, budget: LoadBudget
    ) -> None:
        """Reserve budget for loads that were ordered but are not announced yet."""
        for host_id, sent in self._sent.items():
            group = state.groups.get(state.owners.get(host_id, ""))
            record = table.host(host_id)
            if group is None or record is None or not sent.is_load:
                continue
            is_current = sent.order_id.startswith(f"{group.fence}-")
            if is_current and not holds_epoch(record, group):
                budget.reserve_load()

    def _is_over_budget(
        self, record: HostRecord, order: Order, state: GroupsState, budget: LoadBudget
    ) -> bool:
        if order.kind != ORDER_ASSIGN or self._is_resend(record, order):
            return False
        if has_weights(record, state.groups[order.group_id], order.rank):
            return False
        return not budget.reserve_load()

    def _is_resend(self, record: HostRecord, order: Order) -> bool:
        sent = self._sent.get(record.host_id)
        return sent is not None and sent.order_id == order.order_id

    def _is_allowed(
        self, record: HostRecord, lease_confirmed: bool, now_s: float
    ) -> bool:
        if record.announcement.fencing:
            return True
        return lease_confirmed and now_s >= self._previous_lease_ends_s

    def _is_due(self, record: HostRecord, order: Order, now_s: float) -> bool:
        sent = self._sent.get(record.host_id)
        if sent is None:
            return True
        if sent.order_id != order.order_id and not record.announcement.fencing:
            # Without fencing, an earlier order could be carried out after this one.
            return now_s >= max(sent.earlier_pending_until_s, sent.pending_until_s)
        if (sent.order_id, sent.boot_id) != (order.order_id, record.boot_id):
            return True
        return now_s >= sent.retry_at_s

    def _record_sent(
        self, record: HostRecord, order: Order, is_load: bool, now_s: float
    ) -> None:
        before = self._sent.get(record.host_id)
        backoff_s = ORDER_RETRY_MIN_S
        earlier_pending_until_s = float("-inf")
        if before is not None:
            earlier_pending_until_s = max(
                before.earlier_pending_until_s, before.pending_until_s
            )
            if before.order_id == order.order_id:
                backoff_s = before.backoff_s
        self._sent[record.host_id] = _SentOrder(
            order_id=order.order_id,
            boot_id=record.boot_id,
            is_load=is_load,
            retry_at_s=now_s + ORDER_TIMEOUT_S + backoff_s,
            backoff_s=backoff_s,
            pending_until_s=now_s + ORDER_LIFETIME_S,
            earlier_pending_until_s=earlier_pending_until_s,
            sent_at_s=now_s,
        )

    def _has_released(
        self, release: HostRelease, table: MembershipTable, now_s: float
    ) -> bool:
        record = find_live_host(table, release.host_id, now_s)
        if record is None or record.announcement.HasField("holding"):
            return False
        if record.announcement.fencing:
            is_fenced = record.announcement.fence >= release.fence
            if is_fenced or record.boot_id != release.boot_id:
                return True
            # An engine may check fencing numbers without announcing them.
            return self._is_release_carried_out(release, record)
        sent = self._sent.get(release.host_id)
        if now_s < self._previous_orders_expire_s:
            return False
        if sent is None:
            return record.boot_id != release.boot_id
        if now_s < max(sent.earlier_pending_until_s, sent.pending_until_s):
            return False
        if sent.order_id != make_release_order_id(release):
            return record.boot_id != release.boot_id
        return self._is_release_carried_out(release, record)

    def _is_release_carried_out(self, release: HostRelease, record: HostRecord) -> bool:
        """Tell whether a host announced itself after it accepted its release order."""
        sent = self._sent.get(release.host_id)
        if sent is None or sent.order_id != make_release_order_id(release):
            return False
        # The announcement may arrive before the answer to the order.
        is_accepted = sent.accepted_at_s is not None
        return is_accepted and record.heard_at_s > sent.sent_at_s

    def _is_release_expired(
        self,
        release: HostRelease,
        table: MembershipTable,
        now_s: float,
        now_unix_ms: int,
    ) -> bool:
        if table.is_fresh(release.host_id, now_s):
            return False
        return now_unix_ms - release.released_at_unix_ms > RELEASE_RETENTION_MS
