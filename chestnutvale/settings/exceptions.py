"""Exceptions of settings files."""

from chestnutvale.exceptions import ChestnutError


class SettingsError(ChestnutError):
    """A settings file can't be read, is malformed or holds an invalid field."""

    code = "settings_invalid"
