"""Trace one request through the logs of all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

# Group events that can affect a request; included if they name one of its groups.
GROUP_EVENTS = (
    "group_command",
    "group_view",
    "member_lost",
    "order",
    "stalled_groups",
)
# Fields that are not listed after the event: either shown before it or omitted.
_OMITTED_FIELDS = ("time", "level", "logger", "message", "request")


@attrs.frozen(order=True)
class LogLine:
    """One parsed log line.

    Attributes
    ----------
    time : str
        Timestamp, by the clock of the process that wrote it.
    source : str
        Last word before the JSON object, for example a process name; may be empty.
    event : str
        Event name, the ``message`` of the line.
    fields : dict
        All fields of the JSON object.
    """

    time: str
    source: str
    event: str
    fields: dict[str, Any] = attrs.field(order=False)

    def mentions_group(self, groups: set[str]) -> bool:
        """Return whether the line is a group event about one of the groups.

        Parameters
        ----------
        groups : set of str
            Group ids.

        Returns
        -------
        bool
            Whether the line names one of them.
        """
        mentioned = {self.fields.get("group"), *self.fields.get("groups", ())}
        return self.event in GROUP_EVENTS and bool(groups & mentioned)


@attrs.frozen
class RequestTrace:
    """Log lines about a request, from all processes.

    Attributes
    ----------
    lines : list of LogLine
        The lines in order of time.
    unparsed_count : int
        Number of lines that could not be parsed: truncated, or of another format.
    """

    lines: list[LogLine]
    unparsed_count: int

    def render(self) -> Iterator[str]:
        """Yield the trace as lines of text.

        Yields
        ------
        str
            Time, source, event and fields.
        """
        for line in self.lines:
            fields = " ".join(
                f"{name}={_format_value(value)}"
                for name, value in line.fields.items()
                if name not in _OMITTED_FIELDS and value not in (None, "", [], {})
            )
            yield f"{line.time} {line.source:<20} {line.event:<18} {fields}".rstrip()


def parse_log_line(raw: str) -> LogLine | None:
    """Parse one log line; the word before its JSON object names the source.

    Parameters
    ----------
    raw : str
        Line of a log, possibly with a prefix.

    Returns
    -------
    LogLine or None
        None if the line has no complete JSON object with a message and a time.
    """
    json_start = raw.find("{")
    if json_start < 0:
        return None
    try:
        fields = json.loads(raw[json_start:])
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    time, event = fields.get("time"), fields.get("message")
    if not isinstance(time, str) or not isinstance(event, str):
        return None
    prefix = raw[:json_start].split()
    return LogLine(time, prefix[-1] if prefix else "", event, fields)


def trace_request(raw_lines: Iterable[str], request_id: str) -> RequestTrace:
    """Find the lines about a request and about the groups that it was sent to.

    Group events are included if they fall between the first and the last line of the
    request; of the earlier ones, the last ``group_view`` of each group is included.

    Parameters
    ----------
    raw_lines : iterable of str
        Log lines of any processes, in any order.
    request_id : str
        Identity of the request.

    Returns
    -------
    RequestTrace
        Trace without lines if no log line mentions the request.
    """
    request_lines: list[LogLine] = []
    group_lines: list[LogLine] = []
    unparsed_count = 0
    for raw in raw_lines:
        if not raw.strip():
            continue
        line = parse_log_line(raw)
        if line is None:
            unparsed_count += 1
        elif line.fields.get("request") == request_id:
            request_lines.append(line)
        elif line.event in GROUP_EVENTS:
            group_lines.append(line)
    groups = {
        str(line.fields["group"]) for line in request_lines if line.fields.get("group")
    }
    if request_lines:
        start_time, end_time = min(request_lines).time, max(request_lines).time
        request_lines += [
            line
            for line in group_lines
            if line.mentions_group(groups) and start_time <= line.time <= end_time
        ]
        request_lines += _find_last_views(group_lines, groups, start_time)
    return RequestTrace(sorted(request_lines), unparsed_count)


def _find_last_views(
    lines: list[LogLine], groups: set[str], start_time: str
) -> Iterator[LogLine]:
    """Yield the last view of each group from before the first line of a request."""
    latest: dict[str, LogLine] = {}
    for line in sorted(lines):
        group = str(line.fields.get("group"))
        if line.event == "group_view" and group in groups and line.time < start_time:
            latest[group] = line
    yield from latest.values()


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_format_value(item) for item in value)
    text = str(value)
    return json.dumps(text) if " " in text else text
