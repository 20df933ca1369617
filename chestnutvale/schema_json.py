"""Convert Protobuf messages to plain JSON data."""

from typing import Any

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message


def message_to_data(message: Message) -> dict[str, Any]:
    """Return a message as JSON data, with all fields and with integers as numbers.

    Protobuf's own JSON mapping writes 64-bit integers as strings, which operators
    neither write nor want to read.

    Parameters
    ----------
    message : Message
        The message; must not contain bytes fields, which JSON cannot represent.

    Returns
    -------
    dict
        Values by field name; fields with presence are omitted if unset.
    """
    data: dict[str, Any] = {}
    for field in message.DESCRIPTOR.fields:
        if field.has_presence and not message.HasField(field.name):
            continue
        data[field.name] = _field_to_data(field, getattr(message, field.name))
    return data


def _field_to_data(field: FieldDescriptor, value: Any) -> Any:
    value_type = field.message_type
    if value_type is not None and value_type.GetOptions().map_entry:
        return {key: _item_to_data(value[key]) for key in sorted(value)}
    if field.is_repeated:
        return [_item_to_data(item) for item in value]
    return _item_to_data(value)


def _item_to_data(value: Any) -> Any:
    return message_to_data(value) if isinstance(value, Message) else value
