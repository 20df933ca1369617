"""Redact secrets in logs and state dumps."""

import functools
import math
import re
from collections.abc import Mapping
from typing import Any

from google.protobuf.message import Message

from chestnutvale.schema_json import message_to_data

REDACTED = "(removed)"
MAX_DEPTH = 20
MAX_ITEMS = 1_000
# Field names whose check is remembered; log lines have some hundred different ones.
MAX_REMEMBERED_NAMES = 1_024
_PLAIN_TYPES = frozenset({bool, int, type(None)})

_SECRET_NAME_PATTERN = re.compile(
    r"token|secret|password|authorization|api_?key|^key$|^keys$|key_sha256", re.I
)
# Names that match the pattern above but hold a count or a file path, not a secret.
_EXEMPT_NAME_PATTERN = re.compile(r"tokens|token_file", re.I)
_SECRET_TEXT_PATTERN = re.compile(
    r"(?P<scheme>\bbearer\s+)[^\s\"',]+|\bcv-[A-Za-z0-9_-]{16,}", re.I
)


def redact_text(text: str) -> str:
    """Return a text with bearer tokens and workspace keys redacted.

    Parameters
    ----------
    text : str
        Text that may contain secrets.

    Returns
    -------
    str
        The text with each secret replaced by ``REDACTED``.
    """
    return _SECRET_TEXT_PATTERN.sub(
        lambda match: (match["scheme"] or "") + REDACTED, text
    )


def redact_secrets(data: Any, depth: int = 0) -> Any:
    """Convert data to plain JSON data, limited in size and without secrets.

    Parameters
    ----------
    data : object
        Mappings, sequences, sets, Protobuf messages and scalars.
    depth : int, optional
        Nesting depth of the data; data nested deeper than ``MAX_DEPTH`` is replaced.

    Returns
    -------
    object
        JSON data; values whose key names a secret are replaced, and lists longer
        than ``MAX_ITEMS`` are truncated and end with the number of omitted items.
    """
    if depth > MAX_DEPTH:
        return "(too deep)"
    # Most values of a log line are of these types. The checks below took two thirds of
    # the time of a line.
    if type(data) in _PLAIN_TYPES:
        return data
    if type(data) is str:
        return redact_text(data)
    if isinstance(data, Message):
        data = message_to_data(data)
    if isinstance(data, Mapping):
        return {
            str(key): REDACTED
            if _is_secret(str(key))
            else redact_secrets(value, depth + 1)
            for key, value in data.items()
        }
    if isinstance(data, list | tuple | set | frozenset):
        return _redact_items(list(data), depth)
    if data is None or isinstance(data, bool | int):
        return data
    if isinstance(data, float):
        # JSON has no representation of infinity and NaN.
        return data if math.isfinite(data) else str(data)
    if isinstance(data, bytes):
        return f"({len(data)} bytes)"
    return redact_text(str(data))


@functools.lru_cache(MAX_REMEMBERED_NAMES)
def _is_secret(name: str) -> bool:
    return bool(_SECRET_NAME_PATTERN.search(name)) and not _EXEMPT_NAME_PATTERN.search(
        name
    )


def _redact_items(items: list[Any], depth: int) -> list[Any]:
    redacted = [redact_secrets(item, depth + 1) for item in items[:MAX_ITEMS]]
    if len(items) > MAX_ITEMS:
        redacted.append(f"({len(items) - MAX_ITEMS} more)")
    return redacted
