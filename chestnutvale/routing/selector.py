"""Chooses the group that runs a request."""

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from chestnutvale.routing.const import (
    CANDIDATE_COUNT,
    DEFAULT_REPORT_AGE_S,
    PREFIX_HIT_DISCOUNT,
    QUEUED_REQUESTS,
    REMOTE_MEMORY,
    REMOTE_REQUESTS,
    SHARES_EXPIRY_S,
)
from chestnutvale.routing.load import GroupLoad, SentRequest
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.prefixes import PrefixIndex
from chestnutvale.routing.slow_start import SlowStart
from chestnutvale.routing.stragglers import StragglerDetector
from chestnutvale.schema.membership_pb2 import CacheEvents, Load

DEFAULT_MEAN_TOKENS = 512.0
MEAN_TOKENS_SMOOTHING = 0.02


@attrs.frozen
class TrafficShares:
    """Fraction of its normal traffic that each group of a service should get.

    Attributes
    ----------
    shares : dict of str to float
        Fraction for each group, at most 1.
    expires_s : float
        Monotonic time in seconds at which the shares are recomputed.
    """

    shares: dict[str, float]
    expires_s: float


@attrs.define
class Selector:
    """Chooses the least loaded of a few candidate groups.

    Candidates are two random groups, two in this entry's data centre and two that have
    cached the prompt's prefix ("power of two choices").

    Parameters
    ----------
    rng : random.Random
        Source of the candidates; seeded differently at each entry, so that entries
        don't all choose the same group.
    data_centre : str, optional
        Data centre of this entry. Among equally loaded groups, those in the same data
        centre are preferred, as traffic between data centres is slower and more costly.
    """

    rng: random.Random
    data_centre: str = ""
    prefixes: PrefixIndex = attrs.field(factory=PrefixIndex)
    stragglers: StragglerDetector = attrs.field(factory=StragglerDetector)
    slow_start: SlowStart = attrs.field(factory=SlowStart)
    _groups: dict[str, RoutableGroup] = attrs.field(factory=dict)
    _by_service: dict[str, list[str]] = attrs.field(factory=dict)
    _loads: dict[str, GroupLoad] = attrs.field(factory=dict)
    _placed: dict[str, str] = attrs.field(factory=dict)
    _shares: dict[str, TrafficShares] = attrs.field(factory=dict)
    _mean_tokens: float = DEFAULT_MEAN_TOKENS

    def update_groups(self, groups: Iterable[RoutableGroup]) -> None:
        """Replace the set of serving groups; all others get no new requests."""
        new = {group.group_id: group for group in groups}
        for group_id, group in self._groups.items():
            if group_id not in new or new[group_id].epoch != group.epoch:
                self._forget(group_id)
        self._groups = new
        self._by_service = {}
        self._shares = {}
        for group in new.values():
            self._by_service.setdefault(group.service, []).append(group.group_id)
            self._loads.setdefault(group.group_id, GroupLoad())

    def update_cold(self, cold: Collection[str], now_s: float) -> None:
        """Set the groups whose endpoint is cold; their traffic ramps up afterwards."""
        self.slow_start.update(cold, now_s)
        self._shares = {}

    def update_load(
        self,
        group_id: str,
        load: Load,
        now_s: float,
        age_s: float = DEFAULT_REPORT_AGE_S,
    ) -> None:
        """Store a load report that was measured `age_s` seconds ago."""
        known = self._loads.get(group_id)
        if known is not None:
            known.report(load, now_s - age_s)

    def update_peer_running(self, group_id: str, running: int, now_s: float) -> None:
        """Update the number of requests that other entries run at a group."""
        known = self._loads.get(group_id)
        if known is not None:
            known.update_peer_running(running, now_s)

    def describe(self, group_id: str, now_s: float) -> dict[str, int | None]:
        """Return the load of a group for the log; empty if the group is unknown."""
        known = self._loads.get(group_id)
        return known.describe(now_s) if known is not None else {}

    def note_cache_events(
        self, group_id: str, events: CacheEvents, now_s: float
    ) -> None:
        """Apply cache events of a group; unknown groups are ignored."""
        if group_id in self._groups:
            self.prefixes.apply_cache_events(
                group_id,
                events.first_sequence,
                events.last_sequence,
                events.added,
                events.removed,
            )

    def choose(self, request: RoutingRequest, now_s: float) -> str | None:
        """Return the group that should run the request, or None if none is eligible."""
        names = self._by_service.get(request.service, [])
        if request.excluded_groups:
            names = [name for name in names if name not in request.excluded_groups]
        if not names:
            return None
        shares = self._service_shares(request.service, now_s)
        candidates = self._draw_candidates(names, shares)
        near = [name for name in names if self._is_near(name)]
        if near and len(near) < len(names):
            candidates += self._draw_candidates(near, shares)
        _, holders = self.prefixes.longest(request.prefixes)
        holding = [name for name in names if name in holders]
        if holding:
            candidates += self._draw_candidates(holding, shares)
        return min(candidates, key=lambda name: self._cost(name, request, now_s))

    def record_sent(self, request: RoutingRequest, group_id: str, now_s: float) -> None:
        """Record a request that was sent to a group; unknown groups are ignored."""
        known = self._loads.get(group_id)
        if known is None:
            return
        self._placed[request.request_id] = group_id
        urgent = request.priority == "urgent"
        known.record_sent(
            request.request_id, SentRequest(request.predicted_tokens, urgent, now_s)
        )
        difference = request.predicted_tokens - self._mean_tokens
        self._mean_tokens += MEAN_TOKENS_SMOOTHING * difference

    def record_first_token(self, request_id: str, now_s: float) -> None:
        """Record the arrival of the first token, as a latency sample of the group."""
        group_id = self._placed.get(request_id)
        if group_id is None:
            return
        latency_s = self._loads[group_id].pop_first_token_latency_s(request_id, now_s)
        # What a worker takes that has just started tells nothing about a later time.
        is_usual = not self.slow_start.is_starting(group_id, now_s)
        if latency_s is not None and is_usual:
            self.stragglers.observe(group_id, latency_s, now_s)

    def record_finished(self, request_id: str, now_s: float) -> None:
        """Remove a request that ended, successfully or not."""
        group_id = self._placed.pop(request_id, None)
        if group_id is not None:
            self._loads[group_id].record_finished(request_id)

    def _draw_candidates(
        self, names: list[str], shares: Mapping[str, float]
    ) -> list[str]:
        if len(names) <= CANDIDATE_COUNT:
            drawn = list(names)
        else:
            drawn = self.rng.sample(names, CANDIDATE_COUNT)
        kept = [name for name in drawn if self.rng.random() < shares[name]]
        return kept or [self.rng.choice(names)]

    def _service_shares(self, service: str, now_s: float) -> dict[str, float]:
        known = self._shares.get(service)
        if known is None or known.expires_s <= now_s:
            waits_s = {
                name: self._loads[name].oldest_unanswered_s(now_s)
                for name in self._by_service[service]
            }
            shares = {
                name: share * self.slow_start.share(name, now_s)
                for name, share in self.stragglers.shares(waits_s, now_s).items()
            }
            known = TrafficShares(shares, now_s + SHARES_EXPIRY_S)
            self._shares[service] = known
        return known.shares

    def _cost(self, name: str, request: RoutingRequest, now_s: float) -> float:
        load = self._loads[name]
        pressure = load.pressure(request.predicted_tokens, self._mean_tokens, now_s)
        slots = self._groups[name].slots
        if slots and not load.has_memory:
            pressure += QUEUED_REQUESTS * max(0.0, pressure + 1.0 - slots)
        if self.data_centre and not self._is_near(name):
            pressure += REMOTE_MEMORY if load.has_memory else REMOTE_REQUESTS
        if not request.prefixes:
            return pressure
        held = self.prefixes.held(name, request.prefixes)
        return pressure - PREFIX_HIT_DISCOUNT * held / len(request.prefixes)

    def _is_near(self, name: str) -> bool:
        return self._groups[name].data_centre == self.data_centre

    def _forget(self, group_id: str) -> None:
        self.prefixes.forget(group_id)
        self.stragglers.forget(group_id)
        known = self._loads.pop(group_id, None)
        if known is not None:
            for request_id in known.in_flight:
                self._placed.pop(request_id, None)
