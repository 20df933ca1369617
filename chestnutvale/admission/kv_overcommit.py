"""Adapts how many tokens may be reserved for each token of KV cache memory."""

import attrs

from chestnutvale.admission.const import (
    ENGINE_WAITING_HIGH,
    KV_HIGH,
    KV_OVERCOMMIT_FALL_PER_S,
    KV_OVERCOMMIT_MAX,
    KV_OVERCOMMIT_MAX_STEP_S,
    KV_OVERCOMMIT_MIN,
    KV_OVERCOMMIT_RISE_PER_S,
    KV_TARGET,
)
from chestnutvale.admission.messages import ServiceCapacity


@attrs.define
class KvOvercommit:
    """Overcommit factor from KV cache memory to the limit on reserved tokens.

    A reservation covers the full predicted length of a request from the start,
    while the engine fills its KV cache gradually, and the prediction may be too
    high or too low. The factor rises slowly while requests are queued and memory
    is free. It falls quickly when memory runs out or requests queue inside the
    engines. All entries receive the same load reports, so their factors differ
    only by the reporting delay.

    Attributes
    ----------
    factor : float
        Reserved tokens allowed per token of KV cache memory.
    """

    factor: float = 1.0
    _updated_s: float | None = None

    def update(
        self, capacity: ServiceCapacity, total_demand: float, now_s: float
    ) -> None:
        """Adjust the factor to a load report of the whole service.

        Parameters
        ----------
        capacity : ServiceCapacity
            Capacity and usage summed over the serving groups.
        total_demand : float
            Reserved and queued tokens, summed over all entries.
        now_s : float
            Monotonic time in seconds.
        """
        step_s = self._step_s(now_s)
        if not capacity.kv_capacity_tokens:
            return
        use = capacity.kv_used_tokens / capacity.kv_capacity_tokens
        in_engines = capacity.running + capacity.waiting
        is_queueing = capacity.waiting > ENGINE_WAITING_HIGH * max(1, in_engines)
        if use > KV_HIGH or is_queueing:
            self.factor *= 1 - KV_OVERCOMMIT_FALL_PER_S * step_s
        elif total_demand < self.factor * capacity.kv_capacity_tokens:
            # The limit does not bind, so the factor returns to 1.
            self.factor += (1.0 - self.factor) * KV_OVERCOMMIT_RISE_PER_S * step_s
        elif use < KV_TARGET:
            self.factor += KV_OVERCOMMIT_RISE_PER_S * step_s
        self.factor = min(max(self.factor, KV_OVERCOMMIT_MIN), KV_OVERCOMMIT_MAX)

    def _step_s(self, now_s: float) -> float:
        last_s = now_s if self._updated_s is None else self._updated_s
        self._updated_s = now_s
        return min(max(0.0, now_s - last_s), KV_OVERCOMMIT_MAX_STEP_S)
