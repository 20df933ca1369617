"""Divides a service's capacity between workspaces and entries."""

from collections.abc import Mapping

from chestnutvale.admission.const import EVEN_SHARE


def divide_capacity(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness.

    Parameters
    ----------
    capacity : float
        What there is to divide, in tokens.
    demands : mapping of str to float
        Tokens that each workspace asks for.
    weights : mapping of str to float
        Weight of each workspace, above zero.

    Returns
    -------
    dict of str to float
        Share of each workspace; none is above its demand.
    """
    shares: dict[str, float] = {}
    left = capacity
    weight_left = sum(weights[name] for name in demands)
    by_need = sorted(demands, key=lambda name: (demands[name] / weights[name], name))
    for name in by_need:
        fair = left * weights[name] / weight_left
        shares[name] = min(demands[name], fair)
        left -= shares[name]
        weight_left -= weights[name]
    return shares


def divide_between_entries(
    capacity: float,
    own: Mapping[str, float],
    total: Mapping[str, float],
    weights: Mapping[str, float],
    entry_count: int,
    even_share: float = EVEN_SHARE,
) -> dict[str, float]:
    """Return this entry's part of the capacity per workspace.

    All entries that see the same totals compute parts that add up to at most
    the capacity. A part of the capacity is divided evenly, so that an entry
    whose demand the others don't know yet can admit at once.

    Parameters
    ----------
    capacity : float
        Capacity of the service in tokens.
    own, total : mapping of str to float
        Demand in tokens per workspace: as this entry last reported it, and as
        summed over all entries.
    weights : mapping of str to float
        Weight of each workspace.
    entry_count : int
        Live entries.
    even_share : float
        Share of the capacity that is divided evenly between entries.

    Returns
    -------
    dict of str to float
        Tokens per workspace, for each workspace in `weights`.
    """
    active = {name: tokens for name, tokens in total.items() if name in weights}
    fair = divide_capacity(capacity, active, weights)
    spare = capacity - sum(fair.values())
    weight_sum = sum(weights.values())
    parts = {}
    for name, weight in weights.items():
        even = (even_share * capacity + (1 - even_share) * spare) * weight / weight_sum
        demand = total.get(name, 0.0)
        asked = min(1.0, own.get(name, 0.0) / demand) if demand else 0.0
        part = (1 - even_share) * fair.get(name, 0.0) * asked
        parts[name] = part + even / entry_count
    return parts
