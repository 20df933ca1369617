"""Structured logs as text or as JSON lines."""

import json
import sys
from typing import Any

import logbook

from chestnutvale.schema.settings_pb2 import LogSettings

FORMAT_JSON = "json"
TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
    "{record.channel}: {record.message}"
)


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
        One JSON object without a line break.
    """
    line = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
        **record.extra,
    }
    if record.formatted_exception:
        line["exception"] = record.formatted_exception
    return json.dumps(line, default=str)


def make_log_handler(settings: LogSettings) -> logbook.Handler:
    """Make the handler that a program pushes for its whole life.

    Parameters
    ----------
    settings : LogSettings
        Format, level and file.

    Returns
    -------
    logbook.Handler
        The handler.
    """
    level = (settings.level or "info").upper()
    if settings.file:
        handler: logbook.Handler = logbook.FileHandler(settings.file, level=level)
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level)
    if settings.format == FORMAT_JSON:
        handler.formatter = format_json
    else:
        handler.format_string = TEXT_FORMAT
    return handler
