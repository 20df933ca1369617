"""Types and interfaces that request handlers use to access the entry."""

import math
import random
from typing import Any, Protocol

import attrs

from chestnutvale.admission.stop_window import StopWindow
from chestnutvale.attempts.const import OUTCOME_NOT_RUN
from chestnutvale.attempts.retry_budget import AttemptBudgets
from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.clock import Clock
from chestnutvale.configuration.lookup import TextLookup
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.membership.endpoint_notices import EndpointNotice, Incarnation
from chestnutvale.programs.entry.running_attempts import RunningAttempts
from chestnutvale.routing.stall_detection import StallDetector
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group
from chestnutvale.schema.peer_pb2 import GroupView

PRIORITY_URGENT = "urgent"
PRIORITY_NORMAL = "normal"
PRIORITY_BATCH = "batch"
PRIORITIES = (PRIORITY_URGENT, PRIORITY_NORMAL, PRIORITY_BATCH)


@attrs.frozen
class CallRequest:
    """The properties of a call that admission and routing use.

    Attributes
    ----------
    request_id : str
        Identity of the call.
    workspace : str
        The caller's workspace.
    service : str
        The service that is called.
    priority : str
        ``urgent``, ``normal`` or ``batch``.
    prompt : bytes
        Prompt text from which prefix hashes are computed; empty for plain calls.
    max_tokens : int
        Maximum tokens of the answer; 0 for plain calls.
    adapter : str
        Adapter that the call needs; empty for none.
    deadline_s : float
        Deadline of the call as monotonic time in seconds.
    start_by_s : float
        Monotonic time in seconds by which the call must be admitted or refused.
    target_s : float
        Monotonic time in seconds at which the first event is wanted; infinite for none.
    rank : int
        Rank of the call in the text, 0 for the most urgent.
    """

    request_id: str
    workspace: str
    service: str
    priority: str
    prompt: bytes
    max_tokens: int
    adapter: str
    deadline_s: float
    start_by_s: float = math.inf
    target_s: float = math.inf
    rank: int = 0


@attrs.frozen
class AdmissionRefusal:
    """The refusal of a call by admission.

    Attributes
    ----------
    code : str
        Stable code.
    message : str
        Reason for the caller.
    retry_after_s : float
        Time in seconds after which a retry makes sense.
    outcome : str
        ``not_run``, or ``unknown`` if another call with the ID may run.
    """

    code: str
    message: str
    retry_after_s: float
    outcome: str = OUTCOME_NOT_RUN


class AdmissionTicket(Protocol):
    """The pending or granted admission of one call."""

    def wait(self) -> AdmissionRefusal | None:
        """Block the calling greenlet until the call is admitted or refused.

        Returns
        -------
        AdmissionRefusal or None
            None if the call may run.
        """

    def cancel(self) -> None:
        """Withdraw the request for admission; `wait` returns immediately."""

    def report_progress(self, used_tokens: int) -> None:
        """Report the current length of the answer.

        Parameters
        ----------
        used_tokens : int
            Tokens that the answer has so far.
        """

    def release(self, used_tokens: int) -> None:
        """End the call; must be called exactly once, also after a refusal.

        Parameters
        ----------
        used_tokens : int
            Tokens that the answer had.
        """


class Admission(Protocol):
    """Decides which calls may run."""

    def offer(self, request: CallRequest) -> AdmissionTicket:
        """Ask for admission; does not block.

        Parameters
        ----------
        request : CallRequest
            The call.

        Returns
        -------
        AdmissionTicket
            The ticket to wait on.
        """


class _AdmittedTicket:
    """A ticket that is always admitted."""

    def wait(self) -> AdmissionRefusal | None:
        """Return None without blocking: the call is admitted."""
        return None

    def cancel(self) -> None:
        """Do nothing."""

    def report_progress(self, used_tokens: int) -> None:
        """Do nothing."""

    def release(self, used_tokens: int) -> None:
        """Do nothing."""


class AdmitAll:
    """Admits every call immediately."""

    def offer(self, request: CallRequest) -> AdmissionTicket:
        """Return a ticket that is always admitted.

        Parameters
        ----------
        request : CallRequest
            The call.

        Returns
        -------
        AdmissionTicket
            The ticket.
        """
        return _AdmittedTicket()


@attrs.frozen
class AttemptReport:
    """The result of an attempt at a group, for routing and failure detection.

    Attributes
    ----------
    request : CallRequest
        The call.
    group_id : str
        The group.
    epoch : int
        Epoch under which the attempt was made.
    result : str
        ``whole``, ``refused``, ``broken`` or ``cancelled``.
    code : str
        Code of the refusal or reason of the failure; empty otherwise.
    first_byte_ms : float or None
        Time from the send to the first byte of the answer in milliseconds.
    tokens : int
        Tokens that the attempt delivered.
    """

    request: CallRequest
    group_id: str
    epoch: int
    result: str
    code: str
    first_byte_ms: float | None
    tokens: int


class CrashProbe(Protocol):
    """Asks the members of a group whether the group is still intact."""

    def __call__(self, group: Group, *, is_engine: bool) -> bool:
        """Tell whether a member is down, was restarted, or left the group."""


