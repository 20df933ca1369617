"""Converts demand and flows to and from the messages between entries and controls."""

import math
from collections.abc import Iterable

from chestnutvale.admission.const import PRIORITIES
from chestnutvale.admission.messages import Demand
from chestnutvale.admission.service_flow import ServiceFlow
from chestnutvale.schema import peer_pb2
from chestnutvale.schema.peer_pb2 import WorkspaceDemand


def to_messages(demands: Iterable[Demand]) -> list[WorkspaceDemand]:
    """Convert demands to protobuf messages.

    Parameters
    ----------
    demands : iterable of Demand
        The demands.

    Returns
    -------
    list of WorkspaceDemand
        One message for each demand.
    """
    return [
        WorkspaceDemand(
            service=item.service,
            workspace=item.workspace,
            tokens=item.tokens,
            urgent_tokens=item.urgent_tokens,
            refused_tokens=item.refused_tokens,
            calls_per_s=item.calls_per_s,
        )
        for item in demands
    ]


def from_messages(messages: Iterable[WorkspaceDemand]) -> list[Demand]:
    """Convert demands from protobuf messages.

    Parameters
    ----------
    messages : iterable of WorkspaceDemand
        The messages.

    Returns
    -------
    list of Demand
        The demands.
    """
    return [
        Demand(
            item.service,
            item.workspace,
            item.tokens,
            item.urgent_tokens,
            item.refused_tokens,
            _sane_rates(item.calls_per_s),
        )
        for item in messages
    ]


def to_flow_messages(flows: Iterable[ServiceFlow]) -> list[peer_pb2.ServiceFlow]:
    """Convert flows to protobuf messages; those without calls are left out."""
    return [
        peer_pb2.ServiceFlow(
            service=flow.service,
            offered_per_s=flow.offered_per_s,
            admitted_per_s=flow.admitted_per_s,
        )
        for flow in flows
        if flow.offered_per_s or flow.admitted_per_s
    ]


def from_flow_messages(
    messages: Iterable[peer_pb2.ServiceFlow],
) -> list[ServiceFlow]:
    """Convert flows from protobuf messages; rates that are no numbers count as 0."""
    return [
        ServiceFlow(item.service, _sane(item.offered_per_s), _sane(item.admitted_per_s))
        for item in messages
    ]


def _sane(rate_per_s: float) -> float:
    return rate_per_s if 0.0 <= rate_per_s < math.inf else 0.0


def _sane_rates(rates_per_s: Iterable[float]) -> tuple[float, ...]:
    rates = tuple(map(_sane, rates_per_s))
    return rates if len(rates) == len(PRIORITIES) else ()
