"""Estimates the demand of refused requests."""

import math
from collections import Counter, deque

import attrs

from chestnutvale.admission.const import REFUSED_WINDOW_S


@attrs.define
class RefusedDemand:
    """Counts the tokens that recently refused requests would have reserved.

    A service that refuses most requests immediately has hardly more running and queued
    requests than one that serves them all. Unless refused requests count as demand,
    such a service would never be scaled up.

    Parameters
    ----------
    window_s : float, optional
        Time in seconds after which a refusal expires.
    """

    window_s: float = REFUSED_WINDOW_S
    _refusals: deque[tuple[float, str, int]] = attrs.field(factory=deque)

    def record_refusal(self, workspace: str, cost: int, now_s: float) -> None:
        """Record a refused request.

        Parameters
        ----------
        workspace : str
            Workspace of the request.
        cost : int
            Tokens that it would have reserved.
        now_s : float
            Monotonic time in seconds.
        """
        self.forget_old(now_s)
        self._refusals.append((now_s, workspace, cost))

    def forget_old(self, now_s: float) -> None:
        """Drop refusals that are older than the window."""
        while self._refusals and self._refusals[0][0] <= now_s - self.window_s:
            self._refusals.popleft()

    def mean_held_tokens(self, hold_s: float) -> Counter[str]:
        """Return the mean tokens that refused requests would hold, by workspace.

        Parameters
        ----------
        hold_s : float
            Mean time in seconds for which a request keeps its tokens reserved.

        Returns
        -------
        Counter of str to int
            Tokens, rounded up.
        """
        costs: Counter[str] = Counter()
        for _, workspace, cost in self._refusals:
            costs[workspace] += cost
        return Counter(
            {
                workspace: math.ceil(cost * hold_s / self.window_s)
                for workspace, cost in costs.items()
            }
        )
