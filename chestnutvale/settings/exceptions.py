"""Errors of settings files."""

from chestnutvale.exceptions import ChestnutError


class SettingsError(ChestnutError):
    """A settings file that can't be read or holds a wrong field."""

    code = "settings_invalid"
