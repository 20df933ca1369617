"""The default policy: the least loaded of a few random candidates."""

import random
from typing import ClassVar

import attrs

from chestnutvale.routing.const import (
    CANDIDATE_COUNT,
    POLICY_LEAST_LOADED,
    PREFIX_HIT_DISCOUNT,
    QUEUED_REQUESTS,
    REMOTE_MEMORY,
    REMOTE_REQUESTS,
)
from chestnutvale.routing.policies.policy import (
    Placement,
    PlacementQuery,
    draw_candidates,
)

REASON_LEAST_LOADED = "least_loaded"
REASON_ONLY_CANDIDATE = "only_candidate"


@attrs.frozen
class LeastLoadedPolicy:
    """Compares two random groups, two nearby ones and two that hold the prefix.

    It is designed for some dozen entries whose counts are at most 0.1 s old, and for
    engines that report their memory. The random candidates keep entries that act on the
    same old counts from choosing the same group.
    """

    name: ClassVar[str] = POLICY_LEAST_LOADED

    def choose(self, query: PlacementQuery, rng: random.Random) -> Placement:
        """Choose the candidate with the lowest cost, in requests or as used memory."""
        names = query.names
        candidates = draw_candidates(names, query.shares, CANDIDATE_COUNT, rng)
        near = [name for name in names if query.is_near(name)]
        if near and len(near) < len(names):
            candidates += draw_candidates(near, query.shares, CANDIDATE_COUNT, rng)
        _, holders = query.prefixes.longest(query.request.prefixes)
        holding = [name for name in names if name in holders]
        if holding:
            candidates += draw_candidates(holding, query.shares, CANDIDATE_COUNT, rng)
        costs = {name: _cost(name, query) for name in candidates}
        chosen = min(costs, key=costs.__getitem__)
        reason = REASON_LEAST_LOADED if len(costs) > 1 else REASON_ONLY_CANDIDATE
        return Placement(chosen, self.name, reason, tuple(costs.items()))


def _cost(name: str, query: PlacementQuery) -> float:
    load = query.loads[name]
    request = query.request
    pressure = load.pressure(request.predicted_tokens, query.mean_tokens, query.now_s)
    slots = query.groups[name].slots
    if slots and not load.has_memory:
        pressure += QUEUED_REQUESTS * max(0.0, pressure + 1.0 - slots)
    if query.data_centre and not query.is_near(name):
        pressure += REMOTE_MEMORY if load.has_memory else REMOTE_REQUESTS
    if not request.prefixes:
        return pressure
    held = query.prefixes.held(name, request.prefixes)
    return pressure - PREFIX_HIT_DISCOUNT * held / len(request.prefixes)
