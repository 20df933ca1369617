"""What an engine holds and which orders it obeys; pure."""

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
    """The host must fetch weights and then call `HostState.record_loaded_weights`."""

    order: Order
    adapters_only: bool


@attrs.frozen
class StopGroup:
    """The host must stop its work, then call `HostState.complete_release`."""

    group_id: str


Effect = LoadWeights | StopGroup


class OrderCheck(Protocol):
    """Decides whether an engine obeys an order.

    Attributes
    ----------
    highest_fence : int
        Highest fencing number of an order that was obeyed; 0 if not checked.
    """

    highest_fence: int

    def check(self, order: Order, now_unix_ms: int) -> None:
        """Raise `RefusedError` if the order must not be obeyed."""


class AcceptAllOrders:
    """An engine that ignores fencing numbers and obeys what comes last."""

    highest_fence = 0

    def check(self, order: Order, now_unix_ms: int) -> None:
        """Accept every order."""


class FencingTokenCheck:
    """An engine that refuses old, expired and misdirected orders.

    Parameters
    ----------
    host_id, boot_id : str
        Identity of this host and of this life of it.
    """

    def __init__(self, host_id: str, boot_id: str) -> None:
        self.highest_fence = 0
        self._host_id = host_id
        self._boot_id = boot_id

    def check(self, order: Order, now_unix_ms: int) -> None:
        """Refuse an order that another one has overtaken.

        Parameters
        ----------
        order : Order
            The order.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Raises
        ------
        RefusedError
            With ``stale_fence``, ``order_expired`` or ``wrong_boot``.
        """
        if order.fence < self.highest_fence:
            raise RefusedError(
                STATUS_CONFLICT,
                CODE_STALE_FENCE,
                f"fence {order.fence} is older than {self.highest_fence}",
                fence=self.highest_fence,
            )
        if order.expires_at_unix_ms and order.expires_at_unix_ms < now_unix_ms:
            raise RefusedError(
                STATUS_CONFLICT, CODE_ORDER_EXPIRED, "the order has expired"
            )
        for member in order.members:
            if member.host_id == self._host_id and member.boot_id != self._boot_id:
                raise RefusedError(
                    STATUS_CONFLICT, CODE_WRONG_BOOT, f"this is boot {self._boot_id}"
                )
        self.highest_fence = order.fence


@attrs.define
class HostState:
    """The group that a host holds, changed by orders.

    Parameters
    ----------
    check : OrderCheck
        Whether an order is obeyed.
    """

    check: OrderCheck
    holding: Holding | None = None
    members: list[GroupMember] = attrs.field(factory=list)
    _loaded: tuple[str, ...] = ()
    _loaded_adapters: tuple[str, ...] = ()
    _order: Order | None = None

    def apply_order(self, order: Order, now_unix_ms: int) -> Effect | None:
        """Take an order.

        Parameters
        ----------
        order : Order
            The order.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        LoadWeights or StopGroup or None
            What the host must do; None if nothing.

        Raises
        ------
        RefusedError
            If the order is malformed or must not be obeyed.
        """
        if order.kind not in (ORDER_ASSIGN, ORDER_RELEASE) or not order.group_id:
            raise RefusedError(
                STATUS_BAD_REQUEST, CODE_BAD_REQUEST, "kind or group_id is wrong"
            )
        self.check.check(order, now_unix_ms)
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
        """Record that an order's weights have been fetched.

        Parameters
        ----------
        order : Order
            The order whose weights were loaded.

        Returns
        -------
        bool
            False if a later order needs other weights or has its own already.
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
        """Forget a group after its release; False if another one came meanwhile."""
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
    """Name the part of the weights that a rank of a group needs."""
    size = str(len(order.members))
    return order.model, order.version, str(order.rank), size
