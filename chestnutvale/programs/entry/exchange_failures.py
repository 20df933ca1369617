"""Converts failures of an exchange with an endpoint to events of its attempt."""

from chestnutvale.attempts.const import (
    REFUSAL_OVERLOADED,
    REFUSAL_UNAVAILABLE,
    REFUSAL_UNREACHABLE,
)
from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallEvent,
    Tick,
)
from chestnutvale.attempts.exceptions import StreamFormatError
from chestnutvale.exceptions import ChestnutError
from chestnutvale.programs.entry.exceptions import (
    AnswerTooLargeError,
    EndpointBrokenError,
    EndpointRefusedError,
    EndpointSilentError,
    EndpointUnavailableError,
    EndpointUnreachableError,
)

# The errors that `make_failure_event` converts.
EXCHANGE_ERRORS = (
    AnswerTooLargeError,
    EndpointBrokenError,
    EndpointRefusedError,
    EndpointSilentError,
    EndpointUnavailableError,
    EndpointUnreachableError,
    StreamFormatError,
)


def make_failure_event(attempt_id: str, error: ChestnutError) -> CallEvent:
    """Convert the failure of an exchange to an event of its attempt.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    error : ChestnutError
        One of `EXCHANGE_ERRORS`.

    Returns
    -------
    CallEvent
        A refusal if the endpoint certainly did not run the request, `Tick` if nothing
        arrived in time, else `AttemptBroken`.
    """
    if isinstance(error, EndpointSilentError):
        return Tick()
    if isinstance(error, EndpointUnreachableError):
        return AttemptRefused(attempt_id, REFUSAL_UNREACHABLE, error.message)
    if isinstance(error, EndpointUnavailableError):
        return AttemptRefused(attempt_id, REFUSAL_UNAVAILABLE, error.message)
    if isinstance(error, EndpointRefusedError):
        return AttemptRefused(
            attempt_id,
            REFUSAL_OVERLOADED,
            error.message,
            error.retry_after_s,
            is_proven=True,
        )
    return AttemptBroken(attempt_id, error.message)
