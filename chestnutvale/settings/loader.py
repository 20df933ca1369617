"""Load settings files into protobuf messages."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

from google.protobuf.message import Message

from chestnutvale.settings.exceptions import SettingsError

STEP_SETTINGS = "settings"

SettingsT = TypeVar("SettingsT", bound=Message)


def parse_json_with_comments(text: str, origin: str) -> Any:
    """Parse JSON with comments and trailing commas (JSON5).

    Parameters
    ----------
    text : str
        Content of the file.
    origin : str
        Path of the settings file, for the error message.

    Returns
    -------
    object
        The parsed value.

    Raises
    ------
    SettingsError
        If the text is not valid JSON5.
    """
    # A program whose settings come from another source does without these libraries.
    import pyjson5

    try:
        return pyjson5.decode(text)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as error:
        raise SettingsError(str(error), step=STEP_SETTINGS, peer=origin) from error


def merge_message(message: SettingsT, data: Any, origin: str) -> SettingsT:
    """Merge parsed JSON into a message, overriding its defaults.

    Parameters
    ----------
    message : Message
        Message that holds the defaults; changed in place.
    data : object
        Parsed JSON; must be an object.
    origin : str
        Path of the settings file, for the error message.

    Returns
    -------
    Message
        The same message.

    Raises
    ------
    SettingsError
        If the data is no object, or a field is unknown or has the wrong type.
    """
    if not isinstance(data, dict):
        raise SettingsError(
            "the file must hold one object", step=STEP_SETTINGS, peer=origin
        )
    from google.protobuf import json_format

    try:
        return json_format.ParseDict(data, message)
    except json_format.ParseError as error:
        raise SettingsError(str(error), step=STEP_SETTINGS, peer=origin) from error


def load_settings(path: Path, message: SettingsT) -> SettingsT:
    """Load a settings file into a message that holds the defaults.

    Parameters
    ----------
    path : Path
        Path of the settings file.
    message : Message
        Message that holds the defaults.

    Returns
    -------
    Message
        The same message, updated with the fields of the file.

    Raises
    ------
    SettingsError
        If the file can't be read, is malformed or holds an invalid field.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step=STEP_SETTINGS, peer=str(path)) from error
    return merge_message(message, parse_json_with_comments(text, str(path)), str(path))


def resolve_paths(message: Message, fields: Iterable[str], origin: Path) -> None:
    """Resolve relative paths against the folder of the settings file.

    Parameters
    ----------
    message : Message
        The message that holds the paths; changed in place.
    fields : iterable of str
        Names of the path fields; empty values are left alone.
    origin : Path
        Path of the settings file.
    """
    for field in fields:
        value = getattr(message, field)
        if value:
            setattr(message, field, str(origin.parent / value))
