"""Demand of all entries, summed at the control."""

from collections.abc import Iterable

import attrs

from chestnutvale.admission.const import DEMAND_EXPIRY_S, MAX_REPORTED_DEMANDS
from chestnutvale.admission.messages import Demand


def largest_demands(
    demands: Iterable[Demand], max_count: int = MAX_REPORTED_DEMANDS
) -> list[Demand]:
    """Return the largest demands, as many as a report may carry.

    A workspace that is left out still gets its part of the capacity that is
    divided evenly.
    """
    ordered = sorted(
        demands, key=lambda d: (-d.tokens - d.refused_tokens, d.service, d.workspace)
    )
    return ordered[:max_count]


@attrs.frozen
class DemandReport:
    """What one entry reported.

    Attributes
    ----------
    demands : tuple of Demand
        Demand per service and workspace.
    expires_s : float
        Monotonic time after which the report no longer counts.
    """

    demands: tuple[Demand, ...]
    expires_s: float


@attrs.define
class DemandTable:
    """The latest demand of each entry.

    Parameters
    ----------
    expiry_s : float
        Seconds for which a report counts.
    """

    expiry_s: float = DEMAND_EXPIRY_S
    _reports: dict[str, DemandReport] = attrs.field(factory=dict)

    def record_report(
        self, entry_id: str, demands: Iterable[Demand], now_s: float
    ) -> None:
        """Take a report; it replaces the entry's last one."""
        report = DemandReport(tuple(demands), now_s + self.expiry_s)
        self._reports[entry_id] = report

    def totals(self, now_s: float) -> list[Demand]:
        """Return the demand per service and workspace over all live entries."""
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
    )
