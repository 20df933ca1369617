"""Estimates the load of groups from counts that are some tenths of a second old."""

import math
from collections.abc import Sequence

import attrs

from chestnutvale.membership.attempt_counts import load_exchange_interval_s
from chestnutvale.routing.const import (
    DEFAULT_RUN_S,
    NEW_GROUP_S,
    SLOWNESS_EXPONENT,
    WAIT_DEVIATION,
)
from chestnutvale.routing.load import GroupLoad
from chestnutvale.routing.policies.policy import PlacementQuery


@attrs.frozen
class GroupEstimate:
    """What an entry expects of one group.

    Attributes
    ----------
    name : str
        The group.
    running : float
        Requests at the group according to the last counts, and those of this entry.
    ended : float
        Requests of other entries that ended since the counts were taken. As many were
        probably sent to all groups together.
    places : float
        Requests that the group should run, relative to others: its places, fewer if it
        is slow.
    is_near : bool
        Whether it is in the data centre of the entry.
    """

    name: str
    running: float
    ended: float
    places: float
    is_near: bool

    @property
    def remaining(self) -> float:
        """Expected number of the counted requests that still run."""
        return self.running - self.ended


def estimate_groups(query: PlacementQuery, mean_run_s: float) -> list[GroupEstimate]:
    """Estimate the load of all groups that may run a request.

    A group that has just appeared is taken to be as loaded as the others, and its true
    load counts gradually, since all entries learn of it at the same moment.

    Parameters
    ----------
    query : PlacementQuery
        The request and the groups, with their numbers of places; some counts of other
        entries must be known.
    mean_run_s : float
        Mean time for which a group runs a request, in seconds.

    Returns
    -------
    list of GroupEstimate
        In the order of the names of the query.
    """
    slowness = query.speeds.slowness(query.names)
    exchange_s = load_exchange_interval_s(query.entry_count)
    loads = [query.loads[name] for name in query.names]
    running = [float(load.peer_running + len(load.in_flight)) for load in loads]
    mean_use = _mean_use(query, loads, running)
    estimates = []
    for name, load, count in zip(query.names, loads, running, strict=True):
        slots = query.groups[name].slots
        unseen = 1.0 - min(1.0, (query.now_s - load.since_s) / NEW_GROUP_S)
        gone_share = 0.0
        if query.now_s < load.peer_running_until_s:
            interval_s = load.peer_interval_s or exchange_s
            age_s = load.peer_age_s(query.now_s) + interval_s
            gone_share = 1.0 - math.exp(-age_s / (mean_run_s * slowness[name]))
        estimates.append(
            GroupEstimate(
                name=name,
                running=max(count, unseen * mean_use * slots),
                ended=load.peer_running * gone_share,
                places=slots / slowness[name] ** SLOWNESS_EXPONENT,
                is_near=query.is_near(name),
            )
        )
    return estimates


def _mean_use(
    query: PlacementQuery, loads: Sequence[GroupLoad], running: Sequence[float]
) -> float:
    """Return the used share of the places of the groups that are not new."""
    known = [
        (count, query.groups[name].slots)
        for name, load, count in zip(query.names, loads, running, strict=True)
        if query.now_s - load.since_s >= NEW_GROUP_S
    ]
    places = sum(slots for _, slots in known)
    return sum(count for count, _ in known) / places if places else 0.0


def mean_run_s(query: PlacementQuery) -> float:
    """Return the mean time for which the groups run a request, in seconds."""
    return query.speeds.mean_run_s(query.names, DEFAULT_RUN_S)


def expected_wait_s(pool: Sequence[GroupEstimate], extra: float, run_s: float) -> float:
    """Return the expected wait for a place if load is even over a pool, in seconds.

    The number of requests at a group is taken as normally distributed, so the wait
    grows smoothly before the expected number reaches the places.

    Parameters
    ----------
    pool : sequence of GroupEstimate
        The groups; not empty.
    extra : float
        Requests sent to the pool since the counts, and the one to place.
    run_s : float
        Mean time for which a group runs a request, in seconds.
    """
    places = sum(item.places for item in pool) / len(pool)
    running = (sum(item.remaining for item in pool) + extra) / len(pool)
    ended = sum(item.ended for item in pool) / len(pool)
    deviation = math.sqrt(2.0 * ended + WAIT_DEVIATION**2)
    excess = running + 1.0 - places
    return _mean_positive_part(excess, deviation) * run_s / places


def _mean_positive_part(mean: float, deviation: float) -> float:
    """Return the mean of max(0, X) for a normally distributed X."""
    z = mean / deviation
    density = math.exp(-0.5 * z * z) / math.sqrt(math.tau)
    return mean * 0.5 * math.erfc(-z / math.sqrt(2.0)) + deviation * density


def fill_evenly(
    running: Sequence[float], places: Sequence[float], count: float
) -> list[float]:
    """Spread requests so that the used share of places becomes as even as possible.

    Parameters
    ----------
    running : sequence of float
        Requests at each group; not empty.
    places : sequence of float
        Places of each group, above 0.
    count : float
        Requests to spread.

    Returns
    -------
    list of float
        Requests for each group; their sum is the count.
    """
    used = sorted((running[n] / places[n], n) for n in range(len(places)))
    filled_places = filled_running = level = 0.0
    for position, (_, n) in enumerate(used):
        filled_places += places[n]
        filled_running += running[n]
        level = (filled_running + count) / filled_places
        if position + 1 == len(used) or used[position + 1][0] >= level:
            break
    return [
        max(0.0, level * place - now)
        for now, place in zip(running, places, strict=True)
    ]
