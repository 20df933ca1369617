"""The digest by which two texts are told apart."""

import hashlib
import json

from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema_json import message_to_data


def text_to_json(text: Text) -> str:
    """Return a text as canonical JSON: sorted fields, no white space.

    Parameters
    ----------
    text : Text
        The text.

    Returns
    -------
    str
        The same for equal texts, whatever their comments and order of fields; it
        can be parsed as a text again.
    """
    return json.dumps(message_to_data(text), sort_keys=True, separators=(",", ":"))


def compute_text_digest(text: Text) -> str:
    """Return the SHA-256 digest of a text's canonical form.

    Parameters
    ----------
    text : Text
        The text.

    Returns
    -------
    str
        64 hexadecimal characters.
    """
    return hashlib.sha256(text_to_json(text).encode()).hexdigest()
