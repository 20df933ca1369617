"""Events that the selector takes."""

import attrs


@attrs.frozen
class RoutableGroup:
    """A group that may be given requests.

    Attributes
    ----------
    group_id, service : str
        The group and the service that it runs.
    epoch : int
        Epoch of the group; a new one starts with nothing known.
    data_centre : str
        Where its head runs; empty if that is not known.
    places : int
        Requests that it runs at once; 0 if that is not known.
    """

    group_id: str
    service: str
    epoch: int
    data_centre: str = ""
    slots: int = 0


@attrs.frozen
class RoutingRequest:
    """A request for which a group is wanted.

    Attributes
    ----------
    request_id : str
        The request.
    service : str
        The service called.
    priority : str
        ``"urgent"``, ``"normal"`` or ``"batch"``.
    predicted_tokens : int
        Tokens of prompt and predicted answer.
    prefixes : tuple of int
        Fingerprints of ever longer prefixes of the prompt, the shortest first.
    excluded_groups : frozenset of str
        Groups that must not be chosen.
    """

    request_id: str
    service: str
    priority: str
    predicted_tokens: int
    prefixes: tuple[int, ...] = ()
    excluded_groups: frozenset[str] = frozenset()
