"""Probes that distinguish a crashed group from a single broken stream."""

import json

from chestnutvale.groups.members import group_head
from chestnutvale.programs.entry.endpoint_exchange import EndpointExchange
from chestnutvale.programs.entry.exceptions import (
    AnswerTooLargeError,
    EndpointBrokenError,
    EndpointSilentError,
    EndpointUnreachableError,
)
from chestnutvale.schema.groups_pb2 import Group, GroupMember

MEMBERSHIP_PATH = "/v1/membership"
PROBE_TIMEOUT_S = 0.3
MAX_MEMBERSHIP_BYTES = 64 * 1024


def has_crashed(group: Group, *, is_engine: bool) -> bool:
    """Ask each member of a group whether it still holds the group.

    Hosts of plain services have no group state; they are only probed by connecting.

    Parameters
    ----------
    group : Group
        The group as it was when the attempt began.
    is_engine : bool
        Whether its members are engines.

    Returns
    -------
    bool
        Whether a member is down, was restarted, or left the group.
    """
    if not is_engine:
        return not all(_accepts_connection(member) for member in group.members)
    return not all(_holds_group(member, group) for member in group.members)


def is_head_down(group: Group, *, is_engine: bool) -> bool:
    """Check only whether the head of a group refuses a connection.

    For endpoints that do not report their group and for which each connection is
    expensive. A head that does not answer in time may be paused or cut off.

    Parameters
    ----------
    group : Group
        The group as it was when the attempt began.
    is_engine : bool
        Whether its members are engines.

    Returns
    -------
    bool
        Whether the head refuses or resets the connection.
    """
    try:
        with EndpointExchange(group_head(group).address) as exchange:
            exchange.connect(PROBE_TIMEOUT_S)
    except EndpointUnreachableError as error:
        return isinstance(error.__cause__, ConnectionError)
    return False


def _accepts_connection(member: GroupMember) -> bool:
    try:
        with EndpointExchange(member.address) as exchange:
            exchange.connect(PROBE_TIMEOUT_S)
    except EndpointUnreachableError:
        return False
    return True


def _holds_group(member: GroupMember, group: Group) -> bool:
    try:
        with EndpointExchange(member.address) as exchange:
            exchange.connect(PROBE_TIMEOUT_S)
            exchange.send("GET", MEMBERSHIP_PATH, {}, b"", PROBE_TIMEOUT_S)
            answer = json.loads(exchange.read_all(MAX_MEMBERSHIP_BYTES))
        holding = answer["holding"] or {}
        return (
            answer["boot_id"] == member.boot_id
            and holding.get("group_id") == group.group_id
            and int(holding.get("epoch", 0)) == group.epoch
        )
    except (
        EndpointUnreachableError,
        EndpointBrokenError,
        EndpointSilentError,
        AnswerTooLargeError,
    ):
        return False
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return False
