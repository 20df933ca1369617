"""Divides the capacity of a service between workspaces and entries."""

from collections.abc import Mapping

import attrs

from chestnutvale.admission.const import DEFAULT_URGENT_SHARE, EVEN_SHARE
from chestnutvale.admission.messages import Demand

NO_DEMAND = Demand("", "", 0)


def divide_capacity(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness.

    Parameters
    ----------
    capacity : float
        Capacity in tokens.
    demands : mapping of str to float
        Demand of each workspace in tokens.
    weights : mapping of str to float
        Weight of each workspace, greater than zero.

    Returns
    -------
    dict of str to float
        Share of each workspace in tokens, at most its demand.
    """
    return divide_above_floors(capacity, dict.fromkeys(demands, 0.0), demands, weights)


def divide_above_floors(
    capacity: float,
    floors: Mapping[str, float],
    demands: Mapping[str, float],
    weights: Mapping[str, float],
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness with guaranteed minimums.

    Parameters
    ----------
    capacity : float
        Capacity in tokens; at least the sum of the floors.
    floors, demands : mapping of str to float
        Tokens that each workspace is guaranteed, and its demand.
    weights : mapping of str to float
        Weight of each workspace, greater than zero.

    Returns
    -------
    dict of str to float
        Share of each workspace in tokens, between its floor and its demand.
    """
    # Water filling: the level is share per weight. A workspace gains between the level
    # of its floor and the level of its demand.
    starts = {name: floors[name] / weights[name] for name in demands}
    ends = {name: demands[name] / weights[name] for name in demands}
    levels = sorted({*starts.values(), *ends.values()})
    left = capacity - sum(floors[name] for name in demands)
    shares = {name: floors[name] for name in demands}
    for low, high in zip(levels, levels[1:], strict=False):
        gaining = [name for name in demands if starts[name] <= low < ends[name]]
        weight_sum = sum(weights[name] for name in gaining)
        if not weight_sum:
            continue
        rise = min(high - low, left / weight_sum)
        for name in gaining:
            grown = shares[name] + rise * weights[name]
            shares[name] = min(grown, demands[name])
        left -= rise * weight_sum
        if left <= 0:
            break
    return shares


@attrs.frozen
class DivisionPolicy:
    """Fractions by which the capacity of a service is divided.

    Attributes
    ----------
    urgent_share : float
        Fraction of the capacity available to urgent demand before other demand.
    even_share : float
        Fraction divided evenly between entries, regardless of demand.
    """

    urgent_share: float = DEFAULT_URGENT_SHARE
    even_share: float = EVEN_SHARE


def divide_between_entries(
    capacity: float,
    own: Mapping[str, Demand],
    total: Mapping[str, Demand],
    weights: Mapping[str, float],
    entry_count: int,
    division: DivisionPolicy,
) -> dict[str, float]:
    """Return this entry's share of the capacity per workspace.

    Entries that see the same totals compute shares that add up to at most the capacity,
    without coordination. A fraction of the capacity is divided evenly, so that an
    entry whose demand has not been reported yet can admit requests at once.

    Parameters
    ----------
    capacity : float
        Capacity of the service in tokens.
    own, total : mapping of str to Demand
        Demand per workspace: as this entry last reported it, and summed over all
        entries.
    weights : mapping of str to float
        Weight of each workspace.
    entry_count : int
        Number of live entries.
    division : DivisionPolicy
        Fractions by which the capacity is divided.

    Returns
    -------
    dict of str to float
        Tokens per workspace, for each workspace in `weights`.
    """
    active = {name: demand for name, demand in total.items() if name in weights}
    urgent = {name: float(d.urgent_tokens) for name, d in active.items()}
    wanted = {name: float(d.tokens) for name, d in active.items()}
    floors = divide_capacity(division.urgent_share * capacity, urgent, weights)
    fair = divide_above_floors(capacity, floors, wanted, weights)
    spare = capacity - sum(fair.values())
    even = division.even_share * capacity + (1 - division.even_share) * spare
    weight_sum = sum(weights.values())
    parts = {}
    for name, weight in weights.items():
        demand = total.get(name, NO_DEMAND)
        mine = own.get(name, NO_DEMAND)
        floor = floors.get(name, 0.0)
        part = floor * _ratio(mine.urgent_tokens, demand.urgent_tokens)
        part += (fair.get(name, 0.0) - floor) * _ratio_above(mine, demand)
        parts[name] = (1 - division.even_share) * part
        parts[name] += even * weight / weight_sum / entry_count
    return parts


def _ratio(part: int, whole: int) -> float:
    return min(1.0, part / whole) if whole > 0 else 0.0


def _ratio_above(own: Demand, total: Demand) -> float:
    """Return the entry's fraction of what a workspace gets above its floor."""
    if total.tokens == total.urgent_tokens:
        return _ratio(own.urgent_tokens, total.urgent_tokens)
    return _ratio(own.tokens - own.urgent_tokens, total.tokens - total.urgent_tokens)
