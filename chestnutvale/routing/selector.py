"""Chooses the group that runs a request."""

import random
from collections import Counter
from collections.abc import Collection, Iterable

import attrs

from chestnutvale.routing.const import DEFAULT_REPORT_AGE_S, SHARES_EXPIRY_S
from chestnutvale.routing.load import GroupLoad, SentRequest
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.policies.least_loaded import LeastLoadedPolicy
from chestnutvale.routing.policies.policy import (
    LoadBalancingPolicy,
    Placement,
    PlacementQuery,
)
from chestnutvale.routing.prefixes import PrefixIndex
from chestnutvale.routing.slow_start import SlowStart
from chestnutvale.routing.speed import SpeedTracker
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
    """Keeps what is known of the groups, and lets a policy choose among them.

    Parameters
    ----------
    rng : random.Random
        Source of the candidates; seeded differently at each entry, so that entries
        don't all choose the same group.
    data_centre : str, optional
        Data centre of this entry. Among equally loaded groups, those in the same data
        centre are preferred, as traffic between data centres is slower and more costly.
    policy : LoadBalancingPolicy, optional
        Chooses among the groups that may run a request.

    Attributes
    ----------
    entry_count : int
        Number of live entries, including this one.
    choice_counts : Counter
        Number of choices by policy and reason.
    """

    rng: random.Random
    data_centre: str = ""
    policy: LoadBalancingPolicy = attrs.field(factory=LeastLoadedPolicy)
    entry_count: int = 1
    choice_counts: Counter[str] = attrs.field(factory=Counter)
    speeds: SpeedTracker = attrs.field(factory=SpeedTracker)
    prefixes: PrefixIndex = attrs.field(factory=PrefixIndex)
    stragglers: StragglerDetector = attrs.field(factory=StragglerDetector)
    slow_start: SlowStart = attrs.field(factory=SlowStart)
    _groups: dict[str, RoutableGroup] = attrs.field(factory=dict)
    _by_service: dict[str, list[str]] = attrs.field(factory=dict)
    _loads: dict[str, GroupLoad] = attrs.field(factory=dict)
    _placed: dict[str, str] = attrs.field(factory=dict)
    _shares: dict[str, TrafficShares] = attrs.field(factory=dict)
    _mean_tokens: float = DEFAULT_MEAN_TOKENS

    def update_groups(
        self, groups: Iterable[RoutableGroup], now_s: float = float("-inf")
    ) -> None:
        """Replace the set of serving groups; all others get no new requests.

        Parameters
        ----------
        groups : iterable of RoutableGroup
            All serving groups.
        now_s : float, optional
            Monotonic time in seconds. Groups that appear after the first ones are new
            from then on; by default, none is.
        """
        since_s = now_s if self._groups else float("-inf")
        new = {group.group_id: group for group in groups}
        for group_id, group in self._groups.items():
            if group_id not in new or new[group_id].epoch != group.epoch:
                self._forget(group_id)
        self._groups = new
        self._by_service = {}
        self._shares = {}
        for group in new.values():
            self._by_service.setdefault(group.service, []).append(group.group_id)
            self._loads.setdefault(group.group_id, GroupLoad(since_s=since_s))

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
        placement = self.place(request, now_s)
        return placement.group_id if placement is not None else None

    def place(self, request: RoutingRequest, now_s: float) -> Placement | None:
        """Choose the group that should run the request.

        Parameters
        ----------
        request : RoutingRequest
            The request.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Placement or None
            The group and why the policy chose it; None if no group is eligible.
        """
        names = self._by_service.get(request.service, [])
        if request.excluded_groups:
            names = [name for name in names if name not in request.excluded_groups]
        if not names:
            return None
        query = PlacementQuery(
            request=request,
            names=names,
            shares=self._service_shares(request.service, now_s),
            groups=self._groups,
            loads=self._loads,
            prefixes=self.prefixes,
            speeds=self.speeds,
            mean_tokens=self._mean_tokens,
            data_centre=self.data_centre,
            entry_count=self.entry_count,
            now_s=now_s,
        )
        placement = self.policy.choose(query, self.rng)
        self.choice_counts[f"{placement.policy}:{placement.reason}"] += 1
        return placement

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

    def record_answer(
        self, request_id: str, run_s: float, unit_s: float | None
    ) -> None:
        """Record a complete answer, as a sample of the speed of its group.

        Parameters
        ----------
        request_id : str
            The request, before `record_finished`.
        run_s : float
            Time from the send to the end of the answer in seconds.
        unit_s : float or None
            Time per event after the first one in seconds; None if not measured.
        """
        group_id = self._placed.get(request_id)
        if group_id is not None:
            self.speeds.observe(group_id, run_s, unit_s)

    def record_finished(self, request_id: str, now_s: float) -> None:
        """Remove a request that ended, successfully or not."""
        group_id = self._placed.pop(request_id, None)
        if group_id is not None:
            self._loads[group_id].record_finished(request_id)

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

    def _forget(self, group_id: str) -> None:
        self.prefixes.forget(group_id)
        self.stragglers.forget(group_id)
        self.speeds.forget(group_id)
        known = self._loads.pop(group_id, None)
        if known is not None:
            for request_id in known.in_flight:
                self._placed.pop(request_id, None)
