"""Sending of orders to hosts over HTTP."""

import json
from typing import Protocol

import attrs
import logbook
import urllib3
from google.protobuf import json_format

from chestnutvale.clock import Clock
from chestnutvale.groups.orders import OrderOutcome, SendOrder
from chestnutvale.programs.control.const import (
    MAX_CONCURRENT_ORDERS,
    ORDER_CONNECT_TIMEOUT_S,
    ORDER_READ_TIMEOUT_S,
    PATH_ORDERS,
)

_LOGGER = logbook.Logger(__name__)

STATUS_OK = 200
STATUS_CONFLICT = 409
CODE_STALE_FENCE = "stale_fence"


@attrs.frozen
class OrderMessage:
    """HTTP request that carries an order.

    Attributes
    ----------
    path : str
        Path at the host.
    body : bytes
        JSON document.
    headers : dict of str to str
        Additional headers.
    """

    path: str
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)


class OrderProtocol(Protocol):
    """Wire format of orders."""

    def encode(self, effect: SendOrder) -> OrderMessage:
        """Encode an order as an HTTP request."""

    def parse_response(
        self, effect: SendOrder, status: int, data: bytes
    ) -> OrderOutcome:
        """Derive the outcome of an order from the response."""


class NativeOrderProtocol:
    """Encodes orders for the endpoint protocol."""

    def encode(self, effect: SendOrder) -> OrderMessage:
        """Encode an order as an HTTP request.

        Parameters
        ----------
        effect : SendOrder
            The order.

        Returns
        -------
        OrderMessage
            Path, headers and body of the request.
        """
        body = json_format.MessageToJson(
            effect.order, preserving_proto_field_name=True, indent=None
        )
        return OrderMessage(PATH_ORDERS, body.encode())

    def parse_response(
        self, effect: SendOrder, status: int, data: bytes
    ) -> OrderOutcome:
        """Derive the outcome of an order from the response.

        Parameters
        ----------
        effect : SendOrder
            The order.
        status : int
            HTTP status.
        data : bytes
            Body of the response.

        Returns
        -------
        OrderOutcome
            ``UNREACHABLE`` if the host may not have accepted the order.
        """
        if status == STATUS_OK:
            return OrderOutcome.ACCEPTED
        if status == STATUS_CONFLICT and _read_code(data) == CODE_STALE_FENCE:
            return OrderOutcome.STALE_FENCE
        _LOGGER.warning(
            "Host {} answered an order with unexpected HTTP status {}",
            effect.host_id,
            status,
        )
        return OrderOutcome.UNREACHABLE


class OrderSender:
    """Sends orders to hosts; owns the HTTP connection pool.

    Parameters
    ----------
    clock : Clock
        Source of time.
    protocol : OrderProtocol, optional
        Wire format of orders; the endpoint protocol by default.
    """

    def __init__(self, clock: Clock, protocol: OrderProtocol | None = None) -> None:
        self._clock = clock
        self._protocol = protocol or NativeOrderProtocol()
        self._pool = urllib3.PoolManager(
            num_pools=MAX_CONCURRENT_ORDERS,
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
            Response of the host; ``UNREACHABLE`` if the order may not have arrived.
        """
        # The process may have been suspended between the decision and this line; an
        # order must not be sent once the leader's lease no longer covers it.
        if self._clock.now_s() >= effect.send_before_s:
            return OrderOutcome.UNREACHABLE
        message = self._protocol.encode(effect)
        headers = {"Content-Type": "application/json", "Connection": "close"}
        try:
            response = self._pool.request(
                "POST",
                f"http://{effect.address}{message.path}",
                body=message.body,
                headers=headers | message.headers,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            _LOGGER.info("Order to host {} got no response: {}", effect.host_id, error)
            return OrderOutcome.UNREACHABLE
        return self._protocol.parse_response(effect, response.status, response.data)


def _read_code(data: bytes) -> str:
    try:
        body = json.loads(data)
    except ValueError:
        return ""
    return str(body.get("code", "")) if isinstance(body, dict) else ""
