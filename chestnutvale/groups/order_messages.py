"""Orders as messages, and which hosts may get them."""

from chestnutvale.groups.budget import has_weights
from chestnutvale.groups.const import (
    ORDER_ASSIGN,
    ORDER_OPEN,
    ORDER_RELEASE,
    ORDER_STAGE,
    PHASE_FORMING,
)
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group, HostRelease, Order


def find_live_host(
    table: MembershipTable, host_id: str, now_s: float
) -> HostRecord | None:
    """Return a living host whose announcement is known.

    Parameters
    ----------
    table : MembershipTable
        What is known of hosts.
    host_id : str
        The host.
    now_s : float
        Monotonic time.

    Returns
    -------
    HostRecord or None
        None if the host is silent or its announcement is lacking.
    """
    record = table.host(host_id)
    if record is None or not record.is_content_current:
        return None
    return record if table.is_fresh(host_id, now_s) else None


def may_rejoin_group(
    release: HostRelease, record: HostRecord, state: GroupsState
) -> bool:
    """Tell whether the group that a host left may still want it back.

    A member that returns while its group still forms with a spare keeps its weights
    until the planner had its say.

    Parameters
    ----------
    release : HostRelease
        The release of the host.
    record : HostRecord
        What is known of the host.
    state : GroupsState
        The replicated groups.

    Returns
    -------
    bool
        Whether its release order must wait.
    """
    group = state.groups.get(release.group_id)
    if group is None or group.phase != PHASE_FORMING:
        return False
    if record.boot_id != release.boot_id or not record.announcement.HasField("holding"):
        return False
    return has_weights(record, group, record.announcement.holding.rank)


def make_assign_order(
    group: Group, rank: int, text: Text, weight_store_address: str
) -> Order:
    """Make the order by which a host takes its part of a group.

    Parameters
    ----------
    group : Group
        The group.
    rank : int
        Rank of the host.
    text : Text
        The text in force.
    weight_store_address : str
        Address that the host loads weights from.

    Returns
    -------
    Order
        The order, without its expiry.
    """
    service = text.services.get(group.service)
    return Order(
        order_id=f"{group.fence}-{rank}",
        kind=ORDER_ASSIGN,
        group_id=group.group_id,
        epoch=group.epoch,
        fence=group.fence,
        rank=rank,
        members=group.members,
        service=group.service,
        model=service.model if service is not None else "",
        version=group.version,
        adapters=group.adapters,
        weight_store_address=weight_store_address,
    )


# Ends the identity of each order to stage weights.
STAGE_SUFFIX = "-stage"


def make_stage_order(record: HostRecord, service: str, model: str, fence: int) -> Order:
    """Make the order by which a free host stages weights.

    Parameters
    ----------
    record : HostRecord
        The host.
    service : str
        The service whose weights are staged.
    model : str
        Its model.
    fence : int
        Highest fence number given out, which no order to a free host is above.

    Returns
    -------
    Order
        The order, without its expiry.
    """
    return Order(
        order_id=f"{record.boot_id}-{service}{STAGE_SUFFIX}",
        kind=ORDER_STAGE,
        fence=fence,
        service=service,
        model=model,
    )


def make_open_order(group: Group) -> Order:
    """Make the order by which the head of a group begins to take calls.

    Parameters
    ----------
    group : Group
        The group; all its members were seen ready.

    Returns
    -------
    Order
        The order, without its expiry.
    """
    return Order(
        order_id=f"{group.fence}-open",
        kind=ORDER_OPEN,
        group_id=group.group_id,
        epoch=group.epoch,
        fence=group.fence,
        service=group.service,
    )


def release_order_id(release: HostRelease) -> str:
    """Return the identity of the order by which a host lets go.

    Parameters
    ----------
    release : HostRelease
        The release.

    Returns
    -------
    str
        The same under every leader.
    """
    return f"{release.fence}-release"


def make_release_order(release: HostRelease, epoch: int) -> Order:
    """Make the order by which a host lets go.

    Parameters
    ----------
    release : HostRelease
        The release.
    epoch : int
        Epoch of the group that the host holds.

    Returns
    -------
    Order
        The order, without its expiry.
    """
    return Order(
        order_id=release_order_id(release),
        kind=ORDER_RELEASE,
        group_id=release.group_id,
        epoch=epoch,
        fence=release.fence,
    )
