"""Admission at one entry, over all services."""

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


@attrs.define
class AdmissionController:
    """Decides for one entry which requests run, wait or are refused.

    Every offered request that is not withdrawn gets exactly one `Admit` or
    `Refuse`; an admitted one must be released.

    Parameters
    ----------
    rng : random.Random
        Seeded source of jitter.
    make_pacer : callable
        Makes the pacer of a service from `rng`.
    """

    rng: random.Random
    make_pacer: Callable[[random.Random], RetryPacer] = RetryPacer
    _weights: dict[str, float] = attrs.field(factory=dict)
    _services: dict[str, ServiceAdmission] = attrs.field(factory=dict)
    _service_of: dict[str, str] = attrs.field(factory=dict)
    _entry_count: int = 1
    _ticked_s: float = 0.0

    def configure(
        self, weights: Mapping[str, float], limits: Mapping[str, ServiceLimits]
    ) -> None:
        """Install the weights of workspaces and the limits of services.

        Parameters
        ----------
        weights : mapping of str to float
            Weight of each workspace, above zero.
        limits : mapping of str to ServiceLimits
            Every service that may be called.
        """
        self._weights = dict(weights)
        for name, service_limits in limits.items():
            service = self._services.get(name)
            if service is None:
                service = ServiceAdmission(service_limits, self.make_pacer(self.rng))
                service.entry_count = self._entry_count
                self._services[name] = service
            service.limits = service_limits
            service.weights = self._weights
            service.predictor.forget(set(weights))
            service.update_shares()
        for name in set(self._services) - set(limits):
            self._services[name].capacity = ServiceCapacity(0, 0)
            self._services[name].update_shares()

    def set_entry_count(self, count: int) -> None:
        """Tell over how many entries the capacities are shared."""
        self._entry_count = max(1, count)
        for service in self._services.values():
            service.entry_count = self._entry_count
            service.update_shares()

    def set_capacity(
        self, service: str, capacity: ServiceCapacity, now_s: float
    ) -> None:
        """Tell what the serving groups of a service have."""
        admission = self._services.get(service)
        if admission is None:
            return
        admission.set_capacity(capacity, now_s)

    def set_peer_running(self, service: str, running: float, now_s: float) -> None:
        """Tell what the other entries run of a service at this moment."""
        admission = self._services.get(service)
        if admission is not None:
            admission.set_peer_running(running, now_s)

    def set_demand(self, own: Iterable[Demand], total: Iterable[Demand]) -> None:
        """Take the demand of all entries from the control.

        Parameters
        ----------
        own : iterable of Demand
            This entry's demand as it stood in the report that is answered.
        total : iterable of Demand
            Demand summed over all entries.
        """
        own_by_service = _group_by_service(own)
        total_by_service = _group_by_service(total)
        for name, admission in self._services.items():
            admission.own_demand = own_by_service.get(name, {})
            admission.total_demand = total_by_service.get(name, {})
            admission.update_shares()

    def offer(self, request: AdmissionRequest, now_s: float) -> list[Effect]:
        """Take a new request; its own effect is the last one returned for it."""
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
        """Tell how long the answer of a running request is by now."""
        service = self._service(request_id)
        if service is not None:
            service.progress(request_id, output_tokens)

    def release(self, request_id: str, used_tokens: int, now_s: float) -> list[Effect]:
        """End a running request.

        Parameters
        ----------
        request_id : str
            The request.
        used_tokens : int
            Output tokens that were generated for it.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Effect
            Waiting requests that may run now.
        """
        service = self._service(request_id)
        if service is None or request_id not in service.running:
            return []
        del self._service_of[request_id]
        return self._drop_refused(service.release(request_id, used_tokens, now_s))

    def withdraw(self, request_id: str, now_s: float) -> list[Effect]:
        """Forget a request whose caller hung up; nothing is learnt from it."""
        service = self._service(request_id)
        if service is None:
            return []
        del self._service_of[request_id]
        return self._drop_refused(service.withdraw(request_id, now_s))

    def tick(self, now_s: float) -> list[Effect]:
        """Refuse what can't be met any more and admit what may run now."""
        self._ticked_s = now_s
        effects: list[Effect] = []
        for service in self._services.values():
            effects += service.tick(now_s)
        return self._drop_refused(effects)

    @property
    def next_deadline_s(self) -> float | None:
        """Monotonic time at which `tick` is wanted; None if nothing waits."""
        if not any(service.queue.count for service in self._services.values()):
            return None
        return self._ticked_s + TICK_INTERVAL_S

    def demand(self) -> list[Demand]:
        """Return reserved and queued tokens per service and workspace."""
        return largest_demands(
            demand
            for name, service in self._services.items()
            for demand in service.demand(name)
        )

    def describe(self, service: str) -> dict[str, float]:
        """Return what decides about a service's requests now, for the log.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        dict of str to float
            Groups, this entry's limit, and what it holds and lets wait.
        """
        admission = self._services.get(service)
        if admission is None:
            return {}
        return {
            "groups": admission.capacity.groups,
            "limit": round(admission.limit, 2),
            "reserved": admission.reserved,
            "queued": admission.queue.count,
            "entries": admission.entry_count,
        }

    def reserved_tokens(self, service: str) -> int:
        """Return the tokens that running requests of a service hold."""
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
