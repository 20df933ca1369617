"""Read a settings file into its schema message."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import pyjson5
from google.protobuf import json_format
from google.protobuf.message import Message

from chestnutvale.settings.exceptions import SettingsError

STEP_SETTINGS = "settings"

SettingsT = TypeVar("SettingsT", bound=Message)


def parse_json_with_comments(text: str, origin: str) -> Any:
    """Parse JSON that may hold comments and trailing commas.

    Parameters
    ----------
    text : str
        The file's text.
    origin : str
        Name of the file, for the error.

    Returns
    -------
    object
        The parsed value.

    Raises
    ------
    SettingsError
        If the text is not JSON with comments.
    """
    try:
        return pyjson5.decode(text)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as error:
        raise SettingsError(str(error), step=STEP_SETTINGS, peer=origin) from error


def merge_message(message: SettingsT, data: Any, origin: str) -> SettingsT:
    """Merge parsed data into a message and name each unknown or wrong field.

    Parameters
    ----------
    message : Message
        Message that already holds the defaults.
    data : object
        Parsed JSON; must be an object.
    origin : str
        Name of the file, for the error.

    Returns
    -------
    Message
        The same message.

    Raises
    ------
    SettingsError
        If a field is unknown or has the wrong type.
    """
    if not isinstance(data, dict):
        raise SettingsError(
            "the file must hold one object", step=STEP_SETTINGS, peer=origin
        )
    try:
        return json_format.ParseDict(data, message)
    except json_format.ParseError as error:
        raise SettingsError(str(error), step=STEP_SETTINGS, peer=origin) from error


def load_settings(path: Path, message: SettingsT) -> SettingsT:
    """Load a settings file over the defaults in a message.

    Parameters
    ----------
    path : Path
        The settings file.
    message : Message
        Message that holds the defaults.

    Returns
    -------
    Message
        The same message with the file's fields.

    Raises
    ------
    SettingsError
        If the file can't be read or a field is wrong.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step=STEP_SETTINGS, peer=str(path)) from error
    return merge_message(message, parse_json_with_comments(text, str(path)), str(path))


def resolve_paths(message: Message, fields: Iterable[str], origin: Path) -> None:
    """Let relative paths start at the folder of the settings file.

    Parameters
    ----------
    message : Message
        The message that holds the paths; changed in place.
    fields : iterable of str
        Names of the fields.
    origin : Path
        The settings file.
    """
    for field in fields:
        value = getattr(message, field)
        if value:
            setattr(message, field, str(origin.parent / value))
