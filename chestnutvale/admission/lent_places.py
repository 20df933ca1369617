"""Lent places that one entry takes for a service, and its reports of calls."""

import math
import random

import attrs

from chestnutvale.admission.arrival_rates import ArrivalRates, RankRates
from chestnutvale.admission.const import (
    LENDING_MARGIN_S,
    MAX_DRAWS,
    MIN_PACING_PER_S,
    MIN_WAIT_CHANCE,
)
from chestnutvale.admission.first_event import FirstEventPredictor
from chestnutvale.admission.messages import AdmissionRequest
from chestnutvale.admission.place_lending import PlaceLending
from chestnutvale.admission.service_flow import RateWindow, ServiceFlow


@attrs.define
class LentPlaces:
    """Draws for the calls of one service at one entry, and counts them for reports.

    Designed for entries with up to some dozen calls per second; see `PlaceLending`.

    Parameters
    ----------
    rng : random.Random
        Source of the draws; different for each entry.
    first_event : FirstEventPredictor, optional
        Predicts the time from an admission to the first event.

    Attributes
    ----------
    lending : PlaceLending
        Chances of the calls.
    """

    rng: random.Random
    first_event: FirstEventPredictor = attrs.field(factory=FirstEventPredictor)
    lending: PlaceLending = attrs.field(
        default=attrs.Factory(lambda self: PlaceLending(self.rng), takes_self=True)
    )
    _arrivals: ArrivalRates = attrs.field(factory=ArrivalRates)
    _offered: RateWindow = attrs.field(factory=RateWindow)
    _admitted: RateWindow = attrs.field(factory=RateWindow)
    _drawn_epoch: int = 0

    def is_active(self, now_s: float) -> bool:
        """Tell whether places are lent now, by counts that are recent enough."""
        if not self.lending.is_valid(now_s):
            return False
        self.lending.refresh(now_s)
        return True

    def draw(self, request: AdmissionRequest) -> bool:
        """Decide whether a call may take a place now."""
        return self.lending.draw(request.workspace, request.priority)

    def can_finish(self, request: AdmissionRequest, now_s: float) -> bool:
        """Tell whether the answer to a call that starts now begins by its deadline."""
        return now_s + self.first_event.predict_s() <= request.deadline_s

    def is_worth_waiting(self, request: AdmissionRequest, now_s: float) -> bool:
        """Tell whether a call that got no place should wait for later counts.

        It is drawn again with each of them until it would miss its target. A call that
        would probably be refused in the end is refused at once, so that it does not
        compete with calls that can meet theirs, and its caller has time for another
        try.
        """
        predicted_s = self.first_event.predict_s()
        last_s = min(
            request.start_by_s,
            request.target_s - predicted_s,
            request.deadline_s - predicted_s,
        )
        counts_s = self.lending.next_counts_s(now_s) + LENDING_MARGIN_S
        if counts_s > last_s:
            return False
        chance = self.lending.chance(request.workspace, request.priority)
        more = min(MAX_DRAWS, (last_s - counts_s) / self.lending.interval_s)
        return 1 - (1 - chance) ** (1 + math.floor(more)) >= MIN_WAIT_CHANCE

    def start_draws(self) -> bool:
        """Tell whether waiting calls have not been drawn in this epoch, and start."""
        is_new = self._drawn_epoch != self.lending.epoch
        self._drawn_epoch = self.lending.epoch
        return is_new

    def pacing_rate(self, now_s: float, entry_count: int) -> float:
        """Return the calls per second of the fleet that this entry's callers may be.

        Retry-After is spread by this rate. The rate of the entry's own limit, which is
        at least one place, is far above it if few places serve many entries.
        """
        lending = self.lending
        share = 1 / entry_count
        if lending.offered_per_s > 0.0:
            own_share = self._offered.per_s(now_s) / lending.offered_per_s
            share = min(1.0, max(share, own_share))
        return max(MIN_PACING_PER_S, lending.admission_rate * share)

    def record_offer(self, request: AdmissionRequest, now_s: float) -> None:
        """Count a call that asks for a place, also each time it is drawn again."""
        self._arrivals.record_arrival(request.workspace, request.priority, now_s)
        self._offered.record(now_s)

    def record_admission(self, now_s: float) -> None:
        """Count a call that was admitted."""
        self._admitted.record(now_s)

    def flow(self, service: str, now_s: float) -> ServiceFlow:
        """Return the calls per second of this entry."""
        offered, admitted = self._offered.per_s(now_s), self._admitted.per_s(now_s)
        return ServiceFlow(service, offered, admitted)

    def rates(self, now_s: float) -> dict[str, RankRates]:
        """Return the calls per second by workspace and priority."""
        return self._arrivals.rates(now_s)