class CallContext(Protocol):
    """Access to the entry for call handlers; implemented by `EntryContext`.

    Attributes
    ----------
    entry_id : str
        Identity of the entry.
    incarnation : str
        Identifies this run of the process.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.
    admission : Admission
        Decides which calls may run.
    budgets : AttemptBudgets
        Retry budgets of the entry.
    suspicions : SuspicionTracker
        Tracks requests that are suspected of crashing groups.
    running : RunningAttempts
        Running attempts; their calls get the reports about their group.
    stall_detector : StallDetector
        Detects groups whose streams have stalled.
    has_crashed : CrashProbe
        Distinguishes a crashed group from a single broken stream.
    stop_window : StopWindow
        Decides which calls the entry still takes while it stops.
    memory : MemoryBound
        Bound on the memory of requests and answers.
    """

    entry_id: str
    incarnation: str
    clock: Clock
    rng: random.Random
    admission: Admission
    budgets: AttemptBudgets
    suspicions: SuspicionTracker
    running: RunningAttempts
    stall_detector: StallDetector
    has_crashed: CrashProbe
    stop_window: StopWindow
    memory: MemoryBound

    @property
    def is_isolated(self) -> bool:
        """Whether this entry reaches no endpoint."""

    @property
    def text(self) -> Text:
        """The text in force."""

    @property
    def lookup(self) -> TextLookup:
        """Indexes of the text in force."""

    def authenticate(self, environ: dict[str, Any]) -> str | None:
        """Find the workspace that a request's key belongs to.

        Parameters
        ----------
        environ : dict
            The WSGI environment.

        Returns
        -------
        str or None
            Name of the workspace; None if the key is missing or unknown.
        """

    def has_lease(self, now_s: float) -> bool:
        """Tell whether the entry may take calls.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the serving lease holds.
        """

    def wait_for_groups(self, service: str, deadline_s: float) -> None:
        """Wait for a group of a service while the leader still discovers hosts.

        Parameters
        ----------
        service : str
            Name of the service.
        deadline_s : float
            Monotonic time in seconds until which the caller can wait.
        """

    def serving_groups(self, service: str, version: str) -> list[str]:
        """Return the ids of all groups that serve a service now.

        Parameters
        ----------
        service : str
            Name of the service.
        version : str
            Version that the groups must serve; empty allows any.

        Returns
        -------
        list of str
            Group ids.
        """

    def group_epoch(self, group_id: str) -> int | None:
        """Return the epoch of a group.

        Parameters
        ----------
        group_id : str
            The group.

        Returns
        -------
        int or None
            None if there is no such group.
        """

    def choose_group(
        self, request: CallRequest, excluded: frozenset[str], version: str
    ) -> GroupView | None:
        """Choose the serving group for an attempt.

        Parameters
        ----------
        request : CallRequest
            The call.
        excluded : frozenset of str
            Group ids that must not be chosen.
        version : str
            Version that the group must serve; empty allows any.

        Returns
        -------
        GroupView or None
            The group, whose member with rank 0 accepts the call; None if no group can
            serve it.
        """

    def has_alternative(
        self, request: CallRequest, excluded: frozenset[str], version: str
    ) -> bool:
        """Tell whether another group can take over a call now.

        Groups that have stalled or recently failed do not count.

        Parameters
        ----------
        request : CallRequest
            The call.
        excluded : frozenset of str
            Group ids that the call must not use.
        version : str
            Version that the group must serve; empty allows any.

        Returns
        -------
        bool
            Whether there is such a group.
        """

    def may_send(self, endpoint: Incarnation) -> bool:
        """Tell whether an endpoint takes requests of this entry now.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.

        Returns
        -------
        bool
            False if it told this entry that it leaves, or that it pauses until later,
            and if its data centre is evacuated.
        """

    def is_evacuated(self, endpoint: Incarnation) -> bool:
        """Tell whether an endpoint is in an evacuated data centre.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.

        Returns
        -------
        bool
            Whether nothing new may be sent to it.
        """

    def record_notice(self, endpoint: Incarnation, notice: EndpointNotice) -> None:
        """Record what an answer says about its endpoint.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint that answered.
        notice : EndpointNotice
            What its answer says.
        """

    def next_send_s(self, service: str) -> float | None:
        """Return when a rate limit lets this entry send a request to a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float or None
            Monotonic time in seconds; infinite if this entry has no share in any limit,
            None if no group that serves now has a limit.
        """

    def earliest_return_s(self, service: str) -> float | None:
        """Return how long all endpoints of a service pause.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float or None
            Time in seconds until the first one takes requests again; None if one takes
            requests now, or none of them pauses.
        """

    def report_attempt(self, report: AttemptReport) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        report : AttemptReport
            The attempt.
        """

    def report_kept_attempt(
        self, request: CallRequest, group_id: str, reason: str, silence_s: float
    ) -> None:
        """Record that an attempt was kept although it is silent.

        Parameters
        ----------
        request : CallRequest
            The call.
        group_id : str
            The group that runs it.
        reason : str
            Code of why the call can't continue at another group.
        silence_s : float
            Time in seconds since the last bytes of the attempt.
        """

    def commit(self, command: Command, deadline_s: float) -> CommandResult:
        """Commit a command in the replicated log; blocks the greenlet.

        Parameters
        ----------
        command : Command
            The command with its body; the leader sets the time.
        deadline_s : float
            Monotonic time in seconds at which to give up.

        Returns
        -------
        CommandResult
            Result of the command.

        Raises
        ------
        CommitRefusedError
            If the command was certainly not proposed.
        CommitUnknownError
            If the command may have been or may still be committed.
        """


def head_address(view: GroupView) -> str:
    """Return the address that accepts the calls of a group.

    Parameters
    ----------
    view : GroupView
        The group.

    Returns
    -------
    str
        IP address and port of the member with rank 0; empty if there is none.
    """
    for member in view.group.members:
        if member.rank == 0:
            return member.address
    return ""
