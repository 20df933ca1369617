"""Events and effects of calls to services without token streams."""

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
    """The claim was committed with this result.

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
    """The claim was not proposed to the Raft log, so it will never commit."""


@attrs.frozen
class ClaimUnknown:
    """It is unknown whether the claim was or will be committed."""


@attrs.frozen
class Connected:
    """The connection to the endpoint is open; nothing has been sent yet.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    has_lease : bool
        Whether the entry still holds the lease needed to send requests.
    """

    attempt_id: str
    has_lease: bool


@attrs.frozen
class EndpointAnswered:
    """The endpoint returned a complete answer.

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
    """The endpoint returned an answer that is too large to forward.

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
    """Commit the claim; after `ClaimUnknown`, submit the same claim again."""


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
    """Commit the outcome of the claimed call.

    Attributes
    ----------
    answer : RecordedAnswer or None
        The answer; None if the outcome is unknown.
    """

    answer: RecordedAnswer | None


@attrs.frozen
class SubmitRelease:
    """Commit the release of a claim whose call was not and will not be sent."""


@attrs.frozen
class Reply:
    """Send an answer of the endpoint to the caller.

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
