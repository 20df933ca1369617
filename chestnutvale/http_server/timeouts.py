"""Timeouts of a server's connections while no request runs on them."""

from collections.abc import Callable

import attrs

from chestnutvale.schema.settings_pb2 import HttpLimits

MS_PER_S = 1_000


@attrs.frozen
class ConnectionTimeouts:
    """Timeouts that may change while the server runs.

    Attributes
    ----------
    idle_s : float
        Time in seconds for which a connection may wait for its next request.
    head_s : float
        Time in seconds from the first byte of a request to the end of its head.
    """

    idle_s: float
    head_s: float

    @classmethod
    def from_limits(cls, limits: HttpLimits) -> "ConnectionTimeouts":
        """Return the timeouts of the settings.

        Parameters
        ----------
        limits : HttpLimits
            Limits of the settings.

        Returns
        -------
        ConnectionTimeouts
            The idle timeout of the limits, for the head too.
        """
        timeout_s = limits.idle_timeout_ms / MS_PER_S
        return cls(idle_s=timeout_s, head_s=timeout_s)


ReadTimeouts = Callable[[], ConnectionTimeouts]
