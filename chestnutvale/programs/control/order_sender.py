"""Sending of orders to hosts over HTTP."""

import contextlib
import json
from typing import Protocol

import attrs
import logbook
from google.protobuf import json_format

from chestnutvale.clock import Clock
from chestnutvale.groups.orders import OrderOutcome, SendOrder
from chestnutvale.http_client.answer_reader import AnswerReader
from chestnutvale.http_client.exceptions import AnswerFormatError
from chestnutvale.http_client.request import encode_request
from chestnutvale.http_client.timed_socket import TimedSocket
from chestnutvale.programs.control.const import (
    MAX_ORDER_ANSWER_BYTES,
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
    """Sends orders to hosts, each over a connection of its own.

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
        message = self._protocol.encode(effect)
        try:
            with contextlib.closing(self._connect(effect)) as sock:
                # The process may have been suspended between the decision and this
                # line; an order must not be sent once the leader's lease no longer
                # covers it.
                if self._clock.now_s() >= effect.send_before_s:
                    return OrderOutcome.UNREACHABLE
                status, data = self._exchange(sock, effect.address, message)
        except (AnswerFormatError, OSError, ValueError) as error:
            _LOGGER.info("Order to host {} got no response: {}", effect.host_id, error)
            return OrderOutcome.UNREACHABLE
        return self._protocol.parse_response(effect, status, data)

    def _connect(self, effect: SendOrder) -> TimedSocket:
        return TimedSocket.open(effect.address, ORDER_CONNECT_TIMEOUT_S, self._clock)

    def _exchange(
        self, sock: TimedSocket, address: str, message: OrderMessage
    ) -> tuple[int, bytes]:
        """Send the request; return status and body of the answer."""
        deadline_s = self._clock.now_s() + ORDER_READ_TIMEOUT_S
        headers = {
            "Host": address,
            "Content-Type": "application/json",
            "Connection": "close",
            **message.headers,
        }
        request = encode_request("POST", message.path, headers.items(), message.body)
        sock.send_all(request, deadline_s)
        answer = AnswerReader(sock, "POST", self._clock)
        status = answer.read_head(deadline_s).status
        return status, answer.read_all(MAX_ORDER_ANSWER_BYTES, deadline_s)


def _read_code(data: bytes) -> str:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return ""
    return str(body.get("code", "")) if isinstance(body, dict) else ""
