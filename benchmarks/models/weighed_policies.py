"""Load-balancing policies that are weighed against those of the product."""

import random

import attrs

from benchmarks.models.even_load import (
    DATA_CENTRES,
    NETWORK_DELAY_S,
    EvenLoadSimulation,
    PolicyMaker,
)
from chestnutvale.routing.const import CANDIDATE_COUNT, QUEUED_REQUESTS, REMOTE_REQUESTS
from chestnutvale.routing.estimates import estimate_groups, fill_evenly, mean_run_s
from chestnutvale.routing.policies.least_loaded import LeastLoadedPolicy
from chestnutvale.routing.policies.policy import (
    Placement,
    PlacementQuery,
    draw_candidates,
)

NEAR_FACTOR = 3.0


def _has_counts(query: PlacementQuery) -> bool:
    return all(
        query.now_s < query.loads[name].peer_running_until_s for name in query.names
    )


def _cost(name: str, running: float, query: PlacementQuery) -> float:
    over = max(0.0, running + 1.0 - query.groups[name].slots)
    remote = 0.0 if query.is_near(name) else REMOTE_REQUESTS
    return running + QUEUED_REQUESTS * over + remote


@attrs.frozen
class ExpectedSendsPolicy:
    """The default policy on counts to which the expected sends of others are added."""

    name = "expected_sends"
    fallback = LeastLoadedPolicy()

    def choose(self, query: PlacementQuery, rng: random.Random) -> Placement:
        """Choose the least loaded of two random and two nearby groups."""
        if not _has_counts(query):
            return self.fallback.choose(query, rng)
        items = estimate_groups(query, mean_run_s(query))
        left = [item.remaining for item in items]
        sends = sum(item.ended for item in items)
        filled = fill_evenly(left, [item.places for item in items], sends)
        running = {
            item.name: item.remaining + sent
            for item, sent in zip(items, filled, strict=True)
        }
        names = draw_candidates(query.names, query.shares, CANDIDATE_COUNT, rng)
        near = [name for name in query.names if query.is_near(name)]
        names += draw_candidates(near, query.shares, CANDIDATE_COUNT, rng)
        chosen = min(names, key=lambda name: _cost(name, running[name], query))
        return Placement(chosen, self.name, "least", ())


@attrs.frozen
class WeightedFreePolicy:
    """A random group, weighted by its free places."""

    name = "weighted_free"
    fallback = LeastLoadedPolicy()

    def choose(self, query: PlacementQuery, rng: random.Random) -> Placement:
        """Draw a group; those in the same data centre weigh more."""
        if not _has_counts(query):
            return self.fallback.choose(query, rng)
        weights = []
        for name in query.names:
            running = query.loads[name].pressure(1, 1.0, query.now_s)
            factor = NEAR_FACTOR if query.is_near(name) else 1.0
            free = max(0.0, query.groups[name].slots - running)
            weights.append(free * query.shares[name] * factor)
        if not any(weights):
            return self.fallback.choose(query, rng)
        (chosen,) = rng.choices(query.names, weights)
        return Placement(chosen, self.name, "drawn", ())


@attrs.frozen
class SubsetPolicy:
    """The least loaded group of a subset that differs between entries."""

    number: int
    size: int
    name = "subset"

    def choose(self, query: PlacementQuery, rng: random.Random) -> Placement:
        """Choose within the subset of this entry."""
        order = sorted(query.groups)
        per_round = max(1, len(order) // self.size)
        random.Random(self.number // per_round).shuffle(order)
        start = (self.number % per_round) * self.size
        names = [n for n in order[start : start + self.size] if n in query.names]
        loads = query.loads
        chosen = min(
            names or query.names,
            key=lambda n: _cost(n, loads[n].pressure(1, 1.0, query.now_s), query),
        )
        return Placement(chosen, self.name, "least", ())


@attrs.define
class TokensPolicy:
    """Uses the idle places that the leader assigned to this entry."""

    name = "tokens"
    fallback = LeastLoadedPolicy()
    tokens: list[str] = attrs.field(factory=list)

    def choose(self, query: PlacementQuery, rng: random.Random) -> Placement:
        """Use up a token, preferably of the same data centre."""
        own = [name for name in self.tokens if name in query.names]
        if not own:
            return self.fallback.choose(query, rng)
        near = [name for name in own if query.is_near(name)]
        chosen = rng.choice(near or own)
        self.tokens.remove(chosen)
        return Placement(chosen, self.name, "token", ())


class TokenSimulation(EvenLoadSimulation):
    """The leader assigns each idle place to one entry in the same data centre."""

    def _broadcast(self, now_s: float) -> None:
        totals = self.table.totals(now_s)
        tokens: list[list[str]] = [[] for _ in self.selectors]
        idle = [
            group
            for group in self.groups.values()
            if group.is_up
            for _ in range(max(0, group.places - totals.get(group.name, 0)))
        ]
        self.rng.shuffle(idle)
        for group in idle:
            zone = int(group.data_centre[1:])
            near = tokens[zone::DATA_CENTRES]
            fewest = min(len(held) for held in near)
            self.rng.choice([t for t in near if len(t) == fewest]).append(group.name)
        for entry, names in enumerate(tokens):
            self._schedule(now_s + NETWORK_DELAY_S, self._receive_tokens, entry, names)
        super()._broadcast(now_s)

    def _receive_tokens(self, now_s: float, entry: int, names: list[str]) -> None:
        self.selectors[entry].policy.tokens = names


WEIGHED: dict[str, PolicyMaker] = {
    "expected_sends": lambda n: ExpectedSendsPolicy(),
    "weighted_free": lambda n: WeightedFreePolicy(),
    "subset_of_6": lambda n: SubsetPolicy(n, 6),
    "subset_of_10": lambda n: SubsetPolicy(n, 10),
    "told": lambda n: LeastLoadedPolicy(),
    "tokens": lambda n: TokensPolicy(),
}
