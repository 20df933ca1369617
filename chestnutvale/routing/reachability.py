"""Detects that an entry reaches no endpoint, while other entries may."""

import attrs

from chestnutvale.routing.const import (
    ISOLATION_ENDPOINTS,
    UNREACHABLE_RETENTION_S,
)


@attrs.define
class EndpointReachability:
    """Judges by new connections whether this entry reaches any endpoint.

    It answers a partition of this entry from all endpoints, and no fault of a few of
    them: connections to several endpoints fail, and none succeeds. Connections that
    are kept open say nothing, since they may live on while new ones are refused.

    Attributes
    ----------
    is_isolated : bool
        Whether the entry reaches no endpoint, as far as it knows.
    """

    is_isolated: bool = False
    _failed_at_s: dict[str, float] = attrs.field(factory=dict)

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
        self._failed_at_s[address] = now_s
        self._failed_at_s = {
            key: failed_at_s
            for key, failed_at_s in self._failed_at_s.items()
            if now_s - failed_at_s <= UNREACHABLE_RETENTION_S
        }
        was_isolated = self.is_isolated
        if len(self._failed_at_s) >= ISOLATION_ENDPOINTS:
            self.is_isolated = True
        return self.is_isolated and not was_isolated

    def record_success(self) -> bool:
        """Record a connection that was opened.

        Returns
        -------
        bool
            Whether the entry was isolated until now.
        """
        self._failed_at_s.clear()
        was_isolated, self.is_isolated = self.is_isolated, False
        return was_isolated
