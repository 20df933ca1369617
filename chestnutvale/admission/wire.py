"""Converts demand to and from the messages between entries and control plane."""

from collections.abc import Iterable

from chestnutvale.admission.messages import Demand
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
        )
        for item in messages
    ]
