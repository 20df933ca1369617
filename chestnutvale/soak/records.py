"""What callers, endpoints and operators saw; the input of the checks."""

import math
from collections import defaultdict
from collections.abc import Iterator
from typing import Any

import attrs

from chestnutvale.soak.const import (
    CONTACT_S,
    DEADLINE_MARGIN_S,
    IN_FORCE_S,
    KIND_STREAM,
    OUTCOME_FINISHED,
    OUTCOME_NOT_RUN,
    SYSTEM_OUTCOMES,
    TEXT_WHOLE,
)


@attrs.frozen
class RequestRecord:
    """One request as its caller saw it; times are monotonic, in seconds.

    Attributes
    ----------
    call_id : str
        Identifier of the call; requests that repeat a call share it.
    status : int
        HTTP status; 0 if no head was received.
    text_state : str
        Comparison with the expected answer; empty if there was no answer to compare.
    outcome, detail : str
        Outcome and problem code of a refusal, or class of the connection error.
    was_sent : bool
        Whether there was a connection on which the request was sent.
    is_replayed : bool
        Whether the answer is the recorded one of an earlier request.
    service, workspace : str
        Service that was called, and workspace whose key was sent.
    """

    call_id: str
    kind: str
    entry: str
    sent_s: float
    ended_s: float
    deadline_s: float
    status: int = 0
    text_state: str = ""
    is_complete: bool = False
    outcome: str = ""
    detail: str = ""
    hung_up: bool = False
    was_sent: bool = True
    is_replayed: bool = False
    service: str = ""
    workspace: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the caller received its whole answer."""
        return self.is_complete and self.text_state == TEXT_WHOLE

    @property
    def reached_deadline(self) -> bool:
        """Whether the deadline may have ended the request."""
        return self.ended_s >= self.deadline_s - DEADLINE_MARGIN_S

    @property
    def is_refused_as_not_run(self) -> bool:
        """Whether the answer states that the call has not run."""
        return self.outcome == OUTCOME_NOT_RUN


@attrs.frozen
class RunRecord:
    """An attempt that an endpoint accepted, and how the endpoint says that it ended."""

    call_id: str
    host: str
    outcome: str

    @property
    def was_ended_by_endpoint(self) -> bool:
        """Whether the endpoint broke the attempt off by itself."""
        return self.outcome not in SYSTEM_OUTCOMES | {OUTCOME_FINISHED}


@attrs.frozen
class TextRecord:
    """An accepted configuration text; times are monotonic, in seconds.

    Attributes
    ----------
    accepted_s : float
        Time of its acknowledgement; infinite if there was none.
    submitted_s : float
        Time from which it may have been in force.
    services, workspaces : frozenset of str
        Its services, and the workspaces whose callers it admits.
    """

    number: int
    accepted_s: float
    submitted_s: float = -math.inf
    services: frozenset[str] = frozenset()
    workspaces: frozenset[str] = frozenset()

    @property
    def is_accepted(self) -> bool:
        """Whether it was acknowledged."""
        return math.isfinite(self.accepted_s)

    def allows(self, request: RequestRecord) -> bool:
        """Return whether the text knows the key and the service of a request."""
        knows_service = not request.service or request.service in self.services
        return knows_service and (
            not request.workspace or request.workspace in self.workspaces
        )


@attrs.frozen
class TextReply:
    """Reply to a text that must be refused, or that was accepted before.

    Attributes
    ----------
    is_accepted : bool
        Whether it was acknowledged.
    is_due : bool
        Whether it had to be.
    """

    name: str
    is_accepted: bool
    is_due: bool


@attrs.frozen
class KeyReading:
    """The newest text whose key an entry accepted; 0 if it accepted none of them."""

    entry: str
    process_id: int
    sent_s: float
    number: int


@attrs.frozen
class PlannedStop:
    """A graceful stop of a process; times are monotonic, in seconds."""

    process: str
    requested_s: float
    exited_s: float
    exit_code: int


@attrs.frozen
class Disruption:
    """An unplanned end of a process or of connections; monotonic time in seconds.

    Attributes
    ----------
    entry : str
        The entry that it affects; empty if it affects all.
    """

    at_s: float
    entry: str = ""


@attrs.frozen
class HostRelease:
    """Whether an engine host that leaves was freed in time.

    Attributes
    ----------
    held_by : str
        What it was still used for at the end of that time; empty if it was free.
    """

    host: str
    held_by: str


@attrs.define
class SoakRecords:
    """Everything that was seen in one run, in order of its end."""

    requests: list[RequestRecord] = attrs.field(factory=list)
    runs: list[RunRecord] = attrs.field(factory=list)
    texts: list[TextRecord] = attrs.field(factory=list)
    readings: list[KeyReading] = attrs.field(factory=list)
    stops: list[PlannedStop] = attrs.field(factory=list)
    disruptions: list[Disruption] = attrs.field(factory=list)
    text_replies: list[TextReply] = attrs.field(factory=list)
    releases: list[HostRelease] = attrs.field(factory=list)

    def list_texts_in_force(self, begin_s: float, end_s: float) -> list[TextRecord]:
        """Return the texts that may have been in force at some moment of a time."""
        newest = max(
            (t.number for t in self.texts if t.accepted_s < begin_s - IN_FORCE_S),
            default=0,
        )
        return [t for t in self.texts if t.number >= newest and t.submitted_s <= end_s]

    def is_disrupted(self, entry: str, begin_s: float, end_s: float) -> bool:
        """Return whether an entry was affected in a time, or shortly before it."""
        return any(
            item.entry in ("", entry) and begin_s - CONTACT_S <= item.at_s <= end_s
            for item in self.disruptions
        )

    def pair_calls(self) -> Iterator[tuple[list[RequestRecord], list[RunRecord]]]:
        """Yield the requests and the runs of each call."""
        runs = _group_by_call(self.runs)
        for call_id, requests in _group_by_call(self.requests).items():
            yield requests, runs.get(call_id, [])


def _group_by_call(records: list[Any]) -> dict[str, list[Any]]:
    grouped: dict[str, list[Any]] = defaultdict(list)
    for record in records:
        grouped[record.call_id].append(record)
    return grouped


def describe_end(request: RequestRecord) -> str:
    """Return in one word or two how a request ended."""
    if request.is_whole:
        return "whole"
    if request.hung_up:
        return "hung up"
    if request.is_refused_as_not_run:
        return "refused"
    if request.reached_deadline:
        return "deadline"
    if request.kind == KIND_STREAM and request.text_state and request.status:
        return "cut"
    return request.outcome or "no answer"
