"""Parse and validate the configuration text that operators edit."""

import re
from collections.abc import Mapping
from typing import Any

import pyjson5

from chestnutvale.configuration.checks import check_fabric_domains, check_text
from chestnutvale.configuration.const import MAX_TEXT_BYTES, MAX_TEXT_DEPTH
from chestnutvale.configuration.defaults import fill_defaults
from chestnutvale.configuration.exceptions import TextError, TextProblem
from chestnutvale.configuration.line_index import LineIndex
from chestnutvale.configuration.report import ProblemReport
from chestnutvale.configuration.schema_reader import read_message
from chestnutvale.schema.configuration_pb2 import Text

_ERROR_POSITION = re.compile(r"near (\d+)")


def parse_text(raw: str, domain_hosts: Mapping[str, int] | None = None) -> Text:
    """Parse and validate a text and fill in its defaults.

    Parameters
    ----------
    raw : str
        JSON with comments, as the operator wrote it.
    domain_hosts : mapping of str to int, optional
        Number of hosts in each known fabric domain; if empty or omitted, group sizes
        are not checked against them.

    Returns
    -------
    Text
        The validated text, with defaults; comments, field order and omitted defaults
        make no difference.

    Raises
    ------
    TextError
        If the text is invalid; holds the problems found, with their lines.
    """
    data = _decode(raw)
    lines = LineIndex(raw)
    report = ProblemReport(lines)
    for path, line in lines.duplicate_keys:
        report.add(path, "is defined more than once", line)
    text = Text()
    read_message(data, text, (), report)
    # The later checks would only report the same faults again.
    report.raise_if_any()
    fill_defaults(text, data)
    check_text(text, report)
    check_fabric_domains(text, domain_hosts or {}, report)
    report.raise_if_any()
    return text


def _decode(raw: str) -> Any:
    if len(raw.encode(errors="replace")) > MAX_TEXT_BYTES:
        raise _whole_text_error(1, f"is larger than {MAX_TEXT_BYTES} bytes")
    try:
        return pyjson5.decode(raw, maxdepth=MAX_TEXT_DEPTH)
    except pyjson5.Json5NestingTooDeep as error:
        reason = f"is nested deeper than {MAX_TEXT_DEPTH} levels"
        raise _whole_text_error(_error_line(raw, error), reason) from error
    except (pyjson5.Json5Exception, ValueError, RecursionError) as error:
        reason = f"is not JSON with comments: {error.args[0]}"
        raise _whole_text_error(_error_line(raw, error), reason) from error


def _error_line(raw: str, error: Exception) -> int:
    found = _ERROR_POSITION.search(str(error.args[0]))
    # The parser reports character positions starting at 1.
    position = int(found.group(1)) if found else 1
    return 1 + raw.count("\n", 0, max(position - 1, 0))


def _whole_text_error(line: int, reason: str) -> TextError:
    return TextError([TextProblem(line, "", f"the text {reason}")])
