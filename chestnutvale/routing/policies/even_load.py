"""A policy for many entries whose counts of each other are old."""

import random
from collections.abc import Sequence
from typing import ClassVar

import attrs

from chestnutvale.routing.const import (
    FRESH_SENDS,
    POLICY_EVEN_LOAD,
    REMOTE_WAIT_S,
    SPILL_STEPS,
)
from chestnutvale.routing.estimates import (
    GroupEstimate,
    estimate_groups,
    expected_wait_s,
    fill_evenly,
    mean_run_s,
)
from chestnutvale.routing.policies.least_loaded import LeastLoadedPolicy
from chestnutvale.routing.policies.policy import (
    LoadBalancingPolicy,
    Placement,
    PlacementQuery,
)

REASON_NEAR_SHARE = "near_share"
REASON_REMOTE_SHARE = "remote_share"
REASON_FRESH_COUNTS = "fresh_counts"
REASON_NO_COUNTS = "no_counts"
REASON_OTHER_LOAD = "other_load"


@attrs.frozen
class EvenLoadPolicy:
    """Draws a group with the probability that evens out the load of all entries.

    It is designed for about a hundred entries that send some hundred requests a second
    to some dozen groups, on counts that are a few tenths of a second old. All entries
    know nearly the same counts. If each chose the group with the lowest count, they
    would overload it together. Instead each estimates how many requests all entries
    sent since the counts, spreads them so that the load becomes even, and draws a group
    by its part of them. A request leaves the data centre with the probability at
    which the expected waits for a place become equal, so that the share changes
    gradually.

    With few such requests the counts are fresh, and the fallback chooses. It also does
    so without counts, when it counts what this entry sent itself, without known places,
    and for engines that report their memory.

    Attributes
    ----------
    fallback : LoadBalancingPolicy
        Chooses in these cases.
    """

    name: ClassVar[str] = POLICY_EVEN_LOAD
    fallback: LoadBalancingPolicy = attrs.field(factory=LeastLoadedPolicy)

    def choose(self, query: PlacementQuery, rng: random.Random) -> Placement:
        """Choose a group; the costs are used shares of places."""
        reason = _find_fallback_reason(query)
        if reason:
            return self._ask_fallback(query, rng, reason)
        run_s = mean_run_s(query)
        estimates = estimate_groups(query, run_s)
        near = [item for item in estimates if item.is_near]
        far = [item for item in estimates if not item.is_near]
        ended = sum(item.ended for item in estimates)
        if ended < FRESH_SENDS * len(estimates):
            return self._ask_fallback(query, rng, REASON_FRESH_COUNTS)
        is_remote = not near or (
            bool(far) and rng.random() < find_remote_share(near, far, run_s)
        )
        return self._draw(far if is_remote else near, is_remote, query, rng)

    def _ask_fallback(
        self, query: PlacementQuery, rng: random.Random, reason: str
    ) -> Placement:
        chosen = self.fallback.choose(query, rng)
        return attrs.evolve(chosen, policy=self.name, reason=reason)

    def _draw(
        self,
        pool: Sequence[GroupEstimate],
        is_remote: bool,
        query: PlacementQuery,
        rng: random.Random,
    ) -> Placement:
        count = sum(item.ended for item in pool) + 1.0
        filled = fill_evenly(
            [item.remaining for item in pool], [item.places for item in pool], count
        )
        weights = [
            part * query.shares[item.name]
            for part, item in zip(filled, pool, strict=True)
        ]
        if not any(weights):
            weights = filled
        (chosen,) = rng.choices(pool, weights)
        costs = tuple((item.name, item.remaining / item.places) for item in pool)
        reason = REASON_REMOTE_SHARE if is_remote else REASON_NEAR_SHARE
        return Placement(chosen.name, self.name, reason, costs)


def find_remote_share(
    near: Sequence[GroupEstimate], far: Sequence[GroupEstimate], run_s: float
) -> float:
    """Return the share of requests for which a remote place is worth its traffic.

    Parameters
    ----------
    near, far : sequence of GroupEstimate
        Groups in the data centre of the entry, and in others; not empty.
    run_s : float
        Mean time for which a group runs a request, in seconds.

    Returns
    -------
    float
        From 0 to 1. With this share the expected wait here is longer than elsewhere by
        `REMOTE_WAIT_S`, or as close to that as possible.
    """
    # As many requests come to each data centre as end there.
    here = sum(item.ended for item in near) + 1.0
    elsewhere = sum(item.ended for item in far)
    low, high = 0.0, 1.0
    for _ in range(SPILL_STEPS):
        share = (low + high) / 2.0
        wait_here_s = expected_wait_s(near, (1.0 - share) * here, run_s)
        wait_far_s = expected_wait_s(far, elsewhere + share * here, run_s)
        if wait_here_s > wait_far_s + REMOTE_WAIT_S:
            low = share
        else:
            high = share
    return low


def _find_fallback_reason(query: PlacementQuery) -> str:
    loads = [query.loads[name] for name in query.names]
    if any(load.has_memory for load in loads):
        return REASON_OTHER_LOAD
    if not all(query.groups[name].slots for name in query.names):
        return REASON_OTHER_LOAD
    if not any(query.now_s < load.peer_running_until_s for load in loads):
        return REASON_NO_COUNTS
    return ""
