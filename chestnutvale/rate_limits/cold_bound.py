"""How many entries may send to a cold endpoint, and at which rate."""

import math

import attrs

from chestnutvale.rate_limits.const import (
    COLD_RESERVE_REQUESTS,
    COLD_WINDOW_S,
    MAX_SLOTS,
    MIN_SHARE_PER_S,
)


@attrs.frozen
class SlotPlan:
    """Division of what a cold endpoint takes into equal slots.

    A holder of a slot has a token bucket of one request for it.

    Attributes
    ----------
    count : int
        Number of slots; 0 if not even one request per second is allowed.
    rate_per_s : float
        Requests per second of each slot.
    """

    count: int
    rate_per_s: float


@attrs.frozen
class ColdBound:
    """Bound on the requests that a cold endpoint receives in any one second.

    The bound holds for all entries together. It is the rate that the endpoint takes
    times a factor, plus a number of requests.

    Attributes
    ----------
    rate_factor : float
        Factor of the rate.
    burst_requests : float
        Requests added to it.
    """

    rate_factor: float = 1.0
    burst_requests: float = 0.0

    def requests(self, cold_requests_per_s: float) -> float:
        """Return the requests that are allowed in any one second."""
        return cold_requests_per_s * self.rate_factor + self.burst_requests

    def plan_slots(self, cold_requests_per_s: float) -> SlotPlan:
        """Divide what an endpoint takes into slots that together keep the bound.

        It answers a load above what the endpoint takes: with n slots of rate s, at most
        ``n + n * s * COLD_WINDOW_S`` requests are sent within a window. The rate comes
        first; what is left of the bound gives the number of slots, because each further
        one adds the burst of a request.

        Parameters
        ----------
        cold_requests_per_s : float
            Requests per second that the endpoint takes while it is cold, above 0.

        Returns
        -------
        SlotPlan
            Number and rate of the slots. It depends on nothing else, so that leaders
            agree on it.
        """
        allowed = self.requests(cold_requests_per_s)
        if allowed < 1.0:
            return SlotPlan(0, 0.0)
        spare = allowed - COLD_RESERVE_REQUESTS - cold_requests_per_s * COLD_WINDOW_S
        most = min(MAX_SLOTS, math.floor(cold_requests_per_s / MIN_SHARE_PER_S))
        count = max(1, min(math.floor(spare), most))
        # A bucket whose rate is below this sends one request in a window, not two.
        lowest_per_s = min(cold_requests_per_s, 0.9 / COLD_WINDOW_S)
        rate_per_s = min(cold_requests_per_s, (allowed - count) / COLD_WINDOW_S)
        return SlotPlan(count, max(rate_per_s, lowest_per_s) / count)
