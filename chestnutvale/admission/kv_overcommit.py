"""Learns how many predicted tokens a token of KV memory can carry."""

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
    """Factor between KV memory and the limit on reserved tokens.

    A reservation holds a request's full length from its start, while the engine
    fills it as it goes; and predictions may be wrong either way. The factor
    rises slowly while demand is held back and memory is left, and falls fast
    when memory fills up or requests queue inside the engines. All entries see
    the same reports, so their factors agree but for lag.

    Attributes
    ----------
    factor : float
        Reserved tokens allowed for each token of KV memory.
    """

    factor: float = 1.0
    _updated_s: float | None = None

    def update(
        self, capacity: ServiceCapacity, total_demand: float, now_s: float
    ) -> None:
        """Take a load report of the whole service.

        Parameters
        ----------
        capacity : ServiceCapacity
            What the groups have and use.
        total_demand : float
            Tokens that all entries together reserve and wait for.
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
            # Nothing is held back, so the factor drifts to neutral.
            self.factor += (1.0 - self.factor) * KV_OVERCOMMIT_RISE_PER_S * step_s
        elif use < KV_TARGET:
            self.factor += KV_OVERCOMMIT_RISE_PER_S * step_s
        self.factor = min(max(self.factor, KV_OVERCOMMIT_MIN), KV_OVERCOMMIT_MAX)

    def _step_s(self, now_s: float) -> float:
        last_s = now_s if self._updated_s is None else self._updated_s
        self._updated_s = now_s
        return min(max(0.0, now_s - last_s), KV_OVERCOMMIT_MAX_STEP_S)
