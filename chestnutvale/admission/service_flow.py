"""Rates of calls that ask for places and get them, summed over the entries."""

from collections import deque
from collections.abc import Iterable

import attrs

from chestnutvale.admission.const import FLOW_EXPIRY_S, FLOW_WINDOW_S


@attrs.frozen
class ServiceFlow:
    """Calls of a service per second.

    Attributes
    ----------
    service : str
        The service.
    offered_per_s, admitted_per_s : float
        Calls per second that asked for a place, and that were admitted.
    """

    service: str
    offered_per_s: float
    admitted_per_s: float


@attrs.define
class RateWindow:
    """Counts events within a sliding window.

    Parameters
    ----------
    window_s : float, optional
        Length of the window in seconds.
    """

    window_s: float = FLOW_WINDOW_S
    _times_s: deque[float] = attrs.field(factory=deque)

    def record(self, now_s: float) -> None:
        """Count an event at a monotonic time in seconds."""
        self._times_s.append(now_s)
        self._forget_old(now_s)

    def per_s(self, now_s: float) -> float:
        """Return the events per second."""
        self._forget_old(now_s)
        return len(self._times_s) / self.window_s

    def _forget_old(self, now_s: float) -> None:
        while self._times_s and self._times_s[0] <= now_s - self.window_s:
            self._times_s.popleft()


@attrs.define
class FlowTable:
    """The latest flows of each entry, at the leading control.

    Parameters
    ----------
    expiry_s : float, optional
        Time in seconds after which the flows of an entry expire.
    """

    expiry_s: float = FLOW_EXPIRY_S
    _flows: dict[str, tuple[float, tuple[ServiceFlow, ...]]] = attrs.field(factory=dict)

    def record_flows(
        self, entry_id: str, flows: Iterable[ServiceFlow], now_s: float
    ) -> None:
        """Store the flows of an entry; they replace its last ones."""
        self._flows[entry_id] = (now_s + self.expiry_s, tuple(flows))

    def totals(self, now_s: float) -> list[ServiceFlow]:
        """Return the sums over all entries by service and drop expired flows."""
        self._flows = {k: item for k, item in self._flows.items() if item[0] > now_s}
        sums: dict[str, ServiceFlow] = {}
        for _, flows in self._flows.values():
            for flow in flows:
                known = sums.get(flow.service, ServiceFlow(flow.service, 0.0, 0.0))
                sums[flow.service] = ServiceFlow(
                    flow.service,
                    known.offered_per_s + flow.offered_per_s,
                    known.admitted_per_s + flow.admitted_per_s,
                )
        return list(sums.values())
