"""Calls of the callers of a fleet of entries."""

import math
import random
from collections.abc import Iterator

import attrs

from chestnutvale.admission.const import PRIORITIES

WORKSPACES = 24
ZIPF_EXPONENT = 1.2
# Shares of the calls, and target times to the first event, from most to least urgent.
RANK_SHARES = (211.0, 12.0, 8.0)
RANK_TARGETS_S = (0.204, 0.306, 0.807)
WAVE_AMPLITUDE = 0.2
WAVE_PERIOD_S = 11.0
BURST_FACTORS = (1.6, 1.0, 2.25)
HOLD_RANGE_S = (0.15, 1.5)
MEAN_HOLD_S = (HOLD_RANGE_S[1] - HOLD_RANGE_S[0]) / math.log(
    HOLD_RANGE_S[1] / HOLD_RANGE_S[0]
)


@attrs.define(eq=False)
class FleetCall:
    """A call and what became of it.

    Attributes
    ----------
    call_id : str
        Identity of the call.
    workspace : str
        The workspace.
    rank : int
        0 is the most urgent.
    arrival_s, hold_s : float
        Time of the first try, and time for which the call takes a place.
    is_early : bool
        Whether the caller comes back before the time that it was told.
    tries : int
        Tries so far.
    offered_s, admitted_s : float
        Times of the last try and of its admission.
    outcome : str
        ``in_time``, ``late``, ``refused`` or ``given_up``; empty while undecided.
    """

    call_id: str
    workspace: str
    rank: int
    arrival_s: float
    hold_s: float
    is_early: bool = False
    tries: int = 0
    offered_s: float = 0.0
    admitted_s: float = 0.0
    outcome: str = ""

    @property
    def priority(self) -> str:
        """Return the priority class of the rank."""
        return PRIORITIES[self.rank]


@attrs.frozen
class FleetLoad:
    """The offered load.

    Attributes
    ----------
    mean_busy : float
        Places that the calls would keep busy on average without the burst.
    end_s : float
        Time of the last arrival.
    burst : tuple of float
        Begin and end of the burst in seconds.
    burst_workspace : str
        Workspace of the additional calls of the burst; empty for all workspaces.
    early_share : float
        Share of the callers that come back after half of the time they were told.
    """

    mean_busy: float
    end_s: float = 24.0
    burst: tuple[float, float] = (8.0, 14.0)
    burst_workspace: str = ""
    early_share: float = 0.2

    def make_calls(self, rng: random.Random) -> list[FleetCall]:
        """Return the calls in the order of their arrival."""
        names = [f"w{number}" for number in range(WORKSPACES)]
        weights = [1 / (number + 1) ** ZIPF_EXPONENT for number in range(WORKSPACES)]
        calls = []
        for rank, share in enumerate(RANK_SHARES):
            rate = share / sum(RANK_SHARES) * self.mean_busy / MEAN_HOLD_S
            for now_s, is_burst in self._arrivals(rank, rate, rng):
                workspace = rng.choices(names, weights)[0]
                if is_burst and self.burst_workspace:
                    workspace = self.burst_workspace
                calls.append(
                    FleetCall(
                        f"c{rank}-{len(calls)}",
                        workspace,
                        rank,
                        now_s,
                        HOLD_RANGE_S[0]
                        * (HOLD_RANGE_S[1] / HOLD_RANGE_S[0]) ** rng.random(),
                        rng.random() < self.early_share,
                    )
                )
        return sorted(calls, key=lambda call: call.arrival_s)

    def _arrivals(
        self, rank: int, rate: float, rng: random.Random
    ) -> Iterator[tuple[float, bool]]:
        """Yield the times of a rank's calls, and whether a burst brings them."""
        top = rate * (1 + WAVE_AMPLITUDE) * max(1.0, BURST_FACTORS[rank])
        now_s = rng.expovariate(top)
        while now_s < self.end_s:
            wave = rate * (
                1 + WAVE_AMPLITUDE * math.sin(2 * math.pi * now_s / WAVE_PERIOD_S)
            )
            in_burst = self.burst[0] <= now_s < self.burst[1]
            factor = BURST_FACTORS[rank] if in_burst else 1.0
            drawn = rng.random() * top
            if drawn < wave * factor:
                yield now_s, drawn >= wave
            now_s += rng.expovariate(top)
