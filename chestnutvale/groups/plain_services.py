"""Plans groups of plain services, one for each announced host."""

from collections.abc import Iterator

from chestnutvale.groups.const import PHASE_FORMING, PLAIN_HOST_EXPIRY_S, SERVICE_PLAIN
from chestnutvale.groups.failure_detector import lacks_live_entries
from chestnutvale.groups.fleet import Fleet, make_member
from chestnutvale.groups.idle_tracker import IdleTracker
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group, PutGroup, RemoveGroup


def plan_plain_groups(
    state: GroupsState,
    table: MembershipTable,
    text: Text,
    fleet: Fleet,
    idle_tracker: IdleTracker,
    now_s: float,
) -> Iterator[PutGroup | RemoveGroup]:
    """Plan the groups of plain services.

    Parameters
    ----------
    state : GroupsState
        Replicated state of the groups.
    table : MembershipTable
        Liveness and announcements of hosts.
    text : Text
        Configuration in force.
    fleet : Fleet
        Hosts available in this round.
    idle_tracker : IdleTracker
        Tells which groups serve and which have no requests left.
    now_s : float
        Monotonic time in seconds.

    Yields
    ------
    PutGroup or RemoveGroup
        Groups to add and to remove.
    """
    for record in fleet.plain:
        is_new = record.host_id not in state.owners
        if is_new and _is_wanted(text, record.announcement.service):
            if record.announcement.leaving or record.host_id in state.releases:
                continue
            yield PutGroup(group=_plain_group(record))
    for group in state.groups.values():
        if group.plain and _must_remove(group, table, text, idle_tracker, now_s):
            yield RemoveGroup(group_id=group.group_id, expected_epoch=group.epoch)


def _is_wanted(text: Text, name: str) -> bool:
    return name in text.services and text.services[name].kind == SERVICE_PLAIN


def _plain_group(record: HostRecord) -> Group:
    service = record.announcement.service
    return Group(
        group_id=f"{service}@{record.host_id}",
        service=service,
        members=[make_member(record, 0)],
        phase=PHASE_FORMING,
        fabric_domain=record.announcement.fabric_domain,
        plain=True,
        data_centre=record.announcement.data_centre,
    )


def _must_remove(
    group: Group,
    table: MembershipTable,
    text: Text,
    idle_tracker: IdleTracker,
    now_s: float,
) -> bool:
    record = table.host(group.members[0].host_id)
    if record is None:
        # A control that has just started does not know all hosts yet; the check for
        # live entries and the initial delay of a new leader cover that time.
        return not lacks_live_entries(table, now_s) and _is_long_idle(
            group, idle_tracker, now_s
        )
    if lacks_live_entries(table, now_s):
        return False
    if now_s - record.heard_at_s > PLAIN_HOST_EXPIRY_S:
        return True
    is_ending = not _is_wanted(text, group.service)
    if record.announcement is not None:
        is_ending = is_ending or record.announcement.leaving
        # The host may have been restarted as another service, or announced wrongly.
        is_ending = is_ending or record.announcement.service != group.service
    return is_ending and idle_tracker.is_idle(group, table, now_s)


def _is_long_idle(group: Group, idle_tracker: IdleTracker, now_s: float) -> bool:
    stopped_at_s = idle_tracker.stopped_at_s(group.group_id)
    return stopped_at_s is not None and now_s - stopped_at_s > PLAIN_HOST_EXPIRY_S
