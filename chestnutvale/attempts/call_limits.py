"""Limits on the attempts of one call."""

import attrs

from chestnutvale.attempts.const import (
    MAX_ATTEMPTS,
    STREAM_IDLE_TIMEOUT_S,
)


@attrs.frozen
class CallLimits:
    """Limits on the attempts of a call to a model.

    Attributes
    ----------
    max_attempts : int
        Endpoints that the call may be sent to.
    first_event_timeout_s, gap_timeout_s : float
        Time in seconds without an event after which an attempt is abandoned if the
        call can continue at another group: before the first event, and between two
        events.
    is_resumable : bool
        Whether another group may continue an answer whose stream broke.
    """

    max_attempts: int = MAX_ATTEMPTS
    first_event_timeout_s: float = STREAM_IDLE_TIMEOUT_S
    gap_timeout_s: float = STREAM_IDLE_TIMEOUT_S
    is_resumable: bool = True


DEFAULT_LIMITS = CallLimits()


@attrs.frozen
class ServicePolicy:
    """Limits on the attempts of a call to a service without token streams.

    Attributes
    ----------
    max_attempts : int
        Endpoints that the call may be sent to.
    lingers : bool
        Whether a non-repeatable call continues after its caller got a reply or an
        error, so that the endpoint's answer can still be recorded.
    retries_errors : bool
        Whether a repeatable call is retried at another endpoint after a server error
        (HTTP 5xx).
    """

    max_attempts: int = MAX_ATTEMPTS
    lingers: bool = True
    retries_errors: bool = False


DEFAULT_POLICY = ServicePolicy()
