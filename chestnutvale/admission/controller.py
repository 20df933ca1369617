"""Admission control of one entry over all services."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from chestnutvale.admission.const import (
    CODE_DUPLICATE,
    CODE_NO_CAPACITY,
    DEFAULT_WEIGHT,
    TICK_INTERVAL_S,
)
from chestnutvale.admission.demand import largest_demands
from chestnutvale.admission.lent_places import LentPlaces
from chestnutvale.admission.messages import (
    AdmissionRequest,
    Demand,
    Effect,
    Refuse,
    ServiceCapacity,
    ServiceLimits,
)
from chestnutvale.admission.pacing import RetryPacer
from chestnutvale.admission.service import ServiceAdmission
from chestnutvale.admission.service_flow import ServiceFlow


@attrs.define
class AdmissionController:
    """Decides for one entry which requests run, wait or are refused.

    Every offered request that is not withdrawn gets exactly one `Admit` or
    `Refuse`. The caller must release each admitted request.

    Parameters
    ----------
    rng : random.Random
        Source of jitter; seeded, so that decisions can be reproduced.
    make_pacer : callable
        Factory that creates the retry pacer of a service from `rng`.
    make_service : callable
        Factory that creates the admission control of a service.
    lends_places : bool
        Whether the places of services without KV cache memory are lent to whichever
        entry has callers, rather than divided between the entries.
    """

    rng: random.Random
    make_pacer: Callable[[random.Random], RetryPacer] = RetryPacer
    make_service: Callable[[ServiceLimits, RetryPacer], ServiceAdmission] = (
        ServiceAdmission
    )
    lends_places: bool = False
    _weights: dict[str, float] = attrs.field(factory=dict)
    _services: dict[str, ServiceAdmission] = attrs.field(factory=dict)
    _service_of: dict[str, str] = attrs.field(factory=dict)
    _entry_count: int = 1
    _ticked_s: float = 0.0

    def configure(
        self, weights: Mapping[str, float], limits: Mapping[str, ServiceLimits]
    ) -> None:
        """Set the weights of workspaces and the limits of services.

        Services that are missing from `limits` lose their capacity, so that their
        queued requests are refused at the next tick.

        Parameters
        ----------
        weights : mapping of str to float
            Weight of each workspace, greater than zero.
        limits : mapping of str to ServiceLimits
            Limits of every service that may be called.
        """
        self._weights = dict(weights)
        for name, service_limits in limits.items():
            service = self._services.get(name)
            if service is None:
                service = self.make_service(service_limits, self.make_pacer(self.rng))
                service.entry_count = self._entry_count
                if self.lends_places:
                    service.lent = LentPlaces(self.rng, service.first_event)
                self._services[name] = service
            service.limits = service_limits
            service.weights = self._weights
            service.predictor.forget(set(weights))
            service.update_shares()
        for name in set(self._services) - set(limits):
            self._services[name].capacity = ServiceCapacity(0, 0)
            self._services[name].update_shares()

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries that share each capacity."""
        if self._entry_count == max(1, count):
            return
        self._entry_count = max(1, count)
        for service in self._services.values():
            service.entry_count = self._entry_count
            service.update_shares()

    def set_capacity(
        self, service: str, capacity: ServiceCapacity, now_s: float
    ) -> None:
        """Update the capacity of a service; unknown services are ignored."""
        admission = self._services.get(service)
        if admission is None:
            return
        admission.set_capacity(capacity, now_s)

    def set_peer_running(self, service: str, running: float, now_s: float) -> None:
        """Update the requests of a service that run through other entries."""
        admission = self._services.get(service)
        if admission is not None:
            admission.set_peer_running(running, now_s)

    def set_demand(self, own: Iterable[Demand], total: Iterable[Demand]) -> None:
        """Update the demand of all entries from a reply of the control plane.

        Parameters
        ----------
        own : iterable of Demand
            This entry's demand in the report that the reply answers.
        total : iterable of Demand
            Demand summed over all live entries.
        """
        own_by_service = _group_by_service(own)
        total_by_service = _group_by_service(total)
        for name, admission in self._services.items():
            admission.own_demand = own_by_service.get(name, {})
            admission.total_demand = total_by_service.get(name, {})
            admission.update_shares()
            if admission.lent is not None:
                totals = admission.total_demand.items()
                rates = {name: d.calls_per_s for name, d in totals if d.calls_per_s}
                admission.lent.lending.set_fleet_rates(rates)

    def set_fleet_flow(self, flow: ServiceFlow, now_s: float) -> None:
        """Update the calls per second of all entries for a service.

        Must follow `set_peer_running` with the counts that were sent with it.
        """
        admission = self._services.get(flow.service)
        if admission is not None:
            admission.set_fleet_flow(flow, now_s)

    def observe_first_event(self, service: str, first_event_s: float) -> None:
        """Add the time in seconds from the send of a call to its first event."""
        admission = self._services.get(service)
        if admission is not None:
            admission.first_event.observe(first_event_s)

    def flows(self, now_s: float) -> list[ServiceFlow]:
        """Return this entry's calls per second; empty if places are not lent."""
        return [
            admission.lent.flow(name, now_s)
            for name, admission in self._services.items()
            if admission.lent is not None
        ]

    def offer(self, request: AdmissionRequest, now_s: float) -> list[Effect]:
        """Admit, queue or refuse a new request.

        The effect on the request itself is the last in the list that carries its id;
        the others concern requests that were evicted or admitted along with it.
        """
        service = self._services.get(request.service)
        if service is None:
            return [Refuse(request.request_id, CODE_NO_CAPACITY, 0.0)]
        if request.request_id in self._service_of:
            return [Refuse(request.request_id, CODE_DUPLICATE, 0.0)]
        self._service_of[request.request_id] = request.service
        if request.workspace not in self._weights:
            self._weights[request.workspace] = DEFAULT_WEIGHT
            service.update_shares()
        return self._drop_refused(service.offer(request, now_s))

    def progress(self, request_id: str, output_tokens: int) -> None:
        """Update the number of output tokens of a running request so far."""
        service = self._service(request_id)
        if service is not None:
            service.progress(request_id, output_tokens)

    def release(self, request_id: str, used_tokens: int, now_s: float) -> list[Effect]:
        """Release the reservation of a running request that ended.

        Parameters
        ----------
        request_id : str
            The request.
        used_tokens : int
            Output tokens generated; used for later predictions.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Effect
            Effects on waiting requests, some of which may run now.
        """
        service = self._service(request_id)
        if service is None or request_id not in service.running:
            return []
        del self._service_of[request_id]
        return self._drop_refused(service.release(request_id, used_tokens, now_s))

    def withdraw(self, request_id: str, now_s: float) -> list[Effect]:
        """Remove a request whose caller disconnected, waiting or running."""
        service = self._service(request_id)
        if service is None:
            return []
        del self._service_of[request_id]
        return self._drop_refused(service.withdraw(request_id, now_s))

    def tick(self, now_s: float) -> list[Effect]:
        """Refuse waiting requests that can't meet their deadline; admit others."""
        self._ticked_s = now_s
        effects: list[Effect] = []
        for service in self._services.values():
            effects += service.tick(now_s)
        return self._drop_refused(effects)

    @property
    def next_deadline_s(self) -> float | None:
        """Monotonic time in seconds at which `tick` is due; None if nothing waits."""
        if not any(service.queue.count for service in self._services.values()):
            return None
        return self._ticked_s + TICK_INTERVAL_S

    def demand(self, now_s: float = 0.0) -> list[Demand]:
        """Return the largest demands per service and workspace, for a report.

        `now_s` is the monotonic time in seconds; it matters only if places are lent.
        """
        return largest_demands(
            demand
            for name, service in self._services.items()
            for demand in service.demand(name, now_s)
        )

    def describe(self, service: str) -> dict[str, float]:
        """Return the state behind admission decisions of a service, for the log.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        dict of str to float
            Number of groups and entries, this entry's limit and reserved tokens, and
            the number of queued requests; this entry's part of the groups that a new
            leader has yet to hear; where places are lent, the calls per second that all
            entries may admit and that ask them for a place. Empty if the service is
            unknown.
        """
        admission = self._services.get(service)
        if admission is None:
            return {}
        state = {
            "groups": admission.capacity.groups,
            "limit": round(admission.limit, 2),
            "reserved": admission.reserved,
            "queued": admission.queue.count,
            "entries": admission.entry_count,
        }
        if admission.awaited:
            state["awaited"] = round(admission.awaited, 2)
        if admission.lent is not None:
            lending = admission.lent.lending
            state["lent_per_s"] = round(lending.admission_rate, 2)
            state["offered_per_s"] = round(lending.offered_per_s, 2)
        return state

    def reserved_tokens(self, service: str) -> int:
        """Return the tokens reserved by running requests of a service."""
        admission = self._services.get(service)
        return admission.reserved if admission else 0

    def _service(self, request_id: str) -> ServiceAdmission | None:
        return self._services.get(self._service_of.get(request_id, ""))

    def _drop_refused(self, effects: Sequence[Effect]) -> list[Effect]:
        for effect in effects:
            if isinstance(effect, Refuse):
                self._service_of.pop(effect.request_id, None)
        return list(effects)


def _group_by_service(demands: Iterable[Demand]) -> dict[str, dict[str, Demand]]:
    grouped: dict[str, dict[str, Demand]] = {}
    for demand in demands:
        grouped.setdefault(demand.service, {})[demand.workspace] = demand
    return grouped
