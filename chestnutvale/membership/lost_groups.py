"""Finds the groups that a view reports as unable to finish their requests."""

from collections.abc import Iterator
from typing import Final

import attrs

from chestnutvale.groups.const import FAULT_MISSING, FAULT_RESTARTED
from chestnutvale.membership.const import LAST_EPOCH
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.schema.peer_pb2 import ControlView, GroupView

CAUSE_MISSING: Final = "missing"
CAUSE_RESTARTED: Final = "restarted"
CAUSE_DISSOLVED: Final = "dissolved"


@attrs.frozen
class LostGroup:
    """A group that seems unable to finish its running requests.

    Attributes
    ----------
    group_id : str
        The group.
    epoch : int
        Last epoch that is lost.
    cause : str
        ``missing`` or ``restarted`` for a member, or ``dissolved``.
    reason : str
        The same in words, with the member.
    """

    group_id: str
    epoch: int
    cause: str
    reason: str


def find_lost_groups(update: ControlView, view: EntryView) -> Iterator[LostGroup]:
    """Find the groups that an update reports as lost.

    All of these reports can prove wrong: announcements of hosts may be late, and the
    head of a dissolved group works until it has carried out its order.

    Parameters
    ----------
    update : ControlView
        A view that the entry received.
    view : EntryView
        The view of the entry after the update; an update that is older than it reports
        nothing.

    Yields
    ------
    LostGroup
        Groups with a missing or restarted member, and dissolved groups.
    """
    for group_view in update.groups:
        group = group_view.group
        cause = _find_cause(group_view)
        if cause and view.group(group.group_id) is group_view:
            yield LostGroup(group.group_id, group.epoch, cause, group_view.reason)
    for group_id in sorted(view.newly_dissolved):
        yield LostGroup(
            group_id, LAST_EPOCH, CAUSE_DISSOLVED, "the group was dissolved"
        )


def _find_cause(group_view: GroupView) -> str:
    """Return the cause of a loss; empty for a group that serves, drains or waits."""
    if group_view.serving:
        return ""
    if group_view.reason.endswith(FAULT_MISSING):
        return CAUSE_MISSING
    return CAUSE_RESTARTED if group_view.reason.endswith(FAULT_RESTARTED) else ""
