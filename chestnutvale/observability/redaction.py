"""Take secrets out of what logs and dumps show."""

import math
import re
from collections.abc import Mapping
from typing import Any

from google.protobuf.message import Message

from chestnutvale.schema_json import message_to_data

REDACTED = "(removed)"
MAX_DEPTH = 20
MAX_ITEMS = 1_000

_SECRET_NAME_PATTERN = re.compile(
    r"token|secret|password|authorization|api_?key|^key$|^keys$|key_sha256", re.I
)
# Names that contain such a word but count or locate something.
_EXEMPT_NAME_PATTERN = re.compile(r"tokens|token_file", re.I)
_SECRET_TEXT_PATTERN = re.compile(
    r"(?P<scheme>\bbearer\s+)[^\s\"',]+|\bcv-[A-Za-z0-9_-]{16,}", re.I
)


def redact_text(text: str) -> str:
    """Return a text without bearer tokens and workspace keys.

    Parameters
    ----------
    text : str
        The text.

    Returns
    -------
    str
        The text with each of them replaced.
    """
    return _SECRET_TEXT_PATTERN.sub(
        lambda match: (match["scheme"] or "") + REDACTED, text
    )


def redact_secrets(data: Any, depth: int = 0) -> Any:
    """Return data for a dump: plain JSON, bounded, without secrets.

    Parameters
    ----------
    data : object
        Mappings, lists, messages and scalars.
    depth : int, optional
        Depth of the data in the whole dump.

    Returns
    -------
    object
        The data; fields with the name of a secret are replaced, long lists are cut
        and say so.
    """
    if depth > MAX_DEPTH:
        return "(too deep)"
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
        # JSON has no infinity.
        return data if math.isfinite(data) else str(data)
    if isinstance(data, bytes):
        return f"({len(data)} bytes)"
    return redact_text(str(data))


def _is_secret(name: str) -> bool:
    return bool(_SECRET_NAME_PATTERN.search(name)) and not _EXEMPT_NAME_PATTERN.search(
        name
    )


def _redact_items(items: list[Any], depth: int) -> list[Any]:
    redacted = [redact_secrets(item, depth + 1) for item in items[:MAX_ITEMS]]
    if len(items) > MAX_ITEMS:
        redacted.append(f"({len(items) - MAX_ITEMS} more)")
    return redacted
