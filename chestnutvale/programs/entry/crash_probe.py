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
    """Ask each member of a group whether it still is the same process.

    A member that no longer holds the group was ordered to release it, perhaps because
    it was late, and the request is not the cause. Hosts of plain services are only
    probed by connecting.

    Parameters
    ----------
    group : Group
        The group as it was when the attempt began.
    is_engine : bool
        Whether its members are engines.

    Returns
    -------
    bool
        Whether a member is down or was restarted.
    """
    if not is_engine:
        return not all(_accepts_connection(member) for member in group.members)
    return not all(_still_runs(member) for member in group.members)


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


def _still_runs(member: GroupMember) -> bool:
    try:
        with EndpointExchange(member.address) as exchange:
            exchange.connect(PROBE_TIMEOUT_S)
            exchange.send("GET", MEMBERSHIP_PATH, {}, b"", PROBE_TIMEOUT_S)
            answer = json.loads(exchange.read_all(MAX_MEMBERSHIP_BYTES))
        return answer["boot_id"] == member.boot_id
    except (
        EndpointUnreachableError,
        EndpointBrokenError,
        EndpointSilentError,
        AnswerTooLargeError,
    ):
        return False
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return False
