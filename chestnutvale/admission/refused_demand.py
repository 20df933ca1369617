"""Demand of the requests that were refused."""

import math
from collections import Counter, deque

import attrs

from chestnutvale.admission.const import REFUSED_WINDOW_S


@attrs.define
class RefusedDemand:
    """Counts what refused requests would hold.

    A service that refuses most of its requests at once has hardly more that run or
    wait than one that serves all. Without those it turned away, it would never be
    given more groups.

    Parameters
    ----------
    window_s : float, optional
        Time in seconds for which a refusal counts.
    """

    window_s: float = REFUSED_WINDOW_S
    _refusals: deque[tuple[float, str, int]] = attrs.field(factory=deque)

    def record_refusal(self, workspace: str, cost: int, now_s: float) -> None:
        """Note a refused request.

        Parameters
        ----------
        workspace : str
            Whose request it was.
        cost : int
            Tokens that it would hold.
        now_s : float
            Monotonic time.
        """
        self.forget_old(now_s)
        self._refusals.append((now_s, workspace, cost))

    def forget_old(self, now_s: float) -> None:
        """Forget refusals that are older than the window."""
        while self._refusals and self._refusals[0][0] <= now_s - self.window_s:
            self._refusals.popleft()

    def mean_held_tokens(self, hold_s: float) -> Counter[str]:
        """Return the tokens that would be held on average, by workspace.

        Parameters
        ----------
        hold_s : float
            Time in seconds for which a request holds its tokens.

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
