"""Converts errors of the HTTP client to those of an exchange, and to call events."""

import contextlib
from collections.abc import Iterator

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
from chestnutvale.http_client.exceptions import (
    AnswerFormatError,
    AnswerLimitError,
    BodyTooLargeError,
)
from chestnutvale.programs.entry.exceptions import (
    AnswerTooLargeError,
    EndlessAnswerError,
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


@contextlib.contextmanager
def translate_client_errors(step: str, peer: str) -> Iterator[None]:
    """Raise the errors of the HTTP client as those of an exchange.

    Parameters
    ----------
    step : str
        Step of the exchange.
    peer : str
        IP address and port of the endpoint.

    Raises
    ------
    AnswerTooLargeError
        If the body is larger than allowed.
    EndlessAnswerError
        If a part of the answer exceeds a limit.
    EndpointBrokenError
        If the connection failed or the answer is invalid.
    EndpointSilentError
        If the deadline passed.
    """
    try:
        yield
    except TimeoutError as error:
        raise EndpointSilentError(
            "the send or receive timed out", step=step, peer=peer
        ) from error
    except BodyTooLargeError as error:
        raise AnswerTooLargeError(error.message, step=step, peer=peer) from error
    except AnswerLimitError as error:
        raise EndlessAnswerError(error.message, step=step, peer=peer) from error
    except AnswerFormatError as error:
        raise EndpointBrokenError(error.message, step=step, peer=peer) from error
    except (OSError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise EndpointBrokenError(reason, step=step, peer=peer) from error
