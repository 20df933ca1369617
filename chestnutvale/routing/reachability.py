"""Detects that an entry reaches no endpoint, while other entries may."""

import math

import attrs

from chestnutvale.routing.const import (
    ISOLATION_CONFIRMATION_S,
    ISOLATION_ENDPOINTS,
    ISOLATION_MEMORY_S,
    RECONNECTION_ENDPOINTS,
    UNREACHABLE_RETENTION_S,
)


@attrs.define
class EndpointReachability:
    """Judges by new connections whether this entry reaches any endpoint.

    It answers a partition of this entry from all endpoints, and no fault of a few of
    them: connections to several endpoints fail, and none succeeds for a moment in which
    the owner probes others, since all endpoints of a small service may be down.
    Connections that are kept open say nothing, since they may live on while new ones
    are refused. An entry that reaches only one of many endpoints is better served by
    its peers, so that isolation ends with successes at several, without a failure in
    between.

    Attributes
    ----------
    is_isolated : bool
        Whether the entry reaches no endpoint, as far as it knows.
    """

    is_isolated: bool = False
    _failed_at_s: dict[str, float] = attrs.field(factory=dict)
    _reached: set[str] = attrs.field(factory=set)
    # Time of the first failure since the last success.
    _failing_since_s: float = math.inf
    _ended_at_s: float = -math.inf

    def record_failure(self, address: str, now_s: float) -> bool:
        """Record a connection that could not be opened.

        Parameters
        ----------
        address : str
            IP address and port of the endpoint.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the entry has become isolated.
        """
        self._reached.clear()
        self._failed_at_s[address] = now_s
        self._failed_at_s = {
            key: failed_at_s
            for key, failed_at_s in self._failed_at_s.items()
            if now_s - failed_at_s <= UNREACHABLE_RETENTION_S
        }
        if len(self._failed_at_s) == 1:
            self._failing_since_s = now_s
        was_isolated = self.is_isolated
        if (
            len(self._failed_at_s) >= ISOLATION_ENDPOINTS
            and now_s - self._failing_since_s >= ISOLATION_CONFIRMATION_S
        ):
            self.is_isolated = True
        return self.is_isolated and not was_isolated

    def record_success(
        self, address: str, now_s: float, endpoint_count: int = RECONNECTION_ENDPOINTS
    ) -> bool:
        """Record a connection that was opened.

        Parameters
        ----------
        address : str
            IP address and port of the endpoint.
        now_s : float
            Monotonic time in seconds.
        endpoint_count : int, optional
            Number of endpoints that there are; a single one is enough if no other is
            left.

        Returns
        -------
        bool
            Whether the entry was isolated until now.
        """
        self._failed_at_s.clear()
        self._failing_since_s = math.inf
        if not self.is_isolated:
            return False
        self._reached.add(address)
        if len(self._reached) < min(RECONNECTION_ENDPOINTS, endpoint_count):
            return False
        self._reached.clear()
        self.is_isolated = False
        self._ended_at_s = now_s
        return True

    def was_isolated(self, now_s: float) -> bool:
        """Tell whether the entry is isolated, or was so a moment ago.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True for calls that found no endpoint and end just after the isolation.
        """
        return self.is_isolated or now_s - self._ended_at_s <= ISOLATION_MEMORY_S
