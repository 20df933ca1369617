"""Errors of the groups package."""

from chestnutvale.exceptions import ChestnutError


class GroupsError(ChestnutError):
    """A fault in how groups are decided."""

    code = "groups_failed"


class DependencyCycleError(GroupsError):
    """Services that depend on each other in a circle."""

    code = "groups_dependency_cycle"
