"""Builds order messages and tells which hosts may receive them."""

from chestnutvale.groups.budget import has_weights
from chestnutvale.groups.const import (
    ORDER_ASSIGN,
    ORDER_OPEN,
    ORDER_RELEASE,
    ORDER_STAGE,
    PHASE_FORMING,
)
from chestnutvale.groups.fleet import make_member, make_warm_up_group_id
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group, HostRelease, Order


def find_live_host(
    table: MembershipTable, host_id: str, now_s: float
) -> HostRecord | None:
    """Return the record of a live host whose announcement is known.

    Parameters
    ----------
    table : MembershipTable
        Liveness and announcements of hosts.
    host_id : str
        The host.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    HostRecord or None
        None if the host is silent or its announcement is missing or outdated.
    """
    record = table.host(host_id)
    if record is None or not record.is_content_current:
        return None
    return record if table.is_fresh(host_id, now_s) else None


def may_rejoin_group(
    release: HostRelease, record: HostRecord, state: GroupsState
) -> bool:
    """Tell whether a released host may still return to its former group.

    A member that returns while its group is forming with a spare keeps its weights
    until the planner has decided whether to restore it.

    Parameters
    ----------
    release : HostRelease
        The release of the host.
    record : HostRecord
        Membership record of the host.
    state : GroupsState
        Replicated state of the groups.

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
    """Build the order that assigns a host its rank in a group.

    Parameters
    ----------
    group : Group
        The group.
    rank : int
        Rank of the host.
    text : Text
        Configuration in force.
    weight_store_address : str
        Address from which the host loads weights.

    Returns
    -------
    Order
        The order; the caller sets its expiry.
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


# Suffix of the order_id of staging orders, by which their answers are recognised.
STAGE_SUFFIX = "-stage"


def make_stage_order(record: HostRecord, service: str, model: str, fence: int) -> Order:
    """Build the order for a free host to stage weights.

    Parameters
    ----------
    record : HostRecord
        The host.
    service : str
        The service whose weights are staged.
    model : str
        Its model.
    fence : int
        Highest fencing number issued; no order to a free host exceeds it.

    Returns
    -------
    Order
        The order; the caller sets its expiry.
    """
    return Order(
        order_id=f"{record.boot_id}-{service}{STAGE_SUFFIX}",
        kind=ORDER_STAGE,
        fence=fence,
        service=service,
        model=model,
    )


# Suffix of the order_id of warm-up orders, which no other order has.
WARM_UP_SUFFIX = "-warm-up"


def make_warm_up_order(
    record: HostRecord, service: str, model: str, fence: int
) -> Order:
    """Build the order for a free host to warm up in a group of its own.

    Parameters
    ----------
    record : HostRecord
        The host.
    service : str
        The service, whose weights the host has staged.
    model : str
        Its model.
    fence : int
        Highest fencing number issued. It is also the epoch of the group, so any group
        formed later replaces it.

    Returns
    -------
    Order
        The order; the caller sets its expiry.
    """
    return Order(
        order_id=f"{record.boot_id}-{service}{WARM_UP_SUFFIX}",
        kind=ORDER_ASSIGN,
        group_id=make_warm_up_group_id(record.host_id, service),
        epoch=fence,
        fence=fence,
        members=[make_member(record, 0)],
        service=service,
        model=model,
    )


def make_open_order(group: Group) -> Order:
    """Build the order for the head of a group to accept calls.

    Parameters
    ----------
    group : Group
        The group; all its members must have announced that they are ready.

    Returns
    -------
    Order
        The order; the caller sets its expiry.
    """
    return Order(
        order_id=f"{group.fence}-open",
        kind=ORDER_OPEN,
        group_id=group.group_id,
        epoch=group.epoch,
        fence=group.fence,
        service=group.service,
    )


def make_release_order_id(release: HostRelease) -> str:
    """Return the order_id of the release order of a host.

    Parameters
    ----------
    release : HostRelease
        The release.

    Returns
    -------
    str
        The order_id, which is the same under every leader.
    """
    return f"{release.fence}-release"


def make_release_order(release: HostRelease, epoch: int) -> Order:
    """Build the order for a host to release its part of a group.

    Parameters
    ----------
    release : HostRelease
        The release.
    epoch : int
        Epoch of the group that the host holds.

    Returns
    -------
    Order
        The order; the caller sets its expiry.
    """
    return Order(
        order_id=make_release_order_id(release),
        kind=ORDER_RELEASE,
        group_id=release.group_id,
        epoch=epoch,
        fence=release.fence,
    )
