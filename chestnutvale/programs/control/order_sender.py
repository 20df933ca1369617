"""Send orders to hosts over HTTP."""

import json

import logbook
import urllib3
from google.protobuf import json_format

from chestnutvale.clock import Clock
from chestnutvale.groups.orders import OrderOutcome, SendOrder
from chestnutvale.programs.control.const import (
    MAX_ORDERS_AT_ONCE,
    ORDER_CONNECT_TIMEOUT_S,
    ORDER_READ_TIMEOUT_S,
    PATH_ORDERS,
)

_LOGGER = logbook.Logger(__name__)

STATUS_OK = 200
STATUS_CONFLICT = 409
CODE_STALE_FENCE = "stale_fence"


class OrderSender:
    """Owns the connections to hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pool = urllib3.PoolManager(
            num_pools=MAX_ORDERS_AT_ONCE,
            retries=False,
            timeout=urllib3.Timeout(
                connect=ORDER_CONNECT_TIMEOUT_S, read=ORDER_READ_TIMEOUT_S
            ),
        )

    def send(self, effect: SendOrder) -> OrderOutcome:
        """Send one order; blocks the calling task.

        Parameters
        ----------
        effect : SendOrder
            The order, the host's address and the time before which to send.

        Returns
        -------
        OrderOutcome
            How the host answered; unreachable if it may not have been sent.
        """
        # The process may have been stopped between the decision and this line; an
        # order that outlived the leader's right to give it is not sent.
        if self._clock.now_s() >= effect.send_before_s:
            return OrderOutcome.UNREACHABLE
        body = json_format.MessageToJson(
            effect.order, preserving_proto_field_name=True, indent=None
        )
        try:
            response = self._pool.request(
                "POST",
                f"http://{effect.address}{PATH_ORDERS}",
                body=body.encode(),
                headers={"Content-Type": "application/json", "Connection": "close"},
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            _LOGGER.info("Order to {} was not answered: {}", effect.host_id, error)
            return OrderOutcome.UNREACHABLE
        return self._judge(effect, response)

    def _judge(
        self, effect: SendOrder, response: urllib3.BaseHTTPResponse
    ) -> OrderOutcome:
        if response.status == STATUS_OK:
            return OrderOutcome.ACCEPTED
        if response.status == STATUS_CONFLICT and _read_code(response) == (
            CODE_STALE_FENCE
        ):
            return OrderOutcome.STALE_FENCE
        _LOGGER.warning(
            "Host {} answered an order with status {}", effect.host_id, response.status
        )
        return OrderOutcome.UNREACHABLE


def _read_code(response: urllib3.BaseHTTPResponse) -> str:
    try:
        body = json.loads(response.data)
    except ValueError:
        return ""
    return str(body.get("code", "")) if isinstance(body, dict) else ""
