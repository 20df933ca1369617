"""Order of urgent and other requests of one service at one entry."""

import attrs

from chestnutvale.admission.const import (
    PRIORITY_BATCH,
    PRIORITY_NORMAL,
    PRIORITY_URGENT,
)
from chestnutvale.admission.fair_queue import FairQueue, WaitingRequest


@attrs.define
class ClassOrder:
    """Chooses between urgent and other waiting requests."""

    _credit: float = 0.0

    def next_to_admit(
        self, queue: FairQueue, is_urgent_over: bool
    ) -> WaitingRequest | None:
        """Return the waiting request to admit next, or None.

        Urgent requests come first unless `is_urgent_over`: they hold their share.
        """
        urgent = queue.head(PRIORITY_URGENT)
        other = queue.head(PRIORITY_NORMAL, PRIORITY_BATCH)
        if urgent is None or other is None:
            return urgent or other
        return other if is_urgent_over or self._credit >= other.cost else urgent

    def update_credit(
        self, waiter: WaitingRequest, queue: FairQueue, urgent_share: float
    ) -> None:
        """Update the tokens owed to other requests for the urgent ones served first.

        Capping the tokens held by urgent requests is not enough: if the remaining
        capacity is smaller than one request, the others would starve. Once their
        credit covers the cost of the next one, it is admitted first.
        """
        if waiter.request.priority != PRIORITY_URGENT:
            self._credit = max(0.0, self._credit - waiter.cost)
        elif queue.head(PRIORITY_NORMAL, PRIORITY_BATCH) is not None:
            share = max(urgent_share, 0.01)
            self._credit += waiter.cost * (1 - share) / share
