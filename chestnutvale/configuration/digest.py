"""The digest by which two texts are told apart."""

import hashlib
import json

from google.protobuf import json_format

from chestnutvale.schema.configuration_pb2 import Text


def text_to_json(text: Text) -> str:
    """Return a text as canonical JSON: sorted fields, no white space.

    Parameters
    ----------
    text : Text
        The text.

    Returns
    -------
    str
        The same for equal texts, whatever their comments and order of fields.
    """
    data = json_format.MessageToDict(text, preserving_proto_field_name=True)
    # Protobuf's JSON form writes 64-bit numbers as strings.
    data["number"] = text.number
    return json.dumps(data, sort_keys=True, separators=(",", ":"))


def text_digest(text: Text) -> str:
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
