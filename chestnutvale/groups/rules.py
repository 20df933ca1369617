"""Validates a single group and its changes."""

from typing import Final

from chestnutvale.groups.const import PHASE_DRAINING, PHASE_FORMING, PHASE_SERVING
from chestnutvale.schema.groups_pb2 import Group

_NEXT_PHASES: Final = {
    PHASE_FORMING: frozenset({PHASE_FORMING, PHASE_SERVING, PHASE_DRAINING}),
    PHASE_SERVING: frozenset({PHASE_SERVING, PHASE_DRAINING}),
    PHASE_DRAINING: frozenset({PHASE_DRAINING}),
}


def has_same_assignments(before: Group, after: Group) -> bool:
    """Tell whether a change requires no new orders to the members.

    Parameters
    ----------
    before, after : Group
        The group before and after the change.

    Returns
    -------
    bool
        Whether members, version and adapters are the same.
    """
    return (
        list(before.members) == list(after.members)
        and before.version == after.version
        and list(before.adapters) == list(after.adapters)
    )


def find_group_fault(before: Group | None, after: Group) -> str:
    """Return why a group or its change is invalid, regardless of other groups.

    Parameters
    ----------
    before : Group or None
        The group in force; None if the group is new.
    after : Group
        The proposed group.

    Returns
    -------
    str
        The reason; empty if the change is valid.
    """
    if not after.group_id or not after.service:
        return "group_id and service must be set"
    hosts = [member.host_id for member in after.members]
    if not hosts or not all(hosts):
        return "a group needs members"
    if len(set(hosts)) != len(hosts):
        return "a host is in the group twice"
    if sorted(member.rank for member in after.members) != list(range(len(hosts))):
        return "ranks must be 0 to the number of members less one"
    if after.plain and len(hosts) != 1:
        return "a group of a plain service has one host"
    if before is None:
        return "" if after.phase == PHASE_FORMING else "a new group must be forming"
    if (after.service, after.plain) != (before.service, before.plain):
        return "a group keeps its service"
    return _find_phase_fault(before, after)


def _find_phase_fault(before: Group, after: Group) -> str:
    if not has_same_assignments(before, after):
        return "" if after.phase == PHASE_FORMING else "changed members must form"
    if after.phase not in _NEXT_PHASES.get(before.phase, frozenset()):
        return f"phase {after.phase!r} must not follow {before.phase!r}"
    return ""
