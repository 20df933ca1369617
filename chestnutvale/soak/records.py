"""What callers, endpoints and operators saw; the input of the checks."""

from collections import defaultdict

import attrs

from chestnutvale.soak.const import (
    DEADLINE_MARGIN_S,
    KIND_STREAM,
    OUTCOME_FINISHED,
    OUTCOME_NOT_RUN,
    SYSTEM_OUTCOMES,
    TEXT_WHOLE,
)


@attrs.frozen
class RequestRecord:
    """One request as its caller saw it. Times are monotonic, in seconds.

    Attributes
    ----------
    call_id : str
        Identifier of the call; requests that repeat a call share it.
    kind : str
        ``"stream"``, ``"read"`` or ``"posting"``.
    entry : str
        Name of the entry.
    sent_s, ended_s, deadline_s : float
        When the request was sent, its answer ended and its deadline passes.
    status : int
        HTTP status; 0 if no head was received.
    text_state : str
        ``"whole"``, ``"part"`` or ``"wrong"``, compared with the expected answer.
    is_complete : bool
        Whether the answer looked complete.
    outcome : str
        Outcome that a refusal states; empty if there was none.
    detail : str
        Problem code or class name of the connection error, for reports.
    hung_up : bool
        Whether the caller closed the connection.
    was_sent : bool
        Whether there was a connection on which the request was sent.
    is_replayed : bool
        Whether the answer is the recorded one of an earlier request.
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
    """An attempt that an endpoint accepted.

    Attributes
    ----------
    call_id : str
        Identifier of the call.
    host : str
        Name of the endpoint.
    outcome : str
        How the endpoint says that the attempt ended.
    """

    call_id: str
    host: str
    outcome: str

    @property
    def was_ended_by_endpoint(self) -> bool:
        """Whether the endpoint broke the attempt off by itself."""
        return self.outcome not in SYSTEM_OUTCOMES | {OUTCOME_FINISHED}


@attrs.frozen
class TextRecord:
    """An accepted configuration text and the time of its acknowledgement."""

    number: int
    accepted_s: float


@attrs.frozen
class KeyReading:
    """Which texts' keys an entry accepted at one moment.

    Attributes
    ----------
    entry : str
        Name of the entry.
    process_id : int
        Process id of the entry, which a restart changes.
    sent_s : float
        Monotonic time in seconds at which the first question was sent.
    number : int
        Number of the text whose key was accepted; 0 if none of those asked was.
    """

    entry: str
    process_id: int
    sent_s: float
    number: int


@attrs.frozen
class PlannedStop:
    """A graceful stop of an entry; times are monotonic, in seconds."""

    entry: str
    requested_s: float
    exited_s: float
    exit_code: int


@attrs.define
class SoakRecords:
    """Everything that was seen in one run.

    Attributes
    ----------
    requests, runs, texts, readings, stops : list
        The records, in order of their end.
    """

    requests: list[RequestRecord] = attrs.field(factory=list)
    runs: list[RunRecord] = attrs.field(factory=list)
    texts: list[TextRecord] = attrs.field(factory=list)
    readings: list[KeyReading] = attrs.field(factory=list)
    stops: list[PlannedStop] = attrs.field(factory=list)

    def group_requests(self) -> dict[str, list[RequestRecord]]:
        """Return the requests of each call by its identifier."""
        grouped: dict[str, list[RequestRecord]] = defaultdict(list)
        for request in self.requests:
            grouped[request.call_id].append(request)
        return dict(grouped)

    def group_runs(self) -> dict[str, list[RunRecord]]:
        """Return the runs of each call by its identifier."""
        grouped: dict[str, list[RunRecord]] = defaultdict(list)
        for run in self.runs:
            grouped[run.call_id].append(run)
        return dict(grouped)

    def count_outcomes(self) -> dict[str, int]:
        """Return how many requests of each kind ended in which way."""
        counts: dict[str, int] = defaultdict(int)
        for request in self.requests:
            counts[f"{request.kind} {describe_end(request)}"] += 1
        return dict(sorted(counts.items()))


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
