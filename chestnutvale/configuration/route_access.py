"""Decides whether a caller may use a route, and for which workspace."""

from chestnutvale.configuration.lookup import TextLookup

NO_WORKSPACE = ""


def find_caller_workspace(
    lookup: TextLookup, key: str, *, is_public: bool
) -> str | None:
    """Find the workspace for which a call on a route runs.

    A route needs a key unless it is public, or the text has no workspaces at all. A
    text that has the list of workspaces, but none in it, holds `KEYLESS_WORKSPACE`, so
    that taking the last workspace away does not open its routes.

    Parameters
    ----------
    lookup : TextLookup
        The text in force.
    key : str
        The caller's key; empty if it sent none.
    is_public : bool
        Whether the route accepts calls without a key.

    Returns
    -------
    str or None
        Name of the workspace, `NO_WORKSPACE` for a call without one, or None if the
        call must be refused.
    """
    if not lookup.workspaces:
        return NO_WORKSPACE
    found = lookup.find_workspace_by_key(key) if key else None
    if found is not None:
        return found.name
    return NO_WORKSPACE if is_public else None
