"""Divides the limits of endpoints among the entries."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import attrs
import xxhash

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.const import (
    LIMITS_SENT_PER_S,
    MIN_DIVISION_INTERVAL_S,
    MIN_RATE_PER_S,
    MIN_SHARE_PER_S,
)

# Requests per second that an entry may send to an endpoint; an entry that is missing
# may send none.
Shares = Mapping[str, float]


@attrs.frozen
class EndpointPlace:
    """What an endpoint serves, and where; empty if unknown.

    Attributes
    ----------
    service, data_centre : str
        The service and the data centre.
    """

    service: str = ""
    data_centre: str = ""


UNKNOWN_PLACE = EndpointPlace()


@attrs.frozen
class LimitedEndpoint:
    """An endpoint that names a limit.

    Attributes
    ----------
    endpoint : Incarnation
        The endpoint.
    place : EndpointPlace
        What it serves, and where.
    rate_per_s : float
        Requests per second that it takes from all entries together.
    owners : frozenset of str or None
        Entries that may get a share; None for all.
    """

    endpoint: Incarnation
    place: EndpointPlace
    rate_per_s: float
    owners: frozenset[str] | None = None


def divide_limits(
    limited: Sequence[LimitedEndpoint], entries: Mapping[str, str]
) -> dict[Incarnation, Shares]:
    """Divide each limit evenly among few entries.

    It answers a load that would exceed the limits, at any number of entries: the
    shares of an endpoint add up to its limit, and no share is so small that the one
    request that each entry may send at once outweighs it. Within a service the entries
    get about equal sums; with equal sums, those in the data centre of the endpoint come
    first. Equal inputs give equal shares, and a change of the inputs moves few of them,
    so that a new leader repeats the division of the last one.

    Parameters
    ----------
    limited : sequence of LimitedEndpoint
        The endpoints.
    entries : mapping of str to str
        Data centre of each entry that serves calls.

    Returns
    -------
    dict of Incarnation to mapping of str to float
        Shares in requests per second.
    """
    divided: dict[Incarnation, Shares] = {}
    sums: Counter[tuple[str, str]] = Counter()
    for item in sorted(limited, key=_sort_key):
        rate_per_s = max(item.rate_per_s, MIN_RATE_PER_S)
        eligible = [
            entry_id
            for entry_id in entries
            if item.owners is None or entry_id in item.owners
        ]
        count = min(len(eligible), max(1, math.floor(rate_per_s / MIN_SHARE_PER_S)))
        owners = sorted(
            eligible,
            key=lambda entry_id, item=item: (
                sums[item.place.service, entry_id],
                entries[entry_id] != item.place.data_centre,
                rank_entry(item.endpoint, entry_id),
            ),
        )[:count]
        share_per_s = rate_per_s / max(1, count)
        for entry_id in owners:
            sums[item.place.service, entry_id] += share_per_s
        divided[item.endpoint] = dict.fromkeys(owners, share_per_s)
    return divided


def division_interval_s(limit_count: int, entry_count: int) -> float:
    """Return the shortest time between two divisions.

    It answers the moment at which many endpoints name limits one after another, as each
    division is sent to all entries.

    Parameters
    ----------
    limit_count : int
        Number of limits in the list.
    entry_count : int
        Number of entries that get it.

    Returns
    -------
    float
        Time in seconds.
    """
    return max(MIN_DIVISION_INTERVAL_S, limit_count * entry_count / LIMITS_SENT_PER_S)


def _sort_key(item: LimitedEndpoint) -> tuple[str, str]:
    return item.endpoint.host_id, item.endpoint.boot_id


def rank_entry(endpoint: Incarnation, entry_id: str) -> int:
    """Return the rendezvous hash of an entry for an endpoint.

    Parameters
    ----------
    endpoint : Incarnation
        The endpoint.
    entry_id : str
        The entry.

    Returns
    -------
    int
        64-bit hash; the entries with the lowest ones come first.
    """
    key = f"{endpoint.host_id} {endpoint.boot_id} {entry_id}"
    return xxhash.xxh64_intdigest(key.encode())
