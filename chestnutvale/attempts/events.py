"""Events that a model call handles and effects that it requests."""

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
    """No group is available for the next attempt.

    Attributes
    ----------
    retry_after_s : float
        When trying again makes sense, in seconds.
    """

    retry_after_s: float


@attrs.frozen
class CallBanned:
    """The request is banned because it was found to crash groups.

    Attributes
    ----------
    retry_after_s : float
        Time until the end of the ban in seconds.
    part_hashes : tuple of int
        Parts of the prompt that are banned; empty if the whole request is.
    """

    retry_after_s: float
    part_hashes: tuple[int, ...] = ()


@attrs.frozen
class EventsArrived:
    """Events of an attempt's stream that arrived together.

    Attributes
    ----------
    attempt_id : str
        The attempt on whose connection they arrived.
    events : list of StreamEvent
        The events in their order of arrival.
    """

    attempt_id: str
    events: list[StreamEvent]


@attrs.frozen
class AttemptRefused:
    """The endpoint did not run the attempt.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    code : str
        Refusal code of the endpoint, or ``unreachable``.
    message : str
        Reason given by the endpoint.
    retry_after_s : float or None
        Retry-After of the endpoint in seconds.
    is_proven : bool
        Whether the endpoint itself refused the request after it was sent.
    """

    attempt_id: str
    code: str
    message: str = ""
    retry_after_s: float | None = None
    is_proven: bool = False


@attrs.frozen
class AttemptBroken:
    """An attempt ended before its answer was complete.

    Attributes
    ----------
    attempt_id : str
        The attempt.
    reason : str
        Observed cause, such as a closed connection.
    """

    attempt_id: str
    reason: str


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection."""


@attrs.frozen
class GroupStalled:
    """The group of the running attempt sends events on none of its streams."""


@attrs.frozen
class GroupLost:
    """The membership reports that the group of the running attempt can't finish it.

    The report may be wrong: a member whose announcements are late counts as missing.

    Attributes
    ----------
    is_restarted : bool
        Whether a member announced itself as restarted.
    """

    is_restarted: bool = False


@attrs.frozen
class Tick:
    """The time in `next_tick_s` has been reached."""


CallEvent = (
    Started
    | GroupChosen
    | NoGroupAvailable
    | CallBanned
    | EventsArrived
    | AttemptRefused
    | AttemptBroken
    | CallerDisconnected
    | GroupStalled
    | GroupLost
    | Tick
)


@attrs.frozen
class ChooseGroup:
    """Request a group for the next attempt.

    Attributes
    ----------
    excluded : frozenset of str
        Groups that must not be chosen.
    version : str
        Version of the model that the group must serve; empty allows any.
    allowed : frozenset of str
        Groups of which one must be chosen; empty allows any.
    is_unsent : bool
        Whether the request was not sent, or endpoints proved that they did not run it,
        so that another entry can take it.
    fallback : frozenset of str
        Groups to choose from if no other one is available: the call left them while
        they were silent, and they may have gone on.
    may_wait : bool
        Whether to wait for a group if none is available; False if the call can go on
        with an attempt that it holds.
    """

    excluded: frozenset[str]
    version: str
    allowed: frozenset[str] = frozenset()
    is_unsent: bool = False
    fallback: frozenset[str] = frozenset()
    may_wait: bool = True


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
        Tokens that the caller has already received.
    """

    attempt_id: str
    group_id: str
    epoch: int
    resume_offset: int


@attrs.frozen
class CancelAttempt:
    """Cancel an attempt at its group.

    Attributes
    ----------
    attempt_id : str
        Identity of the attempt.
    group_id : str
        The group.
    fault : str
        Fault of the group that caused the cancellation; empty if there was none.
    """

    attempt_id: str
    group_id: str
    fault: str = ""


@attrs.frozen
class HoldAttempt:
    """Stop reading an attempt that was left while it was silent, but keep it open.

    Attributes
    ----------
    attempt_id : str
        Identity of the attempt.
    group_id : str
        The group.
    reason : str
        Why the call left it.
    """

    attempt_id: str
    group_id: str
    reason: str


@attrs.frozen
class ResumeAttempt:
    """Read on from the attempt that is held.

    Attributes
    ----------
    attempt_id : str
        Identity of the attempt.
    group_id : str
        The group.
    """

    attempt_id: str
    group_id: str


@attrs.frozen
class Deliver:
    """Send bytes to the caller.

    Attributes
    ----------
    data : bytes
        Complete events.
    """

    data: bytes


@attrs.frozen
class Failure:
    """Error with which a call ended.

    Attributes
    ----------
    code : str
        Stable error code.
    outcome : str
        ``not_run``, ``unknown`` or ``failed``.
    message : str
        Error message for the caller.
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
    """The call has ended.

    Attributes
    ----------
    failure : Failure or None
        Error of the call; None if the answer is complete.
    """

    failure: Failure | None = None


CallEffect = (
    ChooseGroup
    | StartAttempt
    | CancelAttempt
    | HoldAttempt
    | ResumeAttempt
    | Deliver
    | Finish
)
