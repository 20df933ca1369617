"""Tell the story of one request from the logs of all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

# Events about groups that may decide a request, told if they name one of its groups.
GROUP_EVENTS = ("group_command", "group_view", "order", "stalled_groups")
# Fields that are told before the others or not at all.
_PLAIN_FIELDS = ("time", "level", "logger", "message", "request")


@attrs.frozen(order=True)
class LogLine:
    """One line of a log that could be read.

    Attributes
    ----------
    time : str
        When it was written, by the clock of its process.
    source : str
        What stood before the line, for example the name of a host.
    event : str
        Its event.
    fields : dict
        Its fields.
    """

    time: str
    source: str
    event: str
    fields: dict[str, Any] = attrs.field(order=False)

    def names_group(self, groups: set[str]) -> bool:
        """Tell whether the line is about one of some groups.

        Parameters
        ----------
        groups : set of str
            Group ids.

        Returns
        -------
        bool
            Whether it names one.
        """
        named = {self.fields.get("group"), *self.fields.get("groups", ())}
        return self.event in GROUP_EVENTS and bool(groups & named)


@attrs.frozen
class Story:
    """What the logs say of a request.

    Attributes
    ----------
    lines : list of LogLine
        In the order of their times.
    unread : int
        Lines that could not be read: cut, or of another form.
    """

    lines: list[LogLine]
    unread: int

    def render(self) -> Iterator[str]:
        """Yield the story, a line each.

        Yields
        ------
        str
            Time, source, event and fields.
        """
        for line in self.lines:
            fields = " ".join(
                f"{name}={_show(value)}"
                for name, value in line.fields.items()
                if name not in _PLAIN_FIELDS and value not in (None, "", [], {})
            )
            yield f"{line.time} {line.source:<20} {line.event:<18} {fields}".rstrip()


def read_line(raw: str) -> LogLine | None:
    """Read one line of a log; what stands before its object names the source.

    Parameters
    ----------
    raw : str
        The line.

    Returns
    -------
    LogLine or None
        None if it holds no whole object with a message and a time.
    """
    begin = raw.find("{")
    if begin < 0:
        return None
    try:
        fields = json.loads(raw[begin:])
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    time, event = fields.get("time"), fields.get("message")
    if not isinstance(time, str) or not isinstance(event, str):
        return None
    prefix = raw[:begin].split()
    return LogLine(time, prefix[-1] if prefix else "", event, fields)


def tell_story(raw_lines: Iterable[str], request_id: str) -> Story:
    """Find the lines about a request, and those about groups that it was sent to.

    Parameters
    ----------
    raw_lines : iterable of str
        Lines of the logs of any processes, in any order.
    request_id : str
        The request.

    Returns
    -------
    Story
        Without lines if no log names the request.
    """
    own: list[LogLine] = []
    others: list[LogLine] = []
    unread = 0
    for raw in raw_lines:
        if not raw.strip():
            continue
        line = read_line(raw)
        if line is None:
            unread += 1
        elif line.fields.get("request") == request_id:
            own.append(line)
        elif line.event in GROUP_EVENTS:
            others.append(line)
    groups = {str(line.fields["group"]) for line in own if line.fields.get("group")}
    if own:
        first, last = min(own).time, max(own).time
        own += [
            line
            for line in others
            if line.names_group(groups) and first <= line.time <= last
        ]
        own += _find_earlier(others, groups, first)
    return Story(sorted(own), unread)


def _find_earlier(
    lines: list[LogLine], groups: set[str], first: str
) -> Iterator[LogLine]:
    """Yield the last view of each group before the request came."""
    latest: dict[str, LogLine] = {}
    for line in sorted(lines):
        group = str(line.fields.get("group"))
        if line.event == "group_view" and group in groups and line.time < first:
            latest[group] = line
    yield from latest.values()


def _show(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_show(item) for item in value)
    text = str(value)
    return json.dumps(text) if " " in text else text
