"""Fake hosts and a rate-limited weight store in simulated time."""

import enum

import attrs

from chestnutvale.groups.const import ORDER_ASSIGN
from chestnutvale.groups.orders import OrderOutcome
from chestnutvale.schema.groups_pb2 import Order
from chestnutvale.schema.membership_pb2 import Announcement, Holding, Load


class HostStatus(enum.Enum):
    """Process state of a fake host."""

    RUNNING = "running"
    PAUSED = "paused"
    DEAD = "dead"


@attrs.define
class FakeHost:
    """An engine host that announces itself, loads weights and executes orders.

    Parameters
    ----------
    host_id : str
        Identifier of the host.
    fabric_domain, data_centre : str
        Fabric domain and data centre of the host.
    fencing : bool
        Whether it refuses orders with an old fencing token.
    """

    host_id: str
    fabric_domain: str
    data_centre: str
    fencing: bool = True
    status: HostStatus = HostStatus.RUNNING
    boot: int = 1
    sequence: int = 0
    fence: int = 0
    holding: Holding | None = None
    load_left_s: float = 0.0
    leaving: bool = False
    running: int = 0
    announced_at_s: float = float("-inf")
    acted_fences: list[int] = attrs.field(factory=list)
    late_orders: list[Order] = attrs.field(factory=list)

    @property
    def boot_id(self) -> str:
        """Identifier of the current boot of the host."""
        return f"{self.host_id}.{self.boot}"

    @property
    def is_running(self) -> bool:
        """Whether the host is neither paused nor dead."""
        return self.status is HostStatus.RUNNING

    def announce(self, now_s: float) -> Announcement:
        """Return the next announcement.

        Parameters
        ----------
        now_s : float
            Simulated time in seconds.

        Returns
        -------
        Announcement
            The announcement, with the next sequence number.
        """
        self.sequence += 1
        self.announced_at_s = now_s
        return Announcement(
            host_id=self.host_id,
            boot_id=self.boot_id,
            sequence=self.sequence,
            address="10.0.0.1:8000",
            data_centre=self.data_centre,
            fabric_domain=self.fabric_domain,
            kind="engine",
            fencing=self.fencing,
            fence=self.fence if self.fencing else 0,
            leaving=self.leaving,
            holding=self.holding,
            load=Load(running=self.running),
        )

    def receive(self, order: Order, load_s: float) -> OrderOutcome:
        """Receive an order; a paused host executes it when it resumes.

        Parameters
        ----------
        order : Order
            The order.
        load_s : float
            Time in seconds to load a shard of the weights at full rate.

        Returns
        -------
        OrderOutcome
            The result as the sender sees it.
        """
        if self.status is HostStatus.PAUSED:
            self.late_orders.append(order)
        if not self.is_running:
            return OrderOutcome.UNREACHABLE
        if self.fencing and order.fence < self.fence:
            return OrderOutcome.STALE_FENCE
        self._execute_order(order, load_s)
        return OrderOutcome.ACCEPTED

    def continue_loading(self, share: float, time_step_s: float) -> None:
        """Advance the loading of weights by a time step.

        Parameters
        ----------
        share : float
            Fraction of the full load rate that the weight store gives.
        time_step_s : float
            Time step in seconds.
        """
        if self.holding is None or self.holding.phase != "loading":
            return
        self.load_left_s -= time_step_s * share
        if self.load_left_s <= 1e-9:
            self.holding.phase = "ready"

    def restart(self) -> None:
        """Restart with a new boot identifier and empty memory."""
        self.boot += 1
        self.sequence = 0
        self.fence = 0
        self.holding = None
        self.running = 0
        self.late_orders.clear()
        self.acted_fences.clear()
        self.status = HostStatus.RUNNING

    def wake(self, load_s: float) -> None:
        """Resume after a pause and execute the orders that arrived during it.

        Parameters
        ----------
        load_s : float
            Time in seconds to load a shard of the weights at full rate.
        """
        self.status = HostStatus.RUNNING
        delayed_orders, self.late_orders = self.late_orders, []
        for order in delayed_orders:
            self.receive(order, load_s)

    def _execute_order(self, order: Order, load_s: float) -> None:
        self.acted_fences.append(order.fence)
        self.fence = max(self.fence, order.fence)
        if order.kind != ORDER_ASSIGN:
            self.holding = None
            return
        previous = self.holding
        holding = Holding(
            group_id=order.group_id,
            epoch=order.epoch,
            fence=order.fence,
            rank=order.rank,
            service=order.service,
            version=order.version,
            adapters=order.adapters,
            phase="loading",
        )
        if previous is None or _shard_key(previous) != _shard_key(holding):
            self.load_left_s = load_s
        elif previous.phase == "ready":
            holding.phase = "ready"
        self.holding = holding


@attrs.define
class FakeWeightStore:
    """Divides a fixed total rate among the hosts that load weights.

    Parameters
    ----------
    full_rate_hosts : int
        Number of hosts that can load at full rate concurrently.
    """

    full_rate_hosts: int

    def share(self, loading: int) -> float:
        """Return the fraction of the full rate that each loading host gets.

        Parameters
        ----------
        loading : int
            Number of hosts that are loading.

        Returns
        -------
        float
            Between 0 and 1.
        """
        return min(1.0, self.full_rate_hosts / max(1, loading))


def _shard_key(holding: Holding) -> tuple[str, str, int]:
    return (holding.service, holding.version, holding.rank)
