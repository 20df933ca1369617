"""Write docs/SETTINGS.md from the schema and the defaults, or check it."""

import argparse
import sys
import tempfile
from pathlib import Path
from typing import Any

from google.protobuf.descriptor_pb2 import (
    DescriptorProto,
    FieldDescriptorProto,
    FileDescriptorProto,
    FileDescriptorSet,
)
from google.protobuf.message import Message
from grpc_tools import protoc

from chestnutvale.settings.client import default_client_settings
from chestnutvale.settings.control import default_control_settings
from chestnutvale.settings.entry import default_entry_settings

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_FOLDER = ROOT / "schema"
SETTINGS_SCHEMA = "chestnutvale/schema/settings.proto"
PAGE_PATH = ROOT / "docs" / "SETTINGS.md"
# Number of the field that holds the messages of a file, and of the fields of one.
FILE_MESSAGE_TYPE_NUMBER = 4
MESSAGE_FIELD_NUMBER = 2

PROGRAM_DEFAULTS = {
    "EntrySettings": default_entry_settings,
    "ControlSettings": default_control_settings,
    "ClientSettings": default_client_settings,
}
SHARED_MESSAGES = (
    "PeerAddress",
    "HttpLimits",
    "LogSettings",
    "RepairSettings",
    "RetryBudgetSettings",
)
INTRODUCTION = """\
# Settings

Made by `script/settings_reference.py` from `schema/` and the defaults; do not edit.

Each program reads one file of JSON with comments. Unknown fields, wrong types and
values out of range are refused with the name of the field. Relative paths start at the
folder of the file. `--check-settings` checks a file and does nothing else.
Commented examples are in `examples/`.
"""


def read_schema() -> FileDescriptorProto:
    """Compile the settings schema with its comments.

    Returns
    -------
    FileDescriptorProto
        The schema file.

    Raises
    ------
    SystemExit
        If the compiler refuses it.
    """
    with tempfile.TemporaryDirectory() as folder:
        descriptor_path = Path(folder) / "schema"
        arguments = [
            "protoc",
            f"-I{SCHEMA_FOLDER}",
            "--include_source_info",
            f"--descriptor_set_out={descriptor_path}",
            SETTINGS_SCHEMA,
        ]
        if protoc.main(arguments) != 0:
            raise SystemExit("the schema compiler failed")
        return FileDescriptorSet.FromString(descriptor_path.read_bytes()).file[-1]


def read_comments(schema: FileDescriptorProto) -> dict[tuple[int, ...], str]:
    """Return the comment before each element.

    Parameters
    ----------
    schema : FileDescriptorProto
        The schema file.

    Returns
    -------
    dict of tuple of int to str
        Comments by path in the file, as protobuf defines it.
    """
    return {
        tuple(location.path): " ".join(location.leading_comments.split())
        for location in schema.source_code_info.location
        if location.leading_comments
    }


def format_type(field: FieldDescriptorProto) -> str:
    """Return the type of a field as operators know it.

    Parameters
    ----------
    field : FieldDescriptorProto
        The field.

    Returns
    -------
    str
        The type.
    """
    type_names = {
        FieldDescriptorProto.TYPE_STRING: "string",
        FieldDescriptorProto.TYPE_BOOL: "true or false",
        FieldDescriptorProto.TYPE_DOUBLE: "number",
    }
    name = type_names.get(field.type, "whole number")
    if field.type == FieldDescriptorProto.TYPE_MESSAGE:
        name = field.type_name.rpartition(".")[2]
    repeated = field.label == FieldDescriptorProto.LABEL_REPEATED
    return f"list of {name}" if repeated else name


def format_default(field: FieldDescriptorProto, defaults: Message | None) -> str:
    """Return the default of a field; empty if the field has none.

    Parameters
    ----------
    field : FieldDescriptorProto
        The field.
    defaults : Message or None
        Message that holds the defaults.

    Returns
    -------
    str
        The default.
    """
    if defaults is None or field.type == FieldDescriptorProto.TYPE_MESSAGE:
        return ""
    value: Any = getattr(defaults, field.name)
    if field.type == FieldDescriptorProto.TYPE_BOOL:
        return str(value).lower()
    return f"`{value}`" if value else ""


def format_section(
    message: DescriptorProto,
    path: tuple[int, ...],
    comments: dict[tuple[int, ...], str],
    defaults: Message | None,
) -> str:
    """Return the section of one message.

    Parameters
    ----------
    message : DescriptorProto
        The message.
    path : tuple of int
        Its path in the file.
    comments : dict of tuple of int to str
        Comments by path.
    defaults : Message or None
        Message that holds the defaults.

    Returns
    -------
    str
        The section.
    """
    lines = [
        f"## {message.name}",
        "",
        comments[path],
        "",
        "| field | type | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for number, field in enumerate(message.field):
        comment = comments[(*path, MESSAGE_FIELD_NUMBER, number)]
        default = format_default(field, defaults)
        lines.append(
            f"| `{field.name}` | {format_type(field)} | {default} | {comment} |"
        )
    return "\n".join(lines) + "\n"


def render_page() -> str:
    """Return the whole page.

    Returns
    -------
    str
        The page.
    """
    schema = read_schema()
    comments = read_comments(schema)
    control = default_control_settings()
    defaults: dict[str, Message] = {
        name: make_defaults() for name, make_defaults in PROGRAM_DEFAULTS.items()
    }
    defaults["HttpLimits"] = control.http_limits
    defaults["LogSettings"] = control.log
    defaults["RepairSettings"] = control.repair
    index_by_name = {
        message.name: index for index, message in enumerate(schema.message_type)
    }
    sections = [INTRODUCTION]
    for name in (*PROGRAM_DEFAULTS, *SHARED_MESSAGES):
        index = index_by_name[name]
        path = (FILE_MESSAGE_TYPE_NUMBER, index)
        message = schema.message_type[index]
        sections.append(format_section(message, path, comments, defaults.get(name)))
    return "\n".join(sections)


def main() -> int:
    """Write or check the page.

    Returns
    -------
    int
        Exit code; 1 if ``--check`` finds it stale.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    page = render_page()
    if not parser.parse_args().check:
        PAGE_PATH.write_text(page)
        return 0
    if PAGE_PATH.exists() and PAGE_PATH.read_text() == page:
        return 0
    print(f"stale: {PAGE_PATH.name}; run script/settings_reference.py")
    return 1


if __name__ == "__main__":
    sys.exit(main())
