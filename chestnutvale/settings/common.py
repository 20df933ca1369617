"""Defaults and validation of settings that several programs share."""

from google.protobuf.message import Message

from chestnutvale.schema.settings_pb2 import HttpLimits, LogSettings
from chestnutvale.settings.const import (
    DEFAULT_IDLE_TIMEOUT_MS,
    DEFAULT_LOG_FORMAT,
    DEFAULT_LOG_LEVEL,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_HEADER_BYTES,
    LOG_FORMATS,
    LOG_LEVELS,
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    MAX_HEADER_BYTES,
    MAX_INTERVAL_MS,
)
from chestnutvale.settings.validation import check_range, raise_field_error


def default_log_settings() -> LogSettings:
    """Return the log settings that apply if the file omits them.

    Returns
    -------
    LogSettings
        The defaults.
    """
    return LogSettings(format=DEFAULT_LOG_FORMAT, level=DEFAULT_LOG_LEVEL)


def default_http_limits() -> HttpLimits:
    """Return the HTTP limits that apply if the file omits them.

    Returns
    -------
    HttpLimits
        The defaults.
    """
    return HttpLimits(
        max_body_bytes=DEFAULT_MAX_BODY_BYTES,
        max_header_bytes=DEFAULT_MAX_HEADER_BYTES,
        max_connections=DEFAULT_MAX_CONNECTIONS,
        idle_timeout_ms=DEFAULT_IDLE_TIMEOUT_MS,
    )


def check_log_settings(log: LogSettings, origin: str) -> None:
    """Reject an unknown log format or level.

    Parameters
    ----------
    log : LogSettings
        The loaded settings.
    origin : str
        Path of the settings file, for the error message.

    Raises
    ------
    SettingsError
        If a field is invalid.
    """
    for field, known in (("format", LOG_FORMATS), ("level", LOG_LEVELS)):
        value = getattr(log, field)
        if value not in known:
            raise_field_error(
                f"log.{field}", f"must be one of {', '.join(known)}", origin
            )


def check_http_limits(limits: HttpLimits, origin: str) -> None:
    """Reject HTTP limits that are out of range.

    Parameters
    ----------
    limits : HttpLimits
        The loaded settings.
    origin : str
        Path of the settings file, for the error message.

    Raises
    ------
    SettingsError
        If a field is invalid.
    """
    ranges = {
        "max_body_bytes": MAX_BODY_BYTES,
        "max_header_bytes": MAX_HEADER_BYTES,
        "max_connections": MAX_CONNECTIONS,
        "idle_timeout_ms": MAX_INTERVAL_MS,
    }
    for field, highest in ranges.items():
        check_range(limits, field, 1, highest, origin, prefix="http_limits.")


def check_intervals(message: Message, fields: tuple[str, ...], origin: str) -> None:
    """Reject intervals and timeouts that are zero or longer than an hour.

    Parameters
    ----------
    message : Message
        The loaded settings.
    fields : tuple of str
        Names of fields in milliseconds.
    origin : str
        Path of the settings file, for the error message.

    Raises
    ------
    SettingsError
        If a field is invalid.
    """
    for field in fields:
        check_range(message, field, 1, MAX_INTERVAL_MS, origin)
