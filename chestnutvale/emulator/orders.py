"""State of an engine host under orders; does no I/O and reads no clock."""

from typing import Protocol

import attrs

from chestnutvale.emulator.const import (
    CODE_BAD_REQUEST,
    CODE_ORDER_EXPIRED,
    CODE_STALE_FENCE,
    CODE_WRONG_BOOT,
    ORDER_ASSIGN,
    ORDER_RELEASE,
    PHASE_LOADING,
    PHASE_READY,
    PHASE_RELEASING,
)
from chestnutvale.emulator.exceptions import RefusedError
from chestnutvale.schema.groups_pb2 import GroupMember, Order
from chestnutvale.schema.membership_pb2 import Holding

STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409


@attrs.frozen
class LoadWeights:
    """Effect: fetch weights, then call `HostState.record_loaded_weights`."""

    order: Order
    adapters_only: bool


@attrs.frozen
class StopGroup:
    """Effect: stop the work of a group, then call `HostState.complete_release`."""

    group_id: str


Effect = LoadWeights | StopGroup


class OrderCheck(Protocol):
    """Decides whether an engine accepts an order.

    Attributes
    ----------
    highest_fence : int
        Highest fencing token of an accepted order; 0 if tokens are not checked.
    """

    highest_fence: int

    def check_order(self, order: Order, now_unix_ms: int) -> None:
        """Raise `RefusedError` if the order must not be accepted."""


class AcceptAllOrders:
    """Check of an engine without fencing, which accepts every order."""

    highest_fence = 0

    def check_order(self, order: Order, now_unix_ms: int) -> None:
        """Accept any order, whatever its fencing token, expiry and boot identifiers."""


class FencingTokenCheck:
    """Check that refuses superseded, expired and misdirected orders.

    Parameters
    ----------
    host_id, boot_id : str
        Identifiers of this host and of its current boot.
    """

    def __init__(self, host_id: str, boot_id: str) -> None:
        self.highest_fence = 0
        self._host_id = host_id
        self._boot_id = boot_id

    def check_order(self, order: Order, now_unix_ms: int) -> None:
        """Refuse an order that is superseded, expired or meant for another boot.

        Parameters
        ----------
        order : Order
            The order.
        now_unix_ms : int
            Wall-clock time in Unix milliseconds.

        Raises
        ------
        RefusedError
            With ``stale_fence``, ``order_expired`` or ``wrong_boot``.
        """
        if order.fence < self.highest_fence:
            raise RefusedError(
                STATUS_CONFLICT,
                CODE_STALE_FENCE,
                f"fencing token {order.fence} is lower than {self.highest_fence}",
                fence=self.highest_fence,
            )
        if order.expires_at_unix_ms and order.expires_at_unix_ms < now_unix_ms:
            raise RefusedError(
                STATUS_CONFLICT,
                CODE_ORDER_EXPIRED,
                f"order expired at Unix time {order.expires_at_unix_ms} ms, "
                f"now is {now_unix_ms} ms",
            )
        for member in order.members:
            if member.host_id == self._host_id and member.boot_id != self._boot_id:
                raise RefusedError(
                    STATUS_CONFLICT,
                    CODE_WRONG_BOOT,
                    f"order is for boot {member.boot_id}, "
                    f"host runs boot {self._boot_id}",
                )
        self.highest_fence = order.fence


@attrs.define
class HostState:
    """Group that a host holds, and the transitions that orders cause.

    Parameters
    ----------
    order_check : OrderCheck
        Decides whether an order is accepted.

    Attributes
    ----------
    holding : Holding or None
        The held group, its epoch and phase; None if the host is free.
    members : list of GroupMember
        Members of the held group.
    """

    order_check: OrderCheck
    holding: Holding | None = None
    members: list[GroupMember] = attrs.field(factory=list)
    _loaded: tuple[str, ...] = ()
    _loaded_adapters: tuple[str, ...] = ()
    _order: Order | None = None

    def apply_order(self, order: Order, now_unix_ms: int) -> Effect | None:
        """Apply an order that assigns or releases a group.

        Parameters
        ----------
        order : Order
            The order.
        now_unix_ms : int
            Wall-clock time in Unix milliseconds.

        Returns
        -------
        LoadWeights or StopGroup or None
            What the host must do next; None if nothing.

        Raises
        ------
        RefusedError
            If the order is malformed or must not be accepted; the state stays as
            it was.
        """
        if order.kind not in (ORDER_ASSIGN, ORDER_RELEASE) or not order.group_id:
            raise RefusedError(
                STATUS_BAD_REQUEST,
                CODE_BAD_REQUEST,
                "kind is unknown or group_id is empty",
            )
        self.order_check.check_order(order, now_unix_ms)
        if order.kind == ORDER_RELEASE:
            return self._release(order)
        return self._assign(order)

    def _assign(self, order: Order) -> Effect | None:
        if self.holding is not None and order == self._order:
            return None
        self._order = order
        self.members = list(order.members)
        self.holding = Holding(
            group_id=order.group_id,
            epoch=order.epoch,
            fence=order.fence,
            rank=order.rank,
            service=order.service,
            version=order.version,
            adapters=list(order.adapters),
            phase=PHASE_LOADING,
        )
        if self._loaded != _weights_key(order):
            return LoadWeights(order, adapters_only=False)
        if set(order.adapters) - set(self._loaded_adapters):
            return LoadWeights(order, adapters_only=True)
        self.holding.phase = PHASE_READY
        return None

    def _release(self, order: Order) -> Effect | None:
        if self.holding is None or self.holding.group_id != order.group_id:
            return None
        self.holding.phase = PHASE_RELEASING
        self._order = None
        return StopGroup(order.group_id)

    def record_loaded_weights(self, order: Order) -> bool:
        """Record that the weights of an order have been fetched.

        Parameters
        ----------
        order : Order
            The order whose weights were loaded.

        Returns
        -------
        bool
            True if the held group is ready now; False if it needs other weights or
            adapters, is ready already or is being released.
        """
        if self._order is None or self.holding.phase != PHASE_LOADING:
            return False
        if _weights_key(order) != _weights_key(self._order):
            return False
        self._loaded = _weights_key(order)
        self._loaded_adapters = tuple(order.adapters)
        if set(self._order.adapters) - set(order.adapters):
            return False
        self.holding.phase = PHASE_READY
        return True

    def complete_release(self, group_id: str) -> bool:
        """Forget a released group and its weights.

        Returns
        -------
        bool
            False if the host no longer holds the group in the releasing phase.
        """
        if self.holding is None or self.holding.group_id != group_id:
            return False
        if self.holding.phase != PHASE_RELEASING:
            return False
        self.holding = None
        self.members = []
        self._loaded = ()
        self._loaded_adapters = ()
        return True


def _weights_key(order: Order) -> tuple[str, ...]:
    """Return the identity of the part of the weights that an order needs."""
    size = str(len(order.members))
    return order.model, order.version, str(order.rank), size
