"""Tells whether a group may serve, by the announcements of its members."""

from collections.abc import Collection

from chestnutvale.evacuations.state import make_fault
from chestnutvale.groups.const import (
    FAULT_MISSING,
    FAULT_RESTARTED,
    FAULT_UNKNOWN,
    PHASE_SERVING,
)
from chestnutvale.groups.members import group_head
from chestnutvale.membership.const import HOLDING_OPEN, HOLDING_READY
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import Group, GroupMember


def find_member_fault(
    group: Group,
    member: GroupMember,
    table: MembershipTable,
    now_s: float,
    draining_hosts: Collection[str] = (),
) -> str:
    """Return why a member prevents its group from serving.

    Parameters
    ----------
    group : Group
        The group.
    member : GroupMember
        One of its members.
    table : MembershipTable
        Liveness and announcements of hosts.
    now_s : float
        Monotonic time in seconds.
    draining_hosts : collection of str
        Hosts that are being drained.

    Returns
    -------
    str
        The reason; empty if the member is ready.
    """
    record = table.host(member.host_id)
    is_working = has_recent_events(group, table, now_s)
    if record is None and is_working:
        # Without its boot, the leader can't tell whether it was restarted.
        return f"member {member.host_id} {FAULT_UNKNOWN}"
    if not table.is_fresh(member.host_id, now_s) and not is_working:
        # A new leader has no announcements yet; it must not abort running requests.
        if table.is_awaiting_report(member.host_id, now_s):
            return f"member {member.host_id} {FAULT_UNKNOWN}"
        return f"member {member.host_id} {FAULT_MISSING}"
    is_restarted = record.boot_id != member.boot_id
    if is_restarted and table.is_heard_in_term(record):
        return f"member {member.host_id} {FAULT_RESTARTED}"
    if is_restarted or not record.is_content_current:
        return f"member {member.host_id} {FAULT_UNKNOWN}"
    if record.announcement.leaving:
        return f"member {member.host_id} is leaving"
    if member.host_id in draining_hosts:
        return f"member {member.host_id} is drained"
    if group.plain and record.announcement.service != group.service:
        return f"member {member.host_id} is of another service"
    if not group.plain and not holds_epoch(record, group, HOLDING_READY):
        return f"member {member.host_id} is not ready"
    return ""


def has_recent_events(group: Group, table: MembershipTable, now_s: float) -> bool:
    """Tell whether a group works although some of its members are silent.

    This holds only for heads that stop when a member is lost: while such a head sends
    events, its silent members are at worst partitioned from the controls.

    Parameters
    ----------
    group : Group
        The group.
    table : MembershipTable
        Liveness and announcements of hosts, and recent events of groups.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether entries received events from it recently.
    """
    return group.pooled and table.is_responsive(group.group_id, now_s)


def find_serving_fault(
    group: Group,
    table: MembershipTable,
    now_s: float,
    draining_hosts: Collection[str] = (),
    evacuated: Collection[str] = (),
) -> str:
    """Return why a group does not serve.

    Parameters
    ----------
    group : Group
        The group.
    table : MembershipTable
        Liveness and announcements of hosts.
    now_s : float
        Monotonic time in seconds.
    draining_hosts : collection of str
        Hosts that are being drained.
    evacuated : collection of str
        Evacuated data centres.

    Returns
    -------
    str
        The reason; empty if the group serves. An evacuation is named last, so that
        entries learn of a lost member.
    """
    if group.phase != PHASE_SERVING:
        return f"the group is {group.phase}"
    fault = find_readiness_fault(group, table, now_s, draining_hosts)
    if not fault and not group.plain and not is_head_open(group, table):
        fault = "the head is not open yet"
    if not fault and is_evacuated(group, table, evacuated):
        return make_fault(find_data_centre(group, table))
    return fault


def find_data_centre(group: Group, table: MembershipTable) -> str:
    """Return the data centre of a group's head.

    Parameters
    ----------
    group : Group
        The group.
    table : MembershipTable
        Announcements of hosts.

    Returns
    -------
    str
        As the head announces it, or as recorded when the group was formed. Groups of
        older builds have no record.
    """
    record = table.host(group_head(group).host_id)
    if record is None or record.announcement is None:
        return group.data_centre
    return record.announcement.data_centre or group.data_centre


def is_evacuated(
    group: Group, table: MembershipTable, evacuated: Collection[str]
) -> bool:
    """Tell whether the head of a group is in an evacuated data centre.

    Parameters
    ----------
    group : Group
        The group.
    table : MembershipTable
        Announcements of hosts.
    evacuated : collection of str
        Evacuated data centres.

    Returns
    -------
    bool
        Whether nothing new may be sent to it.
    """
    return bool(evacuated) and find_data_centre(group, table) in evacuated


def is_head_open(group: Group, table: MembershipTable) -> bool:
    """Tell whether the head of a group announces that it accepts calls.

    Parameters
    ----------
    group : Group
        The group.
    table : MembershipTable
        Liveness and announcements of hosts.

    Returns
    -------
    bool
        Also true for an engine that needs no order to open.
    """
    record = table.host(group_head(group).host_id)
    if record is None or record.announcement is None:
        return False
    if not record.announcement.opens:
        return True
    return holds_epoch(record, group, HOLDING_OPEN)


def find_readiness_fault(
    group: Group,
    table: MembershipTable,
    now_s: float,
    draining_hosts: Collection[str] = (),
) -> str:
    """Return why not all members of a group are ready, whatever its phase.

    Parameters
    ----------
    group : Group
        The group.
    table : MembershipTable
        Liveness and announcements of hosts.
    now_s : float
        Monotonic time in seconds.
    draining_hosts : collection of str
        Hosts that are being drained.

    Returns
    -------
    str
        The reason; empty if all are ready.
    """
    for member in group.members:
        fault = find_member_fault(group, member, table, now_s, draining_hosts)
        if fault:
            return fault
    return ""


def holds_epoch(record: HostRecord, group: Group, phase: str = "") -> bool:
    """Tell whether a host announces the current epoch of a group.

    Parameters
    ----------
    record : HostRecord
        Membership record of the host.
    group : Group
        The group.
    phase : str
        Required phase of the holding; empty for any. An open head counts as ready.

    Returns
    -------
    bool
        Whether group and epoch match, and the phase if one is given.
    """
    announcement = record.announcement
    if announcement is None or not announcement.HasField("holding"):
        return False
    holding = announcement.holding
    if (holding.group_id, holding.epoch) != (group.group_id, group.epoch):
        return False
    if phase == HOLDING_READY:
        return holding.phase in (HOLDING_READY, HOLDING_OPEN)
    return not phase or holding.phase == phase
