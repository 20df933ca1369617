"""Weighted fair queue of the waiting requests of one service."""

import math
from collections import deque
from collections.abc import Iterator, Mapping

import attrs

from chestnutvale.admission.const import DEFAULT_WEIGHT, PRIORITIES
from chestnutvale.admission.messages import AdmissionRequest


@attrs.define(eq=False)
class WaitingRequest:
    """A request in the queue.

    Attributes
    ----------
    request : AdmissionRequest
        The request.
    cost : int
        Tokens that it will reserve when it is admitted.
    start_by_s : float
        Monotonic time in seconds until which it may wait.
    """

    request: AdmissionRequest
    cost: int
    start_by_s: float = math.inf


@attrs.define
class FairQueue:
    """Start-time fair queueing between workspaces within each priority class.

    Serving a request advances the virtual time of its workspace by the request's cost
    divided by the workspace's weight. The workspace with the lowest virtual time is
    served next. A workspace that was idle starts at the virtual time of the queue, so
    idle time earns no credit.
    """

    weights: Mapping[str, float] = attrs.field(factory=dict)
    count: int = 0
    _queues: dict[str, dict[str, deque[WaitingRequest]]] = attrs.field(
        factory=lambda: {priority: {} for priority in PRIORITIES}
    )
    _tokens: dict[tuple[str, str], int] = attrs.field(factory=dict)
    _counts: dict[str, int] = attrs.field(factory=dict)
    _virtual_times: dict[str, float] = attrs.field(factory=dict)
    _virtual_now: float = 0.0

    def push(self, waiter: WaitingRequest) -> None:
        """Append a request to the queue of its workspace and priority."""
        request = waiter.request
        workspace = request.workspace
        if not self._counts.get(workspace):
            started = self._virtual_times.get(workspace, 0.0)
            self._virtual_times[workspace] = max(started, self._virtual_now)
        queues = self._queues[request.priority]
        queues.setdefault(workspace, deque()).append(waiter)
        self._account(waiter, 1)

    def head(self, *priorities: str) -> WaitingRequest | None:
        """Return the request of the given classes to serve next, or None.

        Chooses the workspace with the lowest virtual time among those that have a
        request in one of the classes, then its oldest request of the first class.
        """
        names = {name for priority in priorities for name in self._queues[priority]}
        if not names:
            return None
        workspace = min(names, key=lambda name: (self._virtual_times[name], name))
        for priority in priorities:
            queue = self._queues[priority].get(workspace)
            if queue:
                return queue[0]
        return None

    def pop(self, waiter: WaitingRequest) -> None:
        """Remove the head in order to serve it and charge its workspace."""
        workspace = waiter.request.workspace
        self._virtual_now = max(self._virtual_now, self._virtual_times[workspace])
        self.remove(waiter)
        self.charge(workspace, waiter.cost)

    def charge(self, workspace: str, tokens: int) -> None:
        """Charge tokens to a workspace; a negative number refunds them."""
        started = self._virtual_times.get(workspace, self._virtual_now)
        weight = self.weights.get(workspace, DEFAULT_WEIGHT)
        self._virtual_times[workspace] = started + tokens / weight

    def remove(self, waiter: WaitingRequest) -> None:
        """Remove a request without serving it; its workspace is not charged."""
        request = waiter.request
        queues = self._queues[request.priority]
        queue = queues[request.workspace]
        queue.remove(waiter)
        if not queue:
            del queues[request.workspace]
        self._account(waiter, -1)

    def tokens(self, priority: str, workspace: str) -> int:
        """Return the queued tokens of a workspace in a priority class."""
        return self._tokens.get((priority, workspace), 0)

    def class_tokens(self, priority: str) -> int:
        """Return the queued tokens of a priority class over all workspaces."""
        return sum(self.tokens(priority, name) for name in self._queues[priority])

    def tokens_ahead(self, request: AdmissionRequest) -> float:
        """Return the queued tokens that are served before a new request.

        These are all of higher classes, and of its own class as many as other
        workspaces get by their weights until its workspace is served.
        """
        ahead = 0.0
        for priority in PRIORITIES:
            if priority == request.priority:
                break
            ahead += self.class_tokens(priority)
        return ahead + self._own_class_ahead(request)

    def _own_class_ahead(self, request: AdmissionRequest) -> float:
        priority = request.priority
        own = self.tokens(priority, request.workspace)
        names = {*self._queues[priority], request.workspace}
        weight = self.weights.get(request.workspace, 1.0)
        weight_sum = sum(self.weights.get(name, 1.0) for name in names)
        return min(own * weight_sum / weight, self.class_tokens(priority))

    def waiting_workspaces(self, priority: str) -> list[str]:
        """Return the workspaces with queued requests in a priority class."""
        return list(self._queues[priority])

    def workspace_count(self, workspace: str) -> int:
        """Return the number of queued requests of a workspace in all classes."""
        return self._counts.get(workspace, 0)

    def requests_of(self, priority: str, workspace: str) -> Iterator[WaitingRequest]:
        """Return the requests of a workspace in one class, oldest first."""
        return iter(self._queues[priority].get(workspace, ()))

    def newest_of_longest_queue(self, priority: str) -> WaitingRequest | None:
        """Return the newest request of the queue with the most tokens per weight.

        Looks at the lowest priority class with queued requests that is not above
        `priority`. Returns None if all queued requests are of higher classes.
        """
        for lower in _from_lowest(priority):
            queues = self._queues[lower]
            if queues:
                longest = max(
                    queues, key=lambda w: (self._weighted_tokens(lower, w), w)
                )
                return queues[longest][-1]
        return None

    def newest_of_lowest_class(
        self, priority: str, workspace: str
    ) -> WaitingRequest | None:
        """Return a workspace's newest request of its lowest class up to `priority`."""
        for lower in _from_lowest(priority):
            queue = self._queues[lower].get(workspace)
            if queue:
                return queue[-1]
        return None

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over all queued requests, highest priority class first."""
        for priority in PRIORITIES:
            for queue in self._queues[priority].values():
                yield from queue

    def _weighted_tokens(self, priority: str, workspace: str) -> float:
        weight = self.weights.get(workspace, DEFAULT_WEIGHT)
        return self.tokens(priority, workspace) / weight

    def _account(self, waiter: WaitingRequest, sign: int) -> None:
        request = waiter.request
        key = (request.priority, request.workspace)
        self._tokens[key] = self._tokens.get(key, 0) + sign * waiter.cost
        counted = self._counts.get(request.workspace, 0) + sign
        self._counts[request.workspace] = counted
        self.count += sign


def _from_lowest(priority: str) -> list[str]:
    return list(reversed(PRIORITIES[PRIORITIES.index(priority) :]))
