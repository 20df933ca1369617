"""Decides when an endpoint that sends answers without end is paused."""

import math

import attrs

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.routing.const import (
    ENDLESS_ANSWER_MEMORY_S,
    ENDLESS_ANSWERS_TO_PAUSE,
    MAX_ENDLESS_ANSWER_PAUSE_S,
    MIN_ENDLESS_ANSWER_PAUSE_S,
)


@attrs.define
class _EndlessAnswers:
    """Answers without end of one endpoint since its last whole one."""

    count: int = 0
    pauses: int = 0
    paused_until_s: float = -math.inf
    last_s: float = -math.inf


@attrs.define
class EndlessAnswerTracker:
    """Counts answers that exceeded a limit, by endpoint.

    One such answer may be a property of its request, so an endpoint is paused only
    after several consecutive ones. Each pause is twice as long as the last one, until
    an answer is whole. After a pause a single further one is enough.

    Designed for a few faulty endpoints, each with some hundred calls at a time.
    """

    _by_endpoint: dict[Incarnation, _EndlessAnswers] = attrs.field(factory=dict)

    def record_endless(self, endpoint: Incarnation, now_s: float) -> float:
        """Record an answer without end.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint that sent it.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Time in seconds for which the endpoint should get no requests; 0 for no
            pause.
        """
        self._remove_old(now_s)
        known = self._by_endpoint.setdefault(endpoint, _EndlessAnswers())
        known.last_s = now_s
        if now_s < known.paused_until_s:
            # The request was sent before the pause.
            return 0.0
        known.count += 1
        if known.count < ENDLESS_ANSWERS_TO_PAUSE:
            return 0.0
        pause_s = min(
            MAX_ENDLESS_ANSWER_PAUSE_S, MIN_ENDLESS_ANSWER_PAUSE_S * 2**known.pauses
        )
        known.pauses += 1
        known.paused_until_s = now_s + pause_s
        return pause_s

    def record_whole(self, endpoint: Incarnation) -> None:
        """Record a whole answer, which resets the count.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint that sent it.
        """
        self._by_endpoint.pop(endpoint, None)

    def _remove_old(self, now_s: float) -> None:
        self._by_endpoint = {
            endpoint: known
            for endpoint, known in self._by_endpoint.items()
            if now_s - known.last_s <= ENDLESS_ANSWER_MEMORY_S
        }
