"""Send orders to hosts over HTTP."""

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
    """An order as it is sent.

    Attributes
    ----------
    path : str
        Path at the host.
    body : bytes
        JSON.
    headers : dict of str to str
        Headers beside those of any order.
    """

    path: str
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)


class OrderProtocol(Protocol):
    """How orders look on the wire."""

    def encode(self, effect: SendOrder) -> OrderMessage:
        """Translate an order."""

    def parse_response(
        self, effect: SendOrder, status: int, data: bytes
    ) -> OrderOutcome:
        """Tell what the status and the body of an answer say."""


class NativeOrderProtocol:
    """Orders of the project's own endpoint protocol."""

    def encode(self, effect: SendOrder) -> OrderMessage:
        """Translate an order.

        Parameters
        ----------
        effect : SendOrder
            The order.

        Returns
        -------
        OrderMessage
            What is sent.
        """
        body = json_format.MessageToJson(
            effect.order, preserving_proto_field_name=True, indent=None
        )
        return OrderMessage(PATH_ORDERS, body.encode())

    def parse_response(
        self, effect: SendOrder, status: int, data: bytes
    ) -> OrderOutcome:
        """Tell what an answer says.

        Parameters
        ----------
        effect : SendOrder
            The order.
        status : int
            HTTP status.
        data : bytes
            Body of the answer.

        Returns
        -------
        OrderOutcome
            Unreachable if it may not have been taken.
        """
        if status == STATUS_OK:
            return OrderOutcome.ACCEPTED
        if status == STATUS_CONFLICT and _read_code(data) == CODE_STALE_FENCE:
            return OrderOutcome.STALE_FENCE
        _LOGGER.warning(
            "Host {} answered an order with status {}", effect.host_id, status
        )
        return OrderOutcome.UNREACHABLE


class OrderSender:
    """Owns the connections to hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    protocol : OrderProtocol, optional
        How orders look on the wire; the endpoint protocol by default.
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
            How the host answered; unreachable if it may not have been sent.
        """
        # The process may have been stopped between the decision and this line; an
        # order that outlived the leader's right to give it is not sent.
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
            _LOGGER.info("Order to {} was not answered: {}", effect.host_id, error)
            return OrderOutcome.UNREACHABLE
        return self._protocol.parse_response(effect, response.status, response.data)


def _read_code(data: bytes) -> str:
    try:
        body = json.loads(data)
    except ValueError:
        return ""
    return str(body.get("code", "")) if isinstance(body, dict) else ""
