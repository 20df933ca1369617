"""Summarizes the logs of all processes: what hosts did, and what became of calls."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime

import attrs
from tabulate import tabulate

from chestnutvale.groups.const import (
    ORDER_STAGE,
    PHASE_DRAINING,
    PHASE_FORMING,
    PHASE_SERVING,
)
from chestnutvale.programs.client.explain import LogLine, parse_log_line

_HOST_STATES = (PHASE_SERVING, PHASE_FORMING, PHASE_DRAINING, "staging", "free")
_CALL_RESULTS = (
    "in time",
    "late at entry",
    "late in engine",
    "several attempts",
    "refused",
    "failed",
)


@attrs.define
class _Call:
    accepted_s: float
    service: str
    target_ms: float | None
    admitted_s: float | None = None
    attempts: int = 0
    first_event_ms: float | None = None
    running_at_send: int = 0
    is_refused: bool = False

    @property
    def result(self) -> str:
        """What became of the call, one of `_CALL_RESULTS`."""
        if self.is_refused:
            return "refused"
        if self.first_event_ms is None or self.admitted_s is None:
            return "failed"
        waited_ms = 1_000 * (self.admitted_s - self.accepted_s)
        if self.target_ms is None:
            return "in time"
        if self.attempts > 1:
            # Only the first event of the last attempt is known, which says little
            # about the whole time.
            return "several attempts"
        if waited_ms + self.first_event_ms <= self.target_ms:
            return "in time"
        is_entry = waited_ms > self.first_event_ms
        return "late at entry" if is_entry else "late in engine"


@attrs.define
class _Hosts:
    """State of hosts and groups, as the controls log it."""

    domains: dict[str, str] = attrs.field(factory=dict)
    staging: set[str] = attrs.field(factory=set)
    groups: dict[str, tuple[str, tuple[str, ...]]] = attrs.field(factory=dict)

    def apply(self, line: LogLine) -> None:
        """Apply a line of a control."""
        fields = line.fields
        if line.event == "host" and fields.get("domain"):
            host = fields["host"]
            self.domains[host] = fields["domain"]
            if fields.get("staged"):
                self.staging.discard(host)
        elif line.event == "order" and fields.get("kind") == ORDER_STAGE:
            if fields.get("outcome") == "accepted":
                self.staging.add(fields["host"])
        elif line.event == "group_command" and fields.get("outcome") == "done":
            if fields["command"] == "put_group" and fields.get("domain"):
                members = tuple(fields["members"])
                self.groups[fields["group"]] = (fields["phase"], members)
            elif fields["command"] == "remove_group":
                self.groups.pop(fields["group"], None)

    def count(self) -> Counter[str]:
        """Return the number of hosts in each of `_HOST_STATES`, and of groups."""
        states = {
            host: phase for phase, members in self.groups.values() for host in members
        }
        counts = Counter(
            states.get(host, "staging" if host in self.staging else "free")
            for host in self.domains
        )
        counts["groups"] = sum(
            phase == PHASE_SERVING for phase, _ in self.groups.values()
        )
        return counts


@attrs.define
class LogSummary:
    """Tables of hosts and of calls by time.

    Attributes
    ----------
    hosts : list of tuple
        Time in seconds, and the number of hosts by state.
    calls : dict
        Calls by service and interval.
    ends : Counter
        Number of answers that ended early, by interval, who ended them and why.
    unparsed_count : int
        Number of lines that could not be parsed.
    """

    interval_s: float
    hosts: list[tuple[float, Counter[str]]] = attrs.field(factory=list)
    calls: dict[tuple[str, int], list[_Call]] = attrs.field(factory=dict)
    ends: Counter[tuple[int, str, str]] = attrs.field(factory=Counter)
    unparsed_count: int = 0

    def render(self) -> Iterator[str]:
        """Yield the tables as text.

        Yields
        ------
        str
            Title and table, or what is missing.
        """
        headers = ("s", "serving groups", *_HOST_STATES)
        rows = [
            (at_s, counts["groups"], *(counts[state] for state in _HOST_STATES))
            for at_s, counts in self.hosts
        ]
        yield "Hosts by state; free ones include silent and waiting ones"
        yield tabulate(rows, headers) if rows else "none"
        yield "Streaming calls by what became of them"
        headers = ("service", "s", *_CALL_RESULTS, "running p50", "first event p50 ms")
        rows = [self._make_call_row(key) for key in sorted(self.calls)]
        yield tabulate(rows, headers, floatfmt=".0f") if rows else "none"
        yield "Answers that ended early, also at entries that passed a call on"
        headers = ("s", "ended by", "reason", "answers")
        rows = [
            (number * self.interval_s, ended_by, reason, count)
            for (number, ended_by, reason), count in sorted(self.ends.items())
        ]
        yield tabulate(rows, headers, floatfmt=".0f") if rows else "none"

    def _make_call_row(self, key: tuple[str, int]) -> tuple[object, ...]:
        service, number = key
        calls = self.calls[key]
        results = Counter(call.result for call in calls)
        running = [call.running_at_send for call in calls if call.attempts]
        first_ms = [
            call.first_event_ms
            for call in calls
            if call.first_event_ms is not None and call.attempts == 1
        ]
        return (
            service,
            number * self.interval_s,
            *(results[name] for name in _CALL_RESULTS),
            _median(running),
            _median(first_ms),
        )


def summarize(raw_lines: Iterable[str], interval_s: float) -> LogSummary:
    """Summarize log lines of any processes.

    Parameters
    ----------
    raw_lines : iterable of str
        Log lines in any order.
    interval_s : float
        Length in seconds of the intervals of the tables.

    Returns
    -------
    LogSummary
        The tables; times count from the first call.
    """
    summary = LogSummary(interval_s)
    lines: list[tuple[float, LogLine]] = []
    for raw in raw_lines:
        line = parse_log_line(raw)
        if line is not None:
            lines.append((datetime.fromisoformat(line.time).timestamp(), line))
        elif raw.strip():
            summary.unparsed_count += 1
    lines.sort(key=lambda item: item[0])
    start_s = next(
        (at_s for at_s, line in lines if line.event == "call_accepted"), None
    )
    if start_s is None:
        return summary
    hosts = _Hosts()
    due_s = 0.0
    calls: dict[str, _Call] = {}
    for at_s, line in lines:
        while at_s - start_s >= due_s:
            summary.hosts.append((due_s, hosts.count()))
            due_s += interval_s
        hosts.apply(line)
        _apply_call_line(calls, line, at_s - start_s)
        if line.event == "answer_ended_early":
            number = int((at_s - start_s) / interval_s)
            fields = line.fields
            summary.ends[number, fields["ended_by"], fields["reason"]] += 1
    grouped: dict[tuple[str, int], list[_Call]] = defaultdict(list)
    for call in calls.values():
        grouped[call.service, int(call.accepted_s / interval_s)].append(call)
    summary.calls = dict(grouped)
    return summary


def _apply_call_line(calls: dict[str, _Call], line: LogLine, at_s: float) -> None:
    fields = line.fields
    request = fields.get("request")
    if line.event == "call_accepted" and fields.get("kind") == "streaming":
        calls[request] = _Call(at_s, fields["service"], fields.get("patience_ms"))
    call = calls.get(request)
    if call is None:
        return
    if line.event == "admitted":
        call.admitted_s = at_s
    elif line.event == "refused":
        call.is_refused = True
    elif line.event == "group_chosen" and fields.get("group"):
        call.attempts += 1
        running = (fields.get("running_here"), fields.get("running_elsewhere"))
        call.running_at_send = sum(count or 0 for count in running)
    elif line.event == "attempt_ended":
        call.first_event_ms = fields.get("first_byte_ms")


def _median(values: list[float]) -> float | None:
    return sorted(values)[len(values) // 2] if values else None
