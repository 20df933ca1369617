"""Lends the free places of a service to whichever entry has callers."""

import math
import random
from collections.abc import Mapping

import attrs

from chestnutvale.admission.arrival_rates import RankRates
from chestnutvale.admission.const import (
    COUNTS_OVERDUE_FACTOR,
    DEFAULT_HOLD_S,
    DEFAULT_URGENT_SHARE,
    FLEET_HOLD_SMOOTHING_S,
    LENDING_HORIZON_FACTOR,
    LENDING_MIN_HORIZON_S,
    LENDING_VALIDITY_S,
    MIN_MEASURED_FLOW_PER_S,
    PRIORITIES,
)
from chestnutvale.admission.service_flow import ServiceFlow
from chestnutvale.admission.sharing import divide_above_floors, divide_capacity
from chestnutvale.membership.attempt_counts import load_exchange_interval_s


@attrs.define
class FleetHoldTime:
    """Estimates how long calls take their places, from sums over all entries.

    An entry sees too few calls: the mean of ten of them is wrong by a fifth, and an
    entry that has just started has seen none. By Little's law the time is the number of
    running calls over the rate of admissions.
    """

    _running: float = 0.0
    _admitted_per_s: float = 0.0
    _updated_s: float = -math.inf

    def observe(self, running: float, admitted_per_s: float, now_s: float) -> None:
        """Add the running calls and the admissions per second of all entries."""
        elapsed_s = now_s - self._updated_s
        keep = math.exp(-elapsed_s / FLEET_HOLD_SMOOTHING_S)
        self._running += (1 - keep) * (running - self._running)
        self._admitted_per_s += (1 - keep) * (admitted_per_s - self._admitted_per_s)
        self._updated_s = now_s

    def hold_s(self) -> float:
        """Return the mean time in seconds; a default while hardly any call runs."""
        if self._admitted_per_s < MIN_MEASURED_FLOW_PER_S:
            return DEFAULT_HOLD_S
        return max(0.01, self._running / self._admitted_per_s)


@attrs.define
class PlaceLending:
    """Decides for one entry which calls may take a free place of the service.

    No entry owns a place. With each exchange of counts all entries compute the same
    rate at which the whole fleet may admit calls: that at which places become free, and
    a correction for those that are free or overfilled. The rate is divided between
    workspaces and priorities by weighted max-min fairness, and each call is admitted
    with the chance that its class's part of the rate bears to the class's calls. The
    expected sum over all entries therefore depends neither on their number nor on which
    of them have callers.

    Designed for 20 to 150 entries with a few to some dozen calls per second each,
    services of 30 to 200 places, calls of 0.1 to 2 s, and counts exchanged every 0.1 to
    0.4 s.

    Parameters
    ----------
    rng : random.Random
        Source of the draws; different for each entry.

    Attributes
    ----------
    epoch : int
        Number of the last counts; a waiting call is drawn once in each epoch.
    admission_rate : float
        Calls per second that all entries together may admit.
    offered_per_s : float
        Calls per second that ask all entries for a place.
    interval_s : float
        Time in seconds between two exchanges of counts.
    """

    rng: random.Random
    epoch: int = 0
    admission_rate: float = 0.0
    offered_per_s: float = 0.0
    interval_s: float = 0.0
    hold_time: FleetHoldTime = attrs.field(factory=FleetHoldTime)
    _fleet_rates: dict[str, RankRates] = attrs.field(factory=dict)
    _chances: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _default_chance: float = 1.0
    _counted_s: float = -math.inf
    _started_s: float = -math.inf
    _places: float = 0.0
    _weights: Mapping[str, float] = attrs.field(factory=dict)
    _urgent_share: float = DEFAULT_URGENT_SHARE
    _left: float = 0.0

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the last counts are recent enough to lend by them."""
        return now_s < self._counted_s + LENDING_VALIDITY_S

    def refresh(self, now_s: float) -> None:
        """Start the next epoch if new counts are overdue.

        The correction in the last counts has been made by then, and only the rate at
        which places become free remains.
        """
        if now_s < self._started_s + COUNTS_OVERDUE_FACTOR * self.interval_s:
            return
        self.admission_rate = self._places / self.hold_time.hold_s()
        self._start_epoch(now_s)
        self._divide()

    def set_fleet_rates(self, rates: Mapping[str, RankRates]) -> None:
        """Set the calls per second of all entries by workspace and priority."""
        self._fleet_rates = dict(rates)

    def update(
        self,
        places: float,
        running: float,
        flow: ServiceFlow,
        entry_count: int,
        weights: Mapping[str, float],
        urgent_share: float,
        now_s: float,
    ) -> None:
        """Compute the chances of calls from new counts.

        Parameters
        ----------
        places : float
            Places that the fleet may fill.
        running : float
            Calls that all entries run.
        flow : ServiceFlow
            Calls of all entries per second.
        entry_count : int
            Number of live entries; they determine how often counts are exchanged.
        weights : mapping of str to float
            Weights of the workspaces.
        urgent_share : float
            Share of the rate within which urgent calls precede others.
        now_s : float
            Monotonic time in seconds.
        """
        self._counted_s = now_s
        self._places = places
        self.offered_per_s = flow.offered_per_s
        self._weights = weights
        self._urgent_share = urgent_share
        self.interval_s = load_exchange_interval_s(entry_count)
        self.hold_time.observe(running, flow.admitted_per_s, now_s)
        horizon_s = max(LENDING_MIN_HORIZON_S, LENDING_HORIZON_FACTOR * self.interval_s)
        rate = places / self.hold_time.hold_s() + (places - running) / horizon_s
        self.admission_rate = max(0.0, rate)
        self._start_epoch(now_s)
        self._divide()

    def draw(self, workspace: str, priority: str) -> bool:
        """Decide whether a call may take a place now."""
        if self._left <= 0.0 or self.rng.random() >= self.chance(workspace, priority):
            return False
        self._left -= 1.0
        return True

    def chance(self, workspace: str, priority: str) -> float:
        """Return the probability with which a call is admitted."""
        return self._chances.get((workspace, priority), self._default_chance)

    def next_counts_s(self, now_s: float) -> float:
        """Return the monotonic time in seconds at which new counts are expected."""
        return max(now_s, self._started_s + self.interval_s)

    def _start_epoch(self, now_s: float) -> None:
        self.epoch += 1
        self._started_s = now_s
        self._left = max(1.0, self.admission_rate * self.interval_s)

    def _divide(self) -> None:
        offered_per_s, weights = self.offered_per_s, self._weights
        known = {name: r for name, r in self._fleet_rates.items() if name in weights}
        # The rates by workspace are a second old; the sum of all calls is recent.
        scale = _ratio(offered_per_s, sum(map(sum, known.values())), 0.0)
        rates = {name: [scale * r for r in values] for name, values in known.items()}
        self._default_chance = min(
            1.0, _ratio(self.admission_rate, offered_per_s, math.inf)
        )
        urgent = {name: values[0] for name, values in rates.items()}
        wanted = {name: sum(values) for name, values in rates.items()}
        floors = divide_capacity(
            self._urgent_share * self.admission_rate, urgent, weights
        )
        shares = divide_above_floors(self.admission_rate, floors, wanted, weights)
        self._chances = {}
        for name, values in rates.items():
            left = shares[name]
            for priority, value in zip(PRIORITIES, values, strict=True):
                if value > 0.0:
                    self._chances[name, priority] = min(1.0, left / value)
                left = max(0.0, left - value)


def _ratio(part: float, whole: float, default: float) -> float:
    return part / whole if whole > 0.0 else default
