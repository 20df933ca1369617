"""Inputs of the group selector."""

import attrs


@attrs.frozen
class RoutableGroup:
    """A group that may receive requests.

    Attributes
    ----------
    group_id, service : str
        The group and the service that it runs.
    epoch : int
        Epoch of the group; a new epoch discards load, latency and prefixes.
    data_centre : str
        Data centre of its head; empty if unknown.
    slots : int
        Requests that it runs concurrently; 0 if unknown.
    """

    group_id: str
    service: str
    epoch: int
    data_centre: str = ""
    slots: int = 0


@attrs.frozen
class RoutingRequest:
    """A request to be assigned to a group.

    Attributes
    ----------
    request_id : str
        The request.
    service : str
        The service called.
    priority : str
        ``"urgent"``, ``"normal"`` or ``"batch"``.
    predicted_tokens : int
        Tokens of the prompt plus the predicted answer.
    prefixes : tuple of int
        Fingerprints of prefixes of the prompt, from the shortest to the longest.
    excluded_groups : frozenset of str
        Groups that must not be chosen.
    """

    request_id: str
    service: str
    priority: str
    predicted_tokens: int
    prefixes: tuple[int, ...] = ()
    excluded_groups: frozenset[str] = frozenset()
