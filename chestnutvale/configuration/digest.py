"""Canonical JSON and digest of a configuration text."""

import hashlib
import json

from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema_json import message_to_data


def text_to_json(text: Text) -> str:
    """Serialise a text as canonical JSON, with sorted fields and no white space.

    Parameters
    ----------
    text : Text
        The text.

    Returns
    -------
    str
        Identical for equal texts, whatever their comments and order of fields;
        `parse_text` accepts it.
    """
    return json.dumps(message_to_data(text), sort_keys=True, separators=(",", ":"))


def compute_text_digest(text: Text) -> str:
    """Compute the SHA-256 digest of a text's canonical JSON.

    Parameters
    ----------
    text : Text
        The text.

    Returns
    -------
    str
        64 lower-case hexadecimal digits.
    """
    return hashlib.sha256(text_to_json(text).encode()).hexdigest()
