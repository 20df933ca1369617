"""Further events and effects of calls to plain services."""

import attrs

from chestnutvale.attempts.events import (
    AttemptBroken,
    AttemptRefused,
    CallBanned,
    CallerDisconnected,
    CancelAttempt,
    ChooseGroup,
    Finish,
    GroupChosen,
    NoGroupAvailable,
    StartAttempt,
    Started,
    Tick,
)
from chestnutvale.schema.ledger_pb2 import RecordedAnswer


@attrs.frozen
class ClaimAnswered:
    """The claim was committed, and this is its result.

    Attributes
    ----------
    outcome : str
        One of the ``CLAIM_*`` constants of the ledger.
    answer : RecordedAnswer or None
        The recorded answer, if there is one.
    """

    outcome: str
    answer: RecordedAnswer | None = None


@attrs.frozen
class ClaimNotProposed:
    """The claim certainly did not reach the log."""


@attrs.frozen
class ClaimUnknown:
    """Nobody said whether the claim was committed."""


@attrs.frozen
class Connected:
    """The endpoint took the connection; nothing was sent yet.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    has_lease : bool
        Whether the entry may still give work to endpoints.
    """

    attempt_id: str
    has_lease: bool


@attrs.frozen
class EndpointAnswered:
    """The endpoint gave a whole answer.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    answer : RecordedAnswer
        The answer.
    """

    attempt_id: str
    answer: RecordedAnswer


@attrs.frozen
class AnswerTooLarge:
    """The endpoint gave an answer that is too large to pass on.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    status : int
        HTTP status of the answer.
    """

    attempt_id: str
    status: int


ServiceEvent = (
    Started
    | ClaimAnswered
    | ClaimNotProposed
    | ClaimUnknown
    | GroupChosen
    | NoGroupAvailable
    | CallBanned
    | Connected
    | AttemptRefused
    | EndpointAnswered
    | AnswerTooLarge
    | AttemptBroken
    | CallerDisconnected
    | Tick
)


@attrs.frozen
class SubmitClaim:
    """Commit the claim; the same one again after `ClaimUnknown`."""


@attrs.frozen
class SendRequest:
    """Send the request over the open connection.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    """

    attempt_id: str


@attrs.frozen
class SubmitOutcome:
    """Commit how the claimed call ended.

    Attributes
    ----------
    answer : RecordedAnswer or None
        The answer; None if nobody can tell.
    """

    answer: RecordedAnswer | None


@attrs.frozen
class SubmitRelease:
    """Commit that the claimed call was not sent and never will be."""


@attrs.frozen
class Reply:
    """Give the caller an answer of the endpoint.

    Attributes
    ----------
    answer : RecordedAnswer
        The answer.
    replayed : bool
        Whether it was recorded by an earlier call with the same key.
    """

    answer: RecordedAnswer
    replayed: bool = False


ServiceEffect = (
    SubmitClaim
    | ChooseGroup
    | StartAttempt
    | SendRequest
    | CancelAttempt
    | SubmitOutcome
    | SubmitRelease
    | Reply
    | Finish
)
