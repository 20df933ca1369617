"""Timeouts of callers' connections from the configuration in force."""

from chestnutvale.http_server.timeouts import MS_PER_S, ConnectionTimeouts
from chestnutvale.programs.entry.const import CALLER_TIMEOUT_MARGIN_S
from chestnutvale.programs.entry.context import CallContext
from chestnutvale.schema.settings_pb2 import HttpLimits


class CallerTimeouts:
    """Reads the timeouts of the configuration in force.

    Each timeout is a margin longer than the configuration states, because a caller may
    use all of the time that it was promised.

    Parameters
    ----------
    context : CallContext
        Has the configuration in force.
    limits : HttpLimits
        Limits of the settings, for timeouts that the configuration does not set.
    """

    def __init__(self, context: CallContext, limits: HttpLimits) -> None:
        self._context = context
        self._defaults = ConnectionTimeouts.from_limits(limits)

    def read(self) -> ConnectionTimeouts:
        """Return the timeouts in force.

        Returns
        -------
        ConnectionTimeouts
            The timeouts of callers' connections.
        """
        limits = self._context.text.caller_limits
        return ConnectionTimeouts(
            idle_s=_with_margin_s(limits.idle_timeout_ms, self._defaults.idle_s),
            head_s=_with_margin_s(limits.header_timeout_ms, self._defaults.head_s),
        )


def _with_margin_s(timeout_ms: int, default_s: float) -> float:
    if not timeout_ms:
        return default_s
    return timeout_ms / MS_PER_S + CALLER_TIMEOUT_MARGIN_S
