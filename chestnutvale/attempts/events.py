"""What happens to a model call, and what the call asks its task to do."""

import attrs

from chestnutvale.attempts.sse import StreamEvent


@attrs.frozen
class Started:
    """The call was admitted."""


@attrs.frozen
class GroupChosen:
    """A group was chosen for the next attempt.

    Attributes
    ----------
    group_id : str
        The group.
    epoch : int
        Epoch of the group.
    version : str
        Version of the model that the group serves.
    """

    group_id: str
    epoch: int
    version: str


@attrs.frozen
class NoGroupAvailable:
    """No group can take the next attempt.

    Attributes
    ----------
    retry_after_s : float
        When trying again makes sense, in seconds.
    """

    retry_after_s: float


@attrs.frozen
class CallBanned:
    """The request was found to crash groups.

    Attributes
    ----------
    retry_after_s : float
        Time to the end of the ban in seconds.
    """

    retry_after_s: float


@attrs.frozen
class EventsArrived:
    """Events of an attempt's stream that arrived together.

    Attributes
    ----------
    attempt_id : str
        The attempt whose connection brought them.
    events : list of StreamEvent
        The events in their order of arrival.
    """

    attempt_id: str
    events: list[StreamEvent]


@attrs.frozen
class AttemptRefused:
    """The endpoint provably did not run the attempt.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    code : str
        The endpoint's code, or ``unreachable``.
    message : str
        The endpoint's reason.
    retry_after_s : float or None
        When the endpoint says to come back, in seconds.
    is_proven : bool
        Whether the endpoint itself said so, after the request was sent.
    """

    attempt_id: str
    code: str
    message: str = ""
    retry_after_s: float | None = None
    is_proven: bool = False


@attrs.frozen
class AttemptBroken:
    """An attempt ended before its answer was whole.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    reason : str
        What was seen.
    """

    attempt_id: str
    reason: str


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection."""


@attrs.frozen
class Tick:
    """Time went on."""


CallEvent = (
    Started
    | GroupChosen
    | NoGroupAvailable
    | CallBanned
    | EventsArrived
    | AttemptRefused
    | AttemptBroken
    | CallerDisconnected
    | Tick
)


@attrs.frozen
class ChooseGroup:
    """Ask for a group.

    Attributes
    ----------
    excluded : frozenset of str
        Groups that must not be chosen.
    version : str
        Version of the model that the group must serve; empty allows any.
    """

    excluded: frozenset[str]
    version: str


@attrs.frozen
class StartAttempt:
    """Send the request to a group.

    Attributes
    ----------
    attempt_id : str
        Identity of the attempt.
    group_id : str
        The group.
    epoch : int
        Epoch under which the group was chosen.
    resume_offset : int
        Tokens that the caller has.
    """

    attempt_id: str
    group_id: str
    epoch: int
    resume_offset: int


@attrs.frozen
class CancelAttempt:
    """End an attempt's work at its group.

    Attributes
    ----------
    attempt_id : str
        Identity of the attempt.
    group_id : str
        The group.
    fault : str
        Why the group is to blame; empty if it is not.
    """

    attempt_id: str
    group_id: str
    fault: str = ""


@attrs.frozen
class Deliver:
    """Pass bytes on to the caller.

    Attributes
    ----------
    data : bytes
        Whole events.
    """

    data: bytes


@attrs.frozen
class Failure:
    """Why a call did not succeed.

    Attributes
    ----------
    code : str
        Stable code.
    outcome : str
        ``not_run``, ``unknown`` or ``failed``.
    message : str
        Reason for the caller.
    step : str
        Step at which it failed.
    peer : str
        Group or address at which it failed.
    retry_after_s : float or None
        When trying again makes sense, in seconds.
    """

    code: str
    outcome: str
    message: str
    step: str = ""
    peer: str = ""
    retry_after_s: float | None = None


@attrs.frozen
class Finish:
    """The call is over.

    Attributes
    ----------
    failure : Failure or None
        Why the answer is not whole; None if it is.
    """

    failure: Failure | None = None


CallEffect = ChooseGroup | StartAttempt | CancelAttempt | Deliver | Finish
