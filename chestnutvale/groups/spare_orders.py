"""Orders to free hosts, which prepare them for a group."""

from chestnutvale.groups.const import ORDER_LIFETIME_S, ORDER_TIMEOUT_S
from chestnutvale.groups.free_hosts import SpareRequest
from chestnutvale.groups.order_messages import make_stage_order, make_warm_up_order
from chestnutvale.groups.orders import SendOrder
from chestnutvale.groups.state import GroupsState
from chestnutvale.schema.configuration_pb2 import Text


def make_spare_order(
    request: SpareRequest,
    text: Text,
    state: GroupsState,
    now_s: float,
    now_unix_ms: int,
) -> SendOrder:
    """Return the order for a free host to stage weights or to warm up.

    Parameters
    ----------
    request : SpareRequest
        Host and service.
    text : Text
        Configuration in force.
    state : GroupsState
        Replicated state of the groups.
    now_s : float
        Monotonic time in seconds.
    now_unix_ms : int
        Wall-clock time in milliseconds, for the expiry of the order.

    Returns
    -------
    SendOrder
        The order; the scheduler does not retry it.
    """
    make_order = make_warm_up_order if request.is_warm_up else make_stage_order
    model = text.services[request.service].model
    order = make_order(request.host, request.service, model, state.last_fence)
    order.expires_at_unix_ms = now_unix_ms + round(ORDER_LIFETIME_S * 1_000)
    host = request.host
    return SendOrder(
        host.host_id, host.announcement.address, order, now_s + ORDER_TIMEOUT_S
    )
