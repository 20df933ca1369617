"""Capacity of a service in the units in which its requests are reserved."""

import attrs

from chestnutvale.admission.messages import ServiceCapacity, ServiceLimits
from chestnutvale.admission.pacing import HoldTimeEstimator


@attrs.define
class CapacityUnits:
    """Converts capacity to tokens, or to slots for a service without KV cache.

    It remembers the KV cache memory of a group for the time without load reports.
    """

    _known_tokens_per_group: int = 0

    def complete(self, capacity: ServiceCapacity) -> ServiceCapacity:
        """Return a capacity with the memory of groups whose reports are delayed.

        These groups still have their KV cache. Treating the service as one without KV
        cache would compare slots with reserved tokens.
        """
        if capacity.kv_capacity_tokens:
            self._known_tokens_per_group = capacity.kv_capacity_tokens // max(
                1, capacity.groups
            )
            return capacity
        known = self._known_tokens_per_group * capacity.groups
        return attrs.evolve(capacity, kv_capacity_tokens=known)

    def is_slot_limited(self, capacity: ServiceCapacity) -> bool:
        """Tell whether requests are counted, and not their tokens."""
        if capacity.limited.count and self._known_tokens_per_group:
            return False
        return capacity.kv_capacity_tokens == 0

    def total(
        self, capacity: ServiceCapacity, limits: ServiceLimits, kv_factor: float
    ) -> float:
        """Return the capacity of all groups without a rate limit.

        `kv_factor` is the learnt factor on the KV cache memory.
        """
        if self.is_slot_limited(capacity):
            return limits.overcommit * capacity.groups * limits.slots_per_group
        return kv_factor * capacity.kv_capacity_tokens

    def awaited(
        self, capacity: ServiceCapacity, limits: ServiceLimits, kv_factor: float
    ) -> float:
        """Return the capacity of the groups that a new leader has yet to hear."""
        if not capacity.awaited_groups:
            return 0.0
        if self._known_tokens_per_group:
            return kv_factor * self._known_tokens_per_group * capacity.awaited_groups
        return limits.overcommit * capacity.awaited_groups * limits.slots_per_group

    def limited(
        self,
        capacity: ServiceCapacity,
        limits: ServiceLimits,
        kv_factor: float,
        hold_times: HoldTimeEstimator,
    ) -> float:
        """Return what this entry's shares in rate limits keep busy, by Little's law."""
        limited = capacity.limited
        busy = limited.share_per_s * hold_times.hold_s * hold_times.mean_cost()
        if self.is_slot_limited(capacity):
            places = limits.overcommit * limits.slots_per_group
        else:
            places = kv_factor * self._known_tokens_per_group
        return min(busy, limited.count * places)
