"""Roles of the members of a group."""

from chestnutvale.schema.groups_pb2 import Group, GroupMember


def group_head(group: Group) -> GroupMember:
    """Return the member that accepts the calls of a group.

    Parameters
    ----------
    group : Group
        The group.

    Returns
    -------
    GroupMember
        The member with rank 0.
    """
    return next(member for member in group.members if member.rank == 0)
