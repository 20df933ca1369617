"""Longest time for which calls may run, by the recent configurations."""

import math

import attrs

from chestnutvale.configuration.const import MAX_ROUTED_CALL_S
from chestnutvale.schema.configuration_pb2 import Text


@attrs.define
class CallTimeLimits:
    """Tracks the longest time limit of calls that may still run.

    Callers of the project's own interface may ask for more than the default of the
    service; what lies beyond `MAX_ROUTED_CALL_S` is not considered.

    Entries accept calls under a previous text until their leases end, so its limit
    applies for that time and then for as long as such a call may run.

    Parameters
    ----------
    serving_lease_s : float
        Serving lease of entries in seconds.
    """

    serving_lease_s: float
    _number: int | None = None
    _has_unseen_texts: bool = False
    _limit_s: float = 0.0
    _earlier_limit_s: float = 0.0
    _earlier_until_s: float = -math.inf

    def reset(self) -> None:
        """Assume the longest limit for the texts before the next observation.

        Another control may have led until now, with texts that are unknown here.
        """
        self._number = None
        self._has_unseen_texts = True

    def observe(self, text: Text, now_s: float, *, has_pools: bool = False) -> None:
        """Record the text in force.

        Parameters
        ----------
        text : Text
            Configuration in force.
        now_s : float
            Monotonic time in seconds.
        has_pools : bool, optional
            Whether there are groups of pools. These serve routed calls, also if the
            text has no routes any more.
        """
        if text.number == self._number:
            return
        if self._number is not None:
            self._keep_limit(self._limit_s, now_s)
        elif self._has_unseen_texts and (text.routes or has_pools):
            self._keep_limit(MAX_ROUTED_CALL_S, now_s)
        self._number = text.number
        self._limit_s = min(_find_longest_ms(text) / 1_000, MAX_ROUTED_CALL_S)

    def longest_s(self, now_s: float) -> float:
        """Return the longest time limit of calls that may still run.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Time in seconds; 0 if no text had a route or the default of a service.
        """
        if now_s > self._earlier_until_s:
            return self._limit_s
        return max(self._limit_s, self._earlier_limit_s)

    def _keep_limit(self, limit_s: float, now_s: float) -> None:
        if now_s > self._earlier_until_s:
            self._earlier_limit_s = 0.0
        self._earlier_limit_s = max(self._earlier_limit_s, limit_s)
        until_s = now_s + self.serving_lease_s + limit_s
        self._earlier_until_s = max(self._earlier_until_s, until_s)


def _find_longest_ms(text: Text) -> int:
    routed = (route.timeout_ms for route in text.routes)
    own = (service.limits.default_deadline_ms for service in text.services.values())
    return max([*routed, *own], default=0)
