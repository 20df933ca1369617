"""What the attempts of one call may do."""

import attrs

from chestnutvale.attempts.const import (
    MAX_ATTEMPTS,
    STREAM_IDLE_TIMEOUT_S,
)


@attrs.frozen
class CallLimits:
    """Bounds of one call's attempts.

    Attributes
    ----------
    max_attempts : int
        Endpoints that the call may be sent to.
    first_event_timeout_s, gap_timeout_s : float
        Silence in seconds of a stream that ends an attempt: before its first event,
        and between two events.
    is_resumable : bool
        Whether an answer that broke off may be continued elsewhere.
    """

    max_attempts: int = MAX_ATTEMPTS
    first_event_timeout_s: float = STREAM_IDLE_TIMEOUT_S
    gap_timeout_s: float = STREAM_IDLE_TIMEOUT_S
    is_resumable: bool = True


DEFAULT_LIMITS = CallLimits()


@attrs.frozen
class ServicePolicy:
    """What the attempts of a call to a plain service may do.

    Attributes
    ----------
    max_attempts : int
        Endpoints that the call may be sent to.
    lingers : bool
        Whether a call that may not be repeated goes on after its caller was
        answered, so that its answer can still be recorded.
    retries_errors : bool
        Whether a call that may be repeated goes to another endpoint after an answer
        that says the endpoint failed.
    """

    max_attempts: int = MAX_ATTEMPTS
    lingers: bool = True
    retries_errors: bool = False


DEFAULT_POLICY = ServicePolicy()
