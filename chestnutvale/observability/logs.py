"""Structured logging as text or as JSON lines."""

import json
import sys
import time
from typing import Any

import logbook

from chestnutvale.observability.log_context import get_log_context
from chestnutvale.observability.nonblocking_handler import NonBlockingHandler
from chestnutvale.observability.redaction import redact_secrets, redact_text
from chestnutvale.schema.settings_pb2 import LogSettings

FORMAT_JSON = "json"
STANDARD_OUTPUT = "-"
_ENCODER = json.JSONEncoder(default=str)


def format_json(record: logbook.LogRecord, handler: Any) -> str:
    """Format a log record as one JSON line.

    Parameters
    ----------
    record : logbook.LogRecord
        The record.
    handler : logbook.Handler
        The handler that writes it; not used.

    Returns
    -------
    str
        One JSON object without a line break and without secrets.
    """
    line = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": redact_text(record.message),
        **get_log_context(),
        **redact_secrets(dict(record.extra)),
    }
    if record.formatted_exception:
        line["exception"] = redact_text(record.formatted_exception)
    return _ENCODER.encode(line)


def format_text(record: logbook.LogRecord, handler: Any) -> str:
    """Format a log record as a line of text.

    Parameters
    ----------
    record : logbook.LogRecord
        The record.
    handler : logbook.Handler
        The handler that writes it; not used.

    Returns
    -------
    str
        One line without secrets, followed by the traceback if there is an exception.
    """
    fields = "".join(f" {name}={value}" for name, value in get_log_context().items())
    time = record.time.isoformat()
    # Line breaks in external input must not forge a further log line.
    message = record.message.replace("\n", "\\n").replace("\r", "\\r")
    text = f"{time}Z {record.level_name} {record.channel}: {message}{fields}"
    if record.formatted_exception:
        text += f"\n{record.formatted_exception}"
    return redact_text(text)


def make_log_handler(settings: LogSettings) -> logbook.Handler:
    """Make the log handler of a program.

    Parameters
    ----------
    settings : LogSettings
        Format, level and file; standard error if no file is set.

    Returns
    -------
    logbook.Handler
        The handler, to be active for the lifetime of the process.
    """
    level = (settings.level or "info").upper()
    if settings.file == STANDARD_OUTPUT:
        handler: logbook.Handler = NonBlockingHandler(
            sys.stdout.fileno(), time.monotonic, level
        )
    elif settings.file:
        handler = logbook.FileHandler(settings.file, level=level)
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level)
    is_json = settings.format == FORMAT_JSON
    handler.formatter = format_json if is_json else format_text
    return handler
