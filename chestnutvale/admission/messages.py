"""Inputs of admission control and the effects that it returns."""

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
    """A request that asks for admission.

    Attributes
    ----------
    request_id : str
        Unique among the requests queued or running at this entry.
    service, workspace : str
        The service called and the workspace that is charged for it.
    priority : str
        ``"urgent"``, ``"normal"`` or ``"batch"``.
    prompt_tokens, max_tokens : int
        Tokens of the prompt, and the limit that the caller set on output tokens.
    deadline_s : float
        Monotonic time in seconds by which the answer must be complete.
    start_by_s : float
        Monotonic time in seconds by which the request must be admitted. After that a
        queued request is refused early, so that its caller still has time to retry.
    target_s : float
        Monotonic time in seconds at which the first event is wanted; infinite for none.
    rank : int
        Rank of the call in the text, 0 for the most urgent; for logs and metrics.
    """

    request_id: str
    service: str
    workspace: str
    priority: str
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    start_by_s: float = math.inf
    target_s: float = math.inf
    rank: int = 0

    def is_in_queue_of(self, other: "AdmissionRequest") -> bool:
        """Tell whether both requests wait in the same queue."""
        own_queue = (self.workspace, self.priority)
        return own_queue == (other.workspace, other.priority)


@attrs.frozen
class ServiceLimits:
    """Configured limits of one service.

    Attributes
    ----------
    queue_requests, workspace_queue_requests : int
        Maximum number of queued requests at one entry: in total and per workspace.
    urgent_share : float
        Fraction of the limit up to which urgent requests take precedence.
    slots_per_group : int
        Concurrent requests per group of a service that reports no KV cache memory.
    overcommit : float
        Factor applied to `slots_per_group`. A few requests queued inside the engine
        start as soon as a slot is free, without a network round trip from the entry.
    """

    queue_requests: int = DEFAULT_QUEUE_REQUESTS
    workspace_queue_requests: int = DEFAULT_WORKSPACE_QUEUE_REQUESTS
    urgent_share: float = DEFAULT_URGENT_SHARE
    slots_per_group: int = DEFAULT_SLOTS_PER_GROUP
    overcommit: float = 1.0


@attrs.frozen
class LimitedGroups:
    """Serving groups of a service whose endpoints limit the rate of requests.

    Attributes
    ----------
    count : int
        Number of these groups.
    share_per_s : float
        Requests per second that this entry may send to them.
    """

    count: int = 0
    share_per_s: float = 0.0

    def with_group(self, share_per_s: float) -> "LimitedGroups":
        """Return the sum with one more group."""
        return LimitedGroups(self.count + 1, self.share_per_s + share_per_s)


NO_LIMITED_GROUPS = LimitedGroups()


@attrs.frozen
class ServiceCapacity:
    """Capacity and usage of a service, summed over its serving groups.

    Attributes
    ----------
    groups : int
        Number of serving groups without a rate limit.
    kv_capacity_tokens, kv_used_tokens : int
        KV cache memory in tokens; the capacity is 0 for a service without KV cache.
    running, waiting : int
        Requests that run and that are queued inside the engines.
    largest_group_tokens : int
        KV cache memory of the largest group in tokens; a longer prompt is refused.
        0 if unknown.
    returns_at_s : float
        Monotonic time in seconds at which the first group that pauses takes requests
        again; infinite if none pauses.
    limited : LimitedGroups
        Serving groups with a rate limit, which are not part of the other sums.
    evacuated_running : int
        Requests of this entry that still run at groups of evacuated data centres. They
        hold admissions but no places of the groups that are counted here.
    awaited_groups : int
        Groups that probably serve, but from which a new leader has not heard yet. They
        are not part of the other sums.
    """

    groups: int
    kv_capacity_tokens: int
    kv_used_tokens: int = 0
    running: int = 0
    waiting: int = 0
    largest_group_tokens: int = 0
    returns_at_s: float = math.inf
    limited: LimitedGroups = NO_LIMITED_GROUPS
    evacuated_running: int = 0
    awaited_groups: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether this entry can send a request to no group."""
        return not (self.groups or self.limited.share_per_s)


@attrs.frozen
class Demand:
    """Tokens that a workspace has reserved or queued at a service.

    Attributes
    ----------
    service, workspace : str
        The service and the workspace.
    tokens, urgent_tokens : int
        Reserved and queued tokens, and how many of these are of urgent priority.
    refused_tokens : int
        Tokens that recently refused requests would have reserved on average.
    calls_per_s : tuple of float
        Calls that ask for a place by priority, the most urgent first; empty if they
        are not measured.
    """

    service: str
    workspace: str
    tokens: int
    urgent_tokens: int = 0
    refused_tokens: int = 0
    calls_per_s: tuple[float, ...] = ()


@attrs.frozen
class Admit:
    """The request is admitted and may run now.

    Attributes
    ----------
    request_id : str
        The request.
    predicted_tokens : int
        Tokens reserved for the prompt and the predicted answer.
    """

    request_id: str
    predicted_tokens: int


@attrs.frozen
class Queue:
    """The request is queued; a later effect admits or refuses it."""

    request_id: str


@attrs.frozen
class Refuse:
    """The request is refused and has not run.

    Attributes
    ----------
    request_id : str
        The request.
    code : str
        Reason, one of the ``CODE_*`` constants.
    retry_after_s : float
        Seconds after which the caller may retry; 0 if a retry can never succeed.
    """

    request_id: str
    code: str
    retry_after_s: float


class Effect(Protocol):
    """Decision on one request, to be carried out by the caller."""

    request_id: str
