"""Events that admission takes and effects that it returns."""

import math
from typing import Protocol

import attrs

from chestnutvale.admission.const import (
    DEFAULT_QUEUE_REQUESTS,
    DEFAULT_SLOTS_PER_GROUP,
    DEFAULT_URGENT_SHARE,
    DEFAULT_WORKSPACE_QUEUE_REQUESTS,
)


@attrs.frozen
class AdmissionRequest:
    """A request that asks to run.

    Attributes
    ----------
    request_id : str
        Unique among the requests that wait or run at this entry.
    service, workspace : str
        The service called and the workspace that pays for it.
    priority : str
        ``"urgent"``, ``"normal"`` or ``"batch"``.
    prompt_tokens, max_tokens : int
        Tokens of the prompt, and the most that the caller takes as answer.
    deadline_s : float
        Monotonic time in seconds by which the answer must be whole.
    start_by_s : float
        Monotonic time in seconds by which the request must run: one that waits for
        longer than its caller finds useful is refused while it can still come back.
    """

    request_id: str
    service: str
    workspace: str
    priority: str
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    start_by_s: float = math.inf


@attrs.frozen
class ServiceLimits:
    """Bounds of one service.

    Attributes
    ----------
    queue_requests, workspace_queue_requests : int
        Most requests that wait at one entry: in all, and of one workspace.
    urgent_share : float
        Share of the limit up to which urgent requests go first.
    slots_per_group : int
        Requests that one group of a service without KV memory takes at once.
    overcommit : float
        Factor on those: a few requests that wait in an engine begin without the way
        from here when a place there is free.
    """

    queue_requests: int = DEFAULT_QUEUE_REQUESTS
    workspace_queue_requests: int = DEFAULT_WORKSPACE_QUEUE_REQUESTS
    urgent_share: float = DEFAULT_URGENT_SHARE
    slots_per_group: int = DEFAULT_SLOTS_PER_GROUP
    overcommit: float = 1.0


@attrs.frozen
class ServiceCapacity:
    """What the serving groups of a service have, summed over the groups.

    Attributes
    ----------
    groups : int
        Groups that serve.
    kv_capacity_tokens, kv_used_tokens : int
        KV memory in tokens; zero capacity for a plain service.
    running, waiting : int
        Requests in the engines.
    largest_group_tokens : int
        KV memory of the largest group; a longer prompt is refused. 0 if unknown.
    """

    groups: int
    kv_capacity_tokens: int
    kv_used_tokens: int = 0
    running: int = 0
    waiting: int = 0
    largest_group_tokens: int = 0


@attrs.frozen
class Demand:
    """Tokens that a workspace holds and waits for.

    Attributes
    ----------
    service, workspace : str
        Whose demand it is.
    tokens, urgent_tokens : int
        Reserved and queued tokens, and those of them that are urgent.
    refused_tokens : int
        What the requests that were refused lately would hold on average.
    """

    service: str
    workspace: str
    tokens: int
    urgent_tokens: int = 0
    refused_tokens: int = 0


@attrs.frozen
class Admit:
    """The request may run now.

    Attributes
    ----------
    request_id : str
        The request.
    predicted_tokens : int
        Tokens reserved for it: prompt and predicted answer.
    """

    request_id: str
    predicted_tokens: int


@attrs.frozen
class Queue:
    """The request waits; a later effect admits or refuses it."""

    request_id: str


@attrs.frozen
class Refuse:
    """The request is refused for good and was not run.

    Attributes
    ----------
    request_id : str
        The request.
    code : str
        Why; one of the ``CODE_*`` constants.
    retry_after_s : float
        Seconds after which a new try makes sense; 0 if it never does.
    """

    request_id: str
    code: str
    retry_after_s: float


class Effect(Protocol):
    """What the controller asks its owner to do."""

    request_id: str
