"""Sums the demand reported by all entries in the control plane."""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from chestnutvale.admission.const import (
    DEMAND_EXPIRY_S,
    MAX_REPORTED_DEMANDS,
    PRIORITY_URGENT,
)
from chestnutvale.admission.messages import AdmissionRequest, Demand


def largest_demands(
    demands: Iterable[Demand], max_count: int = MAX_REPORTED_DEMANDS
) -> list[Demand]:
    """Return the largest demands, at most as many as fit into a report.

    A workspace that is left out still gets its share of the evenly divided part of
    the capacity.
    """
    ordered = sorted(
        demands, key=lambda d: (-d.tokens - d.refused_tokens, d.service, d.workspace)
    )
    return ordered[:max_count]


def sum_demands(
    service: str,
    held: Iterable[tuple[AdmissionRequest, int]],
    refused: Counter[str],
    rates: Mapping[str, tuple[float, ...]],
) -> list[Demand]:
    """Return the demand of each workspace at one entry.

    Parameters
    ----------
    service : str
        The service.
    held : iterable of tuple of (AdmissionRequest, int)
        Running and queued requests with their tokens.
    refused : Counter of str to int
        Tokens that refused requests would hold, by workspace.
    rates : mapping of str to tuple of float
        Calls per second by workspace and priority; empty if they are not measured.
    """
    tokens: Counter[str] = Counter()
    urgent: Counter[str] = Counter()
    for request, cost in held:
        tokens[request.workspace] += cost
        if request.priority == PRIORITY_URGENT:
            urgent[request.workspace] += cost
    return [
        Demand(
            service,
            name,
            tokens[name],
            urgent[name],
            refused[name],
            rates.get(name, ()),
        )
        for name in {**tokens, **refused, **rates}
    ]


@attrs.frozen
class DemandReport:
    """Latest demand reported by one entry.

    Attributes
    ----------
    demands : tuple of Demand
        Demand per service and workspace.
    expires_s : float
        Monotonic time in seconds at which the report expires.
    """

    demands: tuple[Demand, ...]
    expires_s: float


@attrs.define
class DemandTable:
    """Table of the latest demand report of each entry.

    Parameters
    ----------
    expiry_s : float
        Time in seconds after which a report expires.
    """

    expiry_s: float = DEMAND_EXPIRY_S
    _reports: dict[str, DemandReport] = attrs.field(factory=dict)

    def record_report(
        self, entry_id: str, demands: Iterable[Demand], now_s: float
    ) -> None:
        """Store a report in place of the previous one of the entry."""
        report = DemandReport(tuple(demands), now_s + self.expiry_s)
        self._reports[entry_id] = report

    def totals(self, now_s: float) -> list[Demand]:
        """Return demand per service and workspace, summed over unexpired reports."""
        live = {k: r for k, r in self._reports.items() if r.expires_s > now_s}
        self._reports = live
        sums: dict[tuple[str, str], Demand] = {}
        for report in live.values():
            for demand in report.demands:
                key = (demand.service, demand.workspace)
                known = sums.get(key)
                sums[key] = demand if known is None else _add(known, demand)
        return list(sums.values())


def _add(one: Demand, other: Demand) -> Demand:
    return Demand(
        one.service,
        one.workspace,
        one.tokens + other.tokens,
        one.urgent_tokens + other.urgent_tokens,
        one.refused_tokens + other.refused_tokens,
        _add_rates(one.calls_per_s, other.calls_per_s),
    )


def _add_rates(one: tuple[float, ...], other: tuple[float, ...]) -> tuple[float, ...]:
    return tuple(a + b for a, b in itertools.zip_longest(one, other, fillvalue=0.0))
