"""Convert parsed JSON into a schema message and report every invalid field."""

from typing import Any

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from chestnutvale.configuration.const import MAX_DOUBLE_VALUE, MAX_STRING_LENGTH
from chestnutvale.configuration.line_index import Path
from chestnutvale.configuration.report import ProblemReport

_UNSIGNED_BITS = {
    FieldDescriptor.TYPE_UINT32: 32,
    FieldDescriptor.TYPE_UINT64: 64,
}


def read_message(
    data: Any, message: Message, path: Path, report: ProblemReport
) -> None:
    """Fill a message from parsed JSON; invalid fields are reported and skipped.

    Parameters
    ----------
    data : object
        Parsed JSON; anything but an object is reported.
    message : Message
        The message to fill.
    path : Path
        Path of the data within the text.
    report : ProblemReport
        Collects the problems found.
    """
    if not isinstance(data, dict):
        report.add(path, "must be an object")
        return
    # The descriptor's own mapping raises on names that are not valid Unicode.
    fields = dict(message.DESCRIPTOR.fields_by_name)
    for name, value in data.items():
        field = fields.get(name)
        if field is None:
            report.add(
                (*path, name), f"unknown field{report.suggest_name(name, fields)}"
            )
        else:
            _read_field(value, message, field, (*path, name), report)


def _read_field(
    value: Any,
    message: Message,
    field: FieldDescriptor,
    path: Path,
    report: ProblemReport,
) -> None:
    if _is_map(field):
        _read_map(value, getattr(message, field.name), path, report)
    elif field.is_repeated:
        _read_list(value, getattr(message, field.name), field, path, report)
    elif field.message_type is not None:
        child = getattr(message, field.name)
        child.SetInParent()
        read_message(value, child, path, report)
    elif _check_scalar(value, field, path, report):
        setattr(message, field.name, value)


def _is_map(field: FieldDescriptor) -> bool:
    entry = field.message_type
    return entry is not None and entry.GetOptions().map_entry


def _read_map(value: Any, target: Any, path: Path, report: ProblemReport) -> None:
    if not isinstance(value, dict):
        report.add(path, "must be an object")
        return
    for name, item in value.items():
        if _check_string(name, (*path, name), report):
            read_message(item, target[name], (*path, name), report)


def _read_list(
    value: Any,
    target: Any,
    field: FieldDescriptor,
    path: Path,
    report: ProblemReport,
) -> None:
    if not isinstance(value, list):
        report.add(path, "must be a list")
        return
    for position, item in enumerate(value):
        item_path = (*path, position)
        if field.message_type is not None:
            read_message(item, target.add(), item_path, report)
        elif _check_scalar(item, field, item_path, report):
            target.append(item)


def _check_scalar(
    value: Any, field: FieldDescriptor, path: Path, report: ProblemReport
) -> bool:
    if field.type == FieldDescriptor.TYPE_BOOL:
        if isinstance(value, bool):
            return True
        report.add(path, "must be true or false")
        return False
    if field.type == FieldDescriptor.TYPE_STRING:
        return _check_string(value, path, report)
    if field.type == FieldDescriptor.TYPE_DOUBLE:
        return _check_number(value, path, report)
    return _check_unsigned(value, _UNSIGNED_BITS[field.type], path, report)


def _check_unsigned(value: Any, bits: int, path: Path, report: ProblemReport) -> bool:
    if not isinstance(value, int) or isinstance(value, bool):
        report.add(path, "must be a whole number")
        return False
    if not 0 <= value < 2**bits:
        report.add(path, f"must be from 0 to {2**bits - 1}")
        return False
    return True


def _check_number(value: Any, path: Path, report: ProblemReport) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_DOUBLE_VALUE:
        report.add(path, f"must be a number from 0 to {MAX_DOUBLE_VALUE:g}")
        return False
    return True


def _check_string(value: Any, path: Path, report: ProblemReport) -> bool:
    if not isinstance(value, str):
        report.add(path, "must be a string")
        return False
    if len(value) > MAX_STRING_LENGTH or not value.isprintable():
        report.add(
            path, f"must be printable and at most {MAX_STRING_LENGTH} characters long"
        )
        return False
    return True
