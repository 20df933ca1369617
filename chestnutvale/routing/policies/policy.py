"""Interface of load-balancing policies."""

import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from chestnutvale.routing.const import MAX_LOGGED_CANDIDATES
from chestnutvale.routing.load import GroupLoad
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.prefixes import PrefixIndex
from chestnutvale.routing.speed import SpeedTracker


@attrs.frozen
class PlacementQuery:
    """One request, and what this entry knows of the groups that may run it.

    Attributes
    ----------
    request : RoutingRequest
        The request.
    names : sequence of str
        Groups that may run it; not empty.
    shares : mapping of str to float
        Fraction of its normal traffic that each group should get, as some are slow.
    groups : mapping of str to RoutableGroup
        All serving groups.
    loads : mapping of str to GroupLoad
        Load of each group.
    prefixes : PrefixIndex
        Groups that hold prefixes of prompts.
    speeds : SpeedTracker
        Measured speed of each group.
    mean_tokens : float
        Mean predicted tokens of a request.
    data_centre : str
        Data centre of this entry; empty if unknown.
    entry_count : int
        Number of live entries, including this one.
    now_s : float
        Monotonic time in seconds.
    """

    request: RoutingRequest
    names: Sequence[str]
    shares: Mapping[str, float]
    groups: Mapping[str, RoutableGroup]
    loads: Mapping[str, GroupLoad]
    prefixes: PrefixIndex
    speeds: SpeedTracker
    mean_tokens: float
    data_centre: str
    entry_count: int
    now_s: float

    def is_near(self, name: str) -> bool:
        """Tell whether a group is in the data centre of this entry."""
        return self.groups[name].data_centre == self.data_centre


@attrs.frozen
class Placement:
    """The group that a policy chose, and why.

    Attributes
    ----------
    group_id : str
        The chosen group.
    policy : str
        Name of the policy.
    reason : str
        Rule that decided; one of a few fixed codes, so that it can label a metric.
    costs : tuple of (str, float)
        Compared groups and their costs, in the unit of the policy.
    """

    group_id: str
    policy: str
    reason: str
    costs: tuple[tuple[str, float], ...]

    def describe(self) -> dict[str, object]:
        """Return the choice for the log, with a bounded number of candidates."""
        cheapest = sorted(self.costs, key=lambda item: item[1])
        logged = cheapest[:MAX_LOGGED_CANDIDATES]
        return {
            "policy": self.policy,
            "reason": self.reason,
            "candidates": len(self.costs),
            "costs": {name: round(cost, 3) for name, cost in logged},
        }


class LoadBalancingPolicy(Protocol):
    """Chooses the group that runs a request; keeps no state of single requests."""

    name: str

    def choose(self, query: PlacementQuery, rng: random.Random) -> Placement:
        """Choose a group.

        Parameters
        ----------
        query : PlacementQuery
            The request and the groups that may run it.
        rng : random.Random
            Source of random numbers; seeded differently at each entry.

        Returns
        -------
        Placement
            The group and the reason.
        """


def draw_candidates(
    names: Sequence[str], shares: Mapping[str, float], count: int, rng: random.Random
) -> list[str]:
    """Draw groups uniformly, and drop slow ones with the probability they deserve.

    Parameters
    ----------
    names : sequence of str
        Groups to draw from; not empty.
    shares : mapping of str to float
        Fraction of its normal traffic that each group should get.
    count : int
        Most groups to draw.
    rng : random.Random
        Source of random numbers.

    Returns
    -------
    list of str
        At least one group.
    """
    drawn = list(names) if len(names) <= count else rng.sample(names, count)
    kept = [name for name in drawn if rng.random() < shares[name]]
    return kept or [rng.choice(names)]
